// Package job tracks each job and its tasks from submission to the end. It never guesses: a task
// whose start got no answer is unsure until the worker lists it, or until the start's deadline has
// passed by the worker's clock.
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

// Task states in a worker's list.
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
	// attempt identifies this placement of the task on its worker.
	attempt  int64
	tries    int64
	deadline time.Time
	sent     bool
	// onWorkerSince is when this host learned that the task is on its worker. A list that was
	// requested earlier can't show that the task is gone.
	onWorkerSince time.Time
	// lease identifies the start that the worker lists, so that the worker forgets only that one.
	lease string
	// avoid holds the workers that the task failed on most recently, and lastFailure the time of
	// the last failure. The task may return to one of them at avoidUntil.
	avoid                   []string
	lastFailure, avoidUntil time.Time
	// incarnation is the incarnation of the worker in which the task was started or seen; empty if
	// unknown.
	incarnation string
	// crashes counts the worker incarnations that ended while the task was on the worker;
	// storedCrashes is how many of them are stored. suspected means that the last one is counted
	// once it is certain that the task is gone.
	crashes, storedCrashes int64
	suspected              bool
	// excusedCrashes counts the crashes that were not counted because the whole rack was lost.
	excusedCrashes int
	// lastPlace is where the task was when this host gave up its job.
	lastPlace *place
}

type job struct {
	spec       Spec
	state      chart.State
	tasks      []*task
	acceptedAt time.Time
	// firstStart is when the first task was confirmed to be running.
	firstStart time.Time
	// awaitsInventory is set while it is not yet known where a former leader ran the tasks.
	awaitsInventory bool
	// endStored is set once the job's end is stored where the next leader can find it.
	endStored bool
	// crashErr is the reason if the job was given up because workers crashed.
	crashErr *CrashedError
}

// Jobs is the job state machine of one host.
type Jobs struct {
	jobs  map[string]*job
	tasks map[string]*task
	// byWorker holds the tasks that are on each worker, as far as is known.
	byWorker map[string]map[string]*task
	// budgets holds the number of retries left for each row.
	budgets map[string]float64
	// ended lists the jobs whose end is stored, oldest first.
	ended []string
	// adopted lists the IDs of the handovers that were adopted, oldest first.
	adopted []string
	// incarnations holds the latest known incarnation of each worker.
	incarnations map[string]incarnation
	// droppedPlaces holds where the tasks were of jobs that were given up when the last worker was
	// lost. recalled holds, by worker, those of these tasks that have been inherited since, until
	// the worker reports a list.
	droppedPlaces map[string]place
	recalled      map[string][]*task
	// silentPlaces holds, by worker, the tasks that were there when it had been silent for longer
	// than any lease.
	silentPlaces map[string][]place
	// attempts counts the placements of all tasks on workers.
	attempts int64
}

// New returns a state machine without jobs.
func New() *Jobs {
	return &Jobs{jobs: map[string]*job{}, tasks: map[string]*task{}, byWorker: map[string]map[string]*task{}, budgets: map[string]float64{}, incarnations: map[string]incarnation{}, droppedPlaces: map[string]place{}, recalled: map[string][]*task{}, silentPlaces: map[string][]place{}}
}

// UnknownError reports that the job is not known on this host.
type UnknownError struct{ ID string }

func (e *UnknownError) Error() string { return "no job " + e.ID + " is known here" }

// Upper bounds of the fields of a job.
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

// Step applies one event and returns the requests to the placement and to workers that follow.
func (j *Jobs) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Submit:
		return j.submit(now, ev.Spec)
	case Cancel:
		return j.cancel(ev.ID)
	case Placed:
		return j.put(now, ev)
	case NotPlaced:
		return j.notPlaced(ev.Task)
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

// onAnswer handles a worker's answer unless the task has left that worker since.
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

// move sets the worker that a task is on; empty means none.
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

// notPlaced requests capacity again for a task that still waits.
func (j *Jobs) notPlaced(id string) []Action {
	t, ok := j.tasks[id]
	if !ok || t.state != "waiting" || t.job.awaitsInventory {
		return nil
	}
	return j.requeue(t)
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

// queueAgain returns a task that is certain not to be running to the queue.
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

// endIfDone ends a job once all its tasks have ended.
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

// Status is the state of a job as reported to callers.
type Status struct {
	ID    string         `json:"id"`
	Row   string         `json:"row"`
	State string         `json:"state"`
	Tasks map[string]int `json:"tasks"`
	// Ran reports whether any start was ever sent. If not, the job certainly did not run.
	Ran bool `json:"ran"`
	// Wait is how long the job waited until its first task ran.
	Wait cell.Duration `json:"wait"`
	// Reason is why the job was given up; empty if it was not.
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

// Open returns the specs of the jobs that have not ended, ordered by ID.
func (j *Jobs) Open() []Spec {
	var open []Spec
	for _, id := range slices.Sorted(maps.Keys(j.jobs)) {
		if jb := j.jobs[id]; !jobChart.Final(jb.state) {
			open = append(open, jb.spec)
		}
	}
	return open
}
