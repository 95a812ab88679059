package place

import "fmt"

var blockNames = map[BlockReason]string{
	Ready:             "is about to be tried",
	NoCapacity:        "no worker has room for one task",
	GangTooLarge:      "too few workers have room for all tasks at once",
	RowTaskLimit:      "its row runs as many tasks as its limit allows",
	RowSizeLimit:      "its row takes as much room as its limit allows",
	TeamQuota:         "its team takes as much room as its quota allows",
	ReservedForUrgent: "what is free is kept back for urgent work",
}

// String describes the reason for operators.
func (b BlockReason) String() string { return blockNames[b] }

// ExplainWait explains why the tasks of the job that task belongs to wait. It returns false if the
// task is not waiting here.
func (p *Placer) ExplainWait(task string) (string, bool) {
	e, ok := p.queue.tasks[task]
	if !ok {
		return "", false
	}
	text := fmt.Sprintf("%d tasks of class %s wait: %s; each takes %+v, %+v of %+v are free on %d workers", e.pending, e.Class, e.shape.blocked, e.Size, p.free, p.total, len(p.workers))
	if e == p.overdue {
		text += "; it is overdue, so room is kept for it"
	}
	if n := len(e.reserved); n > 0 {
		text += fmt.Sprintf(" on %d workers", n)
	}
	return text, true
}

// TasksOn lists the tasks that have an allocation on a worker.
func (p *Placer) TasksOn(worker string) []Used {
	w, ok := p.workers[worker]
	if !ok {
		return nil
	}
	var all []Used
	for _, r := range w.tasks {
		all = append(all, Used{Task: r.task, Row: r.row, Team: r.team, Class: r.class, Size: r.size})
	}
	return all
}
