package sched

import (
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// untrackedRun is the room of a run that is not followed, which may begin as late
// as until.
type untrackedRun struct {
	room        cell.Size
	latestStart time.Time
	// sizeUnknown tells that the room is not known: the worker may be full.
	sizeUnknown bool
}

// untrack goes on booking the room of a run that is not followed any more.
func (w *worker) untrack(k runKey, room cell.Size, until time.Time) {
	l, ok := w.untracked[k]
	if !ok {
		l.room = room
		w.used = w.used.Add(room)
	}
	if until.After(l.latestStart) {
		l.latestStart = until
	}
	w.untracked[k] = l
}

// untrackUnknownSize is the same for a run whose room is not known.
func (w *worker) untrackUnknownSize(k runKey, until time.Time) {
	w.untrack(k, cell.Size{}, until)
	l := w.untracked[k]
	l.sizeUnknown = true
	w.untracked[k] = l
}

// latestStart is until when a run whose start was sent may begin.
func (s *Sched) latestStart() time.Time { return s.now.Add(startTimeout + maxTransit) }

// firstUntrackedEnd is when the first of the loose runs can begin no more.
func (w *worker) firstUntrackedEnd() time.Time {
	var first time.Time
	for _, l := range w.untracked {
		if first.IsZero() || l.latestStart.Before(first) {
			first = l.latestStart
		}
	}
	return first
}

// releaseUntracked frees the room of loose runs that are listed no longer and can
// begin no longer.
func (w *worker) releaseUntracked(listed map[flow.Name]int, now time.Time) {
	for k, l := range w.untracked {
		if listed[k.task] == k.run || now.Before(l.latestStart) {
			continue
		}
		w.used = w.used.Sub(l.room)
		delete(w.untracked, k)
	}
}

// adoptCopy takes over a copy that a former lead started and could not store
// any more.
func (s *Sched) adoptCopy(w *worker, l RunStatus) bool {
	j, ok := s.jobs[l.Task.Job]
	if !ok || j.State.Final() {
		return false
	}
	t := j.Task(l.Task)
	if t == nil || !t.Spec().Copies || t.State != flow.Waiting || l.Run < t.Run {
		return false
	}
	t.Worker, t.Run = w.Incarnation, l.Run
	t.Move(flow.Assign, s.now)
	t.Move(flow.Send, s.now)
	w.add(t)
	s.confirm(t)
	s.markDirty(j)
	return true
}

// copyEnded takes the end of a copy that is not the one that is followed.
func (s *Sched) copyEnded(w *worker, e RunEnd) {
	j, ok := s.jobs[e.Task.Job]
	if !ok || j.State.Final() {
		return
	}
	t := j.Task(e.Task)
	if t == nil || !t.Spec().Copies || t.State == flow.Done {
		return
	}
	switch e.How {
	case EndDone:
		s.copyDone(t)
	case EndFailed:
		s.copyFailed(w, t, e)
	}
}

// copyFailed counts a run that failed and that no record names: a former lead started it
// and could not store that any more. Left out, its task would be tried more often than
// its caller allows. A run that is not newer than what the record says was counted with it.
func (s *Sched) copyFailed(w *worker, t *flow.Task, e RunEnd) {
	beside := t.Out() && t.Worker != w.Incarnation && e.Run == t.Run
	if e.Run <= t.Run && !beside {
		return
	}
	if !t.Out() {
		t.Run = e.Run
	}
	s.countFailure(t)
}

// copyDone ends a task of which a copy is done: the first one counts, and the other one
// is stopped.
func (s *Sched) copyDone(t *flow.Task) {
	if w, ok := s.workers[t.Worker]; ok && t.Out() && t.State != flow.Assigned {
		s.emit(Stop{To: w.Address, Term: s.term, Task: t.Name, Run: t.Run})
		w.untrack(runKey{t.Name, t.Run}, t.Spec().Room(), s.latestStart())
	}
	s.taskDone(t)
}

// copySilentTasks begins copies of what may run on a worker that does not answer.
func (s *Sched) copySilentTasks(w *worker) {
	for _, t := range w.sortedTasks() {
		if t.Spec().Copies && !t.Spec().Gang && (t.State == flow.Running || t.State == flow.Starting) {
			w.untrack(runKey{t.Name, t.Run}, t.Spec().Room(), s.latestStart())
			s.markLost(t, w)
			s.requeueTask(t, "worker is silent, a copy may run")
		}
	}
}
