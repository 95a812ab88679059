package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pollencroft/internal/flow"
)

// setWorkers applies the platform's list of workers. A worker that is not listed gets no new work;
// its runs continue as long as it answers.
func (s *Sched) setWorkers(ev Workers) {
	listed := make(map[string]bool, len(ev.All))
	for _, l := range ev.All {
		if s.isOutdated(l.Incarnation) {
			continue
		}
		listed[l.Incarnation] = true
		w, ok := s.workers[l.Incarnation]
		if !ok {
			w = newWorker(l, s.usage)
			w.firstSeen = s.now
			s.addWorker(w)
			s.emit(Note{ID: l.Incarnation, What: "worker listed", Worker: l.Incarnation, Detail: l.Domain})
		}
		s.updateWorker(w, l)
		w.listed, w.unlistedSince = true, time.Time{}
		if l.Draining && !w.draining {
			s.startDraining(w, l.Remaining)
		}
		s.ensureHold(w)
	}
	s.endReplaced()
	for _, w := range s.sortedWorkers() {
		incarnation := w.Incarnation
		if !listed[incarnation] && w.listed {
			w.listed, w.unlistedSince = false, s.now
			s.emit(Note{ID: incarnation, What: "worker not listed", Worker: incarnation})
			s.probe(w)
		}
	}
}

// updateWorker applies a worker's current entry. Its runs continue; starts that are not sent yet
// must fit the new entry.
func (s *Sched) updateWorker(w *worker, l Worker) {
	same := w.Size == l.Size && w.Service == l.Service && slices.Equal(w.Labels, l.Labels)
	if w.sizedAt.IsZero() || w.Size != l.Size {
		s.noteResize(w, l)
	}
	w.Worker = l
	if !same {
		w.factor = 0
		s.recallStarts(w)
	}
}

// noteResize notes a change of a worker's size, with the previous size and how long that was valid.
func (s *Sched) noteResize(w *worker, l Worker) {
	since := w.sizedAt
	w.sizedAt = s.now
	if since.IsZero() {
		return
	}
	a, b := w.Size, l.Size
	s.emit(Note{ID: w.Incarnation, What: "worker resized", Worker: w.Incarnation, Detail: fmt.Sprintf(
		"cpu %d to %d, mem %d to %d, accel %d to %d, entry %d; before: entry %d, %s",
		a.CPU, b.CPU, a.Mem, b.Mem, a.Accel, b.Accel, l.Version, w.Version, s.now.Sub(since),
	)})
}

// recallStarts requeues unsent starts that their worker no longer suits, the least urgent first.
func (s *Sched) recallStarts(w *worker) {
	for _, t := range s.unsentStarts(w) {
		label := t.Spec().Label
		switch {
		case t.State != flow.Assigned:
			// It was already requeued with another member of its gang.
		case w.Service != s.queue(t.Job).Service || label != "" && !slices.Contains(w.Labels, label):
			s.requeueTask(t, "worker changed before the start")
		case !w.used.Fits(w.Size):
			s.requeueTask(t, "worker shrank before the start")
		}
	}
}

// unsentStarts lists the tasks of workers whose starts are not sent yet, the least urgent first.
func (s *Sched) unsentStarts(workers ...*worker) []*flow.Task {
	var all []*flow.Task
	for _, w := range workers {
		for _, t := range w.sortedTasks() {
			if t.State == flow.Assigned {
				all = append(all, t)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *flow.Task) int {
		return cmp.Or(s.queue(b.Job).Rank-s.queue(a.Job).Rank, cmp.Compare(b.Job.Number, a.Job.Number))
	})
	return all
}

// startDraining marks a worker as draining: nothing more starts there.
func (s *Sched) startDraining(w *worker, left time.Duration) {
	w.draining = true
	w.leavesAt = s.now.Add(left)
	s.emit(Note{ID: w.Incarnation, What: "worker draining", Worker: w.Incarnation, Detail: left.String()})
}
