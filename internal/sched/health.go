package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// Bounds of the judgement of workers. A worker that fails all that it starts
// always has room, and would swallow the queue and use up every task's tries.
const (
	// maxFailures is how many failures of different jobs without one good end
	// between them make a worker suspect: at the highest share of failures that
	// the users' queues have by themselves, 0.1, three in a row come by chance
	// once in a thousand.
	maxFailures = 3
	// minQuarantine and longestRest bound how long a suspect gets no work before its
	// next trial; each failed trial doubles it.
	minQuarantine = 3 * time.Second
	maxQuarantine = 12 * time.Second
)

// health is what the ends of its tasks say of a worker.
type health struct {
	fails            int
	lastJob          string
	quarantine       time.Duration
	quarantinedUntil time.Time
}

func (h *health) reset() { *h = health{} }

// accepts tells whether the worker may get work; a suspect that has rested gets
// one task at a time.
func (h *health) accepts(now time.Time, running int) bool {
	if h.quarantine == 0 {
		return true
	}
	return !now.Before(h.quarantinedUntil) && running == 0
}

func (h *health) fail(job string, now time.Time) bool {
	if h.lastJob != job {
		h.fails++
	}
	h.lastJob = job
	if h.fails < maxFailures {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantine)
	return true
}

// recordRunFailure counts a run that failed or stood still against its worker.
func (s *Sched) recordRunFailure(w *worker, t *flow.Task) {
	if w.health.fail(t.Job.Spec.ID, s.now) {
		s.emit(Note{ID: w.Incarnation, What: "worker is set aside", Worker: w.Incarnation, Detail: w.health.quarantine.String()})
	}
}
