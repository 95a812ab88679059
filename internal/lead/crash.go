package lead

import (
	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/place"
)

// handleCrash has the crash count of a task stored before the task is started again.
func (l *Leader) handleCrash(a job.StoreCrashCount) {
	l.Count("lead.crashed")
	l.Log.Warn("lead: worker crashed while running a task.", "task", a.Task, "worker", a.Worker, "lives", a.Crashes)
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

// AckCrashes reports that the crash count of a task is stored.
func (l *Leader) AckCrashes(task string, crashes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepJobs(job.CrashCountStored{Task: task, Crashes: crashes})
}

func (l *Leader) crashCounts(id string) map[string]int64 {
	if l.CrashCounts == nil {
		return nil
	}
	return l.CrashCounts(id)
}

// exclusiveSize returns the size of a task that must run alone on its worker: the full size of the
// smallest held worker that fits it. If the limits of the table never allow that size, the task
// keeps its own.
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
