package entry

import (
	"sync"
	"time"
)

const (
	// maxOrderTimeout bounds an order to a worker.
	maxOrderTimeout = 500 * time.Millisecond
	// minOrderTimeout is how long an order goes without an answer at least before it
	// counts as unanswered. Answers take a millisecond or two; a lead that its
	// processor's share holds up for a period of 100 ms must not doubt its workers.
	minOrderTimeout = 120 * time.Millisecond
	// orderTimeoutFactor is how many times the slowest answer of late an order may take.
	orderTimeoutFactor = 4
	// responseTimeWindow is how long an answer counts as late, twice at most.
	responseTimeWindow = time.Second
)

// responseTimes knows how fast workers answered lately. An order whose answer is lost is
// found out by waiting; with the longest wait for each, one order in twenty lost
// made two jobs in three late by half a second. A worker that is slow itself gets
// more time: what it begins would be stopped for nothing.
type responseTimes struct {
	mu          sync.Mutex
	windowStart time.Time
	// slowest is the slowest answer of all workers in this span and the one before.
	slowest [2]time.Duration
	// slowWorkers are the slowest answers of those that exceeded their time, by life.
	slowWorkers map[string]time.Duration
}

func newOrders() *responseTimes { return &responseTimes{slowWorkers: map[string]time.Duration{}} }

// timeout is how long to wait for a worker's answer.
func (o *responseTimes) timeout(incarnation string, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	usual := max(o.slowest[0], o.slowest[1], o.slowWorkers[incarnation])
	return min(max(orderTimeoutFactor*usual, minOrderTimeout), maxOrderTimeout)
}

// record notes an answer that came after d.
func (o *responseTimes) record(incarnation string, d time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	if d > minOrderTimeout {
		o.slowWorkers[incarnation] = max(o.slowWorkers[incarnation], d)
		return
	}
	o.slowest[0] = max(o.slowest[0], d)
}

func (o *responseTimes) rotate(now time.Time) {
	if now.Sub(o.windowStart) < responseTimeWindow {
		return
	}
	o.windowStart = now
	o.slowest = [2]time.Duration{0, o.slowest[0]}
}

// callWorker makes an order and waits for its answer for extra and the usual time. An
// answer that comes later only tells how slow the worker is.
func callWorker[T any](o *responseTimes, now func() time.Time, incarnation string, extra time.Duration, order func() T, answered func(T) bool, lost T) T {
	sent := now()
	got := make(chan T, 1)
	go func() {
		r := order()
		if d := now().Sub(sent) - extra; answered(r) && d > 0 {
			o.record(incarnation, d, now())
		}
		got <- r
	}()
	t := time.NewTimer(extra + o.timeout(incarnation, sent))
	defer t.Stop()
	select {
	case r := <-got:
		return r
	case <-t.C:
	}
	select {
	case r := <-got:
		// The host was held up itself; both were due.
		return r
	default:
		return lost
	}
}
