package sched

import (
	"net/netip"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// Address is where one life of a worker is reached. A worker that crashed comes
// back as another life, which runs nothing.
type Address struct {
	Incarnation string
	Addr        netip.AddrPort
}

// Worker is one worker as the platform lists it.
type Worker struct {
	Address
	Service, Domain, Rack string
	Labels                []string
	Size                  cell.Size
	// Version is that of the entry.
	Version  int64
	Draining bool
	// Remaining is the least time that a draining worker still has.
	Remaining time.Duration
}

// Outcome is what became of an order to a worker.
type Outcome int

// The outcomes. After all but Unanswered it is certain what the worker did.
const (
	// Accepted means that the order was carried out, now or before.
	Accepted Outcome = iota
	// Rejected means that nothing was done.
	Rejected
	// NoCapacity means that the worker was fuller than the lead believed.
	NoCapacity
	// BadTicket means that the policy service's ticket does not hold.
	BadTicket
	// Fenced means that a lead of a later term gives orders there.
	Fenced
	// OtherIncarnation means that the worker has begun a new life.
	OtherIncarnation
	// Unanswered means that the order may be carried out, also later.
	Unanswered
)

var outcomeNames = [...]string{"taken", "not taken", "no room", "bad ticket", "fenced", "other life", "unanswered"}

// String returns the outcome for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Ending is how a run came to its end.
type Ending int

// The endings. EndBroken is a gang's member whose other member ended, EndAlone
// one that waited too long for the others.
const (
	EndUnknown Ending = iota
	EndDone
	EndFailed
	EndStopped
	EndLapsed
	EndBroken
	EndAlone
)

var endingNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the ending for logs.
func (e Ending) String() string { return endingNames[e] }

// Event is what the scheduler core is told.
type Event interface{ event() }

// Queues replaces the table's queues.
type Queues struct {
	Version int64
	All     []flow.Queue
}

// Workers replaces the list of workers.
type Workers struct{ All []Worker }

// Hosts replaces the entry hosts that can ask the policy service.
type Hosts struct{ Names []string }

// Submit takes a job that is stored.
type Submit struct{ Spec flow.Spec }

// Cancel stops a job; that it was asked for is stored.
type Cancel struct{ ID string }

// Appended tells that the Append of that number is stored. They may come in any
// order.
type Appended struct{ Number int64 }

// HoldReply is a worker's answer to a Hold. Sent and Received are by this host's
// clock, Clock by the worker's.
type HoldReply struct {
	Worker  string
	Outcome Outcome
	Probe   bool
	// AckedEnd is the last end that the question had the worker forget.
	AckedEnd       int64
	Sent, Received time.Time
	Clock          time.Time
	Running        []RunStatus
	Ended          []RunEnd
}

// RunStatus is one run that a worker lists. Figure is the tail of the response
// times in milliseconds of a task that serves, else the processors in use.
type RunStatus struct {
	Task    flow.Name
	Run     int
	Saved   string
	Percent int
	Metric  int64
}

// RunEnd is one run that ended at a worker. Number rises in each life.
type RunEnd struct {
	Number int64
	Task   flow.Name
	Run    int
	How    Ending
	Saved  string
}

// StartReply tells what became of a Start.
type StartReply struct {
	Task    flow.Name
	Run     int
	Worker  string
	Outcome Outcome
}

// StopReply tells what became of a Stop.
type StopReply struct {
	Task    flow.Name
	Run     int
	Worker  string
	Outcome Outcome
}

// PolicyReply is the policy service's answer: a ticket for each named worker that
// may run the step. Failed tells that there was none.
type PolicyReply struct {
	Step, Host string
	Tickets    map[string]string
	Failed     bool
}

// PredecessorStopped tells that the former lead holds no worker any more. Bounds are
// what it said of workers that do not answer, as of Since.
type PredecessorStopped struct {
	Since       time.Time
	LeaseBounds map[string]time.Duration
}

// Tick lets time pass.
type Tick struct{}

func (Queues) event()             {}
func (Workers) event()            {}
func (Hosts) event()              {}
func (Submit) event()             {}
func (Cancel) event()             {}
func (Appended) event()           {}
func (HoldReply) event()          {}
func (StartReply) event()         {}
func (StopReply) event()          {}
func (PolicyReply) event()        {}
func (PredecessorStopped) event() {}
func (Tick) event()               {}

// Action is what the scheduler core asks its edge to do.
type Action interface{ action() }

// Change is the new progress of a job.
type Change struct {
	Key   string
	Value []byte
}

// Append stores changes under this term; Appended answers it. There are never more
// than mostFlights under way, and they may be stored in any order: of two records of
// a job the one with the later version counts.
type Append struct {
	Number  int64
	Changes []Change
}

// Hold renews the leases on a worker until Deadline in its own clock, lets it
// forget ends up to Seen, and reads what it lists. Look asks beside another
// hold that waits.
type Hold struct {
	To       Address
	Term     int64
	Deadline time.Time
	AckedEnd int64
	Wait     time.Duration
	Probe    bool
}

// Start asks a worker to start a run. It is dead on arrival after Deadline in
// the worker's clock.
type Start struct {
	To       Address
	Term     int64
	Task     flow.Name
	Run      int
	Text     string
	Saved    string
	Ticket   string
	Deadline time.Time
}

// Stop asks a worker to stop a run, or never to begin it.
type Stop struct {
	To   Address
	Term int64
	Task flow.Name
	Run  int
	Why  string
}

// Pace bounds the processor time of a filling run.
type Pace struct {
	To      Address
	Term    int64
	Task    flow.Name
	Run     int
	Percent int
}

// QueryPolicy has a host ask the policy service about a step.
type QueryPolicy struct {
	Host, Step string
	Workers    []string
	// Timeout is when the answer is no longer of use.
	Timeout time.Duration
}

// Forget drops a job that ended long ago: its spec and then its progress.
type Forget struct{ ID string }

// StepDown tells that a lead of a later term was seen: this one has ended.
type StepDown struct{ Worker string }

// StepWaited tells how long a step waited, and for what, until all its tasks had room. Rank is
// its queue's.
type StepWaited struct {
	Rank  int
	Times WaitTimes
}

// JobStarted tells how long after its acceptance a job's first task began.
type JobStarted struct {
	Rank  int
	After time.Duration
}

// JobEnded tells that a job's final state is stored. It never changes.
type JobEnded struct {
	ID    string
	State flow.State
}

// Note tells of a decision, for the log.
type Note struct {
	ID, What string
	Worker   string
	Run      int
	Detail   string
}

func (Append) action()      {}
func (Hold) action()        {}
func (Start) action()       {}
func (Stop) action()        {}
func (Pace) action()        {}
func (QueryPolicy) action() {}
func (Forget) action()      {}
func (StepDown) action()    {}
func (StepWaited) action()  {}
func (JobStarted) action()  {}
func (JobEnded) action()    {}
func (Note) action()        {}
