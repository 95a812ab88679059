package job

import (
	"fmt"
	"slices"
	"time"

	"pollencroft/internal/chart"
)

// Inherit takes over a job whose leader is gone. It is not known which of its tasks are running, so
// none is started before Release.
type Inherit struct{ Spec Spec }

// Release reports that the inventory for an inherited job is complete: a task that no list has
// shown so far runs nowhere. Crashes holds the stored crash counts of its tasks.
type Release struct {
	ID      string
	Crashes map[string]int64
}

// Adopt takes over a job from its live leader, with everything that this leader knew.
type Adopt struct{ Snapshot Snapshot }

// Drop forgets a job that another host leads now. With RememberPlaces, the job is given up because
// all workers were lost, and the places of its tasks are remembered until the job is inherited.
type Drop struct {
	ID             string
	RememberPlaces bool
}

// EndStored reports that the end of a job is stored where the next leader can find it, so workers
// may forget its tasks.
type EndStored struct{ ID string }

// StartSent sets the deadline of a start, by the worker's clock.
type StartSent struct {
	Task     string
	Deadline time.Time
}

func (Inherit) event()   {}
func (Release) event()   {}
func (Adopt) event()     {}
func (Drop) event()      {}
func (EndStored) event() {}
func (StartSent) event() {}

// Snapshot is the whole state of one job as its leader hands it over. HandoverID identifies the
// handover and is unchanged when the handover is sent again.
type Snapshot struct {
	HandoverID string         `json:"name,omitempty"`
	Spec       Spec           `json:"spec"`
	State      string         `json:"state"`
	Began      time.Time      `json:"began"`
	First      time.Time      `json:"first,omitzero"`
	Tasks      []TaskSnapshot `json:"tasks"`
}

// TaskSnapshot is one task in a Snapshot, in the order of the job's tasks.
type TaskSnapshot struct {
	State    string    `json:"state"`
	Worker   string    `json:"worker,omitempty"`
	Tries    int64     `json:"tries,omitempty"`
	Deadline time.Time `json:"deadline,omitzero"`
	Sent     bool      `json:"sent,omitempty"`
	// Incarnation is the worker's incarnation. Crashes counts the incarnations that ended while the
	// task was on the worker, and StoredCrashes is how many of them are stored.
	Incarnation   string `json:"life,omitempty"`
	Crashes       int64  `json:"lives,omitempty"`
	StoredCrashes int64  `json:"noted,omitempty"`
	// Avoid holds the workers that the task has failed on, the last time at LastFailure. The task
	// may return to one of them at AvoidUntil.
	Avoid       []string  `json:"avoid,omitempty"`
	LastFailure time.Time `json:"failed,omitzero"`
	AvoidUntil  time.Time `json:"back,omitzero"`
}

// changeLeader handles the events that come with a change of a job's leader, and those that only
// update bookkeeping.
func (j *Jobs) changeLeader(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Inherit:
		j.inherit(now, ev.Spec)
	case Release:
		return j.release(ev)
	case Adopt:
		return j.adopt(now, ev.Snapshot)
	case Drop:
		return j.drop(now, ev)
	case EndStored:
		return j.markEndStored(ev.ID)
	case StartSent:
		j.recordDeadline(ev)
	case Tick:
	}
	return nil
}

func (j *Jobs) inherit(now time.Time, spec Spec) {
	if _, ok := j.jobs[spec.ID]; ok {
		return
	}
	jb := j.add(now, spec)
	jb.awaitsInventory = true
	for _, t := range jb.tasks {
		// A start may have been sent, so callers must not be told that this job did not run.
		t.state, t.sent = "unsure", true
		j.recallPlace(t)
	}
}

// foundInherited handles the first list entry that shows an inherited task. An earlier try that
// failed or lapsed says nothing about a newer one that may be running elsewhere.
func (j *Jobs) foundInherited(now time.Time, t *task, worker string, l ListedTask) []Action {
	if l.State != workerRunning && l.State != workerEnded {
		return []Action{Forget{Task: l.ID, Worker: worker, Lease: l.Lease}}
	}
	j.move(t, worker, now)
	t.lease = l.Lease
	t.tries = max(t.tries, 1)
	return j.applyEntry(now, t, l)
}

// clearPlace forgets where a task of an inherited job was found, since it no longer runs there.
// Before the inventory is complete, the task may be running elsewhere under a leader that this host
// does not know about, so it is not started again until then.
func (j *Jobs) clearPlace(t *task) []Action {
	j.move(t, "", time.Time{})
	t.state, t.deadline = "unsure", time.Time{}
	return []Action{Free{Task: t.id}}
}

