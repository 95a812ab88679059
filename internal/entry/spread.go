package entry

import (
	"context"
	"sync"
	"time"

	"pollencroft/internal/store"
)

const (
	// spreadParts is over how many partitions a writer may spread what it appends.
	// The store may be down for a part of its partitions, some two in five; of three
	// that lie apart one is then up in nineteen cases of twenty.
	spreadParts = 3
	// spreadTimeout is how long an append goes without an answer before it is made at
	// the next partition too, and spreadSlower how many usual answers that is at
	// least: a store that is slow everywhere would only be made slower.
	spreadTimeout       = 200 * time.Millisecond
	spreadTimeoutFactor = 3
)

// partsFrom lists the partitions that a writer may use, far apart, its first one
// first.
func partsFrom(first, parts int) []int {
	n := min(spreadParts, parts)
	all := make([]int, n)
	for i := range all {
		all[i] = (first + i*parts/n) % parts
	}
	return all
}

// appendTimeout is how long to wait for one partition before the next is tried.
func (h *Host) appendTimeout() time.Duration {
	return max(spreadTimeout, spreadTimeoutFactor*h.store.Usual())
}

// spread makes the same append at one partition after the other until one has it:
// the next one at once after a refusal, and after patience while there is no
// answer. It returns which one has it first. A refusal is returned only if all
// refused; what is neither a refusal nor a missing answer ends it.
//
// It is for appends that may lie in several partitions: their readers read all of
// them and know the same record again.
func spread[T any](ctx context.Context, wg *sync.WaitGroup, n int, timeout time.Duration, try func(i int) (T, error)) (first, tried int, got T, err error) {
	type result struct {
		i   int
		got T
		err error
	}
	results := make(chan result, n)
	next, inFlight := 0, 0
	begin := func() {
		i := next
		next++
		inFlight++
		wg.Go(func() {
			got, err := try(i)
			results <- result{i, got, err}
		})
	}
	var none T
	var failed error
	begin()
	for {
		var late <-chan time.Time
		var timer *time.Timer
		if next < n {
			timer = time.NewTimer(timeout)
			late = timer.C
		}
		var r result
		select {
		case <-ctx.Done():
			return 0, next, none, &store.UnansweredError{Op: store.Append, Cause: ctx.Err()}
		case <-late:
			begin()
			continue
		case r = <-results:
			inFlight--
		}
		if timer != nil {
			timer.Stop()
		}
		if !store.Away(r.err) {
			return r.i, next, r.got, r.err
		}
		failed = store.Worse(failed, r.err)
		switch {
		case next < n:
			begin()
		case inFlight == 0:
			return 0, next, none, failed
		}
	}
}
