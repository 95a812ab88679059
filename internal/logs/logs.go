// Package logs writes logs that never hold up what they tell of: lines go
// through a buffer to a writer of their own, and what is more than its budget is
// counted instead of written.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is how many lines wait for a reader that is slow: a few seconds of
	// a busy host's lines.
	maxBufferedLines = 1024
	// linesPerSecond and burst are lines a second of one kind, by its message. A host with
	// 0.4 of a core writes a line in about 10 µs; all kinds together then stay
	// below a hundredth of it.
	linesPerSecond = 40
	burst          = 120
	// reportInterval is how often what was left out is told.
	reportInterval = 10 * time.Second
)

// Writer passes lines on without waiting.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), out: out, done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		// Nobody can be told that the log cannot be written.
		_, _ = w.out.Write(b)
	}
}

// Write takes one line, or counts it as dropped when too many wait.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped is how many lines had no place.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, for at most the given time. No line may come after.
func (w *Writer) Close(wait time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

// Handler keeps each kind of line within its budget. Warnings and errors always
// pass.
type Handler struct {
	slog.Handler
	limiter *limiter
}

type limiter struct {
	now        func() time.Time
	mu         sync.Mutex
	buckets    map[string]*bucket
	suppressed int64
	lastReport time.Time
}

type bucket struct {
	tokens float64
	at     time.Time
}

// NewHandler bounds what h gets.
func NewHandler(h slog.Handler, now func() time.Time) *Handler {
	return &Handler{Handler: h, limiter: &limiter{now: now, buckets: map[string]*bucket{}, lastReport: now()}}
}

// Handle writes the line or counts it.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	pass, left := h.limiter.allow(r)
	if left > 0 {
		more := slog.NewRecord(r.Time, slog.LevelWarn, "log: lines were left out.", 0)
		more.AddAttrs(slog.Int64("lines", left))
		if err := h.Handler.Handle(ctx, more); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with more attributes and the same budgets.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup returns a handler with a group and the same budgets.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}

func (s *limiter) allow(r slog.Record) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	b, ok := s.buckets[r.Message]
	if !ok {
		b = &bucket{tokens: burst, at: now}
		s.buckets[r.Message] = b
	}
	b.tokens = min(b.tokens+linesPerSecond*now.Sub(b.at).Seconds(), burst)
	b.at = now
	pass := r.Level >= slog.LevelWarn || b.tokens >= 1
	if pass {
		b.tokens--
	} else {
		s.suppressed++
	}
	if s.suppressed == 0 || now.Sub(s.lastReport) < reportInterval {
		return pass, 0
	}
	left := s.suppressed
	s.suppressed, s.lastReport = 0, now
	return pass, left
}
