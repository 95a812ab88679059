package queue

import (
	"time"

	"pollencroft/internal/cell"
)

// drainWindow is how long sends are counted before they change the measure.
const drainWindow = 250 * time.Millisecond

// initialInterval stands for the time between two sends until it was measured.
const initialInterval = 20 * time.Millisecond

// maxRetryAfter bounds what a caller is told to wait.
const maxRetryAfter = time.Minute

// drain measures how fast a backlog goes down.
type drain struct {
	began    time.Time
	sent     int
	measured time.Duration
}

// restart starts a count when a backlog begins; idle time must not count as slow.
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

// interval is the time between two sends, zero if it is not known. A queue that
// has stopped shows the time since its last send, but only after a window: one
// chance gap, taken times a long queue, would refuse what is in good time.
func (d *drain) interval(now time.Time) time.Duration {
	stalled := now.Sub(d.began)
	if stalled < drainWindow {
		return d.measured
	}
	return max(d.measured, stalled/time.Duration(d.sent+1))
}

// lateMargin is how far the estimate must be beyond the time left before a
// request is refused on its word: bulk at once, urgent last.
var lateMargin = map[cell.Class]float64{cell.Urgent: 1.5, cell.Normal: 1.25, cell.Bulk: 1}

// estimateWait is how long a request of a row waits behind ahead others of it;
// zero if nothing was measured.
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

// wouldMissDeadline tells that a request with ahead others before it cannot be
// answered in time at the measured rate.
func (q *Queue) wouldMissDeadline(now time.Time, r *row, ahead int, deadline time.Time) bool {
	wait := q.estimateWait(now, r, ahead)
	return wait > 0 && float64(wait+r.meanTime) > lateMargin[r.Class]*float64(deadline.Sub(now))
}

// retryAfter is when a refused caller has a chance: when what waits now has been
// sent at the measured rate.
func (q *Queue) retryAfter(now time.Time, r *row) time.Duration {
	n := len(r.waiting.items) + 1
	wait := q.estimateWait(now, r, n)
	if wait == 0 {
		wait = initialInterval * time.Duration(n)
	}
	return min(wait, maxRetryAfter)
}
