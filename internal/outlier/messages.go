package outlier

// Event is what the outlier core is told.
type Event interface{ event() }

// Sent tells that a request was sent to a backend server.
type Sent struct{ ID, Backend, Row string }

// Ended tells what became of a sent request.
type Ended struct {
	ID     string
	Result Result
}

// Result is how a sent request ended.
type Result int

// The ways in which a sent request ends.
const (
	// Succeeded is a whole answer.
	Succeeded Result = iota
	// Failed is no whole answer, or one that tells of a fault of the server.
	Failed
	// Unreachable is a server that takes no connections.
	Unreachable
	// Leaving is a server's own word that it leaves.
	Leaving
)

// LeavingReported is a peer's word that backend servers leave.
type LeavingReported struct{ Leaving []string }

// ServersListed replaces the backend servers that are there by the host list.
type ServersListed struct{ Backends []string }

// Tick lets time pass.
type Tick struct{}

func (Sent) event()            {}
func (Ended) event()           {}
func (LeavingReported) event() {}
func (ServersListed) event()   {}
func (Tick) event()            {}

// Action is what the outlier core asks its edge to do.
type Action interface{ action() }

// StateChanged tells that Most gives another number for a backend server now.
type StateChanged struct {
	Backend string
	State   State
	Reason  string
}

func (StateChanged) action() {}
