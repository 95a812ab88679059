package sched

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"pollencroft/internal/flow"
	"pollencroft/internal/speed"
)

// Weights for the time that a task takes on a worker beyond the time on the fastest kind, as a
// multiple of the latter. They compare with the other placement costs, in shares of a worker's size.
const (
	// urgentSpeedCost makes urgent tasks end early: a job ends with its last task, so one task on a
	// worker that takes twice as long doubles the time of its step. It outweighs everything but the
	// rack of the data.
	urgentSpeedCost = 3
	// bulkSpeedCost prefers fast workers as long as other costs are equal.
	bulkSpeedCost = 0.5
	// longRunningSpeedGain puts tasks that never end on slow workers, up to maxLongRunningGain: speed
	// is of no use to them, and they would occupy fast ones for good.
	longRunningSpeedGain = 1.5
	maxLongRunningGain   = 1.5
	// reportedChange is by how much the factor of a kind must change to be reported again.
	reportedChange = 0.15
	// slowPlacement is the factor from which a placement of an urgent task is logged.
	slowPlacement = 1.3
)

// kind returns the label of a worker that names its kind; empty if there is none.
func (w *Worker) kind() string {
	for _, l := range w.Labels {
		if l != w.Rack {
			return l
		}
	}
	return ""
}

// speedFactor returns how many times as long runs take on a worker as on the fastest kind.
func (s *Sched) speedFactor(w *worker) float64 {
	s.updateFactors(w)
	return w.factor
}

// updateFactors updates the factors of a worker if they may have changed. Each pass compares hundreds
// of workers for hundreds of steps by them.
func (s *Sched) updateFactors(w *worker) {
	version := s.speeds.Version()
	if w.factorVersion == version && w.factor > 0 {
		return
	}
	w.factorVersion, w.factor, w.kindFactor = version, 1, 1
	if s.enabled(PreferBySpeed) {
		kind := w.kind()
		w.factor, w.kindFactor = s.speeds.Factor(w.Incarnation, kind), s.speeds.KindFactor(kind)
	}
}

// speedCost returns the part of a task's placement cost that depends on the worker's speed.
func (s *Sched) speedCost(r readyStep, w *worker) float64 {
	extra := s.speedFactor(w) - 1
	switch {
	case r.stage.Spec.LongRunning:
		return -min(longRunningSpeedGain*extra, maxLongRunningGain)
	case s.isLong(r.queue):
		return bulkSpeedCost * extra
	default:
		return urgentSpeedCost * extra
	}
}

// kindFactor returns how many times as long runs take on workers of the same kind as on the fastest
// kind.
func (s *Sched) kindFactor(w *worker) float64 {
	s.updateFactors(w)
	return w.kindFactor
}

// recordSpeed compares a run that ended as done with others of its step.
func (s *Sched) recordSpeed(t *flow.Task, w *worker) {
	if !recorded(t.Spec()) || t.MeasuredFrom.IsZero() || w.backSince.Equal(s.now) || !s.enabled(PreferBySpeed) {
		return
	}
	s.speeds.Record(t.Name.StepName(), speed.Run{Worker: w.Incarnation, Kind: w.kind(), Took: s.now.Sub(t.MeasuredFrom)})
}

// compareSpeeds compares the runs of a step that is done.
func (s *Sched) compareSpeeds(st *flow.Stage) {
	s.speeds.Complete(st.Tasks[0].Name.StepName())
	for _, kind := range slices.Sorted(maps.Keys(s.speeds.Kinds())) {
		s.reportSpeed(kind)
	}
}

func (s *Sched) reportSpeed(kind string) {
	f := s.speeds.KindFactor(kind)
	if last, ok := s.reportedSpeeds[kind]; (ok || f != 1) && math.Abs(f-last) > reportedChange*max(last, 1) {
		s.reportedSpeeds[kind] = f
		s.emit(KindSpeed{Kind: kind, Factor: f})
	}
}

// noteSlowPlacement notes that an urgent task goes to a slow worker, because no faster one that it
// may use has capacity.
func (s *Sched) noteSlowPlacement(r readyStep, t *flow.Task, w *worker) {
	if f := s.speedFactor(w); f >= slowPlacement && !r.stage.Spec.LongRunning && !s.isLong(r.queue) {
		s.emit(Note{ID: t.Name.String(), What: "placed on a slow worker", Worker: w.Incarnation, Run: t.Run, Detail: fmt.Sprintf("takes %.1f times as long, kind %s", f, w.kind())})
	}
}

// KindFactors returns the factors of the kinds of workers, for the host that leads next.
func (s *Sched) KindFactors() map[string]float64 { return s.speeds.Kinds() }
