// Package logs writes logs without ever blocking the code that logs. Lines go through a buffer to a
// writer goroutine, and lines beyond their rate limit are counted instead of written.
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
	// maxBufferedLines is how many lines wait for a slow reader: a few seconds of a busy host's
	// log.
	maxBufferedLines = 1024
	// linesPerSecond and burst limit the lines with the same message. A host with 0.4 of a core
	// writes a line in about 10 µs, so all messages together use less than a hundredth of the core.
	linesPerSecond = 40
	burst          = 120
	// reportInterval is how often the number of suppressed lines is logged.
	reportInterval = 10 * time.Second
)

// Writer writes lines in the background, so that its callers never wait.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter starts a goroutine that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), out: out, done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		// A failure to write the log cannot be reported anywhere.
		_, _ = w.out.Write(b)
	}
}

// Write queues one line, or counts it as dropped if the buffer is full.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped because the buffer was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits for that at most the given time. Write must not be called
// afterwards.
func (w *Writer) Close(wait time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

// Handler limits the rate of lines with the same message. Warnings and errors always pass.
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

// NewHandler returns a handler that passes lines within their rate limit to h.
func NewHandler(h slog.Handler, now func() time.Time) *Handler {
	return &Handler{Handler: h, limiter: &limiter{now: now, buckets: map[string]*bucket{}, lastReport: now()}}
}

// Handle passes the line on, or counts it as suppressed.
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

// WithAttrs returns a handler with more attributes that shares the rate limits.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup returns a handler with a group that shares the rate limits.
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
