package sched

import "slices"

// prefetchShare is how much of a service's workers the steps may want in all whose tickets
// are got before there is room for them. Within the time that a ticket holds, two
// seconds, about half of the room of tasks of four seconds is given back.
const prefetchShare = 0.5

// prefetchTickets asks about a step of a full service, with hosts that nothing else needs now.
//
// A question takes up to half a second. Asked only once a worker has room, that room
// stays empty for as long, and so it does each time; one notices work that waits beside
// GPUs of which a third is idle. With a ticket in hand a task starts in the pass that
// sees the room.
func (s *Sched) prefetchTickets(r readyStep, p *pool) {
	if !s.enabled(PrefetchTickets) || r.queue.Advice == nil || !s.isLong(r.queue) {
		return
	}
	tasks := startableTasks(r.stage)
	if len(tasks) == 0 || p.prefetched.Share(p.total) > prefetchShare {
		return
	}
	p.prefetched = p.prefetched.Add(r.stage.Spec.Room().Times(float64(len(tasks))))
	a := s.adviceFor(r.stage)
	if !a.queriedAt.IsZero() {
		return
	}
	name := s.pickHost(r.queue, 1)
	if name == "" {
		return
	}
	r.tasks = tasks
	if named := s.prefetchCandidates(r, a, p); len(named) > 0 {
		s.queryPolicy(r, a, name, named)
	}
}

// prefetchCandidates lists the workers of which a step lacks a ticket that holds for a while,
// those that it was allowed before and then those that nobody asked about.
func (s *Sched) prefetchCandidates(r readyStep, a *advice, p *pool) []string {
	cost := r.queue.Advice.Cost(1)
	var all []candidate
	var most int64
	for _, w := range p.workers {
		got, known := a.tickets[w.Incarnation]
		if !a.denied[w.Incarnation] && r.stage.Spec.Room().Fits(w.Size) {
			most += r.stage.Spec.Room().Into(w.Size)
		}
		if known && s.now.Add(cost).Before(got.until) {
			if !r.stage.Spec.Gang {
				// One that it may start on is enough for now.
				return nil
			}
			continue
		}
		if a.denied[w.Incarnation] || !r.stage.Spec.Room().Fits(w.Size) || !s.suits(r, r.tasks[0], w) {
			continue
		}
		all = append(all, candidate{life: w.Incarnation, known: known, cost: s.cost(r, w)})
	}
	if r.stage.Spec.Gang && most < int64(len(r.tasks)) {
		// Nothing could start with all that may be allowed empty.
		return nil
	}
	slices.SortStableFunc(all, candidate.compare)
	var named []string
	for _, c := range all[:min(len(all), max(s.extraQueryWorkers(r.queue.Advice), 1), maxQueryWorkers)] {
		named = append(named, c.life)
	}
	return named
}
