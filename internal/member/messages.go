package member

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is an input of the membership state machine.
type Event interface{ event() }

// HeartbeatReceived reports a heartbeat from a peer.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// Tick reports that time has passed.
type Tick struct{}

// SendFailed reports that a message to a peer could not be sent: its process or the network path
// to it is down. The peer counts as gone until its next heartbeat.
type SendFailed struct{ Name string }

// LeavingListed holds the hosts that the platform's list shows as leaving.
type LeavingListed struct{ Leaving []string }

// LeaveReceived reports that a peer announced its planned stop.
type LeaveReceived struct{ Name string }

func (HeartbeatReceived) event() {}
func (Tick) event()              {}
func (LeaveReceived) event()     {}
func (SendFailed) event()        {}
func (LeavingListed) event()     {}

// Action is an output of the membership state machine for its caller to carry out.
type Action interface{ action() }

// LiveChanged reports the new set of live hosts.
type LiveChanged struct{ Live []string }

func (LiveChanged) action() {}

// Heartbeat is what a host sends to its peers at regular intervals. Incarnation is the sender's
// start time, FreeSlots and Queued its load, Next the table offset that it waits for and Digest
// that of its table at that offset. Ack tells the receiver that its own heartbeats arrive at the
// sender. Seq numbers the heartbeats of an incarnation, since they may overtake each other.
// Domain and ReceivedAt are not sent: each host knows the failure domains of its peers from its
// settings.
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
