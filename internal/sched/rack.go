package sched

import (
	"slices"
	"time"

	"pollencroft/internal/flow"
)

const (
	// sameOutageWithin is the time within which the workers of a rack must be found down to count
	// as one outage: an idle worker is probed only after another has stopped answering.
	sameOutageWithin = 3 * time.Second
	// crashJudgeDelay is how long the scheduler waits before it judges the end of an incarnation,
	// so that the other workers of its rack can be probed.
	crashJudgeDelay = time.Second
	// minOtherWorkers is how many other workers of the rack, or of the cell, must be down.
	minOtherWorkers = 2
	// minSharedOutage is the share of the workers without suspects that must be down for an outage to
	// have a cause other than its suspects.
	minSharedOutage = 0.1
)

// outage is a worker that stopped answering, or whose incarnation ended.
type outage struct {
	at                time.Time
	incarnation, rack string
	// steps are the steps that had tasks on the worker, suspicions is the highest number of crash
	// suspicions of these.
	steps      map[*flow.Stage]bool
	suspicions int
}

// recordOutage records that a worker stopped answering or that its incarnation ended. If it had a
// task under which an incarnation may have ended before, the idle workers of its rack are probed.
func (s *Sched) recordOutage(w *worker) {
	if s.outageOf(w) >= 0 {
		return
	}
	f := outage{at: s.now, incarnation: w.Incarnation, rack: w.Rack, steps: map[*flow.Stage]bool{}}
	for _, t := range w.tasks {
		f.steps[t.Step] = true
	}
	f.suspicions = w.suspicions()
	s.outages = append(s.outages, f)
	if f.suspicions == 0 || w.Rack == "" {
		return
	}
	for _, o := range s.sortedWorkers() {
		if o != w && o.Rack == w.Rack && o.idle() {
			s.probe(o)
		}
	}
}

// suspicions returns the highest number of crash suspicions of the worker's tasks.
func (w *worker) suspicions() int {
	most := 0
	for _, t := range w.tasks {
		most = max(most, t.CrashSuspicions())
	}
	return most
}

// outageBegin returns when a worker stopped answering, or when its end became known.
func (s *Sched) outageBegin(w *worker) time.Time {
	if i := s.outageOf(w); i >= 0 {
		return s.outages[i].at
	}
	return s.now
}

func (s *Sched) outageOf(w *worker) int {
	return slices.IndexFunc(s.outages, func(f outage) bool { return f.incarnation == w.Incarnation })
}

// clearOutage removes the outage of a worker that answers again.
func (s *Sched) clearOutage(w *worker) {
	s.outages = slices.DeleteFunc(s.outages, func(f outage) bool { return f.incarnation == w.Incarnation })
}

// isRackOutage reports whether all workers of a rack went down together for a cause other than a
// task of this step. Crashing tasks that start together also end several incarnations at once, so
// at least one idle worker must be among them.
func (s *Sched) isRackOutage(w *worker, t *flow.Task) bool {
	i := s.outageOf(w)
	if i < 0 || w.Rack == "" {
		return false
	}
	at := s.outages[i].at
	idle, everywhere := false, true
	down := map[string]bool{w.Incarnation: true}
	for _, f := range s.outages {
		if f.incarnation == w.Incarnation || f.rack != w.Rack || f.at.Sub(at).Abs() > sameOutageWithin {
			continue
		}
		down[f.incarnation] = true
		idle = idle || len(f.steps) == 0
		everywhere = everywhere && f.steps[t.Step]
	}
	return len(down) > minOtherWorkers && idle && !everywhere && !s.anyUp(w.Rack, at, down)
}

// isSharedOutage reports whether so many workers went down together with one that a task with earlier
// suspicions is not the cause.
func (s *Sched) isSharedOutage(w *worker, t *flow.Task, earlier int) bool {
	i := s.outageOf(w)
	if i < 0 {
		return false
	}
	before := max(earlier, 1)
	down := map[string]bool{}
	for _, f := range s.outages {
		if f.at.Sub(s.outages[i].at).Abs() <= sameOutageWithin && f.isIndependent(w, t, before) {
			down[f.incarnation] = true
		}
	}
	if len(down) < minOtherWorkers {
		return false
	}
	up := 0
	for _, o := range s.workers {
		if o.listed && !o.dead && !down[o.Incarnation] && o.suspicions() < before {
			up++
		}
	}
	return float64(len(down)) >= minSharedOutage*float64(len(down)+up)
}

// isIndependent reports whether an outage is not that of w and has no cause like t, which has so many
// suspicions. Crashing tasks that start together end several incarnations at once, so workers with tasks as
// suspect as t don't count. Neither do those with tasks of its step if t may have just begun.
func (f outage) isIndependent(w *worker, t *flow.Task, suspicions int) bool {
	if f.incarnation == w.Incarnation || f.suspicions >= suspicions {
		return false
	}
	return t.State != flow.Starting || !f.steps[t.Step]
}

// anyUp reports whether any worker of a rack that was known before the given time is not down.
func (s *Sched) anyUp(rack string, by time.Time, down map[string]bool) bool {
	for _, w := range s.workers {
		if w.Rack == rack && !w.dead && !down[w.Incarnation] && w.firstSeen.Before(by) {
			return true
		}
	}
	return false
}

// pruneOutages drops outages that are too old to be part of a rack outage.
func (s *Sched) pruneOutages() {
	s.outages = slices.DeleteFunc(s.outages, func(f outage) bool { return s.now.Sub(f.at) > forgetWorkerAfter })
}
