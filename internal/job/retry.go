package job

import (
	"slices"
	"time"
)

// The retry budget of a row. Each retry costs one and each ended task earns budgetPerEndedTask, so
// that a row whose tasks always fail stops using workers after a bounded number of starts.
const (
	maxRetryBudget     = 50.0
	budgetPerEndedTask = 0.2
)

// giveUpAfterFailures is how many of a job's tasks may fail for good, with none ended, before its
// remaining tasks are not started any more.
const giveUpAfterFailures = 10

// maxAvoidedWorkers is how many workers one task avoids at most.
const maxAvoidedWorkers = 3

func (j *Jobs) spendRetry(row string) bool {
	left, ok := j.budgets[row]
	if !ok {
		left = maxRetryBudget
	}
	if left < 1 {
		return false
	}
	j.budgets[row] = left - 1
	return true
}

func (j *Jobs) earnRetry(row string) {
	if left, ok := j.budgets[row]; ok {
		j.budgets[row] = min(left+budgetPerEndedTask, maxRetryBudget)
	}
}

// If a task can't run without a worker that it has failed on, it returns to that worker after a delay
// that doubles with each failure. Failures in quick succession on one worker say nothing more about
// the task.
const (
	minAvoidTime = 10 * time.Second
	maxAvoidTime = time.Minute
)

func (t *task) avoidWorker(now time.Time, worker string) {
	t.lastFailure, t.avoidUntil = now, now.Add(min(minAvoidTime<<min(max(t.tries-1, 0), 10), maxAvoidTime))
	if !slices.Contains(t.avoid, worker) {
		t.avoid = append(t.avoid, worker)
	}
	if len(t.avoid) > maxAvoidedWorkers {
		t.avoid = t.avoid[1:]
	}
}

func (t *task) result(now time.Time, failed bool) Result {
	return Result{Task: t.id, Row: t.job.spec.Row, Worker: t.worker, Failed: failed, Run: now.Sub(t.onWorkerSince)}
}

// giveUpFailing fails the waiting tasks if none of the job's tasks has ended and at least
// giveUpAfterFailures have failed.
func (j *Jobs) giveUpFailing(jb *job) []Action {
	failed := 0
	for _, t := range jb.tasks {
		switch t.state {
		case "ended":
			return nil
		case "failed":
			failed++
		}
	}
	if failed < giveUpAfterFailures {
		return nil
	}
	var acts []Action
	for _, t := range jb.tasks {
		if t.state == "waiting" && t.move("fail") {
			acts = append(acts, Free{Task: t.id})
		}
	}
	return acts
}

// pause takes a task off its worker to run it again later.
func (j *Jobs) pause(id string) []Action {
	t, ok := j.tasks[id]
	if !ok || t.job.awaitsInventory || !t.move("pause") {
		return nil
	}
	return []Action{Pause{Task: id, Worker: t.worker, Attempt: t.attempt}}
}

// paused queues a preempted task again. The preemption is not the task's fault and uses up no try.
func (j *Jobs) paused(t *task) []Action {
	t.move("stopped")
	t.tries--
	j.move(t, "", time.Time{})
	return j.requeue(t)
}

// placementRequest returns the request for a task that is not part of a gang.
func (t *task) placementRequest() RequestPlacement {
	return RequestPlacement{
		Spec: t.job.spec, Tasks: []string{t.id}, Since: t.job.acceptedAt, Exclusive: t.needsExclusiveWorker(),
		Avoid: slices.Clone(t.avoid), LastFailure: t.lastFailure, AvoidUntil: t.avoidUntil,
		LastTry: t.lastTry(),
	}
}

func (t *task) lastTry() bool { return t.tries >= t.job.spec.Tries-1 }

// requeueGang requests capacity for the waiting tasks of a gang whose last task on a worker has
// ended instead of being paused.
func (j *Jobs) requeueGang(jb *job) []Action {
	if !jb.spec.Gang || jb.awaitsInventory {
		return nil
	}
	for _, t := range jb.tasks {
		if t.state == "waiting" {
			return j.requeue(t)
		}
	}
	return nil
}

// requeue requests capacity for a task that certainly runs nowhere. If some tasks of a gang run
// without the others, they are paused, and capacity is requested for all of them together once the
// last one has stopped. Otherwise the running tasks would hold their capacity for as long as none
// is found for the rest.
func (j *Jobs) requeue(t *task) []Action {
	free := Free{Task: t.id}
	if t.job.crashErr != nil {
		t.move("fail")
		return append([]Action{free}, j.endIfDone(t.job)...)
	}
	if !t.job.spec.Gang {
		acts := []Action{free}
		if t.crashes == t.storedCrashes {
			acts = append(acts, t.placementRequest())
		}
		return acts
	}
	acts := []Action{free}
	want := RequestPlacement{Spec: t.job.spec, Since: t.job.acceptedAt}
	ready := true
	for _, o := range t.job.tasks {
		switch {
		case taskChart.Final(o.state):
		case o.state == "waiting":
			acts = append(acts, Free{Task: o.id})
			want.Tasks = append(want.Tasks, o.id)
			want.Avoid = append(want.Avoid, o.avoid...)
			want.LastFailure = slices.MaxFunc([]time.Time{want.LastFailure, o.lastFailure}, time.Time.Compare)
			want.AvoidUntil = slices.MaxFunc([]time.Time{want.AvoidUntil, o.avoidUntil}, time.Time.Compare)
			want.LastTry = want.LastTry || o.lastTry()
			want.Exclusive = want.Exclusive || o.needsExclusiveWorker()
			ready = ready && o.crashes == o.storedCrashes
		default:
			ready = false
			acts = append(acts, j.pause(o.id)...)
		}
	}
	if ready {
		acts = append(acts, want)
	}
	return acts
}
