package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// runListed takes note of a run that is at the worker.
func (s *Sched) runListed(w *worker, l RunStatus, clock time.Time) {
	t := s.task(runKey{l.Task, l.Run})
	if t == nil || t.Worker != w.Incarnation {
		if !s.adoptCopy(w, l) {
			s.stopUntracked(w, l)
		}
		return
	}
	if t.State == flow.Starting || t.State == flow.Inherited {
		s.confirm(t)
	}
	if l.Saved != "" {
		t.Saved = l.Saved
	}
	if t.State == flow.Running && t.Job.State.Final() {
		s.stopRun(t, "job is over")
		return
	}
	s.clearProven(t)
	s.checkProgress(w, t, l, clock)
}

// stopUntracked stops a run that no record names. It can only be one that was given up
// for lapsed by a clock that was wrong; it must not work on unseen.
func (s *Sched) stopUntracked(w *worker, l RunStatus) {
	k := runKey{l.Task, l.Run}
	// A run that is listed has begun. Lists from before that may still be on their way.
	until := s.now.Add(maxTransit)
	if j, ok := s.jobs[l.Task.Job]; ok && l.Task.Step < len(j.Spec.Steps) {
		w.untrack(k, j.Spec.Steps[l.Task.Step].Room(), until)
	} else {
		w.untrackUnknownSize(k, until)
	}
	s.emit(Note{ID: l.Task.String(), What: "stray run", Worker: w.Incarnation, Run: l.Run})
	s.emit(Stop{To: w.Address, Term: s.term, Task: l.Task, Run: l.Run})
}

// runMissing judges a task that the worker does not list. Only a list that was
// asked for after the run was certain to be there, or certain never to begin,
// tells anything.
func (s *Sched) runMissing(t *flow.Task, sent time.Time) {
	switch t.State {
	case flow.Inherited:
		// Read under this term, so nothing older can begin there any more.
		s.requeueTask(t, "not at its worker")
	case flow.Running:
		if sent.After(t.Since) {
			s.requeueTask(t, "no longer at its worker")
		}
	case flow.Stopping:
		st, ok := s.stops[runKey{t.Name, t.Run}]
		if ok && !st.answeredAt.IsZero() && !sent.Before(st.answeredAt) {
			s.requeueTask(t, "stopped")
		}
	}
}

// runEnded takes note of a run's end. An end as done counts whatever became of the
// leases since: taking it for lapsed and running the task again would run it
// twice if it had not.
func (s *Sched) runEnded(w *worker, e RunEnd, clock time.Time) {
	t := s.task(runKey{e.Task, e.Run})
	if t == nil || t.Worker != w.Incarnation || !t.Out() {
		s.copyEnded(w, e)
		return
	}
	if e.Saved != "" {
		t.Saved = e.Saved
	}
	switch {
	case e.How == EndDone:
		w.health.reset()
		w.measureSpeed(t, clock)
		s.finishTask(t)
	case e.How == EndFailed && t.State != flow.Stopping:
		s.recordRunFailure(w, t)
		s.taskFailed(t)
	case e.How == EndFailed:
		s.taskFailed(t)
	default:
		s.requeueTask(t, "ended as "+e.How.String())
	}
}

// finishTask ends a task, and its gang with it: they end as done together.
func (s *Sched) finishTask(t *flow.Task) {
	if !t.Spec().Gang {
		s.taskDone(t)
		return
	}
	run := t.Run
	for _, m := range t.Step.Tasks {
		if m.Run == run && m.State != flow.Done {
			s.taskDone(m)
		}
	}
}
