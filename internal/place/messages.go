package place

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is an input of the placement core.
type Event interface{ event() }

// Up reports that a worker may get tasks. Used lists the tasks that it already runs.
type Up struct {
	Worker string
	Rack   string
	Size   cell.Size
	Used   []Used
}

// Used is the allocation of a running task.
type Used struct {
	Task         string
	Row          string
	Organisation string
	Class        cell.Class
	Size         cell.Size
	// Remaining is how long the task is expected to go on running. Zero means unknown.
	Remaining time.Duration
}

// WorkerResized reports a new size of a worker that is up.
type WorkerResized struct {
	Worker string
	Size   cell.Size
}

// Down reports that a worker may not get tasks any more.
type Down struct{ Worker string }

// Request asks to place the tasks of one job. If Gang is set, either all of them are placed at once
// or none.
type Request struct {
	Job          string
	Row          string
	Organisation string
	Class        cell.Class
	Size         cell.Size
	// Declared is the size that the caller asked for, if Size was corrected. It is used if Size
	// cannot be placed. Zero means that there was no correction.
	Declared cell.Size
	Tasks    []string
	Gang     bool
	// Spread distributes the row's tasks over as many racks as possible, so that a failing rack
	// does not take a whole service down.
	Spread bool
	// RunTime is how long one task is expected to run. Zero means unknown.
	RunTime time.Duration
	// Since is when the job was accepted. Zero means now.
	Since time.Time
	// Avoid lists the workers where these tasks have failed, the last time at LastFailure. If the
	// other workers are not enough, the tasks may run there again after AvoidUntil, or earlier if
	// a task that was started on the worker after LastFailure has succeeded. They wait longer, but no longer
	// than their class may wait, if the others are expected to be enough by then or if LastTry is
	// set because the job fails with the next failure.
	Avoid                   []string
	LastFailure, AvoidUntil time.Time
	LastTry                 bool
	Rule
}

// Rule holds the current limits of a row and its organisation from the table.
type Rule struct {
	// Weight is the row's weight within its class.
	Weight int64
	// Limit is the total size that the row may use. For each resource, zero means unlimited and a
	// negative value allows nothing.
	Limit cell.Size
	// MaxTasks is how many of the row's tasks may run at a time. Zero and negative values mean the
	// same as in Limit.
	MaxTasks int64
	// Quota and QuotaTasks limit the whole organisation. They are the same for all its rows.
	Quota      cell.Size
	QuotaTasks int64
}

// RuleChanged reports a changed rule of a row.
type RuleChanged struct {
	Row string
	Rule
}

// Freed reports that a task has ended or does not wait any more.
type Freed struct{ Task string }

// Vacated reports that a task does not run on a worker, although its allocation may be there. A
// request of the task stays.
type Vacated struct{ Task, Worker string }

// TaskResized reports a new size of a running task, and its measured usage.
type TaskResized struct {
	Task      string
	Size, Use cell.Size
}

// Result reports how a task ended on a worker.
type Result struct {
	Worker, Row string
	Failed      bool
	// Run is how long the task ran.
	Run time.Duration
}

// Tick reports that time has passed.
type Tick struct{}

func (Up) event()            {}
func (WorkerResized) event() {}
func (Down) event()          {}
func (Request) event()       {}
func (Freed) event()         {}
func (Vacated) event()       {}
func (TaskResized) event()   {}
func (Result) event()        {}
func (RuleChanged) event()   {}
func (Tick) event()          {}

// Action is an output of the placement core, for the caller of Step to carry out.
type Action interface{ action() }

// Assign places a task on a worker. The allocation lasts until Freed.
type Assign struct{ Task, Worker string }

// Preempt asks to checkpoint a task, stop it and queue it again. Its allocation lasts until Freed.
type Preempt struct{ Task, Worker, Reason string }

// Throttle asks to limit a task to Share of the processors that it asked for.
type Throttle struct {
	Task, Worker string
	Share        float64
}

// Quarantined reports that a worker fails tasks which succeed elsewhere and gets only trials from
// now on.
type Quarantined struct{ Worker string }

// Restored reports that a quarantined worker gets tasks as before.
type Restored struct{ Worker string }

func (Assign) action()      {}
func (Preempt) action()     {}
func (Throttle) action()    {}
func (Quarantined) action() {}
func (Restored) action()    {}
