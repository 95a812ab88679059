package queue

import (
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/drain"
)

// drainWindow is how long sends are counted before the count updates the measured rate.
const drainWindow = 250 * time.Millisecond

// initialInterval is the assumed time between two sends until it has been measured.
const initialInterval = 20 * time.Millisecond

// maxRetryAfter bounds how long a caller is asked to wait before it retries.
const maxRetryAfter = time.Minute

func newDrain() drain.Meter { return drain.Meter{Window: drainWindow} }

// lateMargin is the factor by which the estimated time must exceed the time left before a
// request is refused because of the estimate: bulk requests are refused as soon as it exceeds
// the time left, urgent ones last.
var lateMargin = map[cell.Class]float64{cell.Urgent: 1.5, cell.Normal: 1.25, cell.Bulk: 1}

// estimateWait returns how long a request of a row is expected to wait if ahead other
// requests of the row go before it. It returns zero if nothing has been measured.
func (q *Queue) estimateWait(now time.Time, r *row, ahead int) time.Duration {
	if per := r.drain.Interval(now); per > 0 && len(r.waiting.items) > 0 {
		return per * time.Duration(ahead)
	}
	c := q.classes[r.Class]
	if c.waiting == 0 {
		return 0
	}
	return c.drain.Interval(now) * time.Duration(ahead+c.waiting-len(r.waiting.items))
}

// wouldMissDeadline reports whether a request with ahead other requests before it cannot be
// answered in time at the measured rate.
func (q *Queue) wouldMissDeadline(now time.Time, r *row, ahead int, deadline time.Time) bool {
	wait := q.estimateWait(now, r, ahead)
	return wait > 0 && float64(wait+r.meanTime) > lateMargin[r.Class]*float64(deadline.Sub(now))
}

// retryAfter returns after which time a refused caller should retry: when all requests that
// wait now have been sent, at the measured rate.
func (q *Queue) retryAfter(now time.Time, r *row) time.Duration {
	n := len(r.waiting.items) + 1
	wait := q.estimateWait(now, r, n)
	if wait == 0 {
		wait = initialInterval * time.Duration(n)
	}
	return min(wait, maxRetryAfter)
}
