package sched

import (
	"strconv"
	"time"

	"pollencroft/internal/flow"
)

// A worker may stall all its runs, or run them several times slower, and still answer every
// request. The visible effect is jobs that wait for their last task. The worker lists the progress
// of each run, so a run that does not progress, or progresses far too slowly, is found within a
// second and restarted elsewhere. All times are the worker's own: a leader that was paused would
// otherwise take every run for stalled.
const (
	// stallMin and stallShare determine how long a run's progress may stay at the same percentage:
	// it changes with each hundredth of a task, and an estimate may be five times too low.
	stallMin   = 700 * time.Millisecond
	stallShare = 0.08
	// slowRate is the progress relative to the estimate below which a run is too slow: estimates
	// are off by up to 0.9, and kinds of workers differ by up to 0.3.
	slowRate = 0.35
	// A run is watched for slowMinShare of its estimate, and at least for slowMin, before it is
	// judged.
	slowMinShare = 0.5
	slowMin      = 600 * time.Millisecond
	// A worker counts as slow if at least minSlowRuns of its runs, of two or more jobs, and at
	// least minSlowShare of the judged runs are too slow.
	minSlowRuns  = 3
	minSlowShare = 0.75
	// maxRestarts is how often a task is restarted because it was slow: with a wrong estimate it
	// would be slow everywhere.
	maxRestarts = 1
	// speedWeight is the weight of a new measurement of a worker's speed. Below slowSpeed other
	// workers are preferred, by slowCost.
	speedWeight = 0.3
	slowSpeed   = 0.6
	slowCost    = 3
)

// checkProgress stops a run whose progress has stalled.
func (s *Sched) checkProgress(w *worker, t *flow.Task, l RunStatus, clock time.Time) {
	if t.ProgressSeen.IsZero() {
		t.ProgressSeen, t.ProgressChanged, t.Percent = clock, clock, l.Percent
		return
	}
	if l.Percent != t.Percent {
		t.Percent, t.ProgressChanged = l.Percent, clock
	}
	st := t.Spec()
	if st.Gang && l.Percent == 0 {
		// The gang member is waiting for the others.
		t.ProgressSeen, t.ProgressChanged = clock, clock
		return
	}
	if t.State != flow.Running || st.BestEffort || l.Percent >= 100 || w.draining {
		return
	}
	still := max(stallMin, time.Duration(stallShare*float64(s.judgedTime(t))))
	if clock.Sub(t.ProgressChanged) > still {
		s.recordRunFailure(w, t)
		t.Avoid(w.Incarnation, s.now)
		s.stopRun(t, "stands still at "+strconv.Itoa(l.Percent)+" percent")
	}
}

// checkSpeed restarts slow runs elsewhere if nearly all runs on the worker, of several jobs, are
// too slow for its kind. A run that is slow by itself has more work than its estimate says, and
// would be slow everywhere.
func (s *Sched) checkSpeed(w *worker, clock time.Time) {
	if len(w.jobs) < 2 || len(w.tasks) < minSlowRuns {
		return
	}
	var slow []*flow.Task
	jobs := map[string]bool{}
	judged, worst := 0, 1.0
	for _, t := range w.sortedTasks() {
		rate, ok := speedOf(t, time.Duration(s.kindFactor(w)*float64(s.judgedTime(t))), clock)
		if !ok {
			continue
		}
		judged++
		if rate < slowRate {
			slow = append(slow, t)
			jobs[t.Job.Spec.ID] = true
			worst = min(worst, rate)
		}
	}
	if len(slow) < minSlowRuns || len(jobs) < 2 || float64(len(slow)) < minSlowShare*float64(judged) {
		return
	}
	w.speed = min(w.speed, worst)
	for _, t := range slow {
		if t.Restarts >= maxRestarts {
			continue
		}
		t.Restarts++
		t.Avoid(w.Incarnation, s.now)
		s.stopRun(t, "is too slow")
	}
}

// speedOf returns how fast a run progresses relative to an estimate, or false if it cannot be judged
// yet.
func speedOf(t *flow.Task, estimate time.Duration, clock time.Time) (float64, bool) {
	st := t.Spec()
	took := clock.Sub(t.ProgressSeen)
	if t.State != flow.Running || t.ProgressSeen.IsZero() || st.LongRunning || st.Gang || st.BestEffort || estimate <= 0 || t.Percent >= 100 {
		return 0, false
	}
	if took < max(slowMin, time.Duration(slowMinShare*float64(estimate))) {
		return 0, false
	}
	return float64(t.Percent) / 100 * float64(estimate) / float64(took), true
}

// measureSpeed updates the worker's speed from a run that ended as done.
func (w *worker) measureSpeed(t *flow.Task, clock time.Time) {
	st := t.Spec()
	took := clock.Sub(t.ProgressSeen)
	if t.ProgressSeen.IsZero() || st.Gang || st.BestEffort || st.EstimatedTime <= 0 || took < slowMin {
		return
	}
	rate := min(float64(st.EstimatedTime)/float64(took), 1)
	w.speed += speedWeight * (rate - w.speed)
}
