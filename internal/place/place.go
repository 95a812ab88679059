// Package place decides which worker runs which task. Urgent tasks go first and have a reserve of
// free capacity. Within a class, organisations and rows share the capacity by weight. Each task goes to the
// fullest worker that still has capacity for it. A blocked task is tried again when something
// changed that it waits for, and now and then in any case.
package place

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// Limits holds the placement policy that is not part of the table.
type Limits struct {
	// UrgentReserve is the share of the total capacity that bulk tasks may not use.
	UrgentReserve float64
	// OverdueAfter is how long the oldest job of each class may wait before capacity is reserved
	// for it. Zero means never.
	OverdueAfter map[cell.Class]time.Duration
	// UrgentCap limits when urgent tasks may use capacity that is reserved for an overdue job: only
	// while they use less than this share of the total capacity.
	UrgentCap float64
	// MaxQuarantined is the largest share of the workers that may be quarantined at a time.
	MaxQuarantined float64
	// TrialInterval is how long a quarantined worker waits for its first trial.
	TrialInterval time.Duration
}

// DefaultLimits is suitable for both users.
var DefaultLimits = Limits{
	UrgentReserve:  0.1,
	OverdueAfter:   map[cell.Class]time.Duration{cell.Urgent: 2 * time.Second, cell.Normal: time.Minute, cell.Bulk: 10 * time.Minute},
	UrgentCap:      0.8,
	MaxQuarantined: 0.25,
	TrialInterval:  10 * time.Second,
}

// Placer is the placement core of one host. It does no I/O.
type Placer struct {
	limits            Limits
	now               time.Time
	workers           map[string]*worker
	index             index
	preemptIndex      index
	total             cell.Size
	free              cell.Size
	allocations       map[string]*allocation
	rowUsage          map[string]usage
	organisationUsage map[string]usage
	urgentUsage       usage
	queue             queue
	overdue           *entry
	lastTick          time.Time
	results           results
	// grownWorkers gained free capacity since blocked tasks were last tried. step counts the calls
	// of Step.
	grownWorkers []*worker
	step         int64
	actions      []Action
}

// New returns a Placer without workers.
func New(limits Limits) *Placer {
	return &Placer{
		limits: limits, workers: map[string]*worker{}, allocations: map[string]*allocation{}, rowUsage: map[string]usage{},
		index: index{key: byFree}, preemptIndex: index{key: byFreeAfterPreemption}, organisationUsage: map[string]usage{}, queue: newQueue(), results: newResults(),
	}
}

// Step applies one event and returns the actions that follow from it.
func (p *Placer) Step(now time.Time, ev Event) []Action {
	p.now = now
	p.actions = nil
	p.step++
	switch ev := ev.(type) {
	case Up:
		p.addWorker(ev)
	case WorkerResized:
		p.resizeWorker(ev)
	case Down:
		p.removeWorker(ev.Worker)
	case Request:
		// A task that requests capacity runs nowhere.
		for _, task := range ev.Tasks {
			p.freeTask(task)
		}
		p.queue.add(now, ev)
	case Freed:
		if p.queue.drop(ev.Task) {
			return nil
		}
		p.freeTask(ev.Task)
	case Vacated:
		if !p.IsAssigned(ev.Task, ev.Worker) {
			return nil
		}
		p.freeTask(ev.Task)
	case TaskResized:
		p.resizeTask(ev)
	case Result:
		p.recordResult(ev)
	case RuleChanged:
		p.queue.applyRule(ev)
	case Tick:
		p.tick()
	}
	p.placeWaiting()
	return p.actions
}

func (p *Placer) emit(a Action) { p.actions = append(p.actions, a) }

// tickInterval is the minimum time between two runs of the time-dependent checks.
const tickInterval = time.Second

func (p *Placer) tick() {
	if p.now.Sub(p.lastTick) < tickInterval {
		return
	}
	p.lastTick = p.now
	p.expireReservations()
	p.updateOverdue()
	p.revertCorrections()
	p.reviewQuarantined()
	p.queue.wakeReturning(p.now)
	p.queue.wakeInTurn(maxRetriesPerTick)
}

