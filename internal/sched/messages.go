package sched

import (
	"net/netip"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// Address identifies one incarnation of a worker and where it is reached; see incarnation.Name. A
// worker that crashed comes back as a new incarnation, which runs nothing.
type Address struct {
	Incarnation string
	Addr        netip.AddrPort
}

// Worker is a worker as the platform lists it.
type Worker struct {
	Address
	Service, Domain, Rack string
	Labels                []string
	Size                  cell.Size
	// Version is the version of the worker's entry.
	Version  int64
	Draining bool
	// Remaining is the minimum time that a draining worker still has.
	Remaining time.Duration
}

// Outcome is the result of a request to a worker.
type Outcome int

// The outcomes. After all of them except Unanswered it is certain what the worker did.
const (
	// Accepted means that the request was carried out, now or earlier.
	Accepted Outcome = iota
	// Rejected means that nothing was done.
	Rejected
	// NoCapacity means that the worker had less free capacity than the leader assumed.
	NoCapacity
	// BadTicket means that the policy service's ticket is not valid.
	BadTicket
	// Fenced means that the worker has accepted requests from a leader of a later term.
	Fenced
	// OtherIncarnation means that a new incarnation of the worker answered.
	OtherIncarnation
	// Unanswered means that the request may have been carried out, or may still be.
	Unanswered
)

var outcomeNames = [...]string{"taken", "not taken", "no room", "bad ticket", "fenced", "other life", "unanswered"}

// String returns the outcome for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Ending is how a run ended.
type Ending int

// The endings. EndBroken is a gang member stopped because another member ended, EndAlone one that
// waited too long for the others.
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

// Event is an input of the scheduler core.
type Event interface{ event() }

// Queues replaces the table's queues, and the quotas and weights of the organisations. A weight is a
// rate in jobs per second.
type Queues struct {
	Version int64
	All     []flow.Queue
	Quotas  map[string]cell.Size
	Weights map[string]float64
}

// Workers replaces the list of workers.
type Workers struct{ All []Worker }

// Tokens reports which fencing tokens the term may use: those from First on are greater than the tokens
// of all earlier terms, those up to Last less than the tokens of all later ones. Until it is reported,
// the term's number is its only token.
type Tokens struct{ First, Last int64 }

// Hosts replaces the entry hosts that can query the policy service.
type Hosts struct{ Names []string }

// Submit adds a job that is already stored.
type Submit struct{ Spec flow.Spec }

// Cancel stops a job on behalf of a caller of an organisation; the request to do so is already
// stored. At is when the caller asked for it; zero means now.
type Cancel struct {
	ID, Organisation string
	At               time.Time
}

// Appended reports that the Append with that number is stored. Appends may be stored in any order.
type Appended struct{ Number int64 }

// HoldReply is a worker's answer to a Hold. Sent and Received are by this host's clock, Clock by
// the worker's.
type HoldReply struct {
	Worker  string
	Outcome Outcome
	// AnsweredBy is the incarnation that answered, if it is another one under the same ID.
	AnsweredBy string
	Probe      bool
	// AckedEnd is the last end that the request acknowledged, so that the worker could forget it.
	AckedEnd       int64
	Sent, Received time.Time
	Clock          time.Time
	Running        []RunStatus
	Ended          []RunEnd
	// MoreEnds means that the worker may have ends after the last one in Ended. It lists them once
	// earlier ones are acknowledged. Running is always complete.
	MoreEnds bool
}

// RunStatus is one run that a worker lists. For a task that serves requests, Metric is the tail of
// its response times in milliseconds, otherwise the number of processors in use.
type RunStatus struct {
	Task       flow.Name
	Run        int
	Checkpoint string
	Percent    int
	Metric     int64
}

// RunEnd is one run that ended on a worker. Number increases within each incarnation.
type RunEnd struct {
	Number     int64
	Task       flow.Name
	Run        int
	How        Ending
	Checkpoint string
}

// StartReply is the result of a Start.
type StartReply struct {
	Task    flow.Name
	Run     int
	Worker  string
	Outcome Outcome
}

// StopReply is the result of a Stop.
type StopReply struct {
	Task    flow.Name
	Run     int
	Worker  string
	Outcome Outcome
}

// PolicyReply is the policy service's answer: a ticket for each queried worker that may run the
// step. Failed means that there was no answer.
type PolicyReply struct {
	Step, Host string
	Tickets    map[string]string
	Failed     bool
}

// FormerLeases tells that leases of former leaders end Lease after the last proof of their terms. Older is
// how much longer leases may last that leaders of older builds have given, which do not. Bounds is what the
// previous leader has stored, by worker, of how long leases last there.
type FormerLeases struct {
	Lease, Older time.Duration
	Bounds       map[string]time.Duration
}

// PredecessorStopped reports that the previous leader no longer renews any leases. LeaseBounds is
// what it reported about silent workers, as of Since. ClaimedAt is the time of day at which it claimed
// leadership: leaders before it may still renew leases for StoreTimeout after that.
type PredecessorStopped struct {
	Since       time.Time
	LeaseBounds map[string]time.Duration
	ClaimedAt   time.Time
}

// PreviousEnds reports ends of runs that a previous leader has read and could not store.
type PreviousEnds struct{ All []WorkerEnd }

// WorkerEnd is an end that a worker listed.
type WorkerEnd struct {
	Worker string
	RunEnd
}

// KnownSpeeds reports the factors of kinds of workers that a previous leader has learned.
type KnownSpeeds struct{ Kinds map[string]float64 }

// Tick only lets time pass.
type Tick struct{}

func (Queues) event()             {}
func (Workers) event()            {}
func (Tokens) event()             {}
func (Hosts) event()              {}
func (Submit) event()             {}
func (Cancel) event()             {}
func (Appended) event()           {}
func (HoldReply) event()          {}
func (StartReply) event()         {}
func (StopReply) event()          {}
func (PolicyReply) event()        {}
func (FormerLeases) event()       {}
func (PredecessorStopped) event() {}
func (PreviousEnds) event()       {}
func (KnownSpeeds) event()        {}
func (Tick) event()               {}

// Action is something that the scheduler core asks its caller to do.
type Action interface{ action() }

// Change is the new progress of a job.
type Change struct {
	Key   string
	Value []byte
}

// Append stores changes under this term and is answered by Appended. At most maxAppendsInFlight are
// in flight, and they may be stored in any order: of two records of the same job the one with the
// later version counts.
type Append struct {
	Number  int64
	Changes []Change
}

// Orders carry a fencing token: a worker refuses those whose token is lower than one that it has seen.

// Hold renews the leases on a worker until Deadline by the worker's clock, acknowledges ends up to
// AckedEnd so that the worker can forget them, and reads the worker's lists. A Probe is answered at
// once, even while another hold is waiting.
type Hold struct {
	To       Address
	Token    int64
	Deadline time.Time
	AckedEnd int64
	Wait     time.Duration
	Probe    bool
}

// Start asks a worker to start a run. The worker ignores it after Deadline, by the worker's clock.
type Start struct {
	To         Address
	Token      int64
	Task       flow.Name
	Run        int
	Text       string
	Checkpoint string
	Ticket     string
	Deadline   time.Time
}

// Stop asks a worker to stop a run, or never to begin it if it has not begun.
type Stop struct {
	To    Address
	Token int64
	Task  flow.Name
	Run   int
	Why   string
}

// Pace limits the processor time of a best-effort run.
type Pace struct {
	To      Address
	Token   int64
	Task    flow.Name
	Run     int
	Percent int
}

// QueryPolicy makes a host query the policy service about a step.
type QueryPolicy struct {
	Host, Step string
	Workers    []string
	// Timeout is the time after which the answer is of no use.
	Timeout time.Duration
}

// Forget deletes a job that ended long ago: first its spec, then its progress.
type Forget struct{ ID string }

// ForgetCancel deletes a cancellation of a job that never came.
type ForgetCancel struct{ ID, Organisation string }

// StepDown reports that a leader of a later term was seen, so this term has ended.
type StepDown struct{ Worker string }

// StepWaited reports how long a step waited, and for what, until all its tasks were placed. Rank is
// the rank of its queue.
type StepWaited struct {
	Rank  int
	Times WaitTimes
}

// Restarted reports that a task runs again after a run that did not end as done. Held is how long
// after the first missed answer that run was given up; it begins with the term if a former leader
// missed the answer. Waited is how long the task waited after that.
type Restarted struct {
	Task         flow.Name
	Worker       string
	Run          int
	LongRunning  bool
	Held, Waited time.Duration
}

// JobStarted reports how long after its acceptance a job's first task began.
type JobStarted struct {
	Rank  int
	After time.Duration
}

// JobQueued reports that a job was added to its queue.
type JobQueued struct {
	ID, Queue, Organisation string
	Rank                    int
}

// JobEnded reports that a job's final state is stored. It never changes afterwards. Repeated means
// that this term has reported the job before.
type JobEnded struct {
	ID, Queue, Organisation string
	Rank                    int
	State                   flow.State
	Repeated                bool
	// Took is the time from acceptance to the end, Objective the time within which the job should
	// end. Objective is zero for a job that has none.
	Took, Objective time.Duration
	// Waits is how long the job's steps waited under this term, in sum.
	Waits WaitTimes
	// Phases is the sum over the steps of the phases of the run that ended last, as far as this term
	// knows them.
	Phases flow.Phases
}

// Late reports whether the job missed its objective. A cancelled job misses nothing.
func (e JobEnded) Late() bool {
	return e.State != flow.Cancelled && e.Objective > 0 && e.Took > e.Objective
}

// Selected reports how many jobs of a rank are to be on time, how many will be late, and how many are so
// late that their callers have most likely stopped waiting.
type Selected struct{ Rank, OnTime, Late, Hopeless int }

// KindSpeed reports how many times as long runs take on a kind of workers as on the fastest kind.
type KindSpeed struct {
	Kind   string
	Factor float64
}

// LimitExceeded reports that more runs of a step may be on a worker than the step allows. Runs
// names them.
type LimitExceeded struct {
	Worker string
	// Task is the one whose run was found or started last.
	Task flow.Name
	Runs string
	// Limit is how many runs of the step may be there.
	Limit int
}

// QueueTimes reports how long the runs of a queue take, after a material change: their median relative
// to the declared time, its exponent in the expected time, the spread of the logarithm, and the
// number of runs.
type QueueTimes struct {
	Queue                string
	Ratio, Slope, Spread float64
	Runs                 int
}

// Note describes a decision, for the log. Queue and Organisation are those of the job, Reason is
// what a step waits for; they are set for decisions that reports sum up.
type Note struct {
	ID, What string
	Worker   string
	Run      int
	Detail   string

	Queue, Organisation, Reason string
	// Silent is how long a worker has not answered, and Left how long its leases may last from now on;
	// zero if neither matters.
	Silent, Left time.Duration
}

func (QueueTimes) action()    {}
func (Append) action()        {}
func (Hold) action()          {}
func (Start) action()         {}
func (Stop) action()          {}
func (Pace) action()          {}
func (QueryPolicy) action()   {}
func (Forget) action()        {}
func (ForgetCancel) action()  {}
func (StepDown) action()      {}
func (StepWaited) action()    {}
func (JobStarted) action()    {}
func (Restarted) action()     {}
func (JobQueued) action()     {}
func (JobEnded) action()      {}
func (Selected) action()      {}
func (KindSpeed) action()     {}
func (LoadSummary) action()   {}
func (LimitExceeded) action() {}
func (Note) action()          {}
