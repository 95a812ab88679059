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
	// replayMargin is the number of tokens below which a replay assumes that the bucket was empty.
	// The time of a line is taken before its tokens are counted; a process that does not run for
	// 100 ms in between moves the count by four tokens.
	replayMargin = 6
	// reportInterval is how often the number of suppressed lines is logged.
	reportInterval = 10 * time.Second
)

// OmissionMessage is the message of the line that reports lines that were left out.
const OmissionMessage = "log: lines were left out."

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
	now     func() time.Time
	mu      sync.Mutex
	buckets map[string]*bucket
	// suppressed counts the suppressed lines by message since lastReport.
	suppressed map[string]int64
	lastReport time.Time
	// omitted counts the suppressed lines since the start.
	omitted int64
	// dropped returns how many lines the writer has dropped so far, reportedDropped how many of
	// them were reported.
	dropped         func() int64
	reportedDropped int64
}

// omission is what was left out from since until now.
type omission struct {
	since      time.Time
	suppressed map[string]int64
	dropped    int64
}

type bucket struct {
	tokens float64
	at     time.Time
}

// NewHandler returns a handler that passes lines within their rate limit to h.
func NewHandler(h slog.Handler, now func() time.Time) *Handler {
	return &Handler{Handler: h, limiter: &limiter{now: now, buckets: map[string]*bucket{}, suppressed: map[string]int64{}, lastReport: now(), dropped: func() int64 { return 0 }}}
}

// Omitted returns how many lines were left out so far.
func (h *Handler) Omitted() int64 {
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	return h.limiter.omitted + h.limiter.dropped()
}

// CountDropped makes the handler also report the lines that w drops.
func (h *Handler) CountDropped(w *Writer) {
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	h.limiter.dropped = w.Dropped
}

// Handle passes the line on, or counts it as suppressed.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	pass, left := h.limiter.allow(r)
	if err := h.report(ctx, r.Time, left); err != nil {
		return err
	}
	if !pass {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// Flush reports what was left out since the last report. A process calls it before it ends, because
// the lines that it left out last would otherwise never be reported.
func (h *Handler) Flush(ctx context.Context) error {
	h.limiter.mu.Lock()
	now := h.limiter.now()
	left := h.limiter.takeOmission(now)
	h.limiter.mu.Unlock()
	return h.report(ctx, now, left)
}

func (h *Handler) report(ctx context.Context, at time.Time, left omission) error {
	lines := left.dropped
	for _, n := range left.suppressed {
		lines += n
	}
	if lines == 0 {
		return nil
	}
	r := slog.NewRecord(at, slog.LevelWarn, OmissionMessage, 0)
	r.AddAttrs(slog.Int64("lines", lines), slog.Time("since", left.since), slog.Any("by", left.suppressed), slog.Int64("dropped", left.dropped))
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

func (s *limiter) allow(r slog.Record) (bool, omission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	b, ok := s.buckets[r.Message]
	if !ok {
		b = &bucket{tokens: burst, at: now}
		s.buckets[r.Message] = b
	}
	b.refill(now)
	pass := r.Level >= slog.LevelWarn || b.tokens >= 1
	if pass {
		b.tokens--
	} else {
		s.suppressed[r.Message]++
		s.omitted++
	}
	if now.Sub(s.lastReport) < reportInterval {
		return pass, omission{}
	}
	return pass, s.takeOmission(now)
}

// takeOmission returns what was left out since the last report, and begins to count anew.
func (s *limiter) takeOmission(now time.Time) omission {
	dropped := s.dropped()
	left := omission{since: s.lastReport, suppressed: s.suppressed, dropped: dropped - s.reportedDropped}
	s.suppressed, s.reportedDropped, s.lastReport = map[string]int64{}, dropped, now
	return left
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.tokens+linesPerSecond*now.Sub(b.at).Seconds(), burst)
	b.at = now
}

// Replay follows the rate limit of one message through the lines that a host has written, in order
// to find out after which of them the limit may have suppressed others.
type Replay struct{ bucket }

// ReplaySpan is the time after a line within which the limit suppresses others if it does at all.
const ReplaySpan = replayMargin * time.Second / linesPerSecond

// Next follows a line that was written at the given time. It reports whether the limit may have
// suppressed others within ReplaySpan after it.
func (p *Replay) Next(at time.Time) bool {
	if p.at.IsZero() {
		p.bucket = bucket{tokens: burst, at: at}
	}
	if at.After(p.at) {
		p.refill(at)
	}
	p.tokens--
	return p.tokens < replayMargin
}
