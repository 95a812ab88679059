package lease

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is what the lease core is told.
type Event interface{ event() }

// Wanted replaces the set of workers that this host should try to hold.
type Wanted struct{ Workers []string }

// Reading is what one answered exchange with a worker says. Sent is when the
// question left, by this host's clock; Clock is the worker's own clock at the
// answer; Left is how long the anchor still runs from then.
type Reading struct {
	Sent      time.Time
	Clock     time.Time
	Remaining time.Duration
	// Lease names the anchor's lease.
	Lease string
	// Incarnation names the worker's life, from its start to its end; empty: not told.
	Incarnation string
	// Cursor is where the worker's list of changes stood.
	Cursor int64
	// Tasks are all tasks if Whole is set, else those that changed since the
	// mark that was sent; Gone are those that the worker has forgotten.
	Tasks   []Task
	Removed []string
	Full    bool
}

// Task is one task as a worker lists it. Lease names its start.
type Task struct {
	ID    string
	Lease string
	Job   string
	Row   string
	State string
	Size  cell.Size
	Use   cell.Size
}

// Granted tells that a worker gave its anchor to this host.
type Granted struct {
	Worker string
	Reading
}

// Renewed tells that a worker lengthened this host's leases.
type Renewed struct {
	Worker string
	Reading
}

// Refused tells that another host holds a worker's anchor for Left more.
type Refused struct {
	Worker    string
	Holder    string
	Remaining time.Duration
	Sent      time.Time
	// Incarnation names the worker's life; empty: not told.
	Incarnation string
}

// Unanswered tells that an exchange with a worker had no answer.
type Unanswered struct{ Worker string }

// StartSent tells that a start is under way to a worker.
type StartSent struct{ Worker, Task string }

// StartAnswered tells that a start's answer came, or with Sure unset, that it is
// lost. Run is how long the task is expected to run; zero if it was not started.
type StartAnswered struct {
	Worker, Task string
	OutcomeKnown bool
	RunTime      time.Duration
}

// Poll asks to read a worker again after so long.
type Poll struct {
	Worker string
	After  time.Duration
}

// DomainWorkers replaces the workers of the failure domain, wanted or not.
type DomainWorkers struct{ Workers []string }

// IncarnationLearned tells in which life a worker answered that is not wanted.
type IncarnationLearned struct{ Worker, Life string }

// IncarnationConfirmed tells that no start to a former life of a worker was under way any more when a peer saw
// it in this one.
type IncarnationConfirmed struct{ Worker, Life string }

// ReleaseAll gives all anchors back, for a planned stop.
type ReleaseAll struct{}

// Tick lets time pass.
type Tick struct{}

func (Wanted) event()               {}
func (Granted) event()              {}
func (Renewed) event()              {}
func (Refused) event()              {}
func (Unanswered) event()           {}
func (StartSent) event()            {}
func (StartAnswered) event()        {}
func (Poll) event()                 {}
func (DomainWorkers) event()        {}
func (IncarnationLearned) event()   {}
func (IncarnationConfirmed) event() {}
func (ReleaseAll) event()           {}
func (Tick) event()                 {}

// Action is what the lease core asks its edge to do.
type Action interface{ action() }

// Acquire asks a worker for its anchor.
type Acquire struct {
	Worker string
	TTL    time.Duration
}

// Renew lengthens the anchor by TTL and all tasks on a worker by Long, in one
// message. The answer tells what changed since the mark Since.
type Renew struct {
	Worker  string
	TTL     time.Duration
	TaskTTL time.Duration
	Since   int64
}

// Release returns a worker's anchor. A give that arrives late, after the anchor
// was taken anew, names another lease and changes nothing.
type Release struct{ Worker, Lease string }

// AskIncarnation asks a worker for its life.
type AskIncarnation struct{ Worker string }

// AwaitStarts tells that a worker is held and not led before Until: starts of other hosts to its former
// life may arrive.
type AwaitStarts struct {
	Worker, Life string
	Until        time.Time
}

// Up tells that this host now leads a worker, which runs these tasks.
type Up struct {
	Worker string
	Reading
}

// Updated tells what a led worker runs now.
type Updated struct {
	Worker string
	Reading
}

// Down tells that this host leads a worker no longer.
type Down struct{ Worker string }

func (Acquire) action()        {}
func (AskIncarnation) action() {}
func (AwaitStarts) action()    {}
func (Renew) action()          {}
func (Release) action()        {}
func (Up) action()             {}
func (Updated) action()        {}
func (Down) action()           {}
