package sched_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

type fakeWorker struct {
	b    *simCell
	info sched.Worker
	// A silent worker ignores all requests while its runs go on; a dead one has ended.
	silent, dead bool
	// cutOff reports whether the leader of a term does not reach the worker; nil means that all do.
	cutOff func(term int64) bool
	// slowSince is when the worker's clock began to be slow by 2%; zero if it is not.
	slowSince time.Time
	// slowdown is a factor on the duration of all runs. A stalled worker makes no progress; one
	// with fails ends every run as failed.
	slowdown   float64
	stalled    bool
	fails      bool
	startDelay time.Duration
	// stopTime is how long a run takes to stop; zero is 100 ms.
	stopTime time.Duration
	fence    int64
	deadline time.Time
	runs     map[flow.Name]*fakeRun
	ends     []sched.RunEnd
	lastEnd  int64
	// endOrder is when each end was, by the cell's count of starts and ends.
	endOrder     map[int64]int
	lapsedUpTo   int64
	tombstones   map[flow.Name]int
	waitingHolds []func()
	// replaced means that another incarnation has begun at the worker's address.
	replaced bool
	sameID
	// formerEntries are the worker's earlier entries.
	formerEntries []formerEntry
	// repliesToLose is how many replies that list an end are lost.
	repliesToLose int
}

// formerEntry is an entry that a worker had until another one was listed, by sequence number of the
// simulation's events.
type formerEntry struct {
	sched.Worker
	until int
}

// resize changes the worker's size and lists it.
func (w *fakeWorker) resize(size cell.Size) {
	w.setSize(size)
	w.b.list()
}

// setSize changes the worker's size; the change takes effect with the next list.
func (w *fakeWorker) setSize(size cell.Size) {
	w.keepFormer()
	w.info.Size = size
}

// setService changes the worker's service and labels, and lists it.
func (w *fakeWorker) setService(service string, labels ...string) {
	w.keepFormer()
	w.info.Service, w.info.Labels = service, labels
	w.b.list()
}

// keepFormer remembers the worker's entry before a change, for starts that are in transit.
func (w *fakeWorker) keepFormer() {
	w.formerEntries = append(w.formerEntries, formerEntry{w.info, w.b.seq})
}

// entriesSince lists the worker's entry and the earlier ones on which a start sent then may be based.
func (w *fakeWorker) entriesSince(sent int) []sched.Worker {
	all := []sched.Worker{w.info}
	for _, f := range w.formerEntries {
		if f.until > sent {
			all = append(all, f.Worker)
		}
	}
	return all
}

// originalSize returns the size that the worker had at first.
func (w *fakeWorker) originalSize() cell.Size {
	if len(w.formerEntries) > 0 {
		return w.formerEntries[0].Size
	}
	return w.info.Size
}

// maxSizeSince returns the largest listed amount of each resource since then: requests in transit
// may still fill a worker that has shrunk meanwhile.
func (w *fakeWorker) maxSizeSince(sent int) cell.Size {
	var most cell.Size
	for _, e := range w.entriesSince(sent) {
		most = cell.Size{CPU: max(most.CPU, e.Size.CPU), Mem: max(most.Mem, e.Size.Mem), Accel: max(most.Accel, e.Size.Accel)}
	}
	return most
}

// replyTimeout is how long the sender waits for a reply beyond its expected time.
const replyTimeout = 120 * time.Millisecond

type fakeRun struct {
	run int
	// term is that of the leader that started it.
	term  int64
	began time.Time
	ends  time.Time
	step  flow.Step
}

// maxClockDelay is how much longer a slow clock takes for the same time.
const maxClockDelay = 1 / 0.98

// clock returns the worker's time.
func (w *fakeWorker) clock() time.Time {
	if w.slowSince.IsZero() {
		return w.b.now.Add(-w.clockBehind)
	}
	return w.slowSince.Add(time.Duration(float64(w.b.now.Sub(w.slowSince)) / maxClockDelay)).Add(-w.clockBehind)
}

// untilClock returns how long it takes until the worker's clock shows a time.
func (w *fakeWorker) untilClock(at time.Time) time.Duration {
	if w.slowSince.IsZero() {
		return at.Sub(w.clock())
	}
	return time.Duration(float64(at.Sub(w.clock())) * maxClockDelay)
}

func (w *fakeWorker) used() cell.Size {
	var sum cell.Size
	for _, r := range w.runs {
		sum = sum.Add(r.step.Demand())
	}
	return sum
}

func (w *fakeWorker) spec(n flow.Name) flow.Step { return w.b.specs[n.Job].Steps[n.Step] }

func (w *fakeWorker) reply(term int64, ev sched.Event) {
	if w.hidden(term) {
		return
	}
	w.b.after(networkDelay, func() { w.b.deliver(term, ev) })
}

