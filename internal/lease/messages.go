package lease

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is an input of the lease core.
type Event interface{ event() }

// Wanted replaces the set of workers that this host should try to hold.
type Wanted struct{ Workers []string }

// Reading is the content of one answer of a worker. Sent is when the request was sent, by this
// host's clock. Clock is the worker's own clock at the answer. Remaining is how long the anchor's
// lease runs from then.
type Reading struct {
	Sent      time.Time
	Clock     time.Time
	Remaining time.Duration
	// Lease identifies the anchor's lease.
	Lease string
	// Incarnation identifies the worker process from its start to its end. It is empty if unknown.
	Incarnation string
	// Cursor is the position in the worker's list of changes.
	Cursor int64
	// Tasks contains all tasks if Full is set, otherwise those that changed since the cursor in the
	// request. Removed lists the tasks that the worker has forgotten.
	Tasks   []Task
	Removed []string
	Full    bool
}

// Task is a task as its worker lists it. Lease identifies its start.
type Task struct {
	ID    string
	Lease string
	Job   string
	Row   string
	State string
	Size  cell.Size
	Use   cell.Size
}

// Granted reports that a worker gave its anchor to this host.
type Granted struct {
	Worker string
	Reading
}

// Renewed reports that a worker extended this host's leases.
type Renewed struct {
	Worker string
	Reading
}

// Refused reports that another host holds a worker's anchor for the time Remaining.
type Refused struct {
	Worker    string
	Holder    string
	Remaining time.Duration
	Sent      time.Time
	// Incarnation identifies the worker process. It is empty if unknown.
	Incarnation string
}

// Unanswered reports that a request to a worker got no answer.
type Unanswered struct{ Worker string }

// StartSent reports that a start is in flight to a worker.
type StartSent struct{ Worker, Task string }

// StartAnswered reports that a start was answered or, if OutcomeKnown is not set, that its answer
// was lost. RunTime is how long the task is expected to run, or zero if it was not started.
type StartAnswered struct {
	Worker, Task string
	OutcomeKnown bool
	RunTime      time.Duration
}

// Poll asks to read a worker again after that time.
type Poll struct {
	Worker string
	After  time.Duration
}

// DomainWorkers replaces the set of all workers of the failure domain, wanted or not.
type DomainWorkers struct{ Workers []string }

// IncarnationLearned reports the incarnation in which a worker answered AskIncarnation.
type IncarnationLearned struct{ Worker, Incarnation string }

// IncarnationConfirmed reports that no start to an earlier incarnation of a worker was in flight
// any more when a peer saw it in this one.
type IncarnationConfirmed struct{ Worker, Incarnation string }

// ReleaseAll gives all anchors back, for a planned stop.
type ReleaseAll struct{}

// Tick reports that time has passed.
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

// Action is an output of the lease core, for the caller of Step to carry out.
type Action interface{ action() }

// Acquire asks a worker for its anchor.
type Acquire struct {
	Worker string
	TTL    time.Duration
}

// Renew extends the leases of the anchor by TTL and of all tasks on the worker by TaskTTL, in one
// message. The answer contains the changes since the cursor Since.
type Renew struct {
	Worker  string
	TTL     time.Duration
	TaskTTL time.Duration
	Since   int64
}

// Release returns a worker's anchor. A release that arrives late, after the anchor was acquired
// again, names another lease and has no effect.
type Release struct{ Worker, Lease string }

// AskIncarnation asks a worker for its incarnation.
type AskIncarnation struct{ Worker string }

// AwaitStarts reports that a worker is held but not led before Until, because starts of other hosts
// to an earlier incarnation may still arrive.
type AwaitStarts struct {
	Worker, Incarnation string
	Until               time.Time
}

// Up reports that this host now leads a worker, and which tasks it runs.
type Up struct {
	Worker string
	Reading
}

// Updated reports what a led worker runs now.
type Updated struct {
	Worker string
	Reading
}

// Down reports that this host does not lead a worker any more.
type Down struct{ Worker string }

func (Acquire) action()        {}
func (AskIncarnation) action() {}
func (AwaitStarts) action()    {}
func (Renew) action()          {}
func (Release) action()        {}
func (Up) action()             {}
func (Updated) action()        {}
func (Down) action()           {}
