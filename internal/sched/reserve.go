package sched

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

const (
	// wideShare is the share of a worker from which a task counts as wide: two such tasks rarely
	// fit on the same worker, so enough free capacity for one hardly ever appears by itself.
	wideShare = 0.5
	// maxReservedShare is the largest share of a service's workers that may be held free for
	// waiting wide tasks. The first of them wait for tasks that end soon; capacity held for later
	// ones would stand idle for longer than a task takes.
	maxReservedShare = 0.25
	// reserveMinUse is the share of a service's workers that has to be in use before capacity is
	// reserved. Below it the platform guarantees that no job waits for three seconds beside
	// capacity that it could use. A wide task that is allowed on few workers would reserve those
	// for longer, and delay every other task that is allowed only there.
	reserveMinUse = 0.5
)

// reserveCapacity reserves capacity for n wide tasks that could not start, on the workers that will
// have it first. Tasks of one processor or GPU find capacity on any worker all the time; a task
// that needs half of a worker or more would hardly ever find it, however urgent it is. For a gang it
// does so only if all members will find capacity: other work would wait for good beside what is held
// for a gang that cannot start.
func (s *Sched) reserveCapacity(r readyStep, p *pool, n int) {
	demand := r.stage.Spec.Demand()
	if !s.mayReserve(r, p) {
		return
	}
	type option struct {
		w  *worker
		at time.Time
	}
	var all []option
	for _, w := range s.allowedWorkers(r, p) {
		if demand.DominantShare(w.Size) < wideShare || !s.suitsAny(r, w) {
			continue
		}
		if at, ok := s.fitsAt(w, demand); ok {
			all = append(all, option{w, at})
		}
	}
	if len(all) == 0 || r.stage.Spec.Gang && !s.gangWillFit(r) {
		return
	}
	slices.SortStableFunc(all, func(a, b option) int { return a.at.Compare(b.at) })
	for _, o := range all {
		for k := demand.FitCount(o.w.Size.Sub(o.w.reserved)); k > 0 && n > 0; k-- {
			o.w.reserved = o.w.reserved.Add(demand)
			p.reserved = p.reserved.Add(demand)
			n--
		}
	}
}

// mayReserve reports whether capacity may be reserved for a step. Without a ticket nobody knows when
// its tasks may start while the policy service is away.
func (s *Sched) mayReserve(r readyStep, p *pool) bool {
	if !s.enabled(ReserveForWide) || p.used.DominantShare(p.total) < reserveMinUse || p.reserved.DominantShare(p.total) > maxReservedShare {
		return false
	}
	return s.hasTicket(r) || !s.hosts.Away()
}

// gangWillFit reports whether all members of a gang will find capacity. Workers count that have
// missed only a reply or two: if the capacity on the others were given away each time, the gang
// would have to wait for all of them again.
func (s *Sched) gangWillFit(r readyStep) bool {
	missing := len(r.tasks)
	for _, w := range s.workers {
		if w.Service != r.queue.Service || !w.usable(s.now) && !w.mayReturn(s.now) {
			continue
		}
		if s.knownAllowed(r, w) && s.suitsAny(r, w) {
			missing -= r.slots(w)
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}

// knownAllowed reports whether a worker is known to be allowed to run a step.
func (s *Sched) knownAllowed(r readyStep, w *worker) bool {
	if r.queue.Advice == nil {
		return true
	}
	a, ok := s.advice[r.stage]
	if !ok {
		return false
	}
	_, ok = a.tickets[w.Incarnation]
	return ok
}

// slots returns how many of the step's tasks a worker will have capacity for beside its
// long-running tasks and what is reserved.
func (r readyStep) slots(w *worker) int {
	st, left := r.stage.Spec, w.Size.Sub(w.reserved)
	for _, t := range w.tasks {
		if t.Spec().LongRunning {
			left = left.Sub(t.Spec().Demand())
		}
	}
	n := int(min(int64(len(r.tasks)), st.Demand().FitCount(left)))
	if st.MaxPerWorker > 0 {
		n = min(n, st.MaxPerWorker-w.runsOf(r.stage))
	}
	return max(n, 0)
}

// fitsAt returns when a worker will have capacity for a demand beside what is reserved there if
// nothing else is started there, or false if it never will.
func (s *Sched) fitsAt(w *worker, demand cell.Size) (time.Time, bool) {
	free := w.free()
	if fitsBeside(demand, free, w.reserved) {
		return s.now, true
	}
	type end struct {
		at   time.Time
		size cell.Size
	}
	var ends []end
	for _, t := range w.sortedTasks() {
		if !t.Spec().LongRunning {
			ends = append(ends, end{s.expectedEnd(w, t), t.Spec().Demand()})
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	for _, e := range ends {
		if free = free.Add(e.size); fitsBeside(demand, free, w.reserved) {
			return e.at, true
		}
	}
	return time.Time{}, false
}
