package job

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is an input of the job state machine.
type Event interface{ event() }

// Spec is a job as the caller requested it.
type Spec struct {
	ID    string        `json:"id"`
	Row   string        `json:"row"`
	Tasks int           `json:"tasks"`
	Size  cell.Size     `json:"size"`
	Time  cell.Duration `json:"time"`
	Gang  bool          `json:"gang,omitempty"`
	Key   string        `json:"key,omitempty"`
	Class cell.Class    `json:"class"`
	Tries int64         `json:"tries"`
}

// Submit adds a new job.
type Submit struct{ Spec Spec }

// Cancel asks to stop a job.
type Cancel struct{ ID string }

// Placed reports that a task was placed on a worker.
type Placed struct{ Task, Worker string }

// NotPlaced reports that the placement of a task was lost before it was carried out.
type NotPlaced struct{ Task string }

// Started reports that a worker confirmed a start. Attempt is that of the start: the answer may
// arrive after the task has left the worker, and then says nothing about its next start.
type Started struct {
	Task    string
	Attempt int64
}

// NotStarted reports that a start was certainly not carried out.
type NotStarted struct {
	Task    string
	Attempt int64
}

// Unsure reports that a start got no answer. A worker no longer carries out the start after
// Deadline, by the worker's clock.
type Unsure struct {
	Task     string
	Attempt  int64
	Deadline time.Time
	// Unreached reports that the worker accepted no connection, so the start did not arrive.
	Unreached bool
}

// Stopped reports that a worker confirmed that a task is no longer running.
type Stopped struct {
	Task    string
	Attempt int64
}

// WorkerList holds everything that one worker lists, at Clock by its own clock. Sent is when the
// list was requested, by this host's clock.
type WorkerList struct {
	Worker string
	Clock  time.Time
	Sent   time.Time
	Tasks  []ListedTask
	// Jobs are the jobs that the list covers; nil means all.
	Jobs []string
	// LeasesExpired reports that the worker was silent for longer than any lease, so nothing runs
	// there.
	LeasesExpired bool
	// Incarnation identifies the worker's incarnation, from its start to its end; empty if unknown.
	Incarnation string
	// RackLost reports that the current incarnations of all workers of the rack began at about the
	// same time.
	RackLost bool
}

// CrashCountStored reports that the count of a StoreCrashCount is stored.
type CrashCountStored struct {
	Task    string
	Crashes int64
}

// ListedTask is one task in a worker's list. Lease identifies the start.
type ListedTask struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Lease string `json:"lease,omitempty"`
}

// Preempt asks to checkpoint and stop a task and to queue it again without using up a try.
type Preempt struct{ Task string }

// Tick only advances the time.
type Tick struct{}

func (Submit) event()           {}
func (Cancel) event()           {}
func (Placed) event()           {}
func (NotPlaced) event()        {}
func (Started) event()          {}
func (NotStarted) event()       {}
func (Unsure) event()           {}
func (Stopped) event()          {}
func (WorkerList) event()       {}
func (Preempt) event()          {}
func (CrashCountStored) event() {}
func (Tick) event()             {}

// Action is a request of the job state machine to its caller.
type Action interface{ action() }

// RequestPlacement asks the placement for capacity for tasks.
type RequestPlacement struct {
	Spec  Spec
	Tasks []string
	// Since is when the job was accepted.
	Since time.Time
	// Avoid holds the workers that these tasks have failed on, the last time at LastFailure. The
	// tasks may return to one of them at AvoidUntil, or sooner if it has completed another task
	// since.
	Avoid                   []string
	LastFailure, AvoidUntil time.Time
	// LastTry reports that the job fails with the next failure of one of these tasks.
	LastTry bool
	// Exclusive asks for workers on which nothing else runs.
	Exclusive bool
}

// StoreCrashCount asks to store how many worker incarnations ended while a task was on the worker.
// No placement is requested for the task before CrashCountStored.
type StoreCrashCount struct {
	Job, Task, Worker string
	Crashes           int64
}

// Pause asks a worker to checkpoint a task and then to stop it.
type Pause struct {
	Task, Worker string
	Attempt      int64
}

// Result reports how a task ended on a worker, and how long after its confirmed start.
type Result struct {
	Task, Row, Worker string
	Failed            bool
	Run               time.Duration
}

// Start asks a worker to start a task. The worker's answer carries the same Attempt.
type Start struct {
	Spec         Spec
	Task, Worker string
	Attempt      int64
}

// Stop asks a worker to stop a task.
type Stop struct {
	Task, Worker string
	Attempt      int64
}

// Free tells the placement that a task no longer holds or requests capacity.
type Free struct{ Task string }

// Forget lets a worker drop an ended start of a task from its list.
type Forget struct{ Task, Worker, Lease string }

// Ended reports that a job has ended.
type Ended struct {
	ID    string
	State string
	// Reason is why the job was given up; empty if it was not.
	Reason string
}

func (RequestPlacement) action() {}
func (Pause) action()            {}
func (Result) action()           {}
func (Start) action()            {}
func (Stop) action()             {}
func (Free) action()             {}
func (Forget) action()           {}
func (Ended) action()            {}
func (StoreCrashCount) action()  {}
