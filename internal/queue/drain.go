package queue

import (
	"time"

	"pollencroft/internal/cell"
)

// drainWindow is how long sends are counted before the count updates the measured rate.
const drainWindow = 250 * time.Millisecond

// initialInterval is the assumed time between two sends until it has been measured.
const initialInterval = 20 * time.Millisecond

// maxRetryAfter bounds how long a caller is asked to wait before it retries.
const maxRetryAfter = time.Minute

// drain measures how fast a backlog is worked off.
type drain struct {
	began    time.Time
	sent     int
	measured time.Duration
}

// restart starts a new count. This also happens when a backlog begins, so that idle time does
// not count as slow progress.
func (d *drain) restart(now time.Time) { d.began, d.sent = now, 0 }

func (d *drain) countSend(now time.Time) {
	d.sent++
	took := now.Sub(d.began)
	if took < drainWindow {
		return
	}
	per := took / time.Duration(d.sent)
	if d.measured > 0 {
		per = (d.measured + per) / 2
	}
	d.measured = per
	d.restart(now)
}

// interval returns the average time between two sends, or zero if it is unknown. If the queue
// has stalled, the time since the count began is taken into account, but only after a whole
// window: multiplied by the length of a long queue, a single random gap would cause requests
// to be refused that can be served in time.
func (d *drain) interval(now time.Time) time.Duration {
	stalled := now.Sub(d.began)
	if stalled < drainWindow {
		return d.measured
	}
	return max(d.measured, stalled/time.Duration(d.sent+1))
}

// lateMargin is the factor by which the estimated time must exceed the time left before a
// request is refused because of the estimate: bulk requests are refused as soon as it exceeds
// the time left, urgent ones last.
var lateMargin = map[cell.Class]float64{cell.Urgent: 1.5, cell.Normal: 1.25, cell.Bulk: 1}

// estimateWait returns how long a request of a row is expected to wait if ahead other
// requests of the row go before it. It returns zero if nothing has been measured.
func (q *Queue) estimateWait(now time.Time, r *row, ahead int) time.Duration {
	if per := r.drain.interval(now); per > 0 && len(r.waiting.items) > 0 {
		return per * time.Duration(ahead)
	}
	c := q.classes[r.Class]
	if c.waiting == 0 {
		return 0
	}
	return c.drain.interval(now) * time.Duration(ahead+c.waiting-len(r.waiting.items))
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
