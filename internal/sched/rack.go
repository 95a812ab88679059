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
	// minOtherWorkers is how many other workers of the rack must be down.
	minOtherWorkers = 2
)

// outage is a worker that stopped answering, or whose incarnation ended.
type outage struct {
	at                time.Time
	incarnation, rack string
	// steps are the steps that had tasks on the worker.
	steps map[*flow.Stage]bool
}

// recordOutage records that a worker stopped answering or that its incarnation ended. If it had a
// task under which an incarnation may have ended before, the idle workers of its rack are probed.
func (s *Sched) recordOutage(w *worker) {
	if w.Rack == "" || slices.ContainsFunc(s.outages, func(f outage) bool { return f.incarnation == w.Incarnation }) {
		return
	}
	f := outage{at: s.now, incarnation: w.Incarnation, rack: w.Rack, steps: map[*flow.Stage]bool{}}
	suspect := false
	for _, t := range w.tasks {
		f.steps[t.Step] = true
		suspect = suspect || t.CrashSuspicions() > 0
	}
	s.outages = append(s.outages, f)
	if !suspect {
		return
	}
	for _, o := range s.sortedWorkers() {
		if o != w && o.Rack == w.Rack && o.idle() {
			s.probe(o)
		}
	}
}

// clearOutage removes the outage of a worker that answers again.
func (s *Sched) clearOutage(w *worker) {
	s.outages = slices.DeleteFunc(s.outages, func(f outage) bool { return f.incarnation == w.Incarnation })
}

// isRackOutage reports whether all workers of a rack went down together for a cause other than a
// task of this step. Crashing tasks that start together also end several incarnations at once, so
// at least one idle worker must be among them.
func (s *Sched) isRackOutage(w *worker, t *flow.Task) bool {
	i := slices.IndexFunc(s.outages, func(f outage) bool { return f.incarnation == w.Incarnation })
	if i < 0 {
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
