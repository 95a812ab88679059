package sched

import (
	"time"

	"pollencroft/internal/policy"
)

// prefetchShare is the largest share of a service's workers that steps may need in total when their
// tickets are prefetched, that is, queried before there is capacity for them. A ticket is valid for
// two seconds; within that time tasks of four seconds release about half of their capacity.
const prefetchShare = 0.5

// prefetchTickets queries the policy service about a step of a full service, using hosts that
// nothing else needs now.
//
// A query takes up to half a second. If it were sent only once a worker has capacity, that capacity
// would stay idle for the duration of the query each time; up to a third of the GPUs were idle
// while work waited. With a ticket already there, a task starts in the first pass that sees the
// free capacity.
func (s *Sched) prefetchTickets(r readyStep, p *pool) {
	if !s.enabled(PrefetchTickets) || r.queue.Advice == nil || !s.isLong(r.queue) {
		return
	}
	tasks := startableTasks(r.stage)
	if len(tasks) == 0 || p.prefetched.DominantShare(p.total) > prefetchShare {
		return
	}
	p.prefetched = p.prefetched.Add(r.stage.Spec.Demand().Scale(float64(len(tasks))))
	a := s.adviceFor(r.stage)
	if !a.queriedAt.IsZero() {
		return
	}
	name := s.hosts.Pick(policy.Long, 1, s.now)
	if name == "" {
		return
	}
	r.tasks = tasks
	if named := s.prefetchCandidates(r, a, p); len(named) > 0 {
		s.queryPolicy(r, a, name, named)
	}
}

// prefetchCandidates lists the workers for which a step lacks a ticket that stays valid for a
// while: first those that were allowed before, then those not asked about yet.
func (s *Sched) prefetchCandidates(r readyStep, a *advice, p *pool) []string {
	cost := r.queue.Advice.Cost(1)
	if !r.stage.Spec.Gang && s.hasLastingTicket(r, a, cost) {
		// One worker that the step may start on is enough for now.
		return nil
	}
	best := policy.Best{Most: min(max(s.extraQueryWorkers(r.queue.Advice), 1), maxQueryWorkers)}
	var most int64
	s.examine(r, p.workers, examinedPerNamed*best.Most, func(w *worker) bool {
		got, known := a.tickets[w.Incarnation]
		if !a.denied[w.Incarnation] && r.stage.Spec.Demand().Fits(w.Size) {
			most += r.stage.Spec.Demand().FitCount(w.Size)
		}
		if known && s.now.Add(cost).Before(got.until) {
			return false
		}
		if a.denied[w.Incarnation] || !r.stage.Spec.Demand().Fits(w.Size) || !s.suitsAny(r, w) {
			return false
		}
		best.Add(policy.Candidate{Worker: w.Incarnation, Known: known, Cost: s.cost(r, w)})
		return true
	})
	if r.stage.Spec.Gang && most < int64(len(r.tasks)) {
		// Even if all workers that may be allowed were empty, the gang could not start.
		return nil
	}
	var named []string
	for _, c := range best.All {
		named = append(named, c.Worker)
	}
	return named
}

// hasLastingTicket reports whether a worker of the step's service that is usable now has a ticket
// that is still valid after another query.
func (s *Sched) hasLastingTicket(r readyStep, a *advice, cost time.Duration) bool {
	for incarnation, got := range a.tickets {
		w, ok := s.workers[incarnation]
		if ok && w.Service == r.queue.Service && w.usable(s.now) && s.now.Add(cost).Before(got.until) {
			return true
		}
	}
	return false
}
