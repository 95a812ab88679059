package peer

import (
	"net/netip"
	"time"

	"pollencroft/internal/admission"
	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/joblog"
	"pollencroft/internal/ledger"
	"pollencroft/internal/member"
	"pollencroft/internal/share"
	"pollencroft/internal/store"
	"pollencroft/internal/trail"
)

// Message is a request or a notification that one entry host sends to another.
type Message interface{ method() string }

// Beat is a heartbeat; it has no answer.
type Beat struct{ member.Heartbeat }

// Relay asks the peer to run a request on its backend servers; the answer is a call.Reply.
// Remaining is how much longer the caller waits. The deadline itself would be wrong by the
// difference of the two hosts' clocks.
type Relay struct {
	Request   call.Request
	Remaining cell.Duration `json:"Left"`
}

// Ping asks for an answer, to check that the connection works. The answer says whether the host
// unpacks messages that are packed as CBOR.
type Ping struct {
	Unpacks bool `json:"unpacks,omitempty"`
}

// OpenKey asks the home of a key to open it; the answer is a ledger.Verdict.
type OpenKey struct{ ledger.Open }

// AwaitKey asks the home of a key to report when the running try has ended, and to wait at most
// Remaining; the answer is a ledger.Verdict.
type AwaitKey struct {
	Key       string
	Remaining cell.Duration `json:"Left"`
}

// CloseKeys reports to a home how keyed requests ended.
type CloseKeys struct{ All []ledger.Close }

// Submit hands a job to the host that leads its rack; the answer is a JobReply.
type Submit struct{ Spec job.Spec }

// AskJob asks the leader for a job; the answer is a JobReply.
type AskJob struct{ ID string }

// AskTrail asks the leader why a job waits and for the job's history; the answer is a JobReply
// with Notes.
type AskTrail struct{ ID string }

// CancelJob asks the leader to cancel a job; the answer is a JobReply.
type CancelJob struct{ ID string }

// KeepRecord asks a peer to remember a record of a job that the log could not store.
type KeepRecord struct{ Record joblog.Record }

// Inventory asks what the peer holds and which of Jobs it leads. Waits are the jobs that From
// wants to take over. The answer is an InventoryReply.
type Inventory struct {
	From  string
	Jobs  []string
	Waits []string
	// Keys are the keys whose running tasks the sender counts.
	Keys []string `json:",omitempty"`
}

// AskToken asks for the token with which From may hand jobs over; the answer is a TokenReply.
type AskToken struct{ From string }

// TokenReply is the token for one Handover.
type TokenReply struct{ Token string }

// Handover transfers jobs to their next leader. The answer confirms that the jobs are led there.
// Notes are the decisions about the jobs, so that the next leader can still explain them.
type Handover struct {
	From  string
	Token string
	Jobs  []job.Snapshot
	Notes []trail.Note `json:",omitempty"`
}

// HandoverReply answers a Handover. Stale means that the token is no longer valid and that no job
// was accepted.
type HandoverReply struct{ Stale bool }

// AnnounceSlots announces which slots of the backend servers the sender uses; it has no answer.
type AnnounceSlots struct {
	share.Announcement
	// Leaving names the backend servers that told the sender that they are leaving.
	Leaving []string `json:"leaving,omitempty"`
}

// AskTable asks for the peer's table; the answer is a TableReply. From is the offset that the
// sender waits for.
type AskTable struct {
	From int64 `json:"from"`
}

// TableReply is a table as snapshot records. It has no records if the peer's table has not
// reached the offset.
type TableReply struct {
	Parts [][]byte `json:"parts,omitempty"`
}

// HostListChanged reports that the platform's host list has changed; it has no answer.
type HostListChanged struct{}

// Leave announces that a host begins a planned stop.
type Leave struct{ Name string }

// Kind returns the name of a message's kind.
func Kind(m Message) string { return m.method() }

