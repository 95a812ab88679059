package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// silence returns how long a worker has not answered.
func (s *Sched) silence(w *worker) time.Duration {
	if w.unansweredSince.IsZero() {
		return 0
	}
	return s.now.Sub(w.unansweredSince)
}

// noteLoss notes that a run is given up, and from when on nothing was known of it.
func (s *Sched) noteLoss(t *flow.Task, why string) {
	n := Note{ID: t.Name.String(), What: "gone", Worker: t.Worker, Run: t.Run, Detail: why}
	if w, ok := s.workers[t.Worker]; ok {
		n.Silent = s.silence(w)
	}
	s.emit(n)
	if t.State != flow.Running && t.State != flow.Inherited && t.State != flow.Stopping {
		return
	}
	if t.LostAt.IsZero() {
		t.LostAt = s.now.Add(-n.Silent)
	}
	t.RequeuedAt = s.now
}

// noteRestart reports that a task of which a run was lost runs again.
func (s *Sched) noteRestart(t *flow.Task) {
	if t.LostAt.IsZero() {
		return
	}
	s.emit(Restarted{
		Task: t.Name, Worker: t.Worker, Run: t.Run, LongRunning: t.Spec().LongRunning,
		Held: t.RequeuedAt.Sub(t.LostAt), Waited: s.now.Sub(t.RequeuedAt),
	})
	t.LostAt, t.RequeuedAt = time.Time{}, time.Time{}
}