// maxRetriesPerTick bounds how many blocked shapes are tried again in one tick. What blocks them can
// end without an event that wakes them: a limit, the urgent reserve, the reservation for another
// entry.
const maxRetriesPerTick = 64

func (p *Placer) addWorker(ev Up) {
	p.removeWorker(ev.Worker)
	w := &worker{name: ev.Worker, rack: ev.Rack, size: ev.Size, free: ev.Size, tasks: map[string]*allocation{}}
	p.workers[ev.Worker] = w
	p.total = p.total.Add(w.size)
	p.free = p.free.Add(w.free)
	p.rescale(w)
	for _, u := range ev.Used {
		r := &allocation{task: u.Task, row: u.Row, organisation: u.Organisation, class: u.Class, size: u.Size, started: p.now}
		if u.Remaining > 0 {
			r.plannedEnd = p.now.Add(u.Remaining)
		}
		p.allocate(r, w)
	}
	p.reindex(w)
	p.noteGrown(w)
}

// rescale rebuilds both indexes if a worker of that size exceeds their scale.
func (p *Placer) rescale(w *worker) {
	if p.index.growScale(w.size) {
		p.index.rebuild(p.inNameOrder())
		p.preemptIndex.growScale(w.size)
		p.preemptIndex.rebuild(p.inNameOrder())
	}
}

// resizeWorker records a new size of a worker. Its running tasks go on, and its free capacity is
// negative while they use more than the new size. A reservation for an entry that no longer fits
// the worker is cancelled.
func (p *Placer) resizeWorker(ev WorkerResized) {
	w, ok := p.workers[ev.Worker]
	if !ok || w.size == ev.Size {
		return
	}
	more := ev.Size.Sub(w.size)
	w.size, w.free = ev.Size, w.free.Add(more)
	p.total, p.free = p.total.Add(more), p.free.Add(more)
	p.rescale(w)
	p.reindex(w)
	if w.reservation != nil && !w.reservation.entry.Size.Fits(w.size) {
		p.cancelReservations(w.reservation.entry)
	}
	p.noteGrown(w)
}

func (p *Placer) inNameOrder() []*worker {
	all := make([]*worker, 0, len(p.workers))
	for _, name := range slices.Sorted(maps.Keys(p.workers)) {
		all = append(all, p.workers[name])
	}
	return all
}

func (p *Placer) removeWorker(name string) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(w.tasks)) {
		p.release(task)
	}
	p.index.remove(w)
	p.preemptIndex.remove(w)
	p.total = p.total.Sub(w.size)
	p.free = p.free.Sub(w.free)
	delete(p.workers, name)
	if w.reservation != nil {
		p.cancelReservations(w.reservation.entry)
	}
	p.queue.wake(func(s *shape) bool { return s.blocked == GangTooLarge })
}

func (p *Placer) freeTask(task string) {
	r, ok := p.allocations[task]
	if !ok {
		return
	}
	p.release(task)
	p.noteGrown(r.worker)
	p.queue.wake(func(s *shape) bool {
		switch s.blocked {
		case RowTaskLimit, RowSizeLimit:
			return s.lane.row == r.row
		case OrganisationQuota:
			return s.lane.organisation == r.organisation
		default:
			return false
		}
	})
}

// placeWaiting places waiting tasks one at a time, in order of priority, until every remaining task
// is known to be blocked.
func (p *Placer) placeWaiting() {
	for {
		if e := p.next(); e != nil {
			p.tryEntry(e)
			continue
		}
		e := p.nextRetry()
		if e == nil {
			p.sweep()
			return
		}
		p.tryEntry(e)
		if e.shape.blocked == Ready {
			// Give the other shapes a turn before the next task of this one.
			e.shape.lastRetry = 0
			p.queue.block(e.shape, NoCapacity)
		}
	}
}

// sweepInterval is the number of steps between two removals of empty shapes.
const sweepInterval = 64

func (p *Placer) sweep() {
	if p.step%sweepInterval == 0 {
		p.queue.wake(func(*shape) bool { return false })
	}
}

func (p *Placer) next() *entry {
	if p.overdue != nil && p.overdue.waiting() && p.overdue.shape.blocked == Ready {
		return p.overdue
	}
	return p.queue.next(p.fairShare)
}

