package sched

import (
	"strconv"
	"time"

	"pollencroft/internal/flow"
)

// A worker may let everything that it was given stand still, or work several
// times slower, and still answer every question. One notices jobs that wait for
// their last task. The worker itself lists how far each run got, so a run that
// does not move, or moves far too slowly, is seen within a second and goes on
// elsewhere. All times are the worker's own: a lead that was paused would
// otherwise take every run for one that stands still.
const (
	// stallMin and stillShare bound how long a run's progress may stay at the
	// same percent: a hundredth of a task moves it, and an estimate may be five
	// times too low.
	stallMin   = 700 * time.Millisecond
	stallShare = 0.08
	// slowRate is the progress, relative to the estimate, below which a run is
	// too slow: estimates are off by up to 0.9, kinds of workers by 0.3.
	slowRate = 0.35
	// slowMinShare is the share of its estimate, and slowLeast the time, for which a
	// run is watched before it is judged.
	slowMinShare = 0.5
	slowMin      = 600 * time.Millisecond
	// minSlowRuns is how many runs, of two jobs or more, and mostlySlow the share of
	// those judged, that have to crawl before it is their worker that is slow.
	minSlowRuns  = 3
	minSlowShare = 0.75
	// maxRestarts is how often a task is begun again because it was slow: with a
	// wrong estimate it would be slow everywhere.
	maxRestarts = 1
	// speedWeight is the weight of a new measurement of a worker's pace, and
	// slowPace the pace below which others are preferred by slowCost.
	speedWeight = 0.3
	slowSpeed   = 0.6
	slowCost    = 3
)

// checkProgress judges a run by how far its worker says it got.
func (s *Sched) checkProgress(w *worker, t *flow.Task, l RunStatus, clock time.Time) {
	if t.Seen.IsZero() {
		t.Seen, t.Moved, t.Percent = clock, clock, l.Percent
		return
	}
	if l.Percent != t.Percent {
		t.Percent, t.Moved = l.Percent, clock
	}
	st := t.Spec()
	if st.Gang && l.Percent == 0 {
		// It waits for the other members.
		t.Seen, t.Moved = clock, clock
		return
	}
	if t.State != flow.Running || st.Fills || l.Percent >= 100 || w.draining {
		return
	}
	still := max(stallMin, time.Duration(stallShare*float64(st.Time)))
	if clock.Sub(t.Moved) > still {
		s.recordRunFailure(w, t)
		t.Avoid = w.Incarnation
		s.stopRun(t, "stands still at "+strconv.Itoa(l.Percent)+" percent")
	}
}

// checkSpeed gives up runs that would take much longer than beginning again
// elsewhere, if nearly all that runs on the worker crawls, of several jobs: a
// run that is slow alone has more work than its estimate says, and would be
// slow everywhere.
func (s *Sched) checkSpeed(w *worker, clock time.Time) {
	var slow []*flow.Task
	jobs := map[string]bool{}
	judged, worst := 0, 1.0
	for _, t := range w.sortedTasks() {
		rate, ok := speedOf(t, clock)
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
		t.Avoid = w.Incarnation
		s.stopRun(t, "is too slow")
	}
}

// speedOf is how fast a run goes, relative to its estimate; false if it cannot be
// judged yet.
func speedOf(t *flow.Task, clock time.Time) (float64, bool) {
	st := t.Spec()
	took := clock.Sub(t.Seen)
	if t.State != flow.Running || t.Seen.IsZero() || st.Lasts || st.Gang || st.Fills || st.Time <= 0 || t.Percent >= 100 {
		return 0, false
	}
	if took < max(slowMin, time.Duration(slowMinShare*float64(st.Time))) {
		return 0, false
	}
	return float64(t.Percent) / 100 * float64(st.Time) / float64(took), true
}

// measureSpeed takes the pace of a run that ended as done.
func (w *worker) measureSpeed(t *flow.Task, clock time.Time) {
	st := t.Spec()
	took := clock.Sub(t.Seen)
	if t.Seen.IsZero() || st.Gang || st.Fills || st.Time <= 0 || took < slowMin {
		return
	}
	rate := min(float64(st.Time)/float64(took), 1)
	w.speed += speedWeight * (rate - w.speed)
}
