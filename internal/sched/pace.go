package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// Best-effort tasks disturb the tasks that serve requests on the same worker, by amounts that nobody
// declares and that change within seconds. The sign of it is a tail of the response times that
// nears its target. Slowing the best-effort tasks brings it down within the platform's pacing delay,
// long before the target is missed for good.
const (
	// slowFrom is the share of the target from which best-effort tasks are slowed, pauseFrom the share
	// from which they are paused.
	slowFrom  = 0.7
	pauseFrom = 0.85
	// speedUpBelow is the share below which they may go faster again, by speedUpStep percent every
	// speedUpInterval.
	speedUpBelow    = 0.55
	speedUpStep     = 20
	speedUpInterval = time.Second
	// unknownPercent stands for the percent of a run that this leader has not paced yet and that
	// another one may have.
	unknownPercent = -1
)

// pacing is the share of the processor time that best-effort tasks on a worker may use, in percent.
type pacing struct {
	level   int
	changed time.Time
}

func newPacing() pacing { return pacing{level: 100} }

// adoptPace notes that the pace of a run on the worker is not known. Best-effort tasks beside tasks that
// serve go faster step by step from a slow pace on.
func (w *worker) adoptPace(t *flow.Task) {
	if t.Spec().BestEffort {
		t.CPUPercent, w.pace.level = unknownPercent, speedUpStep
	}
}

// worstLatency returns the highest response-time tail of the serving tasks, as a share of the
// target.
func (w *worker) worstLatency(running []RunStatus) float64 {
	worst := 0.0
	for _, l := range running {
		t := w.tasks[l.Task]
		if t == nil || t.Run != l.Run || t.Spec().LatencyTarget == 0 {
			continue
		}
		worst = max(worst, float64(l.Metric)/float64(t.Spec().LatencyTarget.Milliseconds()))
	}
	return worst
}

// adjustPace adjusts the pace of best-effort tasks to the response times that a worker lists.
func (s *Sched) adjustPace(w *worker, running []RunStatus) {
	if w.bestEffortCPU == 0 {
		return
	}
	worst := w.worstLatency(running)
	level := w.pace.level
	switch {
	case worst >= pauseFrom:
		level = 0
	case worst >= slowFrom:
		level = min(level, level/2)
	case !w.runsServing():
		level = 100
	case worst < speedUpBelow && s.now.Sub(w.pace.changed) >= speedUpInterval:
		level = min(level+speedUpStep, 100)
	}
	if level != w.pace.level {
		w.pace.level, w.pace.changed = level, s.now
	}
	for _, t := range w.sortedTasks() {
		if t.Spec().BestEffort && t.State == flow.Running && (t.CPUPercent != level || worst >= pauseFrom) {
			t.CPUPercent = level
			s.emit(Pace{To: w.Address, Token: s.tokenFor(w), Task: t.Name, Run: t.Run, Percent: level})
		}
	}
}
