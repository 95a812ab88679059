package soak_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// orderFaults lists the faults of orders that are held up on their way to workers.
var orderFaults = []fault{
	{"orders to a worker are carried out late", func(c *cell, r *rand.Rand, d time.Duration) func() {
		c.holdUpOrders(r.IntN(len(c.workers)), r, d)
		return func() {}
	}},
	{"orders to half of the workers are carried out late", func(c *cell, r *rand.Rand, d time.Duration) func() {
		for _, i := range r.Perm(len(c.workers))[:len(c.workers)/2] {
			c.holdUpOrders(i, r, d/2)
		}
		return func() {}
	}},
}

// holdUpOrders lets a share of the orders to a worker be carried out late for the time d.
func (c *cell) holdUpOrders(i int, r *rand.Rand, d time.Duration) {
	share := []int{10, 30, 60}[r.IntN(3)]
	c.worker(i).HoldUpOrders(share, d, rand.New(rand.NewPCG(r.Uint64(), r.Uint64())))
}

// strikeWorkers strikes single workers in series until ctx ends: orders to one are held up, it is cut
// off, it restarts under its ID meanwhile, and its entry follows late. Series of several workers
// overlap. It runs at the same time as the other faults.
func (c *cell) strikeWorkers(ctx context.Context, r *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(500+r.IntN(2000)) * time.Millisecond):
		}
		for _, i := range r.Perm(len(c.workers))[:1+r.IntN(1+len(c.workers)/6)] {
			c.strikeWorker(i, r)
		}
	}
}

// strikeWorker begins one series of faults of a worker.
func (c *cell) strikeWorker(i int, r *rand.Rand) {
	w, way, ms := c.worker(i), stream(r), func(n int) time.Duration { return time.Duration(r.IntN(n)) * time.Millisecond }
	held, cutAfter, cut := 500*time.Millisecond+ms(2500), ms(1500), 300*time.Millisecond+ms(2500)
	restartAfter, listAfter := ms(4000), ms(2500)
	cuts, restarts := r.IntN(4) > 0, r.IntN(4) > 0
	c.logFault("orders to %s are carried out late for %s; cut off %t after %s for %s; restarts %t after %s, listed after %s", w.ID, held, cuts, cutAfter, cut, restarts, restartAfter, listAfter)
	c.holdUpOrders(i, r, held)
	if cuts {
		c.busy.Go(func() {
			time.Sleep(cutAfter)
			c.cut(w, way, cut)()
		})
	}
	if restarts {
		c.busy.Go(func() {
			time.Sleep(restartAfter)
			// A task whose workers restart again and again counts as one that crashes them, and
			// its job fails.
			if !w.LostBefore() {
				c.logFault("%s restarts", w.ID)
				w.Restart()
				c.listLater(w, listAfter)
			}
		})
	}
}

// listLater lists a worker after a while if it is still there.
func (c *cell) listLater(w *worker, d time.Duration) {
	time.Sleep(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.workers, w) {
		c.listWorker(w)
	}
}