func (Beat) method() string            { return "beat" }
func (Relay) method() string           { return "relay" }
func (Ping) method() string            { return "ping" }
func (OpenKey) method() string         { return "open" }
func (AwaitKey) method() string        { return "await" }
func (CloseKeys) method() string       { return "close" }
func (Submit) method() string          { return "submit" }
func (AskJob) method() string          { return "job" }
func (AskTrail) method() string        { return "trail" }
func (CancelJob) method() string       { return "cancel" }
func (KeepRecord) method() string      { return "keep" }
func (AnnounceSlots) method() string   { return "writers" }
func (AskTable) method() string        { return "records" }
func (HostListChanged) method() string { return "listed" }
func (Leave) method() string           { return "leave" }
func (Inventory) method() string       { return "census" }
func (AskToken) method() string        { return "expect" }
func (Handover) method() string        { return "handover" }

// InventoryWorker is one worker that a peer holds, with the tasks of the requested jobs there.
// Age is how long ago the peer asked the worker.
type InventoryWorker struct {
	Name  string        `json:"name"`
	Clock time.Time     `json:"clock"`
	Age   cell.Duration `json:"age"`
	// Incarnation identifies the incarnation of the worker.
	Incarnation string           `json:"life,omitempty"`
	Tasks       []job.ListedTask `json:"tasks,omitempty"`
	// Counted are the running tasks of the requested keys.
	Counted []CountedTask `json:"counted,omitempty"`
}

// CountedTask is one running task of a requested key.
type CountedTask struct {
	Row  string    `json:"row"`
	Size cell.Size `json:"size"`
}

// InventoryReply is what a peer holds, which of the requested jobs it leads, and which records it
// remembers because the log could not store them.
type InventoryReply struct {
	Workers []InventoryWorker `json:"workers,omitempty"`
	Leads   []string          `json:"leads,omitempty"`
	Waits   []string          `json:"waits,omitempty"`
	Records []joblog.Record   `json:"records,omitempty"`
	// Incarnations holds, by worker, the incarnation for which no start to an earlier incarnation
	// is in progress any more.
	Incarnations map[string]string `json:"lives,omitempty"`
}

// JobReply is a leader's answer about a job.
type JobReply struct {
	Status job.Status `json:"status"`
	Kept   string     `json:"kept,omitempty"`
	// Notes are the history of decisions on a job, oldest first.
	Notes []trail.Note `json:"notes,omitempty"`
	// Code is the HTTP status for the caller; zero means success.
	Code    int          `json:"code,omitempty"`
	Outcome cell.Outcome `json:"outcome,omitempty"`
	Reason  string       `json:"reason,omitempty"`
}

// RefuseJob returns the reply to a job request that changed nothing.
func RefuseJob(code int, reason string) JobReply {
	return JobReply{Code: code, Outcome: cell.Refused, Reason: reason}
}

// UnsureJob returns the reply to a job request whose effect is unknown.
func UnsureJob(code int, id, reason string) JobReply {
	return JobReply{Status: job.Status{ID: id}, Code: code, Outcome: cell.Unknown, Reason: reason}
}

// ForwardRecords passes to the leader jobs and cancellations that are stored in partition Part
// from offset First on; the answer is a ForwardReply.
type ForwardRecords struct {
	Part    int
	First   int64
	Records []store.Record
}

// ForwardReply reports whether the host leads and accepted the records.
type ForwardReply struct {
	Accepted bool `json:"Taken"`
}

// AskState asks the leader for a job's state; the answer is a StateReply.
type AskState struct{ ID string }

// StateReply is a job's state. If Lead is false, the host that answers does not lead and knows
// nothing about the job. Unsure means that the job may exist nevertheless.
type StateReply struct {
	Lead, Known bool
	Unsure      bool
	State       string
	// Organisation is the job's organisation; empty if it has none.
	Organisation string `json:",omitempty"`
}

// Sync asks the leader for what every host reports to callers, and tells the leader that the
// sender is up; the answer is a SyncReply.
type Sync struct {
	From   string
	Addr   netip.AddrPort
	Domain string `json:",omitempty"`
	Power  float64
	// Began is when this incarnation of the sender began, by the sender's clock.
	Began time.Time
	// Term and Endings are how far the sender has read the list of ended jobs.
	Term    int64
	Endings int
	// HostList identifies the list of hosts that the sender has; empty if it has none.
	HostList string `json:",omitempty"`
	// Succeeds means that the sender has begun to lead after the receiver.
	Succeeds bool `json:",omitempty"`
}

