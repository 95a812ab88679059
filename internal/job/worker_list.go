package job

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/chart"
)

func (j *Jobs) handleList(now time.Time, ev WorkerList) []Action {
	var acts []Action
	listed := map[string]bool{}
	for _, l := range ev.Tasks {
		listed[l.ID] = true
	}
	acts = append(acts, j.attributeCrashes(ev, listed)...)
	for _, l := range ev.Tasks {
		acts = append(acts, j.handleEntry(now, ev, l)...)
	}
	for _, id := range slices.Sorted(maps.Keys(j.byWorker[ev.Worker])) {
		if !listed[id] && (ev.Jobs == nil || slices.Contains(ev.Jobs, j.tasks[id].job.spec.ID)) {
			acts = append(acts, j.handleMissing(now, j.tasks[id], ev)...)
		}
	}
	return acts
}

// handleEntry handles one entry of a worker's list. An entry of an unknown job changes nothing: its
// leader may be about to learn how the task ended.
func (j *Jobs) handleEntry(now time.Time, ev WorkerList, l ListedTask) []Action {
	t, ok := j.tasks[l.ID]
	if !ok {
		return nil
	}
	if t.worker == "" && (t.state == "unsure" || t.state == "stopping") {
		return j.foundInherited(now, t, ev.Worker, l)
	}
	if t.worker != ev.Worker {
		return j.handleEntryElsewhere(t, ev.Worker, l)
	}
	if j.isEarlierStart(t, ev, l) {
		return nil
	}
	t.lease = l.Lease
	return j.applyEntry(now, t, l)
}

// isEarlierStart reports whether an entry may describe an earlier start of the task on the same
// worker, which lists the earlier start until the next one arrives. If the entry were taken for the
// end of the next start, the task would be started elsewhere while that start is still in flight.
func (j *Jobs) isEarlierStart(t *task, ev WorkerList, l ListedTask) bool {
	switch l.State {
	case workerEnded:
		return false
	case workerRunning:
		return (t.state == "starting" || t.state == "unsure") && !t.onWorkerSince.Before(ev.Sent)
	default:
		return !t.startResolved(ev)
	}
}

// startResolved reports whether the list was made when the task's last start had arrived at the
// worker or could no longer be carried out.
func (t *task) startResolved(ev WorkerList) bool {
	switch {
	case ev.LeasesExpired:
		return true
	case t.state == "starting":
		return false
	case t.state != "running" && !t.deadline.IsZero():
		return ev.Clock.After(t.deadline)
	default:
		return t.onWorkerSince.Before(ev.Sent)
	}
}

// handleEntryElsewhere handles an entry of a task that is on another worker now, left from an
// earlier try.
func (j *Jobs) handleEntryElsewhere(t *task, worker string, l ListedTask) []Action {
	if l.State == workerRunning || l.State == workerEnded && !t.job.endStored {
		return nil
	}
	return []Action{Forget{Task: l.ID, Worker: worker, Lease: l.Lease}}
}

func (j *Jobs) applyEntry(now time.Time, t *task, l ListedTask) []Action {
	switch l.State {
	case workerRunning:
		if t.state == "stopping" {
			return []Action{Stop{Task: t.id, Worker: t.worker, Attempt: t.attempt}}
		}
		if t.state == "pausing" {
			return []Action{Pause{Task: t.id, Worker: t.worker, Attempt: t.attempt}}
		}
		if t.state == "unsure" {
			t.move("found")
			t.onWorkerSince, t.deadline = now, time.Time{}
			t.job.move("start")
			return nil
		}
		return j.started(now, l.ID)
	case workerEnded:
		return j.finish(now, t, "end")
	case workerFailed:
		return j.handleFailure(now, t)
	default:
		return j.handleLapse(t)
	}
}

func (j *Jobs) finish(now time.Time, t *task, ev chart.Event) []Action {
	if t.state == "starting" {
		t.move("started")
	}
	if !t.move(ev) {
		return nil
	}
	t.job.move("start")
	acts := []Action{t.result(now, ev == "fail"), Free{Task: t.id}}
	if ev == "fail" {
		acts = append(acts, j.giveUpFailing(t.job)...)
	} else {
		j.earnRetry(t.job.spec.Row)
	}
	acts = append(acts, j.requeueGang(t.job)...)
	return append(acts, j.endIfDone(t.job)...)
}

// handleFailure retries a task while its number of tries and its row's retry budget allow it. After
// that the whole job fails, since it can't be completed without the task.
func (j *Jobs) handleFailure(now time.Time, t *task) []Action {
	if t.state == "unsure" {
		t.move("found")
	}
	if t.job.awaitsInventory {
		return j.retry(t, "gone")
	}
	if t.tries < t.job.spec.Tries && (t.state == "running" || t.state == "pausing") && j.spendRetry(t.job.spec.Row) {
		t.avoidWorker(now, t.worker)
		acts := []Action{t.result(now, true)}
		if t.state == "pausing" {
			t.tries++
		}
		return append(acts, j.retry(t, "retry")...)
	}
	return j.finish(now, t, "fail")
}

func (j *Jobs) handleLapse(t *task) []Action {
	if t.state == "stopping" || t.state == "pausing" {
		return j.stopped(t.id)
	}
	if t.state == "unsure" {
		return j.retry(t, "gone")
	}
	return j.retry(t, "retry")
}

// retry lets the worker forget a try that did not complete before the next try.
func (j *Jobs) retry(t *task, why chart.Event) []Action {
	forget := Forget{Task: t.id, Worker: t.worker, Lease: t.lease}
	return append([]Action{forget}, j.queueAgain(t.id, why)...)
}

// handleMissing handles a task that its worker does not list. An unsure start may still arrive
// until its deadline has passed by the worker's clock. A list that was requested before a start was
// confirmed says nothing about that start: without this rule the task would be started a second
// time while the first start runs.
func (j *Jobs) handleMissing(now time.Time, t *task, ev WorkerList) []Action {
	if !t.startResolved(ev) {
		return nil
	}
	if t.suspected && t.state != "stopping" {
		return j.handleCrash(now, t)
	}
	if ev.LeasesExpired && t.state != "stopping" && t.incarnation != "" && !t.proven(now) {
		j.recordSilent(t, ev.Worker)
	}
	switch t.state {
	case "unsure", "stopping", "pausing":
		return j.queueAgain(t.id, "gone")
	case "running":
		return j.queueAgain(t.id, "retry")
	}
	return nil
}
