package sched

import (
	"slices"
	"time"

	"pollencroft/internal/flow"
)

const (
	// preemptedHold is how long preempted capacity is kept for the step that it is for: a stop
	// takes up to a second, as the platform allows, and the list that shows the end of the run a
	// little more.
	preemptedHold = 2 * time.Second
	// maxPreemptions is how often a task may be preempted. Each time costs it a query, a restore
	// and the wait in the queue.
	maxPreemptions = 2
	// preemptionCost is roughly the time that a preemption costs a task: the stop, a query, the
	// wait for another worker and the restore.
	preemptionCost = 3 * time.Second
)

// preemption is capacity on a worker that others were stopped for.
type preemption struct {
	worker string
	until  time.Time
}

// preempt stops less urgent tasks that save their progress in favour of n tasks that can still be
// on time and have tickets. Capacity for a wide task hardly ever appears by itself: what one small
// task leaves another takes, and wide tasks waited for half a minute beside bulk that had time to
// spare.
func (s *Sched) preempt(r readyStep, p *pool, n int) {
	if !s.enabled(PreemptBulk) || r.class != onTime || r.stage.Spec.Gang {
		return
	}
	demand := r.stage.Spec.Demand()
	s.preemptions[r.stage] = slices.DeleteFunc(s.preemptions[r.stage], func(y preemption) bool {
		w, ok := s.workers[y.worker]
		return !ok || !demand.Fits(w.Size) || !s.now.Before(y.until)
	})
	for _, y := range s.preemptions[r.stage] {
		w := s.workers[y.worker]
		w.reserved = w.reserved.Add(demand)
		n--
	}
	for ; n > 0; n-- {
		w, victims := s.cheapestPreemption(r, p)
		if w == nil {
			return
		}
		for _, t := range victims {
			t.Preemptions++
			s.stopRun(t, "gives way to "+r.stage.Tasks[0].Name.StepName())
		}
		w.reserved = w.reserved.Add(demand)
		s.preemptions[r.stage] = append(s.preemptions[r.stage], preemption{w.Incarnation, s.now.Add(preemptedHold)})
	}
}

// cheapestPreemption finds the worker on which the fewest tasks have to be stopped for one task of
// the step, or nil if there is none.
func (s *Sched) cheapestPreemption(r readyStep, p *pool) (*worker, []*flow.Task) {
	var best *worker
	var least []*flow.Task
	for _, w := range s.allowedWorkers(r, p) {
		if r.stage.Spec.Demand().DominantShare(w.Size) < wideShare {
			continue
		}
		if _, ok := s.ticket(r.tasks[0], w); !ok || !s.suitsAny(r, w) {
			continue
		}
		victims, ok := s.victims(r, w)
		if ok && (best == nil || len(victims) < len(least)) {
			best, least = w, victims
		}
	}
	return best, least
}

// victims returns the tasks to stop on a worker, or false if stopping them doesn't free enough
// capacity. Tasks that began last come first, since they have the least to restore.
func (s *Sched) victims(r readyStep, w *worker) ([]*flow.Task, bool) {
	demand, free := r.stage.Spec.Demand(), w.free()
	if !fitsBeside(demand, w.Size, w.reserved) {
		return nil, false
	}
	var all []*flow.Task
	for _, t := range w.sortedTasks() {
		if s.preemptible(t, r) {
			all = append(all, t)
		}
	}
	slices.SortStableFunc(all, func(a, b *flow.Task) int { return b.Since.Compare(a.Since) })
	for i, t := range all {
		if fitsBeside(demand, free, w.reserved) {
			return all[:i], true
		}
		free = free.Add(t.Spec().Demand())
	}
	return all, fitsBeside(demand, free, w.reserved)
}

// preemptible reports whether a task may be stopped in favour of a step: it is less urgent, saves
// its progress, and its job has the time.
func (s *Sched) preemptible(t *flow.Task, r readyStep) bool {
	st := t.Spec()
	q := s.queue(t.Job)
	if t.State != flow.Running || !st.Checkpoints || st.Gang || st.LongRunning || st.BestEffort || q.Rank <= r.queue.Rank || t.Preemptions >= maxPreemptions {
		return false
	}
	round, ok := t.Job.Rounds[t.Name.Round]
	if !ok {
		return false
	}
	return s.waitTime(t.Job, round)+preemptionCost+s.remainingTime(t.Job, t.Step, q) <= s.objective(t.Job, q)
}