// SyncReply is what every host reports to callers: how many jobs of each queue wait, which jobs
// have ended, and which hosts exist.
type SyncReply struct {
	// Leading means that the host gives orders, Lead that it leads and that the store serves it,
	// Claiming that it is about to lead, Leaving that it is stopping, Served that the store
	// serves it, whether it leads or not.
	Leading  bool
	Lead     bool
	Claiming bool
	Leaving  bool
	Served   bool
	// Successor is the host that was asked to lead when this one left.
	Successor string
	// Standby is the host that is to lead if this one dies. Follows is the host that this one
	// regards as the leader.
	Standby string `json:"Heir"`
	Follows string
	// EnoughPower is a power that enough hosts reach. Much weaker hosts need not be candidates.
	EnoughPower float64 `json:"Enough"`
	Term        int64
	Pending     map[string]int
	// Load is what hosts reject jobs by; nil if no organisation has a rate.
	Load *admission.Snapshot `json:",omitempty"`
	// Memory estimates the memory that the jobs take in the leader, in bytes.
	Memory int64 `json:",omitempty"`
	// Hosts holds the addresses of all hosts, and HostList identifies that list. Hosts is left out
	// if the sender of the question has the same list.
	Hosts    map[string]string `json:",omitempty"`
	HostList string            `json:",omitempty"`
	// Agents are the hosts that send the leader's orders to workers, so that its successor knows
	// them.
	Agents []AgentHost `json:",omitempty"`
	// Speeds says how many times as long runs take on each kind of workers as on the fastest kind.
	Speeds map[string]float64 `json:",omitempty"`
	// Ended lists jobs that have ended. Endings is the number from which to read on.
	Ended   []EndedJobs `json:"Ends,omitempty"`
	Endings int         `json:",omitempty"`
	// UnstoredEnds are for the host that succeeds this one: ends of runs that this host read when it
	// led and could not store.
	UnstoredEnds []WorkerEnd `json:",omitempty"`
}

// EndedJobs are jobs of one organisation that have ended in the same state.
type EndedJobs struct {
	State        string
	Organisation string `json:",omitempty"`
	IDs          []string
}

// AgentHost is a host that sends orders to workers. Power is its number of cores.
type AgentHost struct {
	Name, Domain string
	Power        float64
}

// Advise asks a host to query the policy service on the sender's behalf; the answer is an
// AdviseReply.
type Advise struct {
	Step    string
	Workers []string
	Within  cell.Duration
}

// AdviseReply holds a ticket for each worker that may run the step.
type AdviseReply struct {
	Tickets map[string]string `json:"Good"`
}

// StoreCall asks a host to make a store call because the store does not serve the sender; the
// answer is a StoreReply.
type StoreCall struct{ Call store.Call }

// StoreReply is the store's answer, or its refusal if Failure is set.
type StoreReply struct {
	Answer  store.Answer
	Failure string `json:",omitempty"`
	Reason  string `json:",omitempty"`
	// Number is the value that belongs to the failure: an offset or an epoch.
	Number int64 `json:",omitempty"`
}

// AnnounceSuccessor tells all hosts that the sender is leaving and that Successor is to take
// over; it has no answer. Bounds holds, for each worker that does not answer, how much longer
// anything may run there. It is nil if the sender did not lead, so that it is not known whether the
// previous leader has stopped.
type AnnounceSuccessor struct {
	Term      int64
	Successor string
	Bounds    map[string]cell.Duration
}

func (ForwardRecords) method() string    { return "hand" }
func (AskState) method() string          { return "state" }
func (Sync) method() string              { return "sync" }
func (Advise) method() string            { return "advise" }
func (StoreCall) method() string         { return "store" }
func (AnnounceSuccessor) method() string { return "succeed" }
