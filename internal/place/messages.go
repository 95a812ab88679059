package place

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is what the placement core is told.
type Event interface{ event() }

// Up tells that a worker may be used. Used are the tasks that it runs already.
type Up struct {
	Worker string
	Rack   string
	Size   cell.Size
	Used   []Used
}

// Used is room that a running task takes.
type Used struct {
	Task  string
	Row   string
	Team  string
	Class cell.Class
	Size  cell.Size
	// Remaining is how long the task is expected to run yet; zero is not known.
	Remaining time.Duration
}

// WorkerResized tells that a worker that is up has another size than it had.
type WorkerResized struct {
	Worker string
	Size   cell.Size
}

// Down tells that a worker may not be used now.
type Down struct{ Worker string }

// Request asks for room for the tasks of one job. With Gang set all of them get
// room at once or none does.
type Request struct {
	Job   string
	Row   string
	Team  string
	Class cell.Class
	Size  cell.Size
	// Declared is what the caller asked for, if Size was corrected. It is used instead when Size
	// finds no room; zero: there is none.
	Declared cell.Size
	Tasks    []string
	Gang     bool
	// Spread puts the row's tasks on as many racks as there are, so that a
	// rack that fails does not take a whole service along.
	Spread bool
	// RunTime is how long one task is expected to run; zero is not known.
	RunTime time.Duration
	// Since is when the job was accepted; zero means now.
	Since time.Time
	// Avoid are workers that these tasks have failed on, the last time at Failed. They go back to one
	// of them, if they cannot do without, at Back, or sooner if it has run another task well since.
	Avoid                   []string
	LastFailure, AvoidUntil time.Time
	Rule
}

// Rule is what the table says of a row now.
type Rule struct {
	// Weight is the row's weight in its class.
	Weight int64
	// Limit is the room that the row may take in all. A part of zero is open,
	// a negative one allows nothing.
	Limit cell.Size
	// MaxTasks is how many of the row's tasks may run, zero and negative alike.
	MaxTasks int64
	// Quota and QuotaTasks are the same for all rows of the team.
	Quota      cell.Size
	QuotaTasks int64
}

// RuleChanged tells that the table says something else of a row now.
type RuleChanged struct {
	Row string
	Rule
}

// Freed tells that a task takes room no longer or wants none any more.
type Freed struct{ Task string }

// TaskResized tells that a running task takes another room than was thought, and
// what it was seen to use.
type TaskResized struct {
	Task      string
	Size, Use cell.Size
}

// Result tells how a task came to its end on a worker.
type Result struct {
	Worker, Row string
	Failed      bool
}

// Tick lets time pass.
type Tick struct{}

func (Up) event()            {}
func (WorkerResized) event() {}
func (Down) event()          {}
func (Request) event()       {}
func (Freed) event()         {}
func (TaskResized) event()   {}
func (Result) event()        {}
func (RuleChanged) event()   {}
func (Tick) event()          {}

// Action is what the placement core asks its edge to do.
type Action interface{ action() }

// Assign gives a task room on a worker. The room is taken until Freed.
type Assign struct{ Task, Worker string }

// Preempt asks that a task is checkpointed, stopped and queued again. Its
// room stays taken until Freed.
type Preempt struct{ Task, Worker, Reason string }

// Throttle asks that a task is held to Share of the processors it asked for.
type Throttle struct {
	Task, Worker string
	Share        float64
}

// Quarantined tells that a worker fails what others run and gets only trials now.
type Quarantined struct{ Worker string }

// Restored tells that a worker set aside gets work as before.
type Restored struct{ Worker string }

func (Assign) action()      {}
func (Preempt) action()     {}
func (Throttle) action()    {}
func (Quarantined) action() {}
func (Restored) action()    {}
