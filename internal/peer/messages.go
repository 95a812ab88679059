package peer

import (
	"net/netip"
	"time"

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

// Message is what one entry host tells or asks another.
type Message interface{ method() string }

// Beat is a heartbeat; it has no answer.
type Beat struct{ member.Heartbeat }

// Relay asks to run a request on the peer's writers; the answer is a call.Reply.
// Left is how long the caller still waits: the deadline itself would be wrong
// by as much as the clocks of the two hosts differ.
type Relay struct {
	Request   call.Request
	Remaining cell.Duration `json:"Left"`
}

// Ping asks for nothing but an answer: a sign that the connection works.
type Ping struct{}

// OpenKey asks a key's home; the answer is a ledger.Verdict.
type OpenKey struct{ ledger.Open }

// AwaitKey asks a key's home to say when its running try has ended, for at
// most Left; the answer is a ledger.Verdict.
type AwaitKey struct {
	Key       string
	Remaining cell.Duration `json:"Left"`
}

// CloseKeys tells a home how keyed requests ended.
type CloseKeys struct{ All []ledger.Close }

// Submit hands a job to the host that leads its rack; the answer is a JobReply.
type Submit struct{ Spec job.Spec }

// AskJob asks the lead for a job; the answer is a JobReply.
type AskJob struct{ ID string }

// AskTrail asks the lead why a job waits and what became of it; the answer is a
// JobReply with Notes.
type AskTrail struct{ ID string }

// CancelJob asks the lead to cancel a job; the answer is a JobReply.
type CancelJob struct{ ID string }

// KeepRecord asks a peer to remember a record of a job that the log could not take.
type KeepRecord struct{ Record joblog.Record }

// Inventory asks what the peer holds and which of these jobs it leads. Waits are
// those that From wants to inherit. The answer is a CensusReply.
type Inventory struct {
	From  string
	Jobs  []string
	Waits []string
	// Keys are those of which the asker counts what runs.
	Keys []string `json:",omitempty"`
}

// AskToken asks for the token with which From may hand jobs over; the answer is Expected.
type AskToken struct{ From string }

// TokenReply is the token for one Handover.
type TokenReply struct{ Token string }

// Handover gives jobs to their next lead. The answer confirms that they are led.
// Notes are what was decided about them, so that they can still be explained.
type Handover struct {
	From  string
	Token string
	Jobs  []job.Snapshot
	Notes []trail.Note `json:",omitempty"`
}

// HandoverReply answers a Handover. Stale tells that its token counts no more, and that nothing
// of it was taken.
type HandoverReply struct{ Stale bool }

// WriterShares tells what a host says of the shares of writers; it has no answer.
type WriterShares struct {
	share.Announcement
	// Leaving names backend servers that told the sender that they leave.
	Leaving []string `json:"leaving,omitempty"`
}

// AskTable asks for the peer's table; the answer is a RecordsReply. From is the
// offset that the asker waits for.
type AskTable struct {
	From int64 `json:"from"`
}

// TableReply is a table as snapshot records; none when it is no further on.
type TableReply struct {
	Parts [][]byte `json:"parts,omitempty"`
}

// HostListChanged tells that the platform's host list has changed; it has no answer.
type HostListChanged struct{}

// Leave tells that a host begins a planned stop.
type Leave struct{ Name string }

// Kind names a message's kind.
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
func (WriterShares) method() string    { return "writers" }
func (AskTable) method() string        { return "records" }
func (HostListChanged) method() string { return "listed" }
func (Leave) method() string           { return "leave" }
func (Inventory) method() string       { return "census" }
func (AskToken) method() string        { return "expect" }
func (Handover) method() string        { return "handover" }

// InventoryWorker is one worker that a peer holds, with the tasks of the asked
// jobs there. Age is how long ago the peer asked the worker.
type InventoryWorker struct {
	Name  string        `json:"name"`
	Clock time.Time     `json:"clock"`
	Age   cell.Duration `json:"age"`
	// Incarnation names the worker's life.
	Incarnation string           `json:"life,omitempty"`
	Tasks       []job.ListedTask `json:"tasks,omitempty"`
	// Counted are the running tasks of the asked keys.
	Counted []CountedTask `json:"counted,omitempty"`
}

// CountedTask is one running task of a key that was asked for.
type CountedTask struct {
	Row  string    `json:"row"`
	Size cell.Size `json:"size"`
}

// InventoryReply is what a peer holds, which of the asked jobs it leads, and what
// it remembers because the log could not take it.
type InventoryReply struct {
	Workers []InventoryWorker `json:"workers,omitempty"`
	Leads   []string          `json:"leads,omitempty"`
	Waits   []string          `json:"waits,omitempty"`
	Records []joblog.Record   `json:"records,omitempty"`
	// Incarnations holds by worker the life in which no start to an earlier one is under way any more.
	Incarnations map[string]string `json:"lives,omitempty"`
}

// JobReply is what a lead says of a job.
type JobReply struct {
	Status job.Status `json:"status"`
	Kept   string     `json:"kept,omitempty"`
	// Notes are a job's trail, oldest first.
	Notes []trail.Note `json:"notes,omitempty"`
	// Code is the HTTP status that the caller is told; zero means success.
	Code    int          `json:"code,omitempty"`
	Outcome cell.Outcome `json:"outcome,omitempty"`
	Reason  string       `json:"reason,omitempty"`
}

// RefuseJob returns a reply to a job question that changed nothing.
func RefuseJob(code int, reason string) JobReply {
	return JobReply{Code: code, Outcome: cell.Refused, Reason: reason}
}

// UnsureJob returns a reply to a job question whose effect nobody knows.
func UnsureJob(code int, id, reason string) JobReply {
	return JobReply{Status: job.Status{ID: id}, Code: code, Outcome: cell.Unknown, Reason: reason}
}

// ForwardRecords tells the lead of jobs and cancellations that are stored in partition
// Part from offset First on; the answer is a HandReply.
type ForwardRecords struct {
	Part    int
	First   int64
	Records []store.Record
}

// ForwardReply tells whether the host leads and took the records.
type ForwardReply struct {
	Accepted bool `json:"Taken"`
}

// AskState asks the lead for a job's state; the answer is a StateReply.
type AskState struct{ ID string }

// StateReply tells a job's state. With Lead false the answering host does not
// lead and knows nothing; Unsure tells that the job may be there all the same.
type StateReply struct {
	Lead, Known bool
	Unsure      bool
	State       string
}

// Sync asks the lead for what every host tells callers, and tells it that the
// sender is there; the answer is a SyncReply.
type Sync struct {
	From  string
	Addr  netip.AddrPort
	Power float64
	// Began is when this life of the sender began, by its clock.
	Began time.Time
	// Term and Endings are up to where the sender was told which jobs have ended.
	Term    int64
	Endings int
}

// SyncReply is what every host tells callers: how many jobs of each queue wait, which
// have ended, and which hosts there are.
type SyncReply struct {
	// Leading tells that the host gives orders, Lead that it leads and that the
	// store serves it, Claiming that it is about to, Leaving that it stops, Served
	// that the store serves it, whether it leads or not.
	Leading  bool
	Lead     bool
	Claiming bool
	Leaving  bool
	Served   bool
	// Successor is the host that was asked to lead when this one left.
	Successor string
	// Standby is the host that is to lead if this one dies, Follows the one that it takes
	// for the lead.
	Standby string `json:"Heir"`
	Follows string
	// EnoughPower is a power that enough hosts have: much weaker ones need not stand
	// ready to lead.
	EnoughPower float64 `json:"Enough"`
	Term        int64
	Pending     map[string]int
	Hosts       map[string]string
	// Ended are jobs by final state, Endings the number to go on with.
	Ended   map[string][]string `json:",omitempty"`
	Endings int                 `json:",omitempty"`
}

// Advise asks a host to ask the policy service; the answer is an AdviseReply.
type Advise struct {
	Step    string
	Workers []string
	Within  cell.Duration
}

// AdviseReply holds a ticket for each worker that may run the step.
type AdviseReply struct {
	Tickets map[string]string `json:"Good"`
}

// StoreCall asks a host to make a call to the store that does not serve the
// sender; the answer is a StoreReply.
type StoreCall struct{ Call store.Call }

// StoreReply is the store's answer; with Failure set, its refusal.
type StoreReply struct {
	Answer  store.Answer
	Failure string `json:",omitempty"`
	Reason  string `json:",omitempty"`
	// Number is what the failure tells: an offset or an epoch.
	Number int64 `json:",omitempty"`
}

// AnnounceSuccessor tells all hosts that the sender leaves and that Successor is to take over;
// it has no answer. Bounds tell of each worker that does not answer how much longer
// anything may run there.
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