// release resumes an inherited job. StoreCrashCount actions come last: if a count is stored at
// once, the task's capacity is requested before any later action is carried out.
func (j *Jobs) release(ev Release) []Action {
	jb, ok := j.jobs[ev.ID]
	if !ok || !jb.awaitsInventory {
		return nil
	}
	jb.awaitsInventory = false
	var names []string
	var acts, crashed []Action
	for _, t := range jb.tasks {
		t.storedCrashes = max(t.storedCrashes, ev.Crashes[t.id])
		t.crashes = max(t.crashes, t.storedCrashes)
		if t.crashes > t.storedCrashes && !t.suspected {
			// This host may have been told that the count is stored while it did not know the job.
			crashed = append(crashed, t.storeCrashCount(""))
		}
		switch {
		case t.worker != "":
		case t.state == "unsure":
			t.move("gone")
			names = append(names, t.id)
			if t.suspected {
				t.suspected = false
				crashed = append(crashed, t.countCrash(t.lastPlace.worker))
			}
		case t.state == "stopping":
			acts = append(acts, j.stopped(t.id)...)
		}
	}
	if acts = append(acts, j.giveUpAfterCrashes(jb)...); jb.crashErr == nil {
		acts = append(acts, j.requestAll(jb, names)...)
	}
	return append(acts, crashed...)
}

// requestAll requests capacity for the waiting tasks of a job that has a new leader.
func (j *Jobs) requestAll(jb *job, names []string) []Action {
	switch {
	case len(names) == 0:
		return nil
	case jb.spec.Gang:
		return j.requeue(j.tasks[names[0]])
	}
	var acts []Action
	want := RequestPlacement{Spec: jb.spec, Since: jb.acceptedAt}
	for _, name := range names {
		switch t := j.tasks[name]; {
		case t.crashes > t.storedCrashes:
		case t.needsExclusiveWorker() || len(t.avoid) > 0:
			acts = append(acts, t.placementRequest())
		default:
			want.Tasks = append(want.Tasks, name)
		}
	}
	if len(want.Tasks) > 0 {
		acts = append(acts, want)
	}
	return acts
}

// Snapshot returns a job's state for its next leader. It returns false if the job is not led here,
// has ended or awaits its own inventory.
func (j *Jobs) Snapshot(id string) (Snapshot, bool) {
	jb, ok := j.jobs[id]
	if !ok || jb.awaitsInventory || jobChart.Final(jb.state) {
		return Snapshot{}, false
	}
	c := Snapshot{Spec: jb.spec, State: string(jb.state), Began: jb.acceptedAt, First: jb.firstStart}
	for _, t := range jb.tasks {
		state := t.state
		if state == "starting" {
			state = "unsure"
		}
		c.Tasks = append(c.Tasks, TaskSnapshot{
			State: string(state), Worker: t.worker, Tries: t.tries, Deadline: t.deadline, Sent: t.sent,
			Incarnation: t.incarnation, Crashes: t.crashes, StoredCrashes: t.storedCrashes, Avoid: slices.Clone(t.avoid), LastFailure: t.lastFailure, AvoidUntil: t.avoidUntil,
		})
	}
	return c, true
}

// adopt resumes a job that was handed over. It also ends an inventory for the job, since the
// previous leader knew more than any list.
//
// A handover that was already adopted arrives again if its answer was lost. It is ignored, because
// the job may have been handed on since and its tasks may have been started by other leaders.
func (j *Jobs) adopt(now time.Time, c Snapshot) []Action {
	if c.HandoverID != "" && slices.Contains(j.adopted, c.HandoverID) {
		return nil
	}
	j.recordAdopted(c.HandoverID)
	if jb, ok := j.jobs[c.Spec.ID]; ok {
		if !jb.awaitsInventory || len(c.Tasks) != len(jb.tasks) {
			return nil
		}
		j.remove(jb)
	}
	jb := j.add(now, c.Spec)
	jb.state, jb.acceptedAt, jb.firstStart = chart.State(c.State), c.Began, c.First
	var names []string
	var acts, crashed []Action
	for i, t := range jb.tasks {
		ct := c.Tasks[i]
		t.state, t.tries, t.deadline, t.sent = chart.State(ct.State), ct.Tries, ct.Deadline, ct.Sent
		j.move(t, ct.Worker, now)
		t.incarnation, t.crashes, t.storedCrashes = ct.Incarnation, ct.Crashes, ct.StoredCrashes
		t.avoid, t.lastFailure, t.avoidUntil = ct.Avoid, ct.LastFailure, ct.AvoidUntil
		delete(j.droppedPlaces, t.id)
		if t.state == "failed" && t.crashes >= maxCrashes {
			jb.crashErr = &CrashedError{Task: t.id, Crashes: t.crashes}
		}
		if t.crashes > t.storedCrashes {
			crashed = append(crashed, t.storeCrashCount(""))
		}
		switch t.state {
		case "waiting":
			names = append(names, t.id)
		case "stopping":
			acts = append(acts, Stop{Task: t.id, Worker: t.worker, Attempt: t.attempt})
		case "pausing":
			acts = append(acts, Pause{Task: t.id, Worker: t.worker, Attempt: t.attempt})
		}
	}
	return append(append(acts, j.requestAll(jb, names)...), crashed...)
}

