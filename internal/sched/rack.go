package sched

import (
	"slices"
	"time"

	"pollencroft/internal/flow"
)

const (
	// sameOutageWithin is how far apart the workers of a rack may be seen to end for one
	// cause: an idle one is only asked once another has stopped answering.
	sameOutageWithin = 3 * time.Second
	// crashJudgeDelay is how long the end of a life is not judged, so that the workers of its
	// rack can be asked.
	crashJudgeDelay = time.Second
	// minOtherWorkers is how many other workers a rack must have had.
	minOtherWorkers = 2
)

// outage is a worker that stopped answering, or whose life ended.
type outage struct {
	at                time.Time
	incarnation, rack string
	// steps are those of which tasks were there.
	steps map[*flow.Stage]bool
}

// recordOutage notes that a worker stopped answering or has ended, and asks the idle workers of its
// rack if a task under which a life had ended before was there.
func (s *Sched) recordOutage(w *worker) {
	if w.Rack == "" || slices.ContainsFunc(s.outages, func(f outage) bool { return f.incarnation == w.Incarnation }) {
		return
	}
	f := outage{at: s.now, incarnation: w.Incarnation, rack: w.Rack, steps: map[*flow.Stage]bool{}}
	suspect := false
	for _, t := range w.tasks {
		f.steps[t.Step] = true
		suspect = suspect || t.Doubt() > 0
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

// clearOutage forgets that a worker stopped answering.
func (s *Sched) clearOutage(w *worker) {
	s.outages = slices.DeleteFunc(s.outages, func(f outage) bool { return f.incarnation == w.Incarnation })
}

// isRackOutage tells whether all workers of a rack ended together for a cause that was not a
// task of this step. Bad tasks that start together end several lives at once as well, so
// there must be an idle worker among them.
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

// anyUp tells whether any worker of a rack that was known by then is not down.
func (s *Sched) anyUp(rack string, by time.Time, down map[string]bool) bool {
	for _, w := range s.workers {
		if w.Rack == rack && !w.dead && !down[w.Incarnation] && w.firstSeen.Before(by) {
			return true
		}
	}
	return false
}

// pruneOutages forgets falls that can be one with no other any more.
func (s *Sched) pruneOutages() {
	s.outages = slices.DeleteFunc(s.outages, func(f outage) bool { return s.now.Sub(f.at) > forgetWorkerAfter })
}
