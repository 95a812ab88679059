package job

import (
	"fmt"
	"slices"
	"time"

	"pollencroft/internal/chart"
)

// Inherit takes over a job whose lead is gone. Nobody knows which of its
// tasks run, so nothing of it is started before Release.
type Inherit struct{ Spec Spec }

// Release tells that the census for an inherited job is complete: a task that
// no list has shown until now runs nowhere.
// Lives are how many lives of workers ended under its tasks, as far as that is stored.
type Release struct {
	ID      string
	Crashes map[string]int64
}

// Adopt takes over a job from its live lead, with all that this one knew.
type Adopt struct{ Snapshot Snapshot }

// Drop forgets a job that another host leads now. With Recall set it is given up because all workers
// were lost, and where its tasks were is remembered until it is inherited.
type Drop struct {
	ID             string
	RememberPlaces bool
}

// EndStored tells that the end of a job lies where a successor finds it, so that
// workers may forget its tasks.
type EndStored struct{ ID string }

// StartSent tells the deadline of a start, in the worker's clock.
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

// Snapshot is one job's whole state, as its lead hands it over. Name tells one hand-over from all
// others; sent again, it keeps it.
type Snapshot struct {
	HandoverID string         `json:"name,omitempty"`
	Spec       Spec           `json:"spec"`
	State      string         `json:"state"`
	Began      time.Time      `json:"began"`
	First      time.Time      `json:"first,omitzero"`
	Tasks      []TaskSnapshot `json:"tasks"`
}

// TaskSnapshot is one task in a Carry, in the order of the job's tasks.
type TaskSnapshot struct {
	State    string    `json:"state"`
	Worker   string    `json:"worker,omitempty"`
	Tries    int64     `json:"tries,omitempty"`
	Deadline time.Time `json:"deadline,omitzero"`
	Sent     bool      `json:"sent,omitempty"`
	// Incarnation is the worker's life, Lives and Noted are how many ended under the task and how many
	// of these are stored.
	Incarnation   string `json:"life,omitempty"`
	Crashes       int64  `json:"lives,omitempty"`
	StoredCrashes int64  `json:"noted,omitempty"`
	// Avoid are the workers that the task has failed on, the last time at Failed. It goes back to one
	// of them at Back.
	Avoid       []string  `json:"avoid,omitempty"`
	LastFailure time.Time `json:"failed,omitzero"`
	AvoidUntil  time.Time `json:"back,omitzero"`
}

// changeLeader handles the events that give a job another lead.
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
		// A start may have been sent for all that is known, so nobody may be
		// told that this job did not run.
		t.state, t.sent = "unsure", true
		j.recallPlace(t)
	}
}

// foundInherited takes the first sight of an inherited task. An older try that failed
// or lapsed says nothing of a newer one that may run elsewhere.
func (j *Jobs) foundInherited(now time.Time, t *task, worker string, l ListedTask) []Action {
	if l.State != workerRunning && l.State != workerEnded {
		return []Action{Forget{Task: l.ID, Worker: worker, Lease: l.Lease}}
	}
	j.move(t, worker, now)
	t.lease = l.Lease
	t.tries = max(t.tries, 1)
	return j.applyEntry(now, t, l)
}

// clearPlace forgets where a task of an inherited job was found, since it runs there no more. Before
// the census is complete it may run elsewhere under a lead that this host does not know of, so
// it is not started again until then.
func (j *Jobs) clearPlace(t *task) []Action {
	j.move(t, "", time.Time{})
	t.state, t.deadline = "unsure", time.Time{}
	return []Action{Free{Task: t.id}}
}

// release goes on with an inherited job. Crashes are told last, since one that is stored at once has
// its task wanted again before the other actions are carried out.
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

// requestAll asks for room for waiting tasks of a job that got another lead.
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

// Snapshot returns a job's state for its next lead; false if it is not led here,
// has ended or waits for its own census.
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

// adopt goes on with a handed-over job. It also ends a census for it: its lead
// knew more than any list.
//
// A hand-over that was adopted before comes again when its answer was lost. The job may have been
// handed on since, and its tasks started by other leads.
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
		if t.crashes > t.storedCrashes {
			crashed = append(crashed, StoreCrashCount{Job: jb.spec.ID, Task: t.id, Crashes: t.crashes})
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

// maxAdopted bounds how many adopted hand-overs are remembered.
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

// drop frees what the job's tasks wait for. What runs keeps its room here for
// as long as its worker lists it.
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

// maxEndedJobs bounds how many ended jobs are remembered with all their tasks; how
// older ones ended is in the log.
const maxEndedJobs = 500

func (j *Jobs) trimEnded() {
	for len(j.ended) > maxEndedJobs {
		if jb, ok := j.jobs[j.ended[0]]; ok {
			j.remove(jb)
		}
		j.ended = j.ended[1:]
	}
}

// recordDeadline notes until when a start may still be carried out.
func (j *Jobs) recordDeadline(ev StartSent) {
	if t, ok := j.tasks[ev.Task]; ok {
		t.deadline = ev.Deadline
	}
}

// Ended tells whether a job is known here and has ended, and how.
func (j *Jobs) Ended(id string) (state string, ok bool) {
	jb, known := j.jobs[id]
	if !known || !jobChart.Final(jb.state) {
		return "", false
	}
	return string(jb.state), true
}

// AwaitsInventory tells whether a job is inherited and waits for its census.
func (j *Jobs) AwaitsInventory(id string) bool {
	jb, ok := j.jobs[id]
	return ok && jb.awaitsInventory
}

// Workers lists the workers that tasks of open jobs are on, without order.
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

// HasTask tells whether a task is known here.
func (j *Jobs) HasTask(task string) bool {
	_, ok := j.tasks[task]
	return ok
}

// TaskID names one task of a job.
func TaskID(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// Spec returns the job that a task belongs to, as its caller asked for it.
func (j *Jobs) Spec(task string) (Spec, bool) {
	t, ok := j.tasks[task]
	if !ok {
		return Spec{}, false
	}
	return t.job.spec, true
}

// WaitingTasks lists a job's tasks that wait for room.
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
