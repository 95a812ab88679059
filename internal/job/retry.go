package job

import (
	"slices"
	"time"
)

// A row's budget of retries. Each failed try that is tried again costs one and
// each ended task earns a part, so that a row whose tasks always fail stops
// taking workers' time after a bounded number of starts.
const (
	maxRetryBudget     = 50.0
	budgetPerEndedTask = 0.2
)

// giveUpAfterFailures is how many of a job's tasks may fail for good, with none ended,
// before the rest is not started any more.
const giveUpAfterFailures = 10

// maxAvoidedWorkers is how many workers one task avoids.
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

// A task that cannot do without a worker that it has failed on goes back there after a while, which
// doubles with each failure. Failures in quick succession on one worker tell nothing more of the task.
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

// giveUpFailing fails the tasks that still wait when none of the job's tasks ever
// ended and many failed.
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

// paused queues a task again that was stopped for others. Being stopped is not
// its fault and uses up no try.
func (j *Jobs) paused(t *task) []Action {
	t.move("stopped")
	t.tries--
	j.move(t, "", time.Time{})
	return j.requeue(t)
}

// placementRequest asks for room for a task that is not one of a gang.
func (t *task) placementRequest() RequestPlacement {
	return RequestPlacement{
		Spec: t.job.spec, Tasks: []string{t.id}, Since: t.job.acceptedAt, Exclusive: t.needsExclusiveWorker(),
		Avoid: slices.Clone(t.avoid), LastFailure: t.lastFailure, AvoidUntil: t.avoidUntil,
	}
}

// requeue asks for room for a task that certainly runs nowhere. A gang whose
// tasks do not all run has no use of the others: they are paused, and room is
// asked for all of them together once the last one has stopped. Else the part
// that runs would hold its room for as long as the rest finds none.
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
	whole := true
	for _, o := range t.job.tasks {
		switch {
		case taskChart.Final(o.state):
		case o.state == "waiting":
			acts = append(acts, Free{Task: o.id})
			want.Tasks = append(want.Tasks, o.id)
			want.Avoid = append(want.Avoid, o.avoid...)
			want.LastFailure = slices.MaxFunc([]time.Time{want.LastFailure, o.lastFailure}, time.Time.Compare)
			want.AvoidUntil = slices.MaxFunc([]time.Time{want.AvoidUntil, o.avoidUntil}, time.Time.Compare)
			want.Exclusive = want.Exclusive || o.needsExclusiveWorker()
			whole = whole && o.crashes == o.storedCrashes
		default:
			whole = false
			acts = append(acts, j.pause(o.id)...)
		}
	}
	if whole {
		acts = append(acts, want)
	}
	return acts
}
