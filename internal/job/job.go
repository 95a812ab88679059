// Package job follows each job and its tasks from acceptance to the end. It
// never guesses: a task whose start had no answer is unsure until the worker
// lists it or the start's deadline has passed there.
package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/chart"
)

var (
	taskChart = chart.MustLoad("task")
	jobChart  = chart.MustLoad("job")
)

// States of tasks as workers list them.
const (
	workerRunning = "running"
	workerEnded   = "ended"
	workerFailed  = "failed"
)

type task struct {
	id     string
	job    *job
	state  chart.State
	worker string
	// attempt numbers the task's stay on its worker.
	attempt  int64
	tries    int64
	deadline time.Time
	sent     bool
	// onWorkerSince is when this host learnt that the task is on its worker: a list
	// that was asked for earlier cannot tell that the task is gone.
	onWorkerSince time.Time
	// lease names the start that the worker lists, so that it forgets no other.
	lease string
	// avoid are the workers that the task failed on last, the last time at failed. It goes back to
	// one of them at back.
	avoid                   []string
	lastFailure, avoidUntil time.Time
	// incarnation is the one of its worker in which the task was started or seen; empty: not known.
	incarnation string
	// crashes counts the crashes of workers that ended under the task, storedCrashes is how many of them are
	// stored. blamed tells that the last one is to be counted once it is sure that the task is gone.
	crashes, storedCrashes int64
	suspected              bool
	// excusedCrashes counts the lives that did not count since the whole rack was lost.
	excusedCrashes int
	// lastPlace is where the task was when this host gave its job up.
	lastPlace *place
}

type job struct {
	spec       Spec
	state      chart.State
	tasks      []*task
	acceptedAt time.Time
	// firstStart is when the firstStart task was confirmed to run.
	firstStart time.Time
	// awaitsInventory is set while nobody knows yet where a former lead ran tasks.
	awaitsInventory bool
	// endStored is set when the job's end is where a successor will find it.
	endStored bool
	// crashErr is why the job was given up.
	crashErr *CrashedError
}

// Jobs is the job core of one host.
type Jobs struct {
	jobs  map[string]*job
	tasks map[string]*task
	// byWorker holds the tasks that are byWorker each worker, as far as is known.
	byWorker map[string]map[string]*task
	// budgets hold by row how many retries are left.
	budgets map[string]float64
	// ended are jobs whose end is kept, oldest first.
	ended []string
	// adopted are the names of hand-overs that were adopted, oldest first.
	adopted []string
	// incarnations holds each worker's life as it was last told.
	incarnations map[string]incarnation
	// droppedPlaces holds where tasks were whose jobs were given up with the last worker. recalled are by
	// worker those of them that were inherited since, until the worker is seen.
	droppedPlaces map[string]place
	recalled      map[string][]*task
	// silentPlaces holds by worker which tasks were there when it was silent for longer than any lease.
	silentPlaces map[string][]place
	// attempts counts the stays of all tasks on workers.
	attempts int64
}

// New returns a core that knows no job.
func New() *Jobs {
	return &Jobs{jobs: map[string]*job{}, tasks: map[string]*task{}, byWorker: map[string]map[string]*task{}, budgets: map[string]float64{}, incarnations: map[string]incarnation{}, droppedPlaces: map[string]place{}, recalled: map[string][]*task{}, silentPlaces: map[string][]place{}}
}

// UnknownError tells that no such job is known here.
type UnknownError struct{ ID string }

func (e *UnknownError) Error() string { return "no job " + e.ID + " is known here" }

// Bounds of a job's fields.
const (
	maxTasks = 10_000
	maxCPU   = 1 << 40
	maxMem   = 1 << 50
	maxAccel = 1 << 20
)

// Check returns a cell.ValueError for the first field that is out of bounds.
func (s Spec) Check() error {
	bounds := []struct {
		field       string
		value       int64
		least, most int64
	}{
		{"tasks", int64(s.Tasks), 1, maxTasks},
		{"size.cpu", s.Size.CPU, 1, maxCPU},
		{"size.mem", s.Size.Mem, 1, maxMem},
		{"size.accel", s.Size.Accel, 0, maxAccel},
		{"time", int64(s.Time.Duration), 1, int64(365 * 24 * time.Hour)},
	}
	for _, b := range bounds {
		if b.value < b.least || b.value > b.most {
			return &cell.ValueError{Field: b.field, Found: fmt.Sprint(b.value), Allowed: fmt.Sprintf("%d to %d", b.least, b.most)}
		}
	}
	return nil
}

