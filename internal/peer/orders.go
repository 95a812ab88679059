package peer

import "net/netip"

// OrderKind is what an order asks a worker for.
type OrderKind string

// The kinds of orders.
const (
	StartOrder OrderKind = "start"
	StopOrder  OrderKind = "stop"
	HoldOrder  OrderKind = "hold"
	PaceOrder  OrderKind = "pace"
)

// Orders asks a host to send a leader's orders to workers. The answer is empty and comes as soon as
// the host has the orders; what the workers answered follows in OrderResults.
type Orders struct {
	// From and Addr are the leader's name and address, Term is its term.
	From string         `json:"from"`
	Addr netip.AddrPort `json:"addr"`
	Term int64          `json:"term"`
	// Texts holds the texts of jobs whose tasks are to start, by job.
	Texts map[string]string `json:"texts,omitempty"`
	All   []Order           `json:"all"`
}

// Order is one order. The names are short because a leader sends thousands of them a second.
type Order struct {
	ID   int64     `json:"i"`
	Kind OrderKind `json:"k"`
	// Worker is the ID of the worker, Born when its incarnation began; nil if that is not known.
	Worker string         `json:"w"`
	Born   *int64         `json:"n,omitempty"`
	Addr   netip.AddrPort `json:"a"`
	// Token is the order's fencing token; zero means the term.
	Token int64  `json:"f,omitempty"`
	Task  string `json:"t,omitempty"`
	Run   int    `json:"r,omitempty"`
	// Checkpoint and Ticket belong to a start.
	Checkpoint string `json:"c,omitempty"`
	Ticket     string `json:"y,omitempty"`
	// Deadline is a time on the worker's clock in Unix milliseconds, or zero if there is none.
	Deadline int64 `json:"d,omitempty"`
	// AckedEnd, Wait (in milliseconds) and Probe belong to a hold.
	AckedEnd int64 `json:"e,omitempty"`
	Wait     int64 `json:"h,omitempty"`
	Probe    bool  `json:"b,omitempty"`
	// Percent belongs to a pace.
	Percent int `json:"p,omitempty"`
}

// OrderResults tells a leader what workers answered to its orders; it has no answer.
type OrderResults struct {
	Term int64         `json:"term"`
	All  []OrderResult `json:"all"`
}

// OrderResult is the result of one order. Clock is the worker's clock in Unix milliseconds.
type OrderResult struct {
	ID      int64       `json:"i"`
	Outcome int         `json:"o,omitempty"`
	Clock   int64       `json:"c,omitempty"`
	Running []ListedRun `json:"r,omitempty"`
	Ended   []EndedRun  `json:"e,omitempty"`
	// MoreEnds means that the worker may have more ends than those in Ended.
	MoreEnds bool `json:"x,omitempty"`
	// AnsweredBy is the incarnation that answered, if it is another one under the same ID.
	AnsweredBy string `json:"b,omitempty"`
}

// ListedRun is a run that a worker lists as running.
type ListedRun struct {
	Task       string `json:"t"`
	Run        int    `json:"r"`
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Metric     int64  `json:"m,omitempty"`
}

// WorkerEnd is a run that a worker listed as ended to a previous leader.
type WorkerEnd struct {
	Worker string `json:"w"`
	EndedRun
}

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	Number     int64  `json:"n"`
	Task       string `json:"t"`
	Run        int    `json:"r"`
	How        int    `json:"h,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

func (Orders) method() string       { return "orders" }
func (OrderResults) method() string { return "results" }