// fairShare returns the sort keys of lanes of one class: the organisation that uses the smallest share of
// the total capacity goes first, and within an organisation the row that uses the least for its weight.
func (p *Placer) fairShare(l *lane) (float64, float64) {
	return p.organisationUsage[l.organisation].size.DominantShare(p.total), p.rowUsage[l.row].size.DominantShare(p.total) / float64(max(l.weight, 1))
}

func (p *Placer) tryEntry(e *entry) {
	if why := p.checkLimits(e, e.Size); why != Ready {
		p.queue.block(e.shape, why)
		return
	}
	a := p.accessOf(e)
	e.shape.returnAt = a.nextReturn()
	if e.Gang {
		p.tryGang(e, a)
		return
	}
	w := p.bestWorker(a)
	if w == nil {
		p.queue.block(e.shape, NoCapacity)
		p.preemptFor(e, a)
		return
	}
	p.assign(e, w)
}

func (p *Placer) assign(e *entry, w *worker) {
	task := p.queue.pop(e)
	r := &allocation{task: task, row: e.Row, organisation: e.Organisation, class: e.Class, size: e.Size, started: p.now}
	if e.RunTime > 0 {
		r.plannedEnd = p.now.Add(e.RunTime)
	}
	p.allocate(r, w)
	p.closeTrial(w)
	p.emit(Assign{Task: task, Worker: w.name})
	if !e.waiting() {
		p.cancelReservations(e)
	}
}

// bestWorker returns the fullest worker that has capacity for one of the entry's tasks. Workers where
// they have failed come last.
func (p *Placer) bestWorker(a access) *worker {
	find := p.index.best
	if a.e.Spread {
		find = func(_ cell.Size, usable func(*worker) bool) *worker { return p.bestSpread(a.e, usable) }
	}
	if w := find(a.e.Size, a.preferred); w != nil || len(a.e.Avoid) == 0 {
		return w
	}
	return find(a.e.Size, a.usable)
}

// bestSpread prefers the racks that run the fewest tasks of the row.
func (p *Placer) bestSpread(e *entry, usable func(*worker) bool) *worker {
	count := map[string]int{}
	for _, w := range p.workers {
		count[w.rack] += w.rows[e.Row]
	}
	var best *worker
	var least float64
	for _, w := range p.workers {
		if !w.acceptsTasks() || !e.Size.Fits(w.free) || !usable(w) {
			continue
		}
		left := float64(count[w.rack]) + w.freeShareAfter(e.Size)/2
		if best == nil || left < least || left == least && w.name < best.name {
			best, least = w, left
		}
	}
	return best
}

// Largest returns, for each resource separately, the size of the largest worker that has been up.
// It returns false if no worker is up.
func (p *Placer) Largest() (cell.Size, bool) {
	return p.index.largest, len(p.workers) > 0
}

// Waiting returns the number of waiting tasks.
func (p *Placer) Waiting() int { return len(p.queue.tasks) }

// Rows lists the rows with waiting tasks, sorted by name.
func (p *Placer) Rows() []string {
	names := map[string]bool{}
	for key, l := range p.queue.lanes {
		if len(l.shapes) > 0 {
			names[key.row] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// AllocatedSize returns the capacity that is allocated to a task. It returns false if there is
// none.
func (p *Placer) AllocatedSize(task string) (cell.Size, bool) {
	r, ok := p.allocations[task]
	if !ok {
		return cell.Size{}, false
	}
	return r.size, true
}

// IsAssigned reports whether a task has its allocation on that worker.
func (p *Placer) IsAssigned(task, worker string) bool {
	r, ok := p.allocations[task]
	return ok && r.worker.name == worker
}

// Knows reports whether a task waits here or has an allocation.
func (p *Placer) Knows(task string) bool {
	return p.queue.tasks[task] != nil || p.allocations[task] != nil
}

// QuarantinedWorkers lists the quarantined workers, sorted by name.
func (p *Placer) QuarantinedWorkers() []string {
	var all []string
	for _, w := range p.inNameOrder() {
		if w.health.quarantined {
			all = append(all, w.name)
		}
	}
	return all
}