// Step takes one event and returns what to ask of placement and workers.
func (j *Jobs) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Submit:
		return j.submit(now, ev.Spec)
	case Cancel:
		return j.cancel(ev.ID)
	case Placed:
		return j.put(now, ev)
	case Started:
		return j.onAnswer(ev.Task, ev.Attempt, func() []Action { return j.started(now, ev.Task) })
	case NotStarted:
		return j.onAnswer(ev.Task, ev.Attempt, func() []Action { return j.queueAgain(ev.Task, "refused") })
	case Unsure:
		return j.onAnswer(ev.Task, ev.Attempt, func() []Action { return j.unsure(ev) })
	case Stopped:
		return j.onAnswer(ev.Task, ev.Attempt, func() []Action { return j.stopped(ev.Task) })
	case Preempt:
		return j.pause(ev.Task)
	case WorkerList:
		return j.handleList(now, ev)
	case CrashCountStored:
		return j.crashCountStored(ev)
	default:
		return j.changeLeader(now, ev)
	}
}

// onAnswer takes a worker's answer unless the task has left the worker since.
func (j *Jobs) onAnswer(id string, attempt int64, take func() []Action) []Action {
	if t, ok := j.tasks[id]; !ok || t.attempt != attempt {
		return nil
	}
	return take()
}

func (j *Jobs) submit(now time.Time, spec Spec) []Action {
	if _, ok := j.jobs[spec.ID]; ok {
		return nil
	}
	jb := j.add(now, spec)
	names := make([]string, spec.Tasks)
	for i, t := range jb.tasks {
		names[i] = t.id
	}
	return []Action{RequestPlacement{Spec: spec, Tasks: names, Since: now}}
}

func (j *Jobs) add(now time.Time, spec Spec) *job {
	jb := &job{spec: spec, state: jobChart.Start(), acceptedAt: now}
	for i := range spec.Tasks {
		t := &task{id: TaskID(spec.ID, i), job: jb, state: taskChart.Start()}
		jb.tasks = append(jb.tasks, t)
		j.tasks[t.id] = t
	}
	j.jobs[spec.ID] = jb
	return jb
}

// move sets where a task is; an empty worker means nowhere.
func (j *Jobs) move(t *task, worker string, now time.Time) {
	if t.worker != "" {
		delete(j.byWorker[t.worker], t.id)
	}
	t.worker, t.onWorkerSince, t.lease, t.attempt = worker, now, "", 0
	t.incarnation, t.suspected = j.incarnations[worker].name, false
	if worker == "" {
		return
	}
	j.attempts++
	t.attempt = j.attempts
	if j.byWorker[worker] == nil {
		j.byWorker[worker] = map[string]*task{}
	}
	j.byWorker[worker][t.id] = t
}

func (t *task) move(ev chart.Event) bool {
	next, err := taskChart.Next(t.state, ev)
	t.state = next
	return err == nil
}

func (j *job) move(ev chart.Event) {
	if next, err := jobChart.Next(j.state, ev); err == nil {
		j.state = next
	}
}

func (j *Jobs) put(now time.Time, ev Placed) []Action {
	t, ok := j.tasks[ev.Task]
	if ok && t.state != "waiting" && t.worker == ev.Worker {
		return nil
	}
	if !ok || !t.move("start") {
		return []Action{Free{Task: ev.Task}}
	}
	j.move(t, ev.Worker, now)
	t.tries++
	t.sent = true
	return []Action{Start{Spec: t.job.spec, Task: t.id, Worker: ev.Worker, Attempt: t.attempt}}
}

func (j *Jobs) started(now time.Time, id string) []Action {
	t, ok := j.tasks[id]
	if !ok {
		return nil
	}
	if t.state == "stopping" || t.state == "pausing" {
		t.onWorkerSince, t.deadline = now, time.Time{}
	}
	if !t.move("started") {
		return nil
	}
	t.onWorkerSince, t.deadline = now, time.Time{}
	if t.job.firstStart.IsZero() {
		t.job.firstStart = now
	}
	t.job.move("start")
	return nil
}

