package place

import (
	"slices"

	"pollencroft/internal/cell"
)

// revertCorrections gives waiting entries their declared size back if their corrected size cannot
// be placed, because workers have gone or are in use since the correction. Of the overdue entries
// whose declared size may start now it reverts one per tick: if their tasks use what the correction
// expects, starting all of them would overload the workers.
func (p *Placer) revertCorrections() {
	c := p.newCorrections()
	var overdue *entry
	for _, e := range p.queue.waitingEntries() {
		switch {
		case e.smallestSize() == e.Size:
		case p.correctionCannotStart(e, c):
			p.revertToDeclared(e)
		case p.overdueFor(e) > max(0, p.overdueFor(overdue)) && p.mayStartDeclared(e, c):
			overdue = e
		}
	}
	if overdue != nil {
		p.revertToDeclared(overdue)
	}
}

// smallestSize returns the declared size of an entry whose corrected size is larger, and its size
// otherwise. An entry never gets a declared size that is larger than the corrected one.
func (e *entry) smallestSize() cell.Size {
	if e.Declared != (cell.Size{}) && e.Declared.Fits(e.Size) {
		return e.Declared
	}
	return e.Size
}

// correctionCannotStart reports whether capacity is reserved for the entry, which the declared size
// needs less of, or the corrected size does not fit beside the long-running tasks, or would use the
// urgent reserve there, while the declared one does not.
func (p *Placer) correctionCannotStart(e *entry, c corrections) bool {
	switch e.shape.blocked {
	case NoCapacity, GangTooLarge:
		return e == p.overdue || !p.fitsBesideLongTasks(e, e.Size, c) && p.fitsBesideLongTasks(e, e.Declared, c)
	case ReservedForUrgent:
		return !p.keepsReserveBesideLongTasks(e, e.Size, c) && p.keepsReserveBesideLongTasks(e, e.Declared, c)
	default:
		return false
	}
}

// keepsReserveBesideLongTasks reports whether the urgent reserve would stay free if the entry's
// tasks of that size ran beside the tasks that are not expected to end while the entry's class may
// wait.
func (p *Placer) keepsReserveBesideLongTasks(e *entry, size cell.Size, c corrections) bool {
	left := c.expectedFree[e.Class].Sub(multiply(size, e.tasksToPlace()))
	return left.MinShare(p.total) >= p.limits.UrgentReserve
}

// mayStartDeclared reports whether the entry is blocked and its declared size may start now.
func (p *Placer) mayStartDeclared(e *entry, c corrections) bool {
	switch e.shape.blocked {
	case NoCapacity, GangTooLarge:
		return p.fitsNow(e, e.Declared, c)
	case RowSizeLimit, OrganisationQuota, ReservedForUrgent:
		return p.checkLimits(e, e.Declared) == Ready
	default:
		return false
	}
}

// corrections counts the tasks that fit while the corrections are checked, now and, by class, beside
// the tasks that run for longer than the class may wait.
type corrections struct {
	now        fitCounter
	besideLong []fitCounter
	// expectedFree is, by class, the capacity that is free or expected to become free while the
	// class may wait. A task of unknown duration is not expected to end.
	expectedFree []cell.Size
}

func (p *Placer) newCorrections() corrections {
	c := corrections{now: p.newFitCounter(func(w *worker) cell.Size { return w.free })}
	for _, class := range cell.Classes {
		c.besideLong = append(c.besideLong, p.newFitCounter(func(w *worker) cell.Size { return p.freeBesideLongTasks(w, class) }))
		var free cell.Size
		for _, w := range p.workers {
			free = free.Add(w.freeAfter(func(r *allocation) bool {
				return !r.plannedEnd.IsZero() && r.plannedEnd.Sub(p.now) <= p.limits.OverdueAfter[class]
			}))
		}
		c.expectedFree = append(c.expectedFree, free)
	}
	return c
}

// fitsNow reports whether the entry's tasks of that size may start now.
func (p *Placer) fitsNow(e *entry, size cell.Size, c corrections) bool {
	return c.now.count(size) >= e.tasksToPlace() && p.countFittingTasks(p.accessOf(e), size) >= e.tasksToPlace()
}

// fitsBesideLongTasks reports whether the entry's tasks of that size would fit beside the tasks
// that run for longer than the entry's class may wait.
func (p *Placer) fitsBesideLongTasks(e *entry, size cell.Size, c corrections) bool {
	need := e.tasksToPlace()
	if fits := c.besideLong[e.Class].count(size) >= need; !fits || len(e.Avoid) == 0 {
		return fits
	}
	a, by := p.accessOf(e), p.now.Add(p.limits.OverdueAfter[e.Class])
	for _, w := range p.workers {
		if w.acceptsTasks() && a.by(w, by) {
			need -= countFitting(p.freeBesideLongTasks(w, e.Class), size)
		}
	}
	return need <= 0
}

func (p *Placer) freeBesideLongTasks(w *worker, class cell.Class) cell.Size {
	return w.freeAfter(func(r *allocation) bool {
		return r.plannedEnd.IsZero() || r.plannedEnd.Sub(p.now) <= p.limits.OverdueAfter[class]
	})
}

// revertToDeclared queues an entry again with its declared size.
func (p *Placer) revertToDeclared(e *entry) {
	w := e.Request
	w.Size, w.Declared = e.Declared, cell.Size{}
	w.Tasks = slices.DeleteFunc(slices.Clone(e.Tasks), func(task string) bool { return p.queue.tasks[task] != e })
	for _, task := range w.Tasks {
		p.queue.drop(task)
	}
	p.cancelReservations(e)
	p.queue.add(p.now, w)
	if e == p.overdue {
		p.overdue = p.queue.tasks[w.Tasks[0]]
	}
}
