package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// Limits for quarantining workers. A worker that fails every run always has free capacity, so it
// would attract the whole queue and use up every task's attempts.
const (
	// maxFailures is how many failures of different jobs, without a successful run between them,
	// make a worker suspect. At the highest failure share that the users' queues have by
	// themselves, 0.1, three in a row happen by chance once in a thousand.
	maxFailures = 3
	// minQuarantine and maxQuarantine bound how long a suspect worker gets no work before its next
	// trial task; each failed trial doubles the time.
	minQuarantine = 3 * time.Second
	maxQuarantine = 12 * time.Second
)

// health tracks the recent failures of runs on a worker.
type health struct {
	failures         int
	lastJob          string
	quarantine       time.Duration
	quarantinedUntil time.Time
}

func (h *health) reset() { *h = health{} }

// accepts reports whether the worker may get work. A suspect worker gets one task at a time after
// its quarantine.
func (w *worker) accepts(now time.Time) bool {
	if w.health.quarantine == 0 {
		return true
	}
	return !now.Before(w.health.quarantinedUntil) && !w.hasUnproven(now)
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

func (h *health) fail(job string, now time.Time) bool {
	if h.lastJob != job {
		h.failures++
	}
	h.lastJob = job
	if h.failures < maxFailures {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantine)
	return true
}

// recordRunFailure counts a failed or stalled run against its worker.
func (s *Sched) recordRunFailure(w *worker, t *flow.Task) {
	if w.health.fail(t.Job.Spec.ID, s.now) {
		s.emit(Note{ID: w.Incarnation, What: "worker quarantined", Worker: w.Incarnation, Detail: w.health.quarantine.String()})
	}
}
