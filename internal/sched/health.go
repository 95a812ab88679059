package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// accepts reports whether the worker may get work. A suspect worker gets one task at a time after
// its quarantine.
func (w *worker) accepts(now time.Time) bool {
	if !w.health.Suspect() {
		return true
	}
	return w.health.Over(now) && !w.hasUnproven(now)
}

// hasUnproven reports whether the worker has a task that may still show whether it is healthy. A
// long-running task that has run for provenAfter doesn't: waiting for its end could take forever.
func (w *worker) hasUnproven(now time.Time) bool {
	for _, t := range w.tasks {
		if !t.Spec().LongRunning || t.State != flow.Running || now.Sub(t.Since) < provenAfter {
			return true
		}
	}
	return false
}

// recordRunFailure counts a failed or stalled run against its worker.
func (s *Sched) recordRunFailure(w *worker, t *flow.Task) {
	if d := w.health.Fail(t.Job.Spec.ID, s.now); d > 0 {
		s.emit(Note{ID: w.Incarnation, What: "worker quarantined", Worker: w.Incarnation, Detail: d.String()})
	}
}
