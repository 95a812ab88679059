package host

import (
	"pollencroft/internal/job"
	"pollencroft/internal/joblog"
)

// storeCrashes has the lives that ended under a task stored, in the log or while that is away by a
// peer. The lead does not start the task again before.
func (h *Host) storeCrashes(spec job.Spec, task string, lives int64) {
	rec := joblog.Record{ID: spec.ID, Spec: &spec, Crashes: map[string]int64{task: lives}}
	h.storeRecord(rec, func() { h.ackCrashes(rec) })
}

// ackCrashes tells the lead which lives are stored.
func (h *Host) ackCrashes(rec joblog.Record) {
	for task, lives := range rec.Crashes {
		h.leader.AckCrashes(task, lives)
	}
}

// crashCounts are how many crashCounts of workers ended under a job's tasks, as far as that is stored.
func (h *Host) crashCounts(id string) map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs.log.Crashes(id)
}
