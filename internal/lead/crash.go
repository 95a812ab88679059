package lead

import (
	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/place"
)

// handleCrash has the lives stored that ended under a task, before it is started again.
func (l *Leader) handleCrash(a job.StoreCrashCount) {
	l.Count("lead.crashed")
	l.Log.Warn("lead: worker crashed while a task ran there.", "task", a.Task, "worker", a.Worker, "lives", a.Crashes)
	l.addNote(a.Job, a.Worker+" crashed while "+a.Task+" ran there")
	spec, ok := l.Jobs.Spec(a.Task)
	switch {
	case !ok:
	case l.StoreCrashes == nil:
		l.stepJobs(job.CrashCountStored{Task: a.Task, Crashes: a.Crashes})
	default:
		l.StoreCrashes(spec, a.Task, a.Crashes)
	}
}

// AckCrashes tells that the lives that ended under a task are stored.
func (l *Leader) AckCrashes(task string, lives int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepJobs(job.CrashCountStored{Task: task, Crashes: lives})
}

func (l *Leader) crashCounts(id string) map[string]int64 {
	if l.CrashCounts == nil {
		return nil
	}
	return l.CrashCounts(id)
}

// exclusiveSize is the room of a task that is tried on a worker of its own: all of the smallest worker
// that has enough. Where the table's limits never allow that it stays as it was.
func (l *Leader) exclusiveSize(w place.Request) cell.Size {
	alone := w
	alone.Size = cell.Size{}
	for _, name := range l.Leases.Held() {
		size := l.machines[name].Size
		if w.Size.Fits(size) && (alone.Size == cell.Size{} || size.Fits(alone.Size)) {
			alone.Size = size
		}
	}
	if (alone.Size == cell.Size{}) || l.Placer.CheckFeasible(alone) != nil {
		return w.Size
	}
	return alone.Size
}
