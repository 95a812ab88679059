package sched

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollencroft/internal/flow"
)

const (
	// maxCrashes is how many worker incarnations may end while running a task before its job fails.
	maxCrashes = 3
	// provenAfter is how long a long-running task must run until crashes under its earlier runs no
	// longer count: over months every one of its hosts is replaced. From then on it doesn't count as
	// a trial of its worker either.
	provenAfter = 10 * time.Second
	// crashesWithin is how soon after its start a task that crashes its workers does so.
	crashesWithin = 2 * time.Second
	// unlistedHoldInterval is how often an incarnation is polled that is not listed and on which
	// runs were lost.
	unlistedHoldInterval = time.Second
)

// lostRun is a run that was lost on a worker that stopped answering. Whether the incarnation ended
// is known once it answers again, or another incarnation answers in its place.
type lostRun struct {
	task *flow.Task
	run  int
	at   time.Time
	// bystander means that the run had begun long before, or may never have begun, so that the worker
	// may have gone down for another cause.
	bystander bool
}

// markLost records that a run may have crashed a worker that stopped answering. A run that was carried
// over from a former incarnation counts there: its start is carried out once at most.
func (s *Sched) markLost(t *flow.Task, w *worker) {
	if _, carried := w.carried[runKey{t.Name, t.Run}]; carried {
		return
	}
	if t.State == flow.Assigned || w.draining || t.Job.State.Final() || s.isProven(t, w) {
		return
	}
	l := lostRun{t, t.Run, s.now, s.maybeBystander(t, w)}
	if l.bystander && s.isSharedOutage(w, t, t.CrashSuspicions()) {
		// A successor would not know of the other workers that went down.
		s.noteTask(t, "crash ruled out", "other workers went down with it")
		return
	}
	if !t.MarkLost(w.Incarnation) {
		return
	}
	w.lostRuns[t.Name] = l
	s.suspects[t] = true
	s.markDirty(t.Job)
	if t.CrashSuspicions() >= maxCrashes {
		s.noteTask(t, "held until its lost runs are judged", strings.Join(slices.Concat(t.Crashed, t.Lost), ", "))
	}
}

// isProven reports whether a long-running task had run for long when its worker went down.
func (s *Sched) isProven(t *flow.Task, w *worker) bool {
	return t.Spec().LongRunning && t.State == flow.Running && s.outageBegin(w).Sub(t.Since) >= provenAfter
}

// maybeBystander reports whether a lost run may have nothing to do with the end of its worker, if other
// workers went down with it: a task that crashes its workers does so soon after its start.
func (s *Sched) maybeBystander(t *flow.Task, w *worker) bool {
	switch t.State {
	case flow.Running:
		return s.outageBegin(w).Sub(t.Since) >= crashesWithin
	case flow.Starting:
		// Whether it began is not known, so that this excuses no task under which a worker has crashed.
		return len(t.Crashed) == 0
	case flow.Stopping:
		_, unlisted := w.unlisted[runKey{t.Name, t.Run}]
		return unlisted && len(t.Crashed) == 0
	default:
		return false
	}
}

// countCrash counts an incarnation that ended while a run of the task was, or may have been, on it.
// After too many crashes the job fails.
func (s *Sched) countCrash(l lostRun, w *worker) {
	t, j := l.task, l.task.Job
	switch {
	case j.State.Final() || t.State == flow.Done:
		return
	case s.endedForOtherCause(w, l):
		s.clearSuspicion(t, w)
		return
	case !t.MarkCrashed(w.Incarnation):
		return
	}
	s.suspects[t] = true
	s.markDirty(j)
	s.emit(Note{ID: t.Name.String(), What: "worker crashed during run", Worker: w.Incarnation, Run: t.Run, Detail: strconv.Itoa(len(t.Crashed))})
	if len(t.Crashed) < maxCrashes {
		return
	}
	s.emit(Note{ID: j.Spec.ID, What: "failed after crashes", Detail: t.Name.String() + " crashed " + strings.Join(t.Crashed, ", ")})
	s.endJob(j, flow.Failed)
}

