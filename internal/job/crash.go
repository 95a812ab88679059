package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pollencroft/internal/chart"
)

// A task runs on a worker without other tasks after exclusiveAfterCrashes crashes of its workers,
// and is given up after maxCrashes.
const (
	exclusiveAfterCrashes = 2
	maxCrashes            = 3
)

// maxExcusedCrashes is how many losses of whole racks are not counted against a task. The limit is
// there since the task itself may be what crashes all workers of a rack together.
const maxExcusedCrashes = 3

// provenAfter is how long a task has to run so that the end of its worker's incarnation does not
// count as a crash. Without this limit every long-running task would eventually be given up, since
// workers also crash for other reasons.
const provenAfter = time.Hour

func (t *task) proven(now time.Time) bool {
	return t.state != "unsure" && t.state != "starting" && now.Sub(t.onWorkerSince) >= provenAfter
}

// CrashedError reports that a task was given up because workers crashed while it ran.
type CrashedError struct {
	Task    string
	Crashes int64
}

func (e *CrashedError) Error() string {
	return fmt.Sprintf("task %s was given up: %d workers crashed while it ran", e.Task, e.Crashes)
}

// incarnation is a worker's incarnation as reported by a list that was requested at sent.
type incarnation struct {
	name string
	sent time.Time
}

// place is where a task was, with its crash counts.
type place struct {
	task, worker, incarnation string
	crashes, storedCrashes    int64
	excusedCrashes            int
}

// maxDroppedPlaces bounds the number of dropped tasks whose place is remembered.
const maxDroppedPlaces = 20_000

func (j *Jobs) rememberPlace(now time.Time, t *task) {
	if t.incarnation != "" && !t.proven(now) && !taskChart.Final(t.state) && len(j.droppedPlaces) < maxDroppedPlaces {
		j.droppedPlaces[t.id] = place{worker: t.worker, incarnation: t.incarnation, crashes: t.crashes, storedCrashes: t.storedCrashes, excusedCrashes: t.excusedCrashes}
	}
}

// recallPlace restores what this host knew of an inherited task when it dropped the task's job.
func (j *Jobs) recallPlace(t *task) {
	if f, ok := j.droppedPlaces[t.id]; ok {
		delete(j.droppedPlaces, t.id)
		t.lastPlace, t.crashes, t.storedCrashes, t.excusedCrashes = &f, f.crashes, f.storedCrashes, f.excusedCrashes
		j.recalled[f.worker] = append(j.recalled[f.worker], t)
	}
}

func (j *job) reason() string {
	if j.crashErr == nil {
		return ""
	}
	return j.crashErr.Error()
}

func (t *task) needsExclusiveWorker() bool { return t.crashes >= exclusiveAfterCrashes }

// NeedsExclusiveWorker reports whether a task must run on a worker without other tasks.
func (j *Jobs) NeedsExclusiveWorker(id string) bool {
	t, ok := j.tasks[id]
	return ok && t.needsExclusiveWorker()
}

// takeRecalled removes and returns the recalled tasks that were on the worker and whose jobs the
// list covers.
func (j *Jobs) takeRecalled(ev WorkerList) []*task {
	var back, rest []*task
	for _, t := range j.recalled[ev.Worker] {
		if ev.Jobs == nil || slices.Contains(ev.Jobs, t.job.spec.ID) {
			back = append(back, t)
		} else {
			rest = append(rest, t)
		}
	}
	j.recalled[ev.Worker] = rest
	if len(rest) == 0 {
		delete(j.recalled, ev.Worker)
	}
	return back
}

// attributeCrashes determines which tasks were on a worker when its previous incarnation ended. The
// cause of the end is unknown, so of several tasks only those with the most crashes before are
// suspected.
func (j *Jobs) attributeCrashes(ev WorkerList, listed map[string]bool) []Action {
	if ev.Incarnation == "" || ev.Sent.Before(j.incarnations[ev.Worker].sent) {
		return nil
	}
	j.incarnations[ev.Worker] = incarnation{name: ev.Incarnation, sent: ev.Sent}
	lost, crashedSilently := j.lostInCrash(ev, listed), j.crashedWhileSilent(ev)
	most := int64(0)
	for _, t := range slices.Concat(lost, crashedSilently) {
		most = max(most, t.crashes)
	}
	for _, t := range lost {
		t.suspected = t.crashes == most && !t.excuse(ev)
	}
	var acts []Action
	for _, t := range crashedSilently {
		if t.crashes == most && !t.excuse(ev) {
			acts = append(acts, j.countLateCrash(t, ev.Worker)...)
		}
	}
	return acts
}

// recordSilent remembers that a task was on a worker that has been silent for longer than any
// lease. Entries of ended tasks are removed, since their workers may never come back.
func (j *Jobs) recordSilent(t *task, worker string) {
	for name, all := range j.silentPlaces {
		j.silentPlaces[name] = slices.DeleteFunc(all, func(p place) bool {
			other, ok := j.tasks[p.task]
			return !ok || taskChart.Final(other.state)
		})
		if len(j.silentPlaces[name]) == 0 {
			delete(j.silentPlaces, name)
		}
	}
	j.silentPlaces[worker] = append(j.silentPlaces[worker], place{task: t.id, incarnation: t.incarnation})
}

