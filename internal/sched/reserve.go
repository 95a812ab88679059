package sched

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

const (
	// wideShare is the part of a worker from which a task counts as wide: two of them
	// cannot be beside each other, so the room for one hardly comes by itself.
	wideShare = 0.5
	// maxReservedShare is how much of a service's workers may be held free for wide tasks
	// that wait: the first of them wait for what ends soon, and what is held for later
	// ones would stand idle for longer than a task takes.
	maxReservedShare = 0.25
	// reserveMinUse is the part of a service's workers that has to be in use for room to be
	// held. Below it the platform promises that no job waits for three seconds beside
	// room that it could use; a wide task that few workers are allowed for would hold
	// theirs for longer, and with it whoever else is allowed only there.
	reserveMinUse = 0.5
)

// reserveCapacity holds room for n wide tasks that could not start, on the workers that will have
// it first. Tasks of one processor or GPU find room on any worker all the time; a task
// that wants half of one or all would hardly see it, however urgent it is.
func (s *Sched) reserveCapacity(r readyStep, p *pool, n int) {
	room := r.stage.Spec.Room()
	if !s.enabled(ReserveForWide) || p.used.Share(p.total) < reserveMinUse || p.reserved.Share(p.total) > maxReservedShare {
		return
	}
	type option struct {
		w  *worker
		at time.Time
	}
	var all []option
	for _, w := range s.allowedWorkers(r, p) {
		if room.Share(w.Size) < wideShare || !s.suits(r, r.tasks[0], w) {
			continue
		}
		if at, ok := s.fitsAt(w, room.Add(w.reserved)); ok {
			all = append(all, option{w, at})
		}
	}
	slices.SortStableFunc(all, func(a, b option) int { return a.at.Compare(b.at) })
	for _, o := range all {
		for k := room.Into(o.w.Size.Sub(o.w.reserved)); k > 0 && n > 0; k-- {
			o.w.reserved = o.w.reserved.Add(room)
			p.reserved = p.reserved.Add(room)
			n--
		}
	}
}

// fitsAt is when a worker will have so much room if nothing else is begun there; false if
// it never will.
func (s *Sched) fitsAt(w *worker, room cell.Size) (time.Time, bool) {
	free := w.free()
	if room.Fits(free) {
		return s.now, true
	}
	type end struct {
		at   time.Time
		size cell.Size
	}
	var ends []end
	for _, t := range w.sortedTasks() {
		if !t.Spec().Lasts {
			ends = append(ends, end{t.Since.Add(t.Spec().Time), t.Spec().Room()})
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	for _, e := range ends {
		if free = free.Add(e.size); room.Fits(free) {
			return e.at, true
		}
	}
	return time.Time{}, false
}
