package place

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// worker is one worker that may be used, and what is taken of it.
type worker struct {
	name, rack string
	size       cell.Size
	free       cell.Size
	// bulk is what tasks take that urgent work may have stopped.
	bulk cell.Size
	// usage is what its tasks were last usage to use.
	usage       cell.Size
	tasks       map[string]*allocation
	rows        map[string]int
	positions   [indexCount]position
	reservation *reservation
	health      health
	// lastSuccess is when a task last ended well there.
	lastSuccess time.Time
}

// freeShareAfter is the largest share that stays free when size is taken.
func (w *worker) freeShareAfter(size cell.Size) float64 { return w.free.Sub(size).Share(w.size) }

// acceptsTasks tells whether the worker may get a task at all.
func (w *worker) acceptsTasks() bool { return !w.health.quarantined || w.health.trialOpen }

// allocation is what one running task takes.
type allocation struct {
	task, row, team string
	class           cell.Class
	worker          *worker
	size            cell.Size
	// usage is what the task was last usage to use.
	usage               cell.Size
	started, plannedEnd time.Time
	preempting          bool
	throttled           bool
}

// usage is what the tasks of a row, team or class take in all.
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

// account books a room in (n = 1) or out (n = -1) of all sums.
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
	p.teamUsage[r.team] = p.teamUsage[r.team].add(size, n)
	if r.class == cell.Urgent {
		p.urgentUsage = p.urgentUsage.add(size, n)
	}
	p.reindex(w)
}

// reindex brings a worker to its place in both indexes.
func (p *Placer) reindex(w *worker) {
	p.index.insert(w)
	p.preemptIndex.insert(w)
}

// resizeTask books what a task is seen to use. A worker that comes out overfull
// is relieved at once.
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

// noteGrown notes that w has room that it had not when waiting work was tried.
func (p *Placer) noteGrown(w *worker) {
	if w.acceptsTasks() && !slices.Contains(p.grownWorkers, w) {
		p.grownWorkers = append(p.grownWorkers, w)
	}
}

// nextRetry returns the blocked entry that goes first of those that fit a worker
// which has got room, nil when there is none. All other blocked work was found
// to fit nowhere and nothing has changed for it, so it is not tried again.
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