func (t *task) excuse(ev WorkerList) bool {
	if !ev.RackLost || t.excusedCrashes >= maxExcusedCrashes {
		return false
	}
	t.excusedCrashes++
	return true
}

// crashedWhileSilent returns the unfinished tasks that were on a worker when it fell silent, if the
// worker has a different incarnation now.
func (j *Jobs) crashedWhileSilent(ev WorkerList) []*task {
	if ev.Jobs != nil {
		return nil
	}
	var crashed []*task
	for _, p := range j.silentPlaces[ev.Worker] {
		if t, ok := j.tasks[p.task]; ok && p.incarnation != ev.Incarnation && !taskChart.Final(t.state) {
			crashed = append(crashed, t)
		}
	}
	delete(j.silentPlaces, ev.Worker)
	return crashed
}

// countLateCrash counts a crash for a task that has been queued or started elsewhere meanwhile. If
// the task waits for capacity, its request is withdrawn until the count is stored.
func (j *Jobs) countLateCrash(t *task, worker string) []Action {
	crashed := t.countCrash(worker)
	if t.job.awaitsInventory {
		return []Action{crashed}
	}
	var acts []Action
	for _, o := range t.job.tasks {
		if o.state == "waiting" && (o == t || t.job.spec.Gang && t.state == "waiting") {
			acts = append(acts, Free{Task: o.id})
		}
	}
	return append(append(acts, j.giveUpAfterCrashes(t.job)...), crashed)
}

// lostInCrash returns the tasks that were on a worker in an earlier incarnation than the one that
// sent the list.
func (j *Jobs) lostInCrash(ev WorkerList, listed map[string]bool) []*task {
	var lost []*task
	for _, id := range slices.Sorted(maps.Keys(j.byWorker[ev.Worker])) {
		t := j.tasks[id]
		if !t.onWorkerSince.Before(ev.Sent) || ev.Jobs != nil && !slices.Contains(ev.Jobs, t.job.spec.ID) {
			continue
		}
		if t.incarnation != "" && t.incarnation != ev.Incarnation && !listed[id] && !taskChart.Final(t.state) {
			lost = append(lost, t)
		}
		t.incarnation = ev.Incarnation
	}
	for _, t := range j.takeRecalled(ev) {
		if t.worker == "" && t.job.awaitsInventory && !listed[t.id] && t.lastPlace.incarnation != ev.Incarnation {
			lost = append(lost, t)
		}
	}
	return lost
}

func (t *task) countCrash(worker string) StoreCrashCount {
	t.crashes++
	return t.storeCrashCount(worker)
}

func (t *task) storeCrashCount(worker string) StoreCrashCount {
	return StoreCrashCount{Job: t.job.spec.ID, Task: t.id, Worker: worker, Crashes: t.crashes}
}

// handleCrash counts a worker's crash for a task that certainly runs no longer.
func (j *Jobs) handleCrash(now time.Time, t *task) []Action {
	why := chart.Event("gone")
	if t.state == "running" {
		why = "retry"
	}
	if t.proven(now) {
		return j.queueAgain(t.id, why)
	}
	crashed := t.countCrash(t.worker)
	acts := j.queueAgain(t.id, why)
	if !t.job.awaitsInventory {
		acts = append(acts, j.giveUpAfterCrashes(t.job)...)
	}
	// The capacity must be freed before it is requested again.
	return append(acts, crashed)
}

// giveUpAfterCrashes fails the waiting tasks of a job if one of its tasks has reached maxCrashes,
// since the job can't be completed then. Running tasks may end.
func (j *Jobs) giveUpAfterCrashes(jb *job) []Action {
	reachedMax := func(t *task) bool { return t.crashes >= maxCrashes && !taskChart.Final(t.state) }
	i := slices.IndexFunc(jb.tasks, reachedMax)
	if jb.crashErr != nil || i < 0 {
		return nil
	}
	jb.crashErr = &CrashedError{Task: jb.tasks[i].id, Crashes: jb.tasks[i].crashes}
	var acts []Action
	for _, t := range jb.tasks {
		if t.state == "waiting" && t.move("fail") {
			acts = append(acts, Free{Task: t.id})
		}
	}
	return append(acts, j.endIfDone(jb)...)
}

// crashCountStored requests capacity for a task that waited for its crash count to be stored.
func (j *Jobs) crashCountStored(ev CrashCountStored) []Action {
	t, ok := j.tasks[ev.Task]
	if !ok || t.storedCrashes >= t.crashes || ev.Crashes < t.crashes {
		return nil
	}
	t.storedCrashes = ev.Crashes
	if t.state != "waiting" || t.job.awaitsInventory {
		return nil
	}
	return j.requeue(t)
}
