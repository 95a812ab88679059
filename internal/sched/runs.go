package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// runListed handles a run that the worker lists as running.
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
	if l.Checkpoint != "" {
		t.Checkpoint = l.Checkpoint
	}
	if t.State == flow.Running && t.Job.State.Final() {
		s.stopRun(t, "job is over")
		return
	}
	s.clearProven(t)
	s.checkProgress(w, t, l, clock)
}

// stopUntracked stops a run that no record names: a copy was started elsewhere, a former leader could
// not store it, or it was given up as lapsed because of a wrong clock. It must not continue unnoticed.
func (s *Sched) stopUntracked(w *worker, l RunStatus) {
	k := runKey{l.Task, l.Run}
	if j, ok := s.jobs[l.Task.Job]; ok && l.Task.Step < len(j.Spec.Steps) {
		s.untrackListed(w, k, footprintOf(j, l.Task), true)
	} else {
		s.untrackListed(w, k, footprint{step: stepOf(l.Task)}, false)
	}
	s.emit(Stop{To: w.Address, Token: s.tokenFor(w), Task: l.Task, Run: l.Run})
}

// runMissing handles a task that the worker lists neither as running nor as ended, in a reply with all
// of its ends. A list counts only if it was requested after the run was certain to be on the worker, or
// certain never to begin.
func (s *Sched) runMissing(t *flow.Task, sent time.Time) {
	switch t.State {
	case flow.Inherited:
		// The list was read under this term, so no older run can begin there any more.
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

// runEnded handles the end of a run. An end as done counts even if the run was taken for lapsed
// meanwhile: if that was wrong, starting the task again would run it twice.
func (s *Sched) runEnded(w *worker, e RunEnd, clock time.Time) {
	t := s.task(runKey{e.Task, e.Run})
	if t == nil || t.Worker != w.Incarnation || !t.MayBeRunning() {
		s.copyEnded(w, e)
		return
	}
	s.nextBatch.ends = append(s.nextBatch.ends, WorkerEnd{w.Incarnation, e})
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	switch {
	case e.How == EndDone:
		w.health.Succeed()
		w.measureSpeed(t, clock)
		s.recordSpeed(t, w)
		s.recordRunTime(w, t)
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

// UnstoredEnds returns the ends that are not known to be stored. If their workers have left, the next
// leader can learn of them only from this one.
func (s *Sched) UnstoredEnds() []WorkerEnd {
	var all []WorkerEnd
	for _, b := range s.inFlight {
		all = append(all, b.ends...)
	}
	return append(all, s.nextBatch.ends...)
}

// applyPreviousEnds handles ends that a previous leader has read. A worker begins a run only once, so
// a run that has ended stays ended, whoever has read it, and however late that is reported.
func (s *Sched) applyPreviousEnds(ev PreviousEnds) {
	for _, e := range ev.All {
		k := runKey{e.Task, e.Run}
		if w, ok := s.workers[e.Worker]; ok && w.isUntracked(k) {
			s.dropUntracked(w, k, "ended as "+e.How.String())
		}
		t := s.task(k)
		if t == nil {
			// The task has a newer run, or its job is gone.
			continue
		}
		there := t.MayBeRunning() && (t.Worker == e.Worker || s.carriedFrom(t) == e.Worker)
		if there {
			s.emit(Note{ID: e.Task.String(), What: "end read by the previous leader", Worker: e.Worker, Run: e.Run, Detail: e.How.String()})
			if e.Checkpoint != "" {
				t.Checkpoint = e.Checkpoint
			}
		}
		switch {
		case e.How == EndDone && (there || t.State == flow.Waiting):
			// A waiting task was taken for lapsed although its run was done.
			s.finishTask(t)
		case !there:
		case e.How == EndFailed:
			s.taskFailed(t)
		default:
			s.requeueTask(t, "ended as "+e.How.String())
		}
	}
}

// finishTask ends a task as done. The members of a gang end as done together; members whose run is
// not known, or is another one, too.
func (s *Sched) finishTask(t *flow.Task) {
	if !t.Spec().Gang {
		s.taskDone(t)
		return
	}
	run := t.Run
	for _, m := range t.Step.Tasks {
		switch {
		case m.State == flow.Done:
		case m.Run == run:
			s.taskDone(m)
		default:
			s.copyDone(m)
		}
	}
}
