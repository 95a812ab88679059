package member

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is what the membership core is told.
type Event interface{ event() }

// HeartbeatReceived is a heartbeat that arrived from a peer.
type HeartbeatReceived struct{ Beat Heartbeat }

// Tick lets time pass.
type Tick struct{}

// SendFailed tells that a message to a peer could not be sent: its process is gone
// or the way to it. The next heartbeat from it says otherwise.
type SendFailed struct{ Name string }

// LeavingListed tells which hosts the platform's list shows as leaving.
type LeavingListed struct{ Leaving []string }

// LeaveReceived tells that a peer said farewell in a planned stop.
type LeaveReceived struct{ Name string }

func (HeartbeatReceived) event() {}
func (Tick) event()              {}
func (LeaveReceived) event()     {}
func (SendFailed) event()        {}
func (LeavingListed) event()     {}

// Action is what the membership core asks its edge to do.
type Action interface{ action() }

// LiveChanged tells that the set of live hosts is another one now.
type LiveChanged struct{ Live []string }

func (LiveChanged) action() {}

// Heartbeat is one heartbeat: who sends it, since when it runs, what load it
// carries, which table offset it waits for and the mark of its table there. Ack
// tells the receiver that its own heartbeats arrive at the sender. Seq numbers an
// incarnation's heartbeats, which may overtake each other. Domain does not travel:
// each host knows its peers' from its settings.
type Heartbeat struct {
	Name        string        `json:"name"`
	Domain      string        `json:"-"`
	Incarnation int64         `json:"inc"`
	Seq         int64         `json:"seq"`
	Next        int64         `json:"next"`
	Digest      uint32        `json:"mark"`
	FreeSlots   int           `json:"free"`
	Queued      int           `json:"queued,omitempty"`
	Leaving     bool          `json:"leaving,omitempty"`
	Ack         bool          `json:"ack,omitempty"`
	Period      cell.Duration `json:"period"`
	ReceivedAt  time.Time     `json:"-"`
}
