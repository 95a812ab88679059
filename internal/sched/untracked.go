package sched

import (
	"slices"

	"pollencroft/internal/flow"
)

// recordUntracked names an untracked run in its job's record, so that a successor counts it. Runs of
// jobs that are not known have no record.
func (s *Sched) recordUntracked(w *worker, k runKey) {
	if j, ok := s.jobs[k.task.Job]; ok && j.AddUntracked(flow.UntrackedRun{Task: k.task, Run: k.run, Worker: w.Incarnation}) {
		s.markDirty(j)
	}
}

// unrecordUntracked removes an untracked run from its job's record.
func (s *Sched) unrecordUntracked(w *worker, k runKey) {
	if j, ok := s.jobs[k.task.Job]; ok && j.RemoveUntracked(flow.UntrackedRun{Task: k.task, Run: k.run, Worker: w.Incarnation}) {
		s.markDirty(j)
	}
}

// adoptUntracked books the untracked runs that a previous leader's record of a job names. Each is
// released like one of this term: when its end is listed, when it was stopped and is not listed any
// more, or when the leases on its worker have certainly expired.
func (s *Sched) adoptUntracked(j *flow.Job) {
	for _, r := range slices.Clone(j.Untracked) {
		w, k := s.ensureWorker(r.Worker), runKey{r.Task, r.Run}
		if w.knows(k) {
			j.RemoveUntracked(r)
			continue
		}
		l := untrackedRun{footprint: footprintOf(j, r.Task)}
		w.book(l.footprint)
		w.untracked[k] = l
	}
}

// noteInherited reports the untracked runs that the records of previous leaders name.
func (s *Sched) noteInherited() {
	for _, w := range s.sortedWorkers() {
		for _, k := range sortedRuns(w.untracked) {
			s.emit(Note{ID: k.task.String(), What: "run untracked", Worker: w.Incarnation, Run: k.run, Detail: "in a previous leader's record"})
		}
	}
}

// settled reports whether none of an ended job's runs is untracked and all of its changes are stored.
// A record that is stored after the job was deleted would remain forever.
func (s *Sched) settled(j *flow.Job) bool {
	if _, dirty := s.dirty[j.Spec.ID]; dirty || len(j.Untracked) > 0 {
		return false
	}
	return !slices.ContainsFunc(s.inFlight, func(b *batch) bool {
		_, ok := b.states[j]
		return ok && !b.stored
	})
}
