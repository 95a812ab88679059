package job

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is what the job core is told.
type Event interface{ event() }

// Spec is a job as its caller asked for it.
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

// Submit takes a new job.
type Submit struct{ Spec Spec }

// Cancel asks that a job stops.
type Cancel struct{ ID string }

// Placed tells that a task got room on a worker.
type Placed struct{ Task, Worker string }

// Started tells that a worker confirmed a start. Attempt is that of the start: an
// answer may come after the task has left the worker, and says nothing of its next start.
type Started struct {
	Task    string
	Attempt int64
}

// NotStarted tells that a start was certainly not carried out.
type NotStarted struct {
	Task    string
	Attempt int64
}

// Unsure tells that a start had no answer. It is dead on arrival after
// Deadline in the worker's clock.
type Unsure struct {
	Task     string
	Attempt  int64
	Deadline time.Time
	// Unreached tells that the worker took no connection: the start did not arrive.
	Unreached bool
}

// Stopped tells that a worker confirmed that a task runs no longer.
type Stopped struct {
	Task    string
	Attempt int64
}

// WorkerList is all that one worker lists, at Clock in its own time. Sent is when
// it was asked, by this host's clock.
type WorkerList struct {
	Worker string
	Clock  time.Time
	Sent   time.Time
	Tasks  []ListedTask
	// Jobs are those that the list is about; nil: all.
	Jobs []string
	// LeasesExpired tells that the worker was silent for longer than any lease runs,
	// so that nothing runs there.
	LeasesExpired bool
	// Incarnation names the worker's life, from its start to its end; empty: not told.
	Incarnation string
	// RackLost tells that all workers of its rack began their lives at about the same time.
	RackLost bool
}

// CrashCountStored tells that a count of Crashed is stored.
type CrashCountStored struct {
	Task    string
	Crashes int64
}

// ListedTask is one task in a worker's list. Lease names the start.
type ListedTask struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Lease string `json:"lease,omitempty"`
}

// Preempt asks that a task is checkpointed, stopped and queued again without
// using up a try.
type Preempt struct{ Task string }

// Tick lets time pass.
type Tick struct{}

func (Submit) event()           {}
func (Cancel) event()           {}
func (Placed) event()           {}
func (Started) event()          {}
func (NotStarted) event()       {}
func (Unsure) event()           {}
func (Stopped) event()          {}
func (WorkerList) event()       {}
func (Preempt) event()          {}
func (CrashCountStored) event() {}
func (Tick) event()             {}

// Action is what the job core asks its edge to do.
type Action interface{ action() }

// RequestPlacement asks the placement for room for tasks.
type RequestPlacement struct {
	Spec  Spec
	Tasks []string
	// Since is when the job was accepted.
	Since time.Time
	// Avoid are workers that these tasks have failed on, the last time at Failed. They go back to
	// one of them at Back, or sooner if it has run another task well since.
	Avoid                   []string
	LastFailure, AvoidUntil time.Time
	// Exclusive asks for workers on which nothing else runs.
	Exclusive bool
}

// StoreCrashCount asks to store how many lives of workers ended under a task. The task is not wanted
// again before Noted.
type StoreCrashCount struct {
	Job, Task, Worker string
	Crashes           int64
}

// Pause asks a worker to checkpoint a task and then to stop it.
type Pause struct {
	Task, Worker string
	Attempt      int64
}

// Result tells how a task came to its end on a worker, and how long after its
// confirmed start.
type Result struct {
	Task, Row, Worker string
	Failed            bool
	Run               time.Duration
}

// Start asks a worker to start a task. Attempt names the start in its answer.
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

// Free tells the placement that a task takes or wants room no longer.
type Free struct{ Task string }

// Forget lets a worker drop an ended start of a task from its list.
type Forget struct{ Task, Worker, Lease string }

// Ended tells that a job came to its end.
type Ended struct {
	ID    string
	State string
	// Reason tells why a job was given up; empty: it was not.
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
