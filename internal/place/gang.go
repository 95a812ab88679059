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

// tryGang places either all waiting tasks of a gang or none. A partly placed gang would hold
// capacity while it waits for the rest, and two of them could block each other forever.
func (p *Placer) tryGang(e *entry, a access) {
	if p.countFittingTasks(a, e.Size) < e.tasksToPlace() {
		p.queue.block(e.shape, GangTooLarge)
		return
	}
	var chosen []*worker
	var allocations []*allocation
	for i, task := range e.Tasks {
		if p.queue.tasks[task] != e {
			continue
		}
		w := p.bestWorker(a)
		if w == nil {
			break
		}
		// Allocate provisionally, so that the next search sees the reduced capacity.
		r := &allocation{task: e.Tasks[i], row: e.Row, team: e.Team, class: e.Class, size: e.Size}
		p.allocate(r, w)
		chosen, allocations = append(chosen, w), append(allocations, r)
	}
	for _, r := range allocations {
		p.release(r.task)
	}
	if len(chosen) < e.pending {
		p.queue.block(e.shape, GangTooLarge)
		return
	}
	for _, w := range chosen {
		p.assign(e, w)
	}
}

// countFittingTasks returns how many tasks of that size fit into the free capacity that the entry may
// use now. It stops counting once all of the entry's tasks that have to start at once fit.
func (p *Placer) countFittingTasks(a access, size cell.Size) int64 {
	var n int64
	for _, w := range p.workers {
		if w.acceptsTasks() && a.usable(w) {
			n += countFitting(w.free, size)
		}
		if n >= a.e.tasksToPlace() {
			break
		}
	}
	return n
}

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

// fitCounter counts how many tasks of a size fit into some capacity of all workers that accept tasks,
// which is the most that an entry may use. It keeps the counts, because many entries of the same size
// may wait, so it is valid only until the capacity changes.
type fitCounter struct {
	p        *Placer
	capacity func(*worker) cell.Size
	counts   map[cell.Size]int64
}

func (p *Placer) newFitCounter(capacity func(*worker) cell.Size) fitCounter {
	return fitCounter{p: p, capacity: capacity, counts: map[cell.Size]int64{}}
}

func (f fitCounter) count(size cell.Size) int64 {
	n, ok := f.counts[size]
	if !ok {
		for _, w := range f.p.workers {
			if w.acceptsTasks() {
				n = min(n+countFitting(f.capacity(w), size), maxPart)
			}
		}
		f.counts[size] = n
	}
	return n
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
