package host

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// gate counts work in flight that no HTTP server sees.
type gate struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	empty    chan struct{}
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter begins a piece of work; false when no more is taken.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.closed && g.inFlight == 0 {
		close(g.empty)
	}
}

// close takes no more work and waits for what is in flight.
func (g *gate) close(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed && g.inFlight == 0 {
		close(g.empty)
	}
	g.closed = true
	g.mu.Unlock()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CutError tells that a planned stop ended before all work had.
type CutError struct{ Cause error }

func (e *CutError) Error() string { return "stop cut work in flight: " + e.Cause.Error() }

// Unwrap returns why the stop did not wait longer.
func (e *CutError) Unwrap() error { return e.Cause }

// Stop is a planned stop: it takes no new work, hands over its workers, ends
// what is in flight, also for peers, and then closes everything. It returns a
// CutError if ctx ended before the work did.
func (h *Host) Stop(ctx context.Context) error {
	if !h.transition("stop") {
		return nil
	}
	began := h.clock()
	h.log.Info("host: leaving.", "name", h.cfg.Name)
	h.leader.Leave()
	h.handOverJobs()
	h.announceLeaving()
	// Callers still come until the balancer has seen that this host is not
	// ready. They are served; refusing their connections would lose them.
	h.linger(ctx, h.cfg.Limits.ShutdownDelay-h.clock().Sub(began))
	err := h.finishWork(ctx)
	h.transition("empty")
	h.Kill()
	if err != nil {
		h.log.Warn("host: stop cut work in flight.", "err", err)
		return &CutError{Cause: err}
	}
	h.log.Info("host: stopped.", "name", h.cfg.Name, "took", h.clock().Sub(began))
	return nil
}

func (h *Host) linger(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// finishWork waits for callers' and operators' requests, then for what their keys
// still have to be told, then for the peers' work. Peers come last: they may
// wait for answers to keys whose requests end here.
func (h *Host) finishWork(ctx context.Context) error {
	var all errgroup.Group
	for _, srv := range h.servers {
		all.Go(func() error { return srv.stop(ctx) })
	}
	err := all.Wait()
	h.relay.FlushKeyEnds()
	err = errors.CombineErrors(err, h.peerWork.close(ctx))
	h.releaseSlots(ctx)
	h.finalHandover(ctx)
	h.leader.Release()
	return err
}
