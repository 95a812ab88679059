package lead

import (
	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/place"
)

// crashed has the lives stored that ended under a task, before it is started again.
func (l *Lead) crashed(a job.Crashed) {
	l.Count("lead.crashed")
	l.Log.Warn("lead: worker crashed while a task ran there.", "task", a.Task, "worker", a.Worker, "lives", a.Lives)
	l.note(a.Job, a.Worker+" crashed while "+a.Task+" ran there")
	spec, ok := l.Jobs.Spec(a.Task)
	switch {
	case !ok:
	case l.Crashed == nil:
		l.job(job.Noted{Task: a.Task, Lives: a.Lives})
	default:
		l.Crashed(spec, a.Task, a.Lives)
	}
}

// Noted tells that the lives that ended under a task are stored.
func (l *Lead) Noted(task string, lives int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.job(job.Noted{Task: task, Lives: lives})
}

func (l *Lead) livesOf(id string) map[string]int64 {
	if l.Lives == nil {
		return nil
	}
	return l.Lives(id)
}

// apart is the room of a task that is tried on a worker of its own: all of the smallest worker
// that has enough. Where the table's limits never allow that it stays as it was.
func (l *Lead) apart(w place.Request) cell.Size {
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