// endedForOtherCause reports whether a worker certainly did not go down because of a run that was lost on it.
func (s *Sched) endedForOtherCause(w *worker, l lostRun) bool {
	return w.draining || l.bystander && s.isSharedOutage(w, l.task, l.task.CrashSuspicions()-1) || l.task.CrashSuspicions() > 1 && s.isRackOutage(w, l.task)
}

// clearSuspicion withdraws the suspicion that a task crashed a worker.
func (s *Sched) clearSuspicion(t *flow.Task, w *worker) {
	if t.UnmarkLost(w.Incarnation) {
		s.emit(Note{ID: t.Name.String(), What: "crash ruled out", Worker: w.Incarnation, Run: t.Run})
		s.markDirty(t.Job)
	}
}

// takeLostRuns removes and returns the runs that were lost on the worker before the given
// time.
func (w *worker) takeLostRuns(before time.Time) []lostRun {
	var all []lostRun
	for _, n := range slices.SortedFunc(maps.Keys(w.lostRuns), compareNames) {
		if l := w.lostRuns[n]; l.at.Before(before) {
			all = append(all, l)
			delete(w.lostRuns, n)
		}
	}
	return all
}

// clearLostRuns clears the runs lost on a worker that has answered a request sent after the loss.
func (s *Sched) clearLostRuns(w *worker, sent time.Time) {
	for _, l := range w.takeLostRuns(sent) {
		s.clearSuspicion(l.task, w)
	}
}

// countLostRuns counts an ended incarnation against all runs that were lost on it.
func (s *Sched) countLostRuns(w *worker) {
	for _, l := range w.takeLostRuns(s.now.Add(time.Nanosecond)) {
		s.countCrash(l, w)
	}
}

// startReplyFromEnded handles the reply to a start on an incarnation that has ended since.
func (s *Sched) startReplyFromEnded(t *flow.Task, w *worker, o Outcome) {
	if o == Accepted || o == Unanswered {
		s.markLost(t, w)
	}
	s.requeueTask(t, "worker died")
}

// startNeverRan clears a run that was lost on a silent worker if the reply shows that its start was
// never carried out.
func (s *Sched) startNeverRan(w *worker, ev StartReply) {
	if ev.Outcome == Accepted || ev.Outcome == Unanswered {
		return
	}
	delete(w.unlisted, runKey{ev.Task, ev.Run})
	if l, ok := w.lostRuns[ev.Task]; ok && l.run == ev.Run {
		delete(w.lostRuns, ev.Task)
		s.clearSuspicion(l.task, w)
	}
}

// adoptLostRuns takes over the incarnations on which a recorded task was lost, and marks it as a
// suspect if any ended, or may have ended, under it.
func (s *Sched) adoptLostRuns(t *flow.Task) {
	if t.CrashSuspicions() > 0 {
		s.suspects[t] = true
	}
	for _, incarnation := range t.Lost {
		s.ensureWorker(incarnation).lostRuns[t.Name] = lostRun{task: t, run: t.Run}
	}
}

// resolveForgotten decides about the runs lost on a worker before it is forgotten. A worker that
// has had neither an entry nor an answer for so long counts as ended.
func (s *Sched) resolveForgotten(w *worker) {
	if w.fenced && w.unansweredSince.IsZero() && !w.dead {
		s.clearLostRuns(w, s.now.Add(time.Nanosecond))
		return
	}
	s.countLostRuns(w)
}

// clearProven clears the crash count of a long-running task that has run for long enough.
func (s *Sched) clearProven(t *flow.Task) {
	if t.Spec().LongRunning && t.State == flow.Running && s.suspects[t] && s.now.Sub(t.Since) >= provenAfter {
		t.ClearCrashes()
		delete(s.suspects, t)
		s.markDirty(t.Job)
	}
}

// pruneSuspects removes tasks that are over or no longer suspected of a crash.
func (s *Sched) pruneSuspects() {
	over := func(t *flow.Task) bool { return t.State == flow.Done || t.Job.State.Final() && !t.MayBeRunning() }
	maps.DeleteFunc(s.suspects, func(t *flow.Task, _ bool) bool { return over(t) || t.CrashSuspicions() == 0 })
	for _, w := range s.workers {
		maps.DeleteFunc(w.lostRuns, func(_ flow.Name, l lostRun) bool {
			return over(l.task) || !slices.Contains(l.task.Lost, w.Incarnation)
		})
	}
}
