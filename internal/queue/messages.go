package queue

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is an input of the queue's state machine.
type Event interface{ event() }

// Row is the table's entry for the requests of one row, as it applies to this host.
type Row struct {
	Name   string
	Class  cell.Class
	Weight int64
	// Slots is how many requests of the row this host may have in progress at once: its share
	// of the row's limit. Zero means no limit, NoSlots means none at all.
	Slots int64
	// MaxQueued is how many requests of the row may wait on this host. Zero means no limit.
	MaxQueued int64
}

// NoSlots is the limit of a row that has no slot on this host.
const NoSlots = -1

// Enqueue adds a request that needs a slot of a backend server.
type Enqueue struct {
	ID       string
	Row      Row
	Deadline time.Time
	// FromPeer marks a request that a peer passed on to use a free slot of this host. It is
	// sent immediately or refused, and never waits.
	FromPeer bool
	// Avoid lists the backend servers on which this request has failed.
	Avoid []string
}

// Ended reports that a sent request no longer holds its slot.
type Ended struct {
	ID     string
	Took   time.Duration
	Failed bool
}

// LendRejected reports that a peer had no slot for a lent request. The request waits again.
type LendRejected struct{ ID string }

// Cancelled reports that the caller no longer waits for a request.
type Cancelled struct{ ID string }

// Share is how many slots of a backend server this host may use.
type Share struct {
	Backend string
	Slots   int
}

// Shares replaces the list of backend servers and this host's shares of them.
type Shares struct{ All []Share }

// Peer is a host of the same failure domain that has announced free slots.
type Peer struct {
	Name string
	Free int
}

// Peers replaces the list of peers that lend slots.
type Peers struct{ All []Peer }

// RowChanged reports that the table's entry for a row has changed. The change also applies to
// requests that already wait.
type RowChanged struct{ Row Row }

// Tick reports that time has passed.
type Tick struct{}

func (Enqueue) event()      {}
func (Ended) event()        {}
func (LendRejected) event() {}
func (Cancelled) event()    {}
func (Shares) event()       {}
func (Peers) event()        {}
func (RowChanged) event()   {}
func (Tick) event()         {}

// Action is something that the queue asks its caller to do.
type Action interface{ action() }

// Send asks to send a request to a backend server now.
type Send struct{ ID, Backend string }

// Lend asks to pass a request on to a peer, which sends it using one of its own slots.
type Lend struct{ ID, Peer string }

// Refuse asks to refuse a request that was not sent.
type Refuse struct {
	ID     string
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

func (Send) action()   {}
func (Lend) action()   {}
func (Refuse) action() {}

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	Full       Reason = "queue is full"
	TooLate    Reason = "cannot be answered in time"
	NoBackend  Reason = "no backend server"
	Busy       Reason = "no free slot to lend"
	CallerGone Reason = "caller hung up"
)
