package outlier

// Event is an input of the detector.
type Event interface{ event() }

// Sent reports that a request was sent to a backend server.
type Sent struct{ ID, Backend, Row string }

// Ended reports the result of a sent request.
type Ended struct {
	ID     string
	Result Result
}

// Result is how a sent request ended.
type Result int

// The results of a sent request.
const (
	// Succeeded means that a complete answer arrived.
	Succeeded Result = iota
	// Failed means that no complete answer arrived, or one that indicates a fault of the
	// server.
	Failed
	// Unreachable means that the server accepted no connection.
	Unreachable
	// Leaving means that the server itself announced that it leaves.
	Leaving
)

// LeavingReported reports that a peer has announced that backend servers leave.
type LeavingReported struct{ Leaving []string }

// ServersListed replaces the list of backend servers by that of the host list.
type ServersListed struct{ Backends []string }

// Tick reports that time has passed.
type Tick struct{}

func (Sent) event()            {}
func (Ended) event()           {}
func (LeavingReported) event() {}
func (ServersListed) event()   {}
func (Tick) event()            {}

// Action is something that the detector asks its caller to do.
type Action interface{ action() }

// StateChanged reports that a server has a new state, so that MaxSlots may return another
// number for it.
type StateChanged struct {
	Backend string
	State   State
	Reason  string
}

func (StateChanged) action() {}
