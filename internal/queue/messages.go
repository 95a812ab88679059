package queue

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is what the queue core is told.
type Event interface{ event() }

// Row is what the table says of a row's requests on this host.
type Row struct {
	Name   string
	Class  cell.Class
	Weight int64
	// Slots is how many requests of the row this host may have sent at once:
	// its part of the row's limit. Zero means no limit, None not one.
	Slots int64
	// MaxQueued is how many requests of the row may wait here; zero means no limit.
	MaxQueued int64
}

// NoSlots is the limit of a row that has no slot on this host.
const NoSlots = -1

// Enqueue is a request that wants a slot of a backend server.
type Enqueue struct {
	ID       string
	Row      Row
	Deadline time.Time
	// FromPeer asks for a free slot on behalf of a peer: now or not at all.
	FromPeer bool
	// Avoid names backend servers that this request has failed on.
	Avoid []string
}

// Ended tells that a sent request holds its slot no longer.
type Ended struct {
	ID     string
	Took   time.Duration
	Failed bool
}

// LendRejected tells that a peer had no slot for a request, which waits again.
type LendRejected struct{ ID string }

// Cancelled tells that a caller no longer waits for a request.
type Cancelled struct{ ID string }

// Share is how many slots of one backend server this host may use.
type Share struct {
	Backend string
	Slots   int
}

// Shares replaces the backend servers and this host's shares of them.
type Shares struct{ All []Share }

// Peer is a host of the failure domain that has free slots by its own word.
type Peer struct {
	Name string
	Free int
}

// Peers replaces the peers that lend their slots.
type Peers struct{ All []Peer }

// RowChanged tells that the table has another row; it holds for requests that
// wait already.
type RowChanged struct{ Row Row }

// Tick lets time pass.
type Tick struct{}

func (Enqueue) event()      {}
func (Ended) event()        {}
func (LendRejected) event() {}
func (Cancelled) event()    {}
func (Shares) event()       {}
func (Peers) event()        {}
func (RowChanged) event()   {}
func (Tick) event()         {}

// Action is what the queue core asks its edge to do.
type Action interface{ action() }

// Send tells to send a request to a backend server now.
type Send struct{ ID, Backend string }

// Lend tells to hand a request to a peer, which sends it on a slot of its own.
type Lend struct{ ID, Peer string }

// Refuse tells that a request is given up before it was sent.
type Refuse struct {
	ID     string
	Reason Reason
	// RetryAfter is how long the caller should wait before the next try.
	RetryAfter time.Duration
}

func (Send) action()   {}
func (Lend) action()   {}
func (Refuse) action() {}

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	Full       Reason = "queue is full"
	TooLate    Reason = "cannot be answered in time"
	NoBackend  Reason = "no backend server"
	Busy       Reason = "no free slot to lend"
	CallerGone Reason = "caller hung up"
)
