package place

import (
	"cmp"
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// reservation keeps the capacity of a worker for one entry. Other tasks may use the worker only if
// they are expected to end by availableAt.
type reservation struct {
	entry       *entry
	availableAt time.Time
	// expires ends a reservation whose capacity was never freed, for example because the worker
	// that should stop a task does not respond.
	expires time.Time
}

// reservationTTL is how long a reservation lasts before it is made again.
const reservationTTL = 5 * time.Second

func (p *Placer) reserve(e *entry, w *worker, from time.Time) {
	if w.reservation != nil && w.reservation.entry != e {
		return
	}
	if w.reservation == nil {
		e.reserved = append(e.reserved, w)
	}
	w.reservation = &reservation{entry: e, availableAt: from, expires: p.now.Add(reservationTTL)}
}

func (p *Placer) cancelReservations(e *entry) {
	reserved := e.reserved
	e.reserved = nil
	for _, w := range reserved {
		w.reservation = nil
	}
	for _, w := range reserved {
		if p.workers[w.name] == w {
			p.noteGrown(w)
		}
	}
}

func (p *Placer) expireReservations() {
	for _, w := range p.inNameOrder() {
		if m := w.reservation; m != nil && (!m.entry.waiting() || !m.expires.After(p.now)) {
			p.cancelReservations(m.entry)
		}
	}
}

type opening struct {
	worker *worker
	at     time.Time
}

// reserveEarliest reserves the workers that are expected to have enough free capacity first.
func (p *Placer) reserveEarliest(e *entry) {
	if len(e.reserved) > 0 {
		return
	}
	need, a := int(e.tasksToPlace()), p.accessOf(e)
	var all []opening
	for _, w := range p.inNameOrder() {
		from, ok := a.from(w)
		if ok && w.acceptsTasks() && e.Size.Fits(w.size) {
			all = append(all, p.openings(w, e.Size, from)...)
		}
	}
	if len(all) < need {
		return
	}
	slices.SortStableFunc(all, func(a, b opening) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	from := all[need-1].at
	for _, o := range all[:need] {
		p.reserve(e, o.worker, from)
	}
}

// openings returns the times, none before from, at which w is expected to have free capacity for
// one more task of that size, in order. A time appears once for each task that fits.
func (p *Placer) openings(w *worker, size cell.Size, from time.Time) []opening {
	var timed []*allocation
	for _, r := range w.tasks {
		if !r.plannedEnd.IsZero() {
			timed = append(timed, r)
		}
	}
	slices.SortFunc(timed, func(a, b *allocation) int {
		return cmp.Or(cmp.Compare(p.expectedEnd(a).UnixNano(), p.expectedEnd(b).UnixNano()), cmp.Compare(a.task, b.task))
	})
	free, at := w.free, p.now
	var all []opening
	for i := 0; ; i++ {
		for size.Fits(free) {
			free = free.Sub(size)
			all = append(all, opening{worker: w, at: latest(at, from)})
		}
		if i == len(timed) {
			return all
		}
		free = free.Add(timed[i].size)
		at = p.expectedEnd(timed[i])
	}
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// expectedEnd returns when a task is expected to end. A task that exceeds its declared run time is
// assumed to run for another quarter of the time that it has run so far.
func (p *Placer) expectedEnd(r *allocation) time.Time {
	if r.plannedEnd.After(p.now) {
		return r.plannedEnd
	}
	return p.now.Add(p.now.Sub(r.started) / 4)
}
