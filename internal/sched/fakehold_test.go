package sched_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

func (w *fakeWorker) hold(term int64, a sched.Hold, sent time.Time) {
	ev := sched.HoldReply{Worker: a.To.Incarnation, Probe: a.Probe, AckedEnd: a.AckedEnd, Sent: sent}
	if !w.rejectHold(term, a, ev) && !w.delayHold(term, a, ev) {
		w.serveHold(term, a, ev, sent)
	}
}

// serveHold carries out a hold.
func (w *fakeWorker) serveHold(term int64, a sched.Hold, ev sched.HoldReply, sent time.Time) {
	w.fence = a.Token
	w.reached = w.reached || a.To.Incarnation == w.info.Incarnation
	for len(w.ends) > 0 && w.ends[0].Number <= a.AckedEnd {
		if w.ends[0].How == sched.EndDone && w.ends[0].Number > w.lapsedUpTo {
			w.b.acknowledge(w, w.ends[0])
		}
		w.ends = w.ends[1:]
	}
	if w.extendLease(a.Deadline) {
		w.lapseLater()
	}
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		if w.dead {
			ev.Outcome = sched.Unanswered
			w.unanswered(term, ev)
			return
		}
		if w.repliesToLose > 0 && len(w.ends) > 0 {
			w.repliesToLose--
			ev.Outcome = sched.Unanswered
			w.b.after(max(sent.Add(a.Wait+replyTimeout).Sub(w.b.now), networkDelay), func() { w.b.deliver(term, ev) })
			return
		}
		if a.To.Incarnation != w.info.Incarnation {
			ev.Outcome, ev.AnsweredBy = sched.OtherIncarnation, w.info.Incarnation
			w.reply(term, ev)
			return
		}
		w.list(term, ev)
	}
	if a.Wait == 0 || len(w.ends) > 0 {
		answer()
		return
	}
	w.waitingHolds = append(w.waitingHolds, answer)
	w.b.after(a.Wait, answer)
}

// acknowledge records that an end as done was acknowledged, and a violation if the task was started
// after it.
func (b *simCell) acknowledge(w *fakeWorker, e sched.RunEnd) {
	if !b.done[e.Task] {
		b.after(time.Second, func() { b.doneSeq[e.Task] = b.seq })
	}
	b.done[e.Task] = true
	mayRepeat := b.copies && w.spec(e.Task).AllowCopies
	if b.lastStart[e.Task] > w.endOrder[e.Number] && !mayRepeat {
		b.violation("%s started after run %d had ended as done on %s, which is acknowledged now", e.Task, e.Run, w.info.Incarnation)
	}
}

// rejectHold reports whether a hold is not carried out, and answers it in that case.
func (w *fakeWorker) rejectHold(term int64, a sched.Hold, ev sched.HoldReply) bool {
	switch {
	case w.hidden(term) || w.dead && !w.replaced:
		w.missed = w.missed || w.silent
		ev.Outcome = sched.Unanswered
		w.unanswered(term, ev)
		return true
	case w.replaced:
		ev.Outcome = sched.OtherIncarnation
	case a.Token < w.fence:
		ev.Outcome = sched.Fenced
	default:
		return false
	}
	w.reply(term, ev)
	return true
}

func (w *fakeWorker) list(term int64, ev sched.HoldReply) {
	if w.hidden(term) {
		ev.Outcome = sched.Unanswered
		w.unanswered(term, ev)
		return
	}
	ev.Clock = w.clock()
	for _, n := range slices.SortedFunc(maps.Keys(w.runs), func(x, y flow.Name) int { return strings.Compare(x.String(), y.String()) }) {
		r := w.runs[n]
		l := sched.RunStatus{Task: n, Run: r.run, Percent: 100}
		if !r.step.LongRunning && r.step.EstimatedTime > 0 && !w.stalled {
			l.Percent = int(100 * w.b.now.Sub(r.began) / r.ends.Sub(r.began))
		}
		if w.stalled {
			l.Percent = 7
		}
		ev.Running = append(ev.Running, l)
	}
	ev.Ended = slices.Clone(w.ends)
	if n := w.b.endsPerReply; n > 0 && len(ev.Ended) >= n {
		ev.Ended, ev.MoreEnds = ev.Ended[:n], true
	}
	ev.Received = w.b.now.Add(networkDelay)
	w.reply(term, ev)
}
