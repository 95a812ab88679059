package place

import (
	"time"

	"pollencroft/internal/cell"
)

// updateOverdue selects the job that exceeds the waiting time of its class the most and reserves
// capacity for it. There is only one such job at a time, so that two gangs cannot hold capacity
// that the other needs.
func (p *Placer) updateOverdue() {
	if len(p.queue.tasks) == 0 {
		p.overdue = nil
		return
	}
	o := p.outlook()
	if p.overdue != nil && p.overdue.waiting() && !p.mayReserve(p.overdue, o) {
		p.cancelReservations(p.overdue)
		p.overdue = nil
	}
	if p.overdue == nil || !p.overdue.waiting() {
		p.overdue = p.mostOverdue(o)
	}
	if p.overdue != nil {
		p.reserveEarliest(p.overdue)
	}
}

func (p *Placer) mostOverdue(o outlook) *entry {
	var oldest *entry
	var most time.Duration
	for _, lanes := range p.queue.order {
		for _, l := range lanes {
			for _, s := range l.shapes {
				e := s.head()
				if e == nil {
					continue
				}
				if over := p.overdueFor(e); over > most && p.mayReserve(e, o) {
					oldest, most = e, over
				}
			}
		}
	}
	return oldest
}

// overdueFor returns for how long an entry has waited beyond the time that its class may wait. It
// is not positive if the entry is not overdue.
func (p *Placer) overdueFor(e *entry) time.Duration {
	if e == nil || p.limits.OverdueAfter[e.Class] == 0 {
		return 0
	}
	return p.now.Sub(e.Since) - p.limits.OverdueAfter[e.Class]
}

// mayReserve reports whether reserved capacity would help the entry: no limit of the table forbids
// it, and it fits once the tasks with a known end have ended. Otherwise the reserved capacity would
// stay unused for good.
func (p *Placer) mayReserve(e *entry, o outlook) bool {
	if e.shape.blocked.isLimit() {
		return false
	}
	size := e.smallestSize()
	need := e.tasksToPlace()
	if o.fits.count(size) < need {
		return false
	}
	left := o.total.Sub(multiply(size, need))
	if e.Class == cell.Bulk && left.MinShare(p.total) < p.limits.UrgentReserve {
		return false
	}
	if len(e.Avoid) == 0 {
		return true
	}
	a := p.accessOf(e)
	for w, free := range o.free {
		if _, ok := a.from(w); ok && w.acceptsTasks() {
			need -= countFitting(free, size)
		}
	}
	return need <= 0
}

// outlook is the capacity of each worker and of all of them that is free once all tasks with a known
// end have ended.
type outlook struct {
	free  map[*worker]cell.Size
	total cell.Size
	fits  fitCounter
}

func (p *Placer) outlook() outlook {
	o := outlook{free: make(map[*worker]cell.Size, len(p.workers))}
	o.fits = p.newFitCounter(func(w *worker) cell.Size { return o.free[w] })
	for _, w := range p.workers {
		o.free[w] = w.freeAfter(func(r *allocation) bool { return !r.plannedEnd.IsZero() })
		o.total = o.total.Add(o.free[w])
	}
	return o
}
