package store

import (
	"context"
	"sync"
	"time"
)

const (
	// spreadParts is the number of partitions over which a writer may spread its appends. The
	// store may be down for some of its partitions, for instance two in five. Of three partitions
	// that are far apart, at least one is then up in nineteen cases of twenty.
	spreadParts = 3
	// spreadTimeout is how long an append may go without an answer before it is also sent to the
	// next partition. spreadTimeoutFactor is the minimum of that time, as a multiple of the
	// store's usual response time: a store that is slow everywhere would only become slower.
	spreadTimeout       = 200 * time.Millisecond
	spreadTimeoutFactor = 3
)

// PartsFrom lists the partitions that a writer may use. They are far apart, and the writer's
// first partition comes first.
func PartsFrom(first, parts int) []int {
	n := min(spreadParts, parts)
	all := make([]int, n)
	for i := range all {
		all[i] = (first + i*parts/n) % parts
	}
	return all
}

// SpreadTimeout returns how long an append waits for one partition before the next one is tried.
func (r *Routed) SpreadTimeout() time.Duration {
	return max(spreadTimeout, spreadTimeoutFactor*r.RecentLatency())
}

// Spread makes the same append at one partition after the other until one succeeds. It moves on
// to the next partition at once after a refusal, and after timeout while there is no answer. It
// returns the index of the first partition that stored it. It returns a refusal only if all
// partitions refused. Any error other than a refusal or a missing answer ends the attempts.
//
// It is meant for appends that may be stored in several partitions, whose readers read all
// partitions and recognise duplicates.
func Spread[T any](ctx context.Context, wg *sync.WaitGroup, n int, timeout time.Duration, try func(i int) (T, error)) (first, tried int, got T, err error) {
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
			return 0, next, none, &UnansweredError{Op: Append, Cause: ctx.Err()}
		case <-late:
			begin()
			continue
		case r = <-results:
			inFlight--
		}
		if timer != nil {
			timer.Stop()
		}
		if !IsUnavailable(r.err) {
			return r.i, next, r.got, r.err
		}
		failed = CombineErrors(failed, r.err)
		switch {
		case next < n:
			begin()
		case inFlight == 0:
			return 0, next, none, failed
		}
	}
}
