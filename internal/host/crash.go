package host

import (
	"pollencroft/internal/job"
	"pollencroft/internal/joblog"
)

// storeCrashes stores the crash count of a task in the log or, while the log is unavailable, at
// a peer. The leader does not restart the task before this is done.
func (h *Host) storeCrashes(spec job.Spec, task string, crashes int64) {
	rec := joblog.Record{ID: spec.ID, Spec: &spec, Crashes: map[string]int64{task: crashes}}
	h.storeRecord(rec, func() { h.ackCrashes(rec) })
}

// ackCrashes tells the leader which crash counts are stored.
func (h *Host) ackCrashes(rec joblog.Record) {
	for task, crashes := range rec.Crashes {
		h.leader.AckCrashes(task, crashes)
	}
}

// crashCounts returns how many worker incarnations crashed while they ran each task of a job, as
// far as that is stored.
func (h *Host) crashCounts(id string) map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs.log.Crashes(id)
}
