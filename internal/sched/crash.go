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
	// maxCrashes is how many lives of workers may end under a task before its job is
	// given up.
	maxCrashes = 3
	// provenAfter is how long a lasting task must run before lives that ended under
	// earlier runs no longer count: over months every host of it is replaced.
	provenAfter = 10 * time.Second
	// unlistedHoldInterval is how often a life is asked that is not listed and on which runs were
	// lost.
	unlistedHoldInterval = time.Second
)

// lostRun is a run that was lost at a worker that answers no more. Whether it ended the
// worker's life is known once the worker answers, or another life does in its place.
type lostRun struct {
	task *flow.Task
	run  int
	at   time.Time
}

// markLost notes that a run may have ended the life of a worker that answers no more.
func (s *Sched) markLost(t *flow.Task, w *worker) {
	if t.State == flow.Assigned || w.draining || t.Job.State.Final() || !t.Lose(w.Incarnation) {
		return
	}
	w.lostRuns[t.Name] = lostRun{t, t.Run, s.now}
	s.suspects[t] = true
	s.markDirty(t.Job)
}

// countCrash counts a life that ended while a run of the task was, or may have been, at it,
// and gives the job up after too many.
func (s *Sched) countCrash(t *flow.Task, w *worker) {
	j := t.Job
	switch {
	case j.State.Final() || t.State == flow.Done:
		return
	case w.draining, t.Doubt() > 1 && s.isRackOutage(w, t):
		s.clearSuspicion(t, w)
		return
	case !t.Crash(w.Incarnation):
		return
	}
	s.suspects[t] = true
	s.markDirty(j)
	s.emit(Note{ID: t.Name.String(), What: "worker crashed under it", Worker: w.Incarnation, Run: t.Run, Detail: strconv.Itoa(len(t.Crashed))})
	if len(t.Crashed) < maxCrashes {
		return
	}
	s.emit(Note{ID: j.Spec.ID, What: "given up", Detail: t.Name.String() + " crashed " + strings.Join(t.Crashed, ", ")})
	s.endJob(j, flow.Failed)
}

// clearSuspicion takes back that a task may have ended a worker's life.
func (s *Sched) clearSuspicion(t *flow.Task, w *worker) {
	if t.Acquit(w.Incarnation) {
		s.emit(Note{ID: t.Name.String(), What: "crash ruled out", Worker: w.Incarnation, Run: t.Run})
		s.markDirty(t.Job)
	}
}

// takeLostRuns takes the runs that were lost on a worker before a time.
func (w *worker) takeLostRuns(before time.Time) []*flow.Task {
	var all []*flow.Task
	for _, n := range slices.SortedFunc(maps.Keys(w.lostRuns), compareNames) {
		if l := w.lostRuns[n]; l.at.Before(before) {
			all = append(all, l.task)
			delete(w.lostRuns, n)
		}
	}
	return all
}

// clearLostRuns acquits the runs that were lost on a worker that has answered a question sent
// later.
func (s *Sched) clearLostRuns(w *worker, sent time.Time) {
	for _, t := range w.takeLostRuns(sent) {
		s.clearSuspicion(t, w)
	}
}

// countLostRuns counts a life that has ended against all runs that were lost at it.
func (s *Sched) countLostRuns(w *worker) {
	for _, t := range w.takeLostRuns(s.now.Add(time.Nanosecond)) {
		s.countCrash(t, w)
	}
}

// startReplyFromEnded takes the answer to a start at a life that has ended since.
func (s *Sched) startReplyFromEnded(t *flow.Task, w *worker, o Outcome) {
	if o == Accepted || o == Unanswered {
		s.markLost(t, w)
	}
	s.requeueTask(t, "worker died")
}

// startNeverRan acquits a run that was lost on a silent worker before it was known that its
// start was never carried out.
func (s *Sched) startNeverRan(w *worker, ev StartReply) {
	if ev.Outcome == Accepted || ev.Outcome == Unanswered {
		return
	}
	if l, ok := w.lostRuns[ev.Task]; ok && l.run == ev.Run {
		delete(w.lostRuns, ev.Task)
		s.clearSuspicion(l.task, w)
	}
}

// adoptLostRuns takes over the lives that ended, or may have, under a task.
func (s *Sched) adoptLostRuns(t *flow.Task) {
	if t.Doubt() > 0 {
		s.suspects[t] = true
	}
	for _, life := range t.Lost {
		s.incarnation(life).lostRuns[t.Name] = lostRun{task: t, run: t.Run}
	}
}

// resolveForgotten judges what was lost on a worker that is remembered no longer: one that has
// neither an entry nor an answer for so long has ended.
func (s *Sched) resolveForgotten(w *worker) {
	if w.fenced && w.unansweredSince.IsZero() && !w.dead {
		s.clearLostRuns(w, s.now.Add(time.Nanosecond))
		return
	}
	s.countLostRuns(w)
}

// clearProven forgets the lives that ended under a lasting task that has worked for long.
func (s *Sched) clearProven(t *flow.Task) {
	if t.Spec().Lasts && t.State == flow.Running && s.suspects[t] && s.now.Sub(t.Since) >= provenAfter {
		t.Clear()
		delete(s.suspects, t)
		s.markDirty(t.Job)
	}
}

// pruneSuspects forgets tasks that are over or under which no life may have ended.
func (s *Sched) pruneSuspects() {
	over := func(t *flow.Task) bool { return t.State == flow.Done || t.Job.State.Final() && !t.Out() }
	maps.DeleteFunc(s.suspects, func(t *flow.Task, _ bool) bool { return over(t) || t.Doubt() == 0 })
	for _, w := range s.workers {
		maps.DeleteFunc(w.lostRuns, func(_ flow.Name, l lostRun) bool {
			return over(l.task) || !slices.Contains(l.task.Lost, w.Incarnation)
		})
	}
}
