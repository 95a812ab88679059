package place

import (
	"cmp"
	"maps"
	"slices"

	"pollencroft/internal/cell"
)

// maxCandidates is how many workers are compared for one preemption. The index returns first the
// workers that would be left the fullest.
const maxCandidates = 16

// preemptFor preempts the cheapest bulk tasks for an urgent job that does not fit anywhere. It
// frees one worker at a time and reserves that worker for the job, because otherwise the next bulk
// task would use the freed capacity.
func (p *Placer) preemptFor(e *entry, a access) {
	if e.Class != cell.Urgent || len(e.reserved) > 0 {
		return
	}
	var best *worker
	var victims []*allocation
	var least float64
	for _, w := range p.preemptIndex.candidates(maxCandidates, e.Size, a.usable) {
		chosen, cost, ok := p.victims(w, e.Size)
		if ok && (best == nil || cost < least || cost == least && w.name < best.name) {
			best, victims, least = w, chosen, cost
		}
	}
	if best == nil {
		return
	}
	p.reserve(e, best, p.now)
	for _, r := range victims {
		r.preempting = true
		p.emit(Preempt{Task: r.task, Worker: best.name, Reason: "urgent job " + e.Job + " found no room"})
	}
}

// victims returns the bulk tasks of a worker that are cheapest to stop so that size fits, and their
// total cost. A task is cheap if it ran for a short time and uses little capacity. The last result
// reports whether size then fits.
func (p *Placer) victims(w *worker, size cell.Size) ([]*allocation, float64, bool) {
	free := w.free
	var bulk []*allocation
	for _, r := range w.tasks {
		switch {
		case r.preempting:
			free = free.Add(r.size)
		case r.class == cell.Bulk:
			bulk = append(bulk, r)
		}
	}
	slices.SortFunc(bulk, func(a, b *allocation) int {
		return cmp.Or(cmp.Compare(p.preemptionCost(a), p.preemptionCost(b)), cmp.Compare(a.task, b.task))
	})
	var cost float64
	for i, r := range bulk {
		if size.Fits(free) {
			return bulk[:i], cost, true
		}
		free = free.Add(r.size)
		cost += p.preemptionCost(r)
	}
	return bulk, cost, size.Fits(free)
}

// preemptionCost is the work that preempting a task may lose, in shares of a worker times seconds.
func (p *Placer) preemptionCost(r *allocation) float64 {
	return (1 + p.now.Sub(r.started).Seconds()) * r.size.DominantShare(r.worker.size)
}

// relieveOverload reduces the load of a worker whose tasks use more than its size. Only the
// measured usage counts, not the maximum that the tasks may use. Processor time can be limited, so
// tasks are throttled first. Memory cannot be limited, so for it a task is checkpointed and
// stopped.
func (p *Placer) relieveOverload(w *worker) {
	free := w.size.Sub(w.usage)
	if free.CPU < 0 {
		p.throttle(w, -free.CPU)
	}
	for _, r := range w.tasks {
		if r.preempting {
			free = free.Add(r.usage)
		}
	}
	for free.Mem < 0 || free.Accel < 0 {
		r := p.cheapestVictim(w)
		if r == nil {
			return
		}
		r.preempting = true
		free = free.Add(r.usage)
		p.emit(Preempt{Task: r.task, Worker: w.name, Reason: "tasks use more memory than the worker has"})
	}
}

func (p *Placer) throttle(w *worker, over int64) {
	for _, name := range slices.Sorted(maps.Keys(w.tasks)) {
		r := w.tasks[name]
		if r.class == cell.Urgent || r.throttled || over <= 0 {
			continue
		}
		cut := min(over, r.usage.CPU/2)
		r.throttled = true
		share := float64(r.usage.CPU-cut) / float64(max(r.usage.CPU, 1))
		p.emit(Throttle{Task: r.task, Worker: w.name, Share: share})
		over -= cut
	}
}

// cheapestVictim returns the task that is cheapest to stop among those of the least urgent class.
func (p *Placer) cheapestVictim(w *worker) *allocation {
	var best *allocation
	for _, r := range w.tasks {
		if r.preempting || r.usage.Mem == 0 {
			continue
		}
		if best == nil || r.class > best.class || r.class == best.class &&
			(p.preemptionCost(r) < p.preemptionCost(best) || p.preemptionCost(r) == p.preemptionCost(best) && r.task < best.task) {
			best = r
		}
	}
	return best
}
