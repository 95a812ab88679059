package sched

import (
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/quota"
)

// untrackedRun is a run that the scheduler no longer tracks but that may still be on its worker and
// take capacity. It may begin as late as latestStart.
type untrackedRun struct {
	demand      cell.Size
	quota       quota.Run
	latestStart time.Time
	// sizeUnknown means that the run's size is not known: it may fill the whole worker.
	sizeUnknown bool
}

// untrack keeps the capacity of a run booked that is no longer tracked.
func (w *worker) untrack(k runKey, demand cell.Size, q quota.Run, until time.Time) {
	l, ok := w.untracked[k]
	if !ok {
		l.demand, l.quota = demand, q
		w.used = w.used.Add(demand)
		w.usage.Add(q)
	}
	if until.After(l.latestStart) {
		l.latestStart = until
	}
	w.untracked[k] = l
}

// untrackUnknownSize is like untrack for a run of unknown size.
func (w *worker) untrackUnknownSize(k runKey, until time.Time) {
	w.untrack(k, cell.Size{}, quota.Run{}, until)
	l := w.untracked[k]
	l.sizeUnknown = true
	w.untracked[k] = l
}

// latestStart returns the latest time at which a run whose start has been sent may begin.
func (s *Sched) latestStart() time.Time { return s.now.Add(startTimeout + maxTransit) }

// firstUntrackedEnd returns the earliest time at which one of the untracked runs can no longer
// begin.
func (w *worker) firstUntrackedEnd() time.Time {
	var first time.Time
	for _, l := range w.untracked {
		if first.IsZero() || l.latestStart.Before(first) {
			first = l.latestStart
		}
	}
	return first
}

// releaseUntracked frees the capacity of untracked runs that the worker no longer lists and that
// can no longer begin.
func (w *worker) releaseUntracked(listed map[flow.Name]int, now time.Time) {
	for k, l := range w.untracked {
		if listed[k.task] == k.run || now.Before(l.latestStart) {
			continue
		}
		w.release(k, l)
	}
}

func (w *worker) release(k runKey, l untrackedRun) {
	w.used = w.used.Sub(l.demand)
	w.usage.Remove(l.quota)
	delete(w.untracked, k)
}

// dropUntracked releases all untracked runs of a worker on which nothing runs any more.
func (w *worker) dropUntracked() {
	for k, l := range w.untracked {
		w.release(k, l)
	}
}

// adoptCopy takes over a copy that a previous leader started but could not store.
func (s *Sched) adoptCopy(w *worker, l RunStatus) bool {
	j, ok := s.jobs[l.Task.Job]
	if !ok || j.State.Final() {
		return false
	}
	t := j.Task(l.Task)
	if t == nil || !t.Spec().AllowCopies || t.State != flow.Waiting || l.Run < t.Run {
		return false
	}
	t.Worker, t.Run = w.Incarnation, l.Run
	t.Transition(flow.Assign, s.now)
	t.Transition(flow.Send, s.now)
	w.add(t)
	s.confirm(t)
	s.markDirty(j)
	return true
}

// copyEnded handles the end of a copy other than the tracked one.
func (s *Sched) copyEnded(w *worker, e RunEnd) {
	j, ok := s.jobs[e.Task.Job]
	if !ok || j.State.Final() {
		return
	}
	t := j.Task(e.Task)
	if t == nil || !t.Spec().AllowCopies || t.State == flow.Done {
		return
	}
	switch e.How {
	case EndDone:
		s.copyDone(t)
	case EndFailed:
		s.copyFailed(w, t, e)
	}
}

// copyFailed counts a failed run that no record names: a previous leader started it and could not
// store that. If it were not counted, the task would be tried more often than its caller allows. A
// run that is not newer than the recorded one has been counted already.
func (s *Sched) copyFailed(w *worker, t *flow.Task, e RunEnd) {
	beside := t.MayBeRunning() && t.Worker != w.Incarnation && e.Run == t.Run
	if e.Run <= t.Run && !beside {
		return
	}
	if !t.MayBeRunning() {
		t.Run = e.Run
	}
	t.Avoid(w.Incarnation, s.now)
	s.countFailure(t)
}

// copyDone ends a task when one of its copies is done. The first one counts; the other copy is
// stopped.
func (s *Sched) copyDone(t *flow.Task) {
	if w, ok := s.workers[t.Worker]; ok && t.MayBeRunning() && t.State != flow.Assigned {
		s.emit(Stop{To: w.Address, Term: s.term, Task: t.Name, Run: t.Run})
		w.untrack(runKey{t.Name, t.Run}, t.Spec().Demand(), quotaRun(t.Job, t.Spec()), s.latestStart())
	}
	s.taskDone(t)
}

// copySilentTasks requeues tasks of a silent worker that allow copies, so that they start
// elsewhere.
func (s *Sched) copySilentTasks(w *worker) {
	for _, t := range w.sortedTasks() {
		if t.Spec().AllowCopies && !t.Spec().Gang && (t.State == flow.Running || t.State == flow.Starting) {
			w.untrack(runKey{t.Name, t.Run}, t.Spec().Demand(), quotaRun(t.Job, t.Spec()), s.latestStart())
			s.markLost(t, w)
			s.requeueTask(t, "worker is silent, a copy may run")
		}
	}
}
