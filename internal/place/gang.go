package place

import (
	"pollencroft/internal/cell"
)

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
		r := &allocation{task: e.Tasks[i], row: e.Row, organisation: e.Organisation, class: e.Class, size: e.Size}
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