// hidden reports whether the leader of a term does not reach the worker.
func (w *fakeWorker) hidden(term int64) bool { return w.silent || w.cutOff != nil && w.cutOff(term) }

// unanswered reports to the sender after its timeout that there was no reply.
func (w *fakeWorker) unanswered(term int64, ev sched.Event) {
	w.b.after(500*time.Millisecond, func() { w.b.deliver(term, ev) })
}

func (w *fakeWorker) start(term int64, a sched.Start, sent int) {
	answer := func(o sched.Outcome) {
		w.reply(term, sched.StartReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: o})
	}
	if w.replaced && !w.hidden(term) {
		answer(sched.OtherIncarnation)
		return
	}
	if w.hidden(term) || w.dead {
		w.missed = w.missed || w.silent
		w.unanswered(term, sched.StartReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: sched.Unanswered})
		return
	}
	if late := w.startDelay; late > 0 {
		w.unanswered(term, sched.StartReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: sched.Unanswered})
		w.b.after(late, func() {
			if c := w.current(); !c.dead && !w.isUnpreventable(a) {
				c.begin(a, sent)
			}
		})
		return
	}
	answer(w.begin(a, sent))
}

func (w *fakeWorker) begin(a sched.Start, sent int) sched.Outcome {
	switch {
	case a.Token < w.fence:
		return sched.Fenced
	case w.clock().After(a.Deadline):
		return sched.Rejected
	case w.tombstones[a.Task] >= a.Run:
		return sched.Rejected
	}
	w.fence = a.Token
	if r, ok := w.runs[a.Task]; ok && r.run == a.Run {
		return sched.Accepted
	}
	w.b.checkStart(w, a, sent)
	w.checkStep(a.Task, sent)
	w.b.starts[a.Task]++
	w.b.order++
	w.b.lastStart[a.Task] = w.b.order
	if w.b.crashed[a.Task] >= 3 {
		w.b.lateStarts[a.Task]++
	}
	st := w.spec(a.Task)
	r := &fakeRun{run: a.Run, term: a.Token, began: w.b.now, ends: w.b.now.Add(time.Duration(float64(st.EstimatedTime) * w.slowdown)), step: st}
	w.runs[a.Task] = r
	w.b.recordMember(a.Task, a.Run)
	w.extendLease(a.Deadline)
	if used, size := w.used(), w.maxSizeSince(sent); !used.Fits(size) {
		w.b.violation("%s is overfilled: %+v used of %+v", w.info.Incarnation, used, size)
	}
	w.b.checkQuota(a.Task, sent)
	w.lapseLater()
	if w.b.crashesWorker != nil && w.b.crashesWorker(a.Task) {
		w.b.after(crashDelay, func() { w.crashUnder(a.Task, r) })
	}
	if !st.LongRunning && !w.stalled {
		w.b.after(r.ends.Sub(w.b.now), func() { w.finish(a.Task, r) })
	}
	return sched.Accepted
}

// checkStep records a violation if a start exceeds the limit of its step on one worker, whether the
// other runs are being stopped or not, or if no entry of the worker since it was sent suits the step.
func (w *fakeWorker) checkStep(n flow.Name, sent int) {
	st := w.spec(n)
	if runs := w.runsOfStep(n) + 1; st.MaxPerWorker > 0 && runs > st.MaxPerWorker {
		w.b.violation("%s starts on %s, which then has %d runs of the step and may have %d", n, w.info.Incarnation, runs, st.MaxPerWorker)
	}
	service := w.b.serviceOf(n)
	suits := func(e sched.Worker) bool {
		return e.Service == service && (st.Label == "" || slices.Contains(e.Labels, st.Label))
	}
	if !slices.ContainsFunc(w.entriesSince(sent), suits) {
		w.b.violation("%s needs service %q and label %q and starts on %s: %+v", n, service, st.Label, w.info.Incarnation, w.info)
	}
}

// runsOfStep returns how many runs of a task's step are on the worker.
func (w *fakeWorker) runsOfStep(n flow.Name) int {
	runs := 0
	for m := range w.runs {
		if m.StepName() == n.StepName() {
			runs++
		}
	}
	return runs
}

// serviceOf returns the service of the queue of a task's job.
func (b *simCell) serviceOf(n flow.Name) string {
	q := b.specs[n.Job].Queue
	if i := slices.IndexFunc(b.queues, func(row flow.Queue) bool { return row.Name == q.Name }); i >= 0 {
		q = b.queues[i]
	}
	return q.Service
}

