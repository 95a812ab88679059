package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// untrackedRun is a run that the scheduler no longer tracks but that may still be on its worker, or
// begin there.
type untrackedRun struct {
	footprint
	// provenFrom is when the worker listed the run or answered a stop of it: lists that were requested
	// from then on show whether it is there. Zero means that it may still begin.
	provenFrom time.Time
	// latestStart and the worker's time deadline are when the run can't begin any more, if its start
	// has been sent. Deadlines are set by the clock as it was read last, which may be long ago.
	latestStart, deadline time.Time
	// stopping means that a stop has no answer yet.
	stopping bool
	// sizeUnknown means that the run's size is not known: it may fill the whole worker.
	sizeUnknown bool
}

// mayBegin reports whether the run may still begin, or may have begun, after a list without it that
// was requested at the time sent and made at the worker's time clock.
func (l untrackedRun) mayBegin(now, sent, clock time.Time) bool {
	if !l.provenFrom.IsZero() && !sent.Before(l.provenFrom) {
		return false
	}
	return l.latestStart.IsZero() || now.Before(l.latestStart) || clock.Before(l.deadline)
}

// untrack keeps counting what a run takes that is no longer tracked. update sets what is known about
// it now.
func (s *Sched) untrack(w *worker, k runKey, f footprint, why string, update func(*untrackedRun)) {
	l, ok := w.untracked[k]
	if !ok {
		l.footprint = f
		s.emit(Note{ID: k.task.String(), What: "run untracked", Worker: w.Incarnation, Run: k.run, Detail: why})
		if w.book(f) {
			s.noteExceeded(w, k.task)
		}
	}
	update(&l)
	w.untracked[k] = l
	s.recordUntracked(w, k)
}

// untrackStart untracks a run whose start has been sent and may still arrive.
func (s *Sched) untrackStart(w *worker, k runKey, f footprint, why string) {
	s.untrack(w, k, f, why, func(l *untrackedRun) {
		l.latestStart, l.deadline = latest(s.latestStart(), w.strayUntil), w.startDeadline
	})
}

// untrackListed untracks a run that the worker lists. If its size is not known, it may fill the whole
// worker.
func (s *Sched) untrackListed(w *worker, k runKey, f footprint, sizeKnown bool) {
	s.untrack(w, k, f, "listed", func(l *untrackedRun) {
		l.provenFrom, l.sizeUnknown = s.now, l.sizeUnknown || !sizeKnown
	})
}

func (w *worker) isUntracked(k runKey) bool {
	_, ok := w.untracked[k]
	return ok
}

// noteExceeded reports that more runs of a task's step may be on a worker than the step allows.
func (s *Sched) noteExceeded(w *worker, n flow.Name) {
	s.emit(LimitExceeded{Worker: w.Incarnation, Task: n, Runs: w.describeRunsOf(stepOf(n)), Limit: s.jobs[n.Job].Spec.Steps[n.Step].MaxPerWorker})
}

// latestStart returns the latest time at which a run whose start has been sent may begin.
func (s *Sched) latestStart() time.Time { return s.now.Add(startTimeout + maxTransit) }

// firstUntrackedEnd returns the earliest time at which an untracked run can no longer begin, or zero
// if none may.
func (w *worker) firstUntrackedEnd() time.Time {
	var first time.Time
	for _, l := range w.untracked {
		if !l.latestStart.IsZero() {
			first = earliest(first, l.latestStart)
		}
	}
	return first
}

// releaseUntracked releases untracked runs that certainly are not on the worker and can't begin there,
// and stops those that the worker does not list but that may still begin. Until their deadlines it
// could not be used for what they would take.
func (s *Sched) releaseUntracked(w *worker, listed map[runKey]bool, sent, clock time.Time) {
	for _, k := range sortedRuns(w.untracked) {
		switch l := w.untracked[k]; {
		case listed[k]:
		case !l.mayBegin(s.now, sent, clock):
			s.dropUntracked(w, k, "not listed")
		case l.provenFrom.IsZero() && !l.stopping:
			l.stopping = true
			w.untracked[k] = l
			s.emit(Stop{To: w.Address, Token: s.tokenFor(w), Task: k.task, Run: k.run})
		}
	}
}

