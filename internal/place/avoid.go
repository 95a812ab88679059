package place

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// access decides which workers an entry may use. It is evaluated before the entry's tasks are
// placed provisionally, because those would count as use of the other workers.
type access struct {
	p *Placer
	e *entry
	// returnAt is when the entry's tasks may run again on the workers where they have failed. If
	// bounded is false, they wait for the other workers without a limit. awaitsOthers is set if they
	// wait for them until returnAt, whatever becomes known of the workers where they have failed.
	returnAt              time.Time
	bounded, awaitsOthers bool
	// overridesReservations allows urgent tasks to use reserved capacity. A gang that takes the urgent
	// tasks over their cap may still start as a whole.
	overridesReservations bool
}

// accessOf returns the access of an entry. If its tasks were retried at once where they have failed,
// a worker that fails everything, and therefore always has free capacity, would use up all their
// attempts. As long as the other workers are expected to have capacity within the time that the
// entry's class may wait, the entry waits for them.
func (p *Placer) accessOf(e *entry) access {
	a := access{p: p, e: e, returnAt: e.AvoidUntil, bounded: true}
	a.overridesReservations = e.Class == cell.Urgent && p.urgentUsage.size.DominantShare(p.total) < p.limits.UrgentCap
	if len(e.Avoid) == 0 || !a.othersFit(func(w *worker) cell.Size { return w.size }) {
		return a
	}
	limit := p.limits.OverdueAfter[e.Class]
	if limit == 0 {
		a.bounded, a.awaitsOthers = false, true
		return a
	}
	end := latest(e.AvoidUntil, e.LastFailure.Add(limit))
	if e.LastTry || a.othersFit(func(w *worker) cell.Size { return p.freeBy(w, end) }) {
		a.returnAt, a.awaitsOthers = end, true
	}
	return a
}

// othersFit reports whether the entry's tasks that have to start at once fit into that capacity of
// the workers where they have not failed.
func (a access) othersFit(capacity func(*worker) cell.Size) bool {
	need := a.e.tasksToPlace()
	for _, w := range a.p.workers {
		if need <= 0 {
			break
		}
		if w.acceptsTasks() && !a.avoids(w) {
			need -= countFitting(capacity(w), a.e.Size)
		}
	}
	return need <= 0
}

// freeBy returns the capacity of a worker that is expected to be free at that time if nothing else is
// placed there.
func (p *Placer) freeBy(w *worker, at time.Time) cell.Size {
	return w.freeAfter(func(r *allocation) bool { return !r.plannedEnd.IsZero() && !p.expectedEnd(r).After(at) })
}

func (a access) avoids(w *worker) bool { return slices.Contains(a.e.Avoid, w.name) }

// from returns the time from which the entry's tasks may run on a worker, as far as their earlier
// failures are concerned. It returns false if there is no such time.
func (a access) from(w *worker) (time.Time, bool) {
	if !a.avoids(w) || !a.awaitsOthers && w.lastGoodStart.After(a.e.LastFailure) {
		return time.Time{}, true
	}
	return a.returnAt, a.bounded
}

// by reports whether the entry's tasks may run on a worker at that time.
func (a access) by(w *worker, at time.Time) bool {
	from, ok := a.from(w)
	return ok && !from.After(at)
}

// nextReturn returns when the entry has to be tried again because its tasks may return to workers
// where they have failed: at AvoidUntil, since the other workers may be expected to be enough no
// longer, and at returnAt. It returns zero if neither is still to come.
func (a access) nextReturn() time.Time {
	for _, at := range []time.Time{a.e.AvoidUntil, a.returnAt} {
		if len(a.e.Avoid) > 0 && at.After(a.p.now) {
			return at
		}
	}
	return time.Time{}
}

// usable reports whether the entry's tasks may run on a worker now.
func (a access) usable(w *worker) bool {
	return a.by(w, a.p.now) && a.reservationAllows(w)
}

// preferred reports whether a worker is usable and none of the entry's tasks has failed there.
func (a access) preferred(w *worker) bool {
	return !a.avoids(w) && a.reservationAllows(w)
}

// reservationAllows reports whether the entry's tasks may use a worker although its capacity may be
// reserved for another entry.
func (a access) reservationAllows(w *worker) bool {
	if w.reservation == nil || w.reservation.entry == a.e || a.overridesReservations {
		return true
	}
	return a.e.RunTime > 0 && !a.p.now.Add(a.e.RunTime).After(w.reservation.availableAt)
}
