package users

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// lateMin and lateMax bound how late an order is carried out that is held up.
	lateMin = 2 * time.Second
	lateMax = 12 * time.Second
	// noticeRestart is how long a leader that reaches a worker may take to notice that it restarted,
	// and maxSilence how long it may be silent towards all workers and still count as at work.
	noticeRestart = 1200 * time.Millisecond
	maxSilence    = 500 * time.Millisecond
	// unansweredMax limits how long the connection of an order without an answer stays open.
	unansweredMax = 3 * time.Second
)

// arrival says how a start reached its worker.
type arrival int

const (
	inTime arrival = iota
	// late starts were held up.
	late
	// unpreventable starts were held up until an incarnation received them that began after they were
	// sent and that no leader had yet been able to call. Nothing in an order tells incarnations
	// with the same ID apart but the fencing tokens of the orders before it.
	unpreventable
)

// holdUps says which orders to a worker are held up on their way.
type holdUps struct {
	percent int
	until   time.Time
	r       *rand.Rand
}

// Late counts the orders that were held up on their way to workers.
type Late struct {
	// HeldUp is the number of all, Restarted that of those that an incarnation received which began
	// after they were sent, Starts that of the runs that began by the latter, Unpreventable that of
	// those among them that no leader could prevent.
	HeldUp, Restarted, Starts, Unpreventable int
}

// Late returns the numbers of orders that were held up so far.
func (o *InvariantChecker) Late() Late {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.late
}

// Excused returns a line for each start that no leader could prevent.
func (o *InvariantChecker) Excused() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.excused)
}

func (o *InvariantChecker) addExcused(line string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.excused = append(o.excused, line)
}

func (o *InvariantChecker) addLate(n Late) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.late.HeldUp += n.HeldUp
	o.late.Restarted += n.Restarted
	o.late.Starts += n.Starts
}

// leaderSeen notes that an order reached a worker in time.
func (o *InvariantChecker) leaderSeen() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if now.Sub(o.lastCall) > maxSilence {
		o.callsSince = now
	}
	o.lastCall = now
}

// couldCall reports whether a leader has been at work for long enough, since a worker was reachable
// again, to have noticed that the worker restarted.
func (o *InvariantChecker) couldCall(reachable time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now, since := o.now(), o.callsSince
	if reachable.After(since) {
		since = reachable
	}
	return now.Sub(o.lastCall) <= maxSilence && now.Sub(since) > noticeRestart
}

// describeCalls returns since when a leader could have called a worker, for the history.
func (o *InvariantChecker) describeCalls(reachable time.Time) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ago := func(at time.Time) time.Duration { return o.now().Sub(at).Round(time.Millisecond) }
	return fmt.Sprintf("reachable since %s, leader at work since %s, last call %s ago", ago(reachable), ago(o.callsSince), ago(o.lastCall))
}

// Cut notes that the worker cannot be reached for the time d.
func (w *Worker) Cut(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable(d)
}

// unreachable does the same. The caller holds mu.
func (w *Worker) unreachable(d time.Duration) {
	if until := time.Now().Add(d); until.After(w.reachable) {
		w.reachable = until
	}
}

// arrived returns how the start that is being carried out arrived. The caller holds mu.
func (w *Worker) arrived() arrival {
	switch {
	case !w.late:
		return inTime
	case w.restarted && !w.contacted && !w.checker.couldCall(w.reachable):
		return unpreventable
	default:
		return late
	}
}

// HoldUpOrders lets a share of the orders of the next d get no answer. They are carried out seconds
// later, by the incarnation that has the worker's ID by then. The caller does not use r any more.
func (w *Worker) HoldUpOrders(percent int, d time.Duration, r *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heldUp = holdUps{percent, time.Now().Add(d), r}
}

// holdUp decides whether an order is held up, and carries it out later if it is. The caller holds mu.
func (w *Worker) holdUp(o order, f func(o order) (int, string)) bool {
	if !time.Now().Before(w.heldUp.until) || w.heldUp.r.IntN(100) >= w.heldUp.percent {
		return false
	}
	w.unreachable(0)
	incarnation := w.incarnation
	if o.Task != "" {
		w.checker.note(o.Task, "order for run %d, token %d, is held up on its way to %s", o.Run, o.FencingToken, w.ID)
	}
	time.AfterFunc(lateMin+time.Duration(w.heldUp.r.Int64N(int64(lateMax-lateMin))), func() { w.carryOutLate(o, f, incarnation) })
	return true
}

// obey notes that the worker obeys an order with the given fencing token. The caller holds mu.
func (w *Worker) obey(token int64) {
	w.fence = token
	if !w.late {
		w.contacted = true
		w.checker.leaderSeen()
	}
}

// describeLateness returns how the order that is being carried out was held up, for the history.
func (w *Worker) describeLateness() string {
	switch {
	case !w.late:
		return ""
	case !w.restarted:
		return ", held up"
	default:
		return fmt.Sprintf(", held up until %s after a restart, called since: %t, %s", time.Since(w.began).Round(time.Millisecond), w.contacted, w.checker.describeCalls(w.reachable))
	}
}

// carryOutLate carries out an order that was sent to the given incarnation and held up.
func (w *Worker) carryOutLate(o order, f func(o order) (int, string), incarnation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	n, running := Late{HeldUp: 1}, len(w.runs)
	w.late, w.restarted = true, w.incarnation != incarnation
	f(o)
	w.late = false
	if w.restarted {
		n.Restarted, n.Starts = 1, max(len(w.runs)-running, 0)
	}
	w.checker.addLate(n)
}

// leaveUnanswered ends a request without an answer, at the latest when the sender gives up.
func leaveUnanswered(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(unansweredMax):
	}
	panic(http.ErrAbortHandler)
}
