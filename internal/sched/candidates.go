package sched

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"pollencroft/internal/flow"
	"pollencroft/internal/policy"
)

// examinedPerNamed is how many workers are compared for each one that a query may name. In a large
// cell, comparing all of them would take more of the leader's time than all other decisions.
const examinedPerNamed = 8

// examine calls suits for workers on which a step may be placed, until it has returned true enough
// times: first for those in the failure domain of the job. It begins at another worker for each job,
// so that jobs don't all compete for the same few workers. For gangs and for steps that are close to
// their data it calls suits for all workers.
func (s *Sched) examine(r readyStep, all []*worker, enough int, suits func(w *worker) bool) {
	first := 0
	if st := r.stage.Spec; st.Gang || st.NearRack != "" || len(all) <= enough {
		enough = len(all)
	} else {
		first = int(xxhash.Sum64String(r.job.Spec.ID) % uint64(len(all)))
	}
	for _, sameDomain := range []bool{true, false} {
		for i := range all {
			if enough <= 0 {
				return
			}
			w := all[(first+i)%len(all)]
			if (w.Domain == r.job.Domain) != sameDomain {
				continue
			}
			s.examined++
			if suits(w) {
				enough--
			}
		}
	}
}

// mostNamed returns how many workers a query for n tasks names at most, if all have free capacity.
func mostNamed(n, more int, rate float64) int {
	return min(max(int(math.Ceil(float64(n)*querySpare/rate)), more), maxQueryWorkers)
}

// workersToQuery lists the workers to name in a query for a step with n waiting tasks. First come
// workers with free capacity that may be allowed, the best first, as many as the tasks need; then
// others, as long as they add little to the cost of the query. The list is empty if nothing could
// start whatever the answer is.
func (s *Sched) workersToQuery(r readyStep, a *advice, p *pool, n int) []string {
	rate, more := s.allowRate(r.queue), s.extraQueryWorkers(r.queue.Advice)
	all, most := s.candidatesWithCapacity(r, a, p, mostNamed(n, more, rate))
	if len(all) == 0 || r.stage.Spec.Gang && most < n {
		return nil
	}
	want := float64(n) * querySpare
	enough := func(named []string) bool { return want <= 0 && len(named) >= more || len(named) == maxQueryWorkers }
	var named []string
	for _, c := range all {
		if enough(named) {
			return named
		}
		named = append(named, c.Worker)
		part := rate
		if c.Known {
			part = 1
		}
		want -= part * float64(c.Tasks)
	}
	if enough(named) {
		return named
	}
	left := maxQueryWorkers - len(named)
	if want <= 0 {
		left = min(left, more-len(named))
	}
	for _, c := range s.otherCandidates(r, a, p, left) {
		named = append(named, c.Worker)
	}
	return named
}

// candidatesWithCapacity lists the n best workers of a pool that have capacity for the step and whose
// answer isn't known. most is how many tasks could start if all that were examined were allowed. In a full
// cell most passes find none, for hundreds of steps, so the capacity is checked first and the more
// expensive ordering is done only for workers that have it.
func (s *Sched) candidatesWithCapacity(r readyStep, a *advice, p *pool, n int) (all []policy.Candidate, most int) {
	demand, some := r.stage.Spec.Demand(), false
	best := policy.Best{Most: n}
	s.examine(r, p.open, examinedPerNamed*n, func(w *worker) bool {
		if !w.hasRoom(demand, w.reserved.Add(w.earmarked)) {
			return false
		}
		some = true
		if a.denied[w.Incarnation] || !s.suitsAny(r, w) {
			return false
		}
		hold := r.taskCapacity(w)
		most += hold
		got, known := a.tickets[w.Incarnation]
		if known && s.now.Before(got.until) {
			// A worker with a valid ticket was not chosen for another reason.
			return false
		}
		best.Add(policy.Candidate{Worker: w.Incarnation, Tasks: hold, Known: known, Cost: s.cost(r, w)})
		return true
	})
	if !some {
		p.unfit = append(p.unfit, demand)
	}
	return best.All, most
}

// otherCandidates lists the n best workers that have no capacity for the step now and have not been
// asked about yet.
func (s *Sched) otherCandidates(r readyStep, a *advice, p *pool, n int) []policy.Candidate {
	best := policy.Best{Most: n}
	demand := r.stage.Spec.Demand()
	s.examine(r, p.workers, examinedPerNamed*n, func(w *worker) bool {
		_, known := a.tickets[w.Incarnation]
		if known || a.denied[w.Incarnation] || !demand.Fits(w.Size) || w.hasRoom(demand, w.reserved.Add(w.earmarked)) || !s.suitsAny(r, w) {
			return false
		}
		best.Add(policy.Candidate{Worker: w.Incarnation, Cost: s.cost(r, w)})
		return true
	})
	return best.All
}

// extraQueryWorkers returns how many workers a query may name without taking much longer.
func (s *Sched) extraQueryWorkers(a *flow.Advice) int {
	switch {
	case !s.enabled(QueryMoreWorkers):
		return 0
	case a.PerWorker <= 0:
		return maxQueryWorkers
	}
	return int(maxExtraCost * float64(a.Base) / float64(a.PerWorker))
}

// taskCapacity returns how many of the step's tasks a worker has capacity for.
func (r readyStep) taskCapacity(w *worker) int {
	st := r.stage.Spec
	n := min(int64(len(r.tasks)), st.Demand().FitCount(w.free()))
	if st.MaxPerWorker > 0 {
		n = min(n, int64(st.MaxPerWorker-w.runsOf(r.stage)))
	}
	return int(max(n, 1))
}
