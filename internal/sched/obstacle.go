package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pollencroft/internal/flow"
)

// obstacle is why a task does not start on a worker.
type obstacle int

const (
	noObstacle obstacle = iota
	notUsable
	refusedLately
	suspectWorker
	missingLabel
	avoidedWorker
	enoughOfStep
	crashSuspect
	tooFull
	reservedForOthers
	noTicket
	obstacleCount
)

var obstacleNames = [obstacleCount]string{
	"with room", "not usable", "refused a start", "suspect", "without the label", "avoided", "with enough of the step",
	"with a crash suspect", "full", "reserved", "without a ticket",
}

// String returns the obstacle for logs.
func (o obstacle) String() string { return obstacleNames[o] }

// obstacleOn returns why a worker may not run a task once it has capacity, apart from tickets.
func (s *Sched) obstacleOn(r readyStep, t *flow.Task, w *worker) obstacle {
	st := r.stage.Spec
	switch {
	case s.now.Before(w.refusedUntil):
		return refusedLately
	case !w.accepts(s.now):
		return suspectWorker
	case st.Label != "" && !slices.Contains(w.Labels, st.Label):
		return missingLabel
	case t.Avoids(w.Incarnation, s.now):
		return avoidedWorker
	case st.MaxPerWorker > 0 && w.runsOf(r.stage) >= st.MaxPerWorker:
		return enoughOfStep
	case !s.mayShare(t, w):
		return crashSuspect
	default:
		return noObstacle
	}
}

// suits reports whether a worker may run a task once it has capacity, apart from tickets.
func (s *Sched) suits(r readyStep, t *flow.Task, w *worker) bool {
	return s.obstacleOn(r, t, w) == noObstacle
}

// A description looks at all workers. After obstaclesBudget of them, no step is described until
// obstaclesInterval has passed.
const (
	obstaclesBudget   = 20_000
	obstaclesInterval = time.Second
)

// describeObstacles counts the workers of a step's service by why they do not run a task of it, for
// the log; it is empty if too many steps were described a moment ago. A worker with room may be kept
// free for more urgent steps.
func (s *Sched) describeObstacles(r readyStep, t *flow.Task) string {
	if s.now.Sub(s.obstaclesSince) >= obstaclesInterval {
		s.obstaclesSince, s.obstaclesSeen = s.now, 0
	}
	if s.obstaclesSeen >= obstaclesBudget {
		return ""
	}
	s.obstaclesSeen += len(s.workers)
	var counts [obstacleCount]int
	demand := r.stage.Spec.Demand()
	for _, w := range s.workers {
		if w.Service != r.queue.Service {
			continue
		}
		o := s.obstacleOn(r, t, w)
		_, ticketed := s.ticket(t, w)
		switch {
		case !w.usable(s.now):
			o = notUsable
		case o != noObstacle:
		case !demand.Fits(w.free()):
			o = tooFull
		case !w.hasRoom(demand, w.reserved):
			o = reservedForOthers
		case !ticketed:
			o = noTicket
		}
		counts[o]++
	}
	var all []string
	for o, n := range counts {
		if n > 0 {
			all = append(all, fmt.Sprintf("%d %s", n, obstacle(o)))
		}
	}
	return "; workers: " + strings.Join(all, ", ")
}