// maxAdopted bounds the number of adopted handovers that are remembered.
const maxAdopted = 2000

func (j *Jobs) recordAdopted(name string) {
	if name == "" {
		return
	}
	j.adopted = append(j.adopted, name)
	if len(j.adopted) > maxAdopted {
		j.adopted = j.adopted[1:]
	}
}

// drop cancels the capacity requests of the job's tasks. Running tasks keep their capacity here for
// as long as their worker lists them.
func (j *Jobs) drop(now time.Time, ev Drop) []Action {
	jb, ok := j.jobs[ev.ID]
	if !ok {
		return nil
	}
	var acts []Action
	for _, t := range jb.tasks {
		if t.state == "waiting" {
			acts = append(acts, Free{Task: t.id})
		}
		if ev.RememberPlaces {
			j.rememberPlace(now, t)
		}
	}
	j.remove(jb)
	return acts
}

func (j *Jobs) remove(jb *job) {
	for _, t := range jb.tasks {
		j.move(t, "", time.Time{})
		delete(j.tasks, t.id)
	}
	delete(j.jobs, jb.spec.ID)
}

func (j *Jobs) markEndStored(id string) []Action {
	jb, ok := j.jobs[id]
	if !ok || jb.endStored || !jobChart.Final(jb.state) {
		return nil
	}
	jb.endStored = true
	var acts []Action
	for _, t := range jb.tasks {
		if t.worker != "" {
			acts = append(acts, Forget{Task: t.id, Worker: t.worker, Lease: t.lease})
			j.move(t, "", time.Time{})
		}
	}
	j.ended = append(j.ended, id)
	j.trimEnded()
	return acts
}

// maxEndedJobs bounds the number of ended jobs that are kept with all their tasks. How older ones
// ended is in the log.
const maxEndedJobs = 500

func (j *Jobs) trimEnded() {
	for len(j.ended) > maxEndedJobs {
		if jb, ok := j.jobs[j.ended[0]]; ok {
			j.remove(jb)
		}
		j.ended = j.ended[1:]
	}
}

// recordDeadline records until when a start may still be carried out.
func (j *Jobs) recordDeadline(ev StartSent) {
	if t, ok := j.tasks[ev.Task]; ok {
		t.deadline = ev.Deadline
	}
}

// Ended reports whether a job is known here and has ended, and returns its final state.
func (j *Jobs) Ended(id string) (state string, ok bool) {
	jb, known := j.jobs[id]
	if !known || !jobChart.Final(jb.state) {
		return "", false
	}
	return string(jb.state), true
}

// AwaitsInventory reports whether a job is inherited and its inventory is incomplete.
func (j *Jobs) AwaitsInventory(id string) bool {
	jb, ok := j.jobs[id]
	return ok && jb.awaitsInventory
}

// Workers lists, in no particular order, the workers that unfinished tasks are on.
func (j *Jobs) Workers() []string {
	var all []string
	for worker, on := range j.byWorker {
		for _, t := range on {
			if !taskChart.Final(t.state) {
				all = append(all, worker)
				break
			}
		}
	}
	return all
}

// HasTask reports whether a task is known here.
func (j *Jobs) HasTask(task string) bool {
	_, ok := j.tasks[task]
	return ok
}

// IsOn reports whether an unfinished task is on a worker, as far as is known.
func (j *Jobs) IsOn(task, worker string) bool {
	t, ok := j.tasks[task]
	return ok && t.worker == worker && !taskChart.Final(t.state)
}

// TaskID returns the ID of the job's task n.
func TaskID(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// Spec returns the spec of the job that a task belongs to.
func (j *Jobs) Spec(task string) (Spec, bool) {
	t, ok := j.tasks[task]
	if !ok {
		return Spec{}, false
	}
	return t.job.spec, true
}

// WaitingTasks lists a job's tasks that wait for capacity.
func (j *Jobs) WaitingTasks(id string) []string {
	jb, ok := j.jobs[id]
	if !ok {
		return nil
	}
	var all []string
	for _, t := range jb.tasks {
		if t.state == "waiting" {
			all = append(all, t.id)
		}
	}
	return all
}
