package sched

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/flow"
)

// An incarnation may end while it runs many tasks, and one of them is the cause. A task under which
// a second incarnation has ended runs alone on a worker, so that it crashes no other tasks and no
// other task adds to its count.
const (
	// aloneAfter is how many incarnations must have ended under a task for it to run alone.
	aloneAfter = 2
	// maxTrialWait is how long such a task waits for an empty worker.
	maxTrialWait = 3 * time.Second
	// trialDuration is how long a task that runs alone keeps others of its step from doing so:
	// tasks of a step are alike.
	trialDuration = 2 * time.Second
	// crashSuspectCost keeps crash suspects on different workers.
	crashSuspectCost = 1
)

// markSuspects marks the workers that have crash suspects.
func (s *Sched) markSuspects() {
	for _, t := range s.sortedSuspects() {
		if !t.Spec().Gang {
			s.markSuspect(t)
			continue
		}
		for _, m := range t.Step.Tasks {
			s.markSuspect(m)
		}
	}
}

func (s *Sched) markSuspect(t *flow.Task) {
	w, ok := s.workers[t.Worker]
	if !ok || !t.MayBeRunning() || t.CrashSuspicions() == 0 {
		return
	}
	w.crashSuspects++
	if t.CrashSuspicions() >= aloneAfter && w.trialStep == nil {
		w.trialStep = t.Step
	}
}

// mayShare reports whether a task may run beside the other tasks of a worker.
func (s *Sched) mayShare(t *flow.Task, w *worker) bool {
	if w.trialStep != nil && (!t.Spec().Gang || w.trialStep != t.Step) {
		return false
	}
	switch {
	case t.CrashSuspicions() < aloneAfter:
		return true
	case s.trialUnderway(t):
		return false
	case len(w.untracked) == 0 && len(w.tasks) == w.runsOf(t.Step) && (t.Spec().Gang || len(w.tasks) == 0):
		return true
	default:
		return w.crashSuspects == 0 && s.now.Sub(t.Since) > maxTrialWait
	}
}

// trialUnderway reports whether another task of the step has only just begun to run alone.
func (s *Sched) trialUnderway(t *flow.Task) bool {
	for u := range s.suspects {
		if u == t || u.Step != t.Step || t.Spec().Gang || !u.MayBeRunning() || u.CrashSuspicions() < aloneAfter {
			continue
		}
		if u.State != flow.Running || s.now.Sub(u.Since) < trialDuration {
			return true
		}
	}
	return false
}

// sortedSuspects lists the crash suspects, sorted by name.
func (s *Sched) sortedSuspects() []*flow.Task {
	return slices.SortedFunc(maps.Keys(s.suspects), func(a, b *flow.Task) int { return compareNames(a.Name, b.Name) })
}