// checkStart records a violation if a start must not happen.
func (b *simCell) checkStart(w *fakeWorker, a sched.Start, sent int) {
	if seq, ok := b.cancelledAt[a.Task.Job]; ok && sent >= seq {
		b.violation("%s starts after the cancellation of its job", a.Task)
	}
	if seq, ok := b.doneSeq[a.Task]; ok && sent >= seq {
		b.violation("%s is started over a second after its end as done was acknowledged", a.Task)
	}
	if b.copies && w.spec(a.Task).AllowCopies {
		return
	}
	if b.done[a.Task] {
		b.violation("%s starts after its end as done was acknowledged", a.Task)
	}
	for _, o := range b.workers {
		if r, ok := o.runs[a.Task]; ok && !o.dead && o != w {
			b.violation("%s starts as run %d on %s while run %d is on %s", a.Task, a.Run, w.info.Incarnation, r.run, o.info.Incarnation)
		}
	}
}

func (w *fakeWorker) finish(n flow.Name, r *fakeRun) {
	if w.runs[n] != r || w.stalled || w.dead || w.b.now.Before(r.ends) {
		return
	}
	how := sched.EndDone
	if w.fails {
		how = sched.EndFailed
	}
	if !r.step.Gang {
		w.end(n, r, how)
		return
	}
	w.b.finishGang(n, r, how)
}

// gangRun is a run of a gang: the name of its step and the number of the run.
type gangRun struct {
	step string
	run  int
}

// recordMember records that a member of a gang's run has begun.
func (b *simCell) recordMember(n flow.Name, run int) {
	k := gangRun{n.StepName(), run}
	if b.gangs[k] == nil {
		b.gangs[k] = map[int]bool{}
	}
	b.gangs[k][n.Index] = true
}

// finishGang ends all members of a gang's run together, once the slowest is done. They end alone if
// not all of them have begun.
func (b *simCell) finishGang(n flow.Name, r *fakeRun, how sched.Ending) {
	type member struct {
		w *fakeWorker
		n flow.Name
		r *fakeRun
	}
	var all []member
	for _, w := range b.sortedWorkers() {
		for m, o := range w.runs {
			if m.StepName() != n.StepName() || o.run != r.run || w.dead {
				continue
			}
			if o.ends.After(b.now) || w.stalled {
				b.after(100*time.Millisecond, func() { w.finish(m, o) })
				return
			}
			all = append(all, member{w, m, o})
		}
	}
	slices.SortFunc(all, func(x, y member) int { return x.n.Index - y.n.Index })
	if len(b.gangs[gangRun{n.StepName(), r.run}]) < r.step.Tasks {
		how = sched.EndAlone
	}
	for _, m := range all {
		m.w.end(m.n, m.r, how)
	}
}

func (w *fakeWorker) end(n flow.Name, r *fakeRun, how sched.Ending) {
	delete(w.runs, n)
	w.tombstones[n] = max(w.tombstones[n], r.run)
	w.lastEnd++
	w.b.order++
	w.endOrder[w.lastEnd] = w.b.order
	w.ends = append(w.ends, sched.RunEnd{Number: w.lastEnd, Task: n, Run: r.run, How: how})
	w.answerHolds()
}

func (w *fakeWorker) answerHolds() {
	all := w.waitingHolds
	w.waitingHolds = nil
	for _, f := range all {
		f()
	}
}

// lapseLater ends all runs once the lease has expired.
func (w *fakeWorker) lapseLater() {
	at := w.deadline
	w.b.after(w.untilClock(at)+time.Millisecond, func() {
		if w.deadline != at || w.dead {
			return
		}
		// Ends that were not acknowledged before a lapse never count as acknowledged.
		w.lapsedUpTo = w.lastEnd
		for _, n := range slices.SortedFunc(maps.Keys(w.runs), func(x, y flow.Name) int { return x.Index - y.Index }) {
			w.end(n, w.runs[n], sched.EndLapsed)
		}
	})
}

func (w *fakeWorker) stop(term int64, a sched.Stop) {
	if w.replaced && !w.hidden(term) {
		w.reply(term, sched.StopReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: sched.OtherIncarnation})
		return
	}
	if w.hidden(term) || w.dead {
		w.missed = w.missed || w.silent
		w.unanswered(term, sched.StopReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: sched.Unanswered})
		return
	}
	out := sched.Accepted
	if a.Token < w.fence {
		out = sched.Fenced
	} else {
		w.fence = a.Token
		w.tombstones[a.Task] = max(w.tombstones[a.Task], a.Run)
		if r, ok := w.runs[a.Task]; ok && r.run == a.Run {
			w.b.after(cmp.Or(w.stopTime, 100*time.Millisecond), func() {
				if w.runs[a.Task] == r {
					w.end(a.Task, r, sched.EndStopped)
				}
			})
		}
	}
	w.reply(term, sched.StopReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: out})
}
