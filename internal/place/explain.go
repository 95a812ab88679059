package place

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

var blockNames = map[BlockReason]string{
	Ready:             "is about to be tried",
	NoCapacity:        "no worker has room for one task",
	GangTooLarge:      "too few workers have room for all tasks at once",
	RowTaskLimit:      "its row runs as many tasks as its limit allows",
	RowSizeLimit:      "its row takes as much room as its limit allows",
	OrganisationQuota: "its organisation takes as much room as its quota allows",
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
	return text + p.explainAvoided(e) + p.explainCapacity(e), true
}

// explainAvoided tells when the entry may use the workers again where its tasks have failed.
func (p *Placer) explainAvoided(e *entry) string {
	a := p.accessOf(e)
	var all []string
	for _, name := range slices.Compact(slices.Sorted(slices.Values(e.Avoid))) {
		w, ok := p.workers[name]
		if !ok {
			all = append(all, name+", which is not led here")
			continue
		}
		switch from, ok := a.from(w); {
		case !ok:
			all = append(all, name+" while the others could hold it")
		case from.After(p.now):
			all = append(all, name+" until "+from.Format(time.StampMilli))
		default:
			all = append(all, name+" no longer")
		}
	}
	if len(all) == 0 {
		return ""
	}
	return "; it has failed on workers and avoids " + strings.Join(all, ", ")
}

// maxExplained is how many workers an explanation lists.
const maxExplained = 8

// explainCapacity lists how many of the entry's tasks fit on each worker now, beside the tasks that
// run for long, and if nothing else ran there.
func (p *Placer) explainCapacity(e *entry) string {
	var all []string
	for _, w := range p.inNameOrder()[:min(len(p.workers), maxExplained)] {
		text := fmt.Sprintf("%s %d, %d, %d", w.name, countFitting(w.free, e.Size), countFitting(p.freeBesideLongTasks(w, e.Class), e.Size), countFitting(w.size, e.Size))
		if !w.acceptsTasks() {
			text += " (quarantined)"
		}
		if w.reservation != nil && w.reservation.entry != e {
			text += " (reserved for " + w.reservation.entry.Job + ")"
		}
		all = append(all, text)
	}
	return "; tasks that fit now, beside long tasks, on an empty worker: " + strings.Join(all, "; ")
}

// LongestWait returns a waiting task of the job that has waited for the longest time, and that
// time. It returns false if nothing waits.
func (p *Placer) LongestWait() (string, time.Duration, bool) {
	var oldest *entry
	for _, lanes := range p.queue.order {
		for _, l := range lanes {
			for _, s := range l.shapes {
				if e := s.head(); e != nil && (oldest == nil || e.Since.Before(oldest.Since)) {
					oldest = e
				}
			}
		}
	}
	if oldest == nil {
		return "", 0, false
	}
	i := slices.IndexFunc(oldest.Tasks, func(task string) bool { return p.queue.tasks[task] == oldest })
	return oldest.Tasks[i], p.now.Sub(oldest.Since), true
}

// TasksOn lists the tasks that have an allocation on a worker.
func (p *Placer) TasksOn(worker string) []Used {
	w, ok := p.workers[worker]
	if !ok {
		return nil
	}
	var all []Used
	for _, r := range w.tasks {
		all = append(all, Used{Task: r.task, Row: r.row, Organisation: r.organisation, Class: r.class, Size: r.size})
	}
	return all
}
