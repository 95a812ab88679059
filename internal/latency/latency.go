// Package latency records how fast workers answer, and derives how long to wait for them.
package latency

import (
	"sync"
	"time"
)

const (
	// MaxTimeout limits the wait for an answer.
	MaxTimeout = 500 * time.Millisecond
	// minTimeout is the minimum time after which an order counts as unanswered. Answers take
	// a millisecond or two. A leader that is held up for a period of 100 ms because its CPU quota
	// is used up must not suspect its workers.
	minTimeout = 120 * time.Millisecond
	// timeoutFactor is the timeout of an order as a multiple of the slowest recent answer.
	timeoutFactor = 4
	// window is how long an answer counts as recent, at most twice that.
	window = time.Second
)

// Times records how fast the workers answered recently. A lost answer is detected only by
// a timeout. With the longest timeout for each order, one lost order in twenty delayed two jobs
// in three by half a second. A worker that is slow itself gets a longer timeout; otherwise the
// runs that it starts would be stopped for nothing. It is safe for concurrent use.
type Times struct {
	mu          sync.Mutex
	windowStart time.Time
	// slowest is the slowest answer of all workers in the current window and in the previous one.
	slowest [2]time.Duration
	// slowWorkers holds the slowest answer of each worker that exceeded minTimeout, by
	// incarnation.
	slowWorkers map[string]time.Duration
}

// New returns an empty record.
func New() *Times {
	return &Times{slowWorkers: map[string]time.Duration{}}
}

// Timeout returns how long to wait for a worker's answer.
func (o *Times) Timeout(incarnation string, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	usual := max(o.slowest[0], o.slowest[1], o.slowWorkers[incarnation])
	return min(max(timeoutFactor*usual, minTimeout), MaxTimeout)
}

// Record records an answer that arrived after d.
func (o *Times) Record(incarnation string, d time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	if d > minTimeout {
		o.slowWorkers[incarnation] = max(o.slowWorkers[incarnation], d)
		return
	}
	o.slowest[0] = max(o.slowest[0], d)
}

func (o *Times) rotate(now time.Time) {
	if now.Sub(o.windowStart) < window {
		return
	}
	o.windowStart = now
	o.slowest = [2]time.Duration{0, o.slowest[0]}
}

// Call sends an order and waits for its answer, for extra plus the worker's timeout. An
// answer that arrives later is used only to record the worker's response time.
func Call[T any](o *Times, now func() time.Time, incarnation string, extra time.Duration, order func() T, answered func(T) bool, lost T) T {
	sent := now()
	got := make(chan T, 1)
	go func() {
		r := order()
		if d := now().Sub(sent) - extra; answered(r) && d > 0 {
			o.Record(incarnation, d, now())
		}
		got <- r
	}()
	t := time.NewTimer(extra + o.Timeout(incarnation, sent))
	defer t.Stop()
	select {
	case r := <-got:
		return r
	case <-t.C:
	}
	select {
	case r := <-got:
		// This host was held up itself: the answer and the timeout were both due.
		return r
	default:
		return lost
	}
}