// queueAgain puts a task that certainly does not run back in the queue.
func (j *Jobs) queueAgain(id string, why chart.Event) []Action {
	t, ok := j.tasks[id]
	if !ok {
		return nil
	}
	if t.state == "stopping" || t.state == "pausing" {
		return j.stopped(id)
	}
	if t.job.awaitsInventory {
		return j.clearPlace(t)
	}
	if !t.move(why) {
		return nil
	}
	j.move(t, "", time.Time{})
	return j.requeue(t)
}

func (j *Jobs) unsure(ev Unsure) []Action {
	t, ok := j.tasks[ev.Task]
	if !ok {
		return nil
	}
	t.deadline = ev.Deadline
	if ev.Unreached {
		t.incarnation, t.suspected = "", false
	}
	t.move("lost")
	return nil
}

func (j *Jobs) stopped(id string) []Action {
	t, ok := j.tasks[id]
	if ok && t.state == "pausing" {
		return j.paused(t)
	}
	if !ok || !t.move("stopped") {
		return nil
	}
	return append([]Action{Free{Task: id}}, j.endIfDone(t.job)...)
}

func (j *Jobs) cancel(id string) []Action {
	jb, ok := j.jobs[id]
	if !ok || jobChart.Final(jb.state) {
		return nil
	}
	jb.move("stop")
	var acts []Action
	for _, t := range jb.tasks {
		if taskChart.Final(t.state) {
			continue
		}
		worker := t.worker
		t.move("cancel")
		if t.state == "stopping" {
			if worker != "" {
				acts = append(acts, Stop{Task: t.id, Worker: worker, Attempt: t.attempt})
			}
			continue
		}
		acts = append(acts, Free{Task: t.id})
	}
	return append(acts, j.endIfDone(jb)...)
}

// endIfDone ends a job when all its tasks have ended.
func (j *Jobs) endIfDone(jb *job) []Action {
	failed, cancelled := false, false
	for _, t := range jb.tasks {
		if !taskChart.Final(t.state) {
			return nil
		}
		failed = failed || t.state == "failed"
		cancelled = cancelled || t.state == "cancelled"
	}
	switch {
	case cancelled:
		jb.move("cancel")
	case failed:
		jb.move("fail")
	default:
		jb.move("end")
	}
	return []Action{Ended{ID: jb.spec.ID, State: string(jb.state), Reason: jb.reason()}}
}

// Status is what a caller is told of a job.
type Status struct {
	ID    string         `json:"id"`
	Row   string         `json:"row"`
	State string         `json:"state"`
	Tasks map[string]int `json:"tasks"`
	// Ran tells whether any start was ever sent: if not, the job truly did
	// not run.
	Ran bool `json:"ran"`
	// Wait is how long the job waited for its first task to run.
	Wait cell.Duration `json:"wait"`
	// Reason tells why the job was given up; empty: it was not.
	Reason string `json:"reason,omitempty"`
}

// Status returns the state of a job, or an UnknownError.
func (j *Jobs) Status(id string) (Status, error) {
	jb, ok := j.jobs[id]
	if !ok {
		return Status{}, &UnknownError{ID: id}
	}
	s := Status{ID: id, Row: jb.spec.Row, State: string(jb.state), Tasks: map[string]int{}, Reason: jb.reason()}
	for _, t := range jb.tasks {
		s.Tasks[string(t.state)]++
		s.Ran = s.Ran || t.sent
	}
	if !jb.firstStart.IsZero() {
		s.Wait = cell.Duration{Duration: jb.firstStart.Sub(jb.acceptedAt)}
	}
	return s, nil
}

// Open lists the specs of jobs that have not ended, in order of id.
func (j *Jobs) Open() []Spec {
	var open []Spec
	for _, id := range slices.Sorted(maps.Keys(j.jobs)) {
		if jb := j.jobs[id]; !jobChart.Final(jb.state) {
			open = append(open, jb.spec)
		}
	}
	return open
}