// untrackedStopReplied notes the answer to the stop of an untracked run. Without one, the run is
// stopped again when the worker lists its runs next.
func (s *Sched) untrackedStopReplied(w *worker, k runKey, o Outcome) {
	l, ok := w.untracked[k]
	if !ok || !l.stopping {
		return
	}
	l.stopping = false
	if o == Accepted {
		l.provenFrom = s.now
		s.probe(w)
	}
	w.untracked[k] = l
}

// dropUntracked releases an untracked run that certainly is not on the worker any more.
func (s *Sched) dropUntracked(w *worker, k runKey, why string) {
	w.release(w.untracked[k].footprint)
	delete(w.untracked, k)
	s.unrecordUntracked(w, k)
	s.emit(Note{ID: k.task.String(), What: "untracked run over", Worker: w.Incarnation, Run: k.run, Detail: why})
}

// dropAllUntracked releases all untracked runs of a worker on which nothing runs any more.
func (s *Sched) dropAllUntracked(w *worker, why string) {
	for _, k := range sortedRuns(w.untracked) {
		s.dropUntracked(w, k, why)
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
	if k := (runKey{l.Task, l.Run}); w.isUntracked(k) {
		s.dropUntracked(w, k, "tracked again")
	}
	t.Worker, t.Run = w.Incarnation, l.Run
	t.Transition(flow.Assign, s.now)
	t.Transition(flow.Send, s.now)
	s.track(w, t)
	w.adoptPace(t)
	s.confirm(t)
	t.MeasuredFrom = time.Time{}
	s.markDirty(j)
	return true
}

// copyEnded handles the end of a run other than the tracked one. A run that is done counts, also if its
// leases had lapsed and the task waits again or has a newer run.
func (s *Sched) copyEnded(w *worker, e RunEnd) {
	j, ok := s.jobs[e.Task.Job]
	if !ok || j.State.Final() {
		return
	}
	t := j.Task(e.Task)
	if t == nil || t.State == flow.Done {
		return
	}
	switch st := t.Spec(); {
	case e.How == EndDone && !st.LongRunning:
		s.finishCopies(t)
	case e.How == EndFailed && st.AllowCopies:
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

// finishCopies ends a task when one of its copies is done, and with it all members of a gang.
func (s *Sched) finishCopies(t *flow.Task) {
	if !t.Spec().Gang {
		s.copyDone(t)
		return
	}
	for _, m := range t.Step.Tasks {
		if m.State != flow.Done {
			s.copyDone(m)
		}
	}
}

// copyDone ends a task when one of its copies is done. The first one counts; the other copy is
// stopped.
func (s *Sched) copyDone(t *flow.Task) {
	w, ok := s.workers[t.Worker]
	stop := ok && t.MayBeRunning() && t.State != flow.Assigned
	k, f := runKey{t.Name, t.Run}, footprintOf(t.Job, t.Name)
	s.taskDone(t)
	if stop {
		s.emit(Stop{To: w.Address, Token: s.tokenFor(w), Task: k.task, Run: k.run})
		s.untrackStart(w, k, f, "another copy is done")
	}
}

// mayCopy reports whether a copy of a task may start while its worker is silent. That a run is being
// stopped is no reason against it: most of these had a start without an answer.
func mayCopy(t *flow.Task) bool {
	if !t.Spec().AllowCopies || t.Spec().Gang || t.Job.State.Final() {
		return false
	}
	return t.State == flow.Starting || t.State == flow.Running || t.State == flow.Stopping
}

// copySilentTasks requeues tasks of a silent worker that allow copies, so that they start
// elsewhere.
func (s *Sched) copySilentTasks(w *worker) {
	const why = "worker is silent, a copy may run"
	for _, t := range w.sortedTasks() {
		if mayCopy(t) {
			k, f := runKey{t.Name, t.Run}, footprintOf(t.Job, t.Name)
			s.markLost(t, w)
			s.requeueTask(t, why)
			s.untrackStart(w, k, f, why)
		}
	}
}
