package host

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// gate counts work in flight that is not a request to an HTTP server.
type gate struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	empty    chan struct{}
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter starts a piece of work. It returns false if the gate is closed.
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

// close rejects further work and waits for the work in flight.
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

// CutError reports that a planned stop ended before all work in flight had finished.
type CutError struct{ Cause error }

func (e *CutError) Error() string { return "stop cut work in flight: " + e.Cause.Error() }

// Unwrap returns why the stop did not wait longer.
func (e *CutError) Unwrap() error { return e.Cause }

// Stop performs a planned stop: it accepts no new work, hands over its workers, waits for the
// work in flight, also that of peers, and then closes everything. It returns a CutError if ctx
// ended before the work did.
func (h *Host) Stop(ctx context.Context) error {
	if !h.transition("stop") {
		return nil
	}
	began := h.clock()
	h.log.Info("host: leaving.", "name", h.cfg.Name)
	h.leader.Leave()
	h.handOverJobs()
	h.announceLeaving()
	// Callers still connect until the load balancer has noticed that this host is not ready.
	// They are served, because their requests would be lost if the connections were refused.
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

// finishWork waits for callers' and operators' requests, then until the hosts that keep their
// keys have been told how these requests ended, then for the peers' work. Peers come last
// because they may wait for answers to keys whose requests end here.
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
