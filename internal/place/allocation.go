package place

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// worker is a worker that may get tasks, with its allocations.
type worker struct {
	name, rack string
	size       cell.Size
	free       cell.Size
	// bulk is the capacity allocated to bulk tasks, which urgent tasks may preempt.
	bulk cell.Size
	// usage is the measured usage of its tasks.
	usage       cell.Size
	tasks       map[string]*allocation
	rows        map[string]int
	positions   [indexCount]position
	reservation *reservation
	health      health
	// lastGoodStart is the latest start on the worker of a task that has succeeded there.
	lastGoodStart time.Time
}

// freeShareAfter returns the largest share of any resource that remains free after size is
// allocated.
func (w *worker) freeShareAfter(size cell.Size) float64 {
	return w.free.Sub(size).DominantShare(w.size)
}

// freeAfter returns the capacity that is free once those tasks have ended for which ends returns
// true.
func (w *worker) freeAfter(ends func(*allocation) bool) cell.Size {
	free := w.free
	for _, r := range w.tasks {
		if ends(r) {
			free = free.Add(r.size)
		}
	}
	return free
}

// acceptsTasks reports whether the worker may get tasks: it is not quarantined, or a trial is due.
func (w *worker) acceptsTasks() bool { return !w.health.quarantined || w.health.trialOpen }

// allocation is the capacity that one running task holds on a worker.
type allocation struct {
	task, row, organisation string
	class                   cell.Class
	worker                  *worker
	size                    cell.Size
	// usage is the last measured usage of the task.
	usage               cell.Size
	started, plannedEnd time.Time
	preempting          bool
	throttled           bool
}

// usage is the total allocation of a row, organisation or class.
type usage struct {
	size  cell.Size
	tasks int64
}

func (s usage) add(size cell.Size, n int64) usage {
	return usage{size: s.size.Add(size), tasks: s.tasks + n}
}

func (p *Placer) allocate(r *allocation, w *worker) {
	p.release(r.task)
	r.worker = w
	p.allocations[r.task] = r
	w.tasks[r.task] = r
	if w.rows == nil {
		w.rows = map[string]int{}
	}
	w.rows[r.row]++
	p.account(r, r.size, 1)
}

func (p *Placer) release(task string) {
	r, ok := p.allocations[task]
	if !ok {
		return
	}
	delete(p.allocations, task)
	delete(r.worker.tasks, task)
	r.worker.rows[r.row]--
	r.worker.usage = r.worker.usage.Sub(r.usage)
	p.account(r, r.size, -1)
}

// account adds an allocation to all totals (n = 1) or subtracts it from them (n = -1).
func (p *Placer) account(r *allocation, size cell.Size, n int64) {
	w := r.worker
	if n < 0 {
		size = cell.Size{}.Sub(size)
	}
	w.free = w.free.Sub(size)
	p.free = p.free.Sub(size)
	if r.class == cell.Bulk {
		w.bulk = w.bulk.Add(size)
	}
	p.rowUsage[r.row] = p.rowUsage[r.row].add(size, n)
	p.organisationUsage[r.organisation] = p.organisationUsage[r.organisation].add(size, n)
	if r.class == cell.Urgent {
		p.urgentUsage = p.urgentUsage.add(size, n)
	}
	p.reindex(w)
}

// reindex updates the position of a worker in both indexes.
func (p *Placer) reindex(w *worker) {
	p.index.insert(w)
	p.preemptIndex.insert(w)
}

// resizeTask records the measured usage and the new size of a task. If the usage then exceeds the
// worker's size, the overload is relieved at once.
func (p *Placer) resizeTask(ev TaskResized) {
	r, ok := p.allocations[ev.Task]
	if !ok {
		return
	}
	r.worker.usage = r.worker.usage.Add(ev.Use).Sub(r.usage)
	r.usage = ev.Use
	p.relieveOverload(r.worker)
	if r.size == ev.Size {
		return
	}
	p.account(r, r.size, -1)
	r.size = ev.Size
	p.account(r, r.size, 1)
	p.noteGrown(r.worker)
}

// noteGrown records that w has free capacity that it did not have when waiting entries were last
// tried.
func (p *Placer) noteGrown(w *worker) {
	if w.acceptsTasks() && !slices.Contains(p.grownWorkers, w) {
		p.grownWorkers = append(p.grownWorkers, w)
	}
}

// nextRetry returns the first blocked entry that may fit a worker which gained free capacity, or
// nil if there is none. All other blocked entries were found to fit nowhere and nothing has changed
// for them, so they are not retried.
func (p *Placer) nextRetry() *entry {
	for len(p.grownWorkers) > 0 {
		w := p.grownWorkers[0]
		e := p.queue.nextBlocked(p.fairShare, func(s *shape) bool { return s.lastRetry != p.step && p.mayFit(s, w) })
		if e != nil {
			e.shape.lastRetry = p.step
			p.queue.markReady(e.shape)
			return e
		}
		p.grownWorkers = p.grownWorkers[1:]
	}
	return nil
}

func (p *Placer) mayFit(s *shape, w *worker) bool {
	switch s.blocked {
	case NoCapacity, GangTooLarge:
		return s.size.Fits(w.free)
	case ReservedForUrgent:
		return p.keepsUrgentReserve(s.size)
	default:
		return false
	}
}
