package ledger

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is an input of Ledger.Step.
type Event interface{ event() }

// Open asks whether a keyed request may be sent. Attempt is 1 for the caller's first try.
type Open struct {
	Key     string `json:"key"`
	Digest  uint64 `json:"digest"`
	Attempt int    `json:"attempt"`
	// Try identifies this try of the key. No two tries share an identifier.
	Try string `json:"try,omitempty"`
	// Host and Incarnation identify the entry host that asks.
	Host        string `json:"host,omitempty"`
	Incarnation int64  `json:"inc,omitempty"`
	// Domain is the failure domain whose homes are asked. Group is the digest of the names
	// of these homes; it reveals hosts whose settings differ.
	Domain string `json:"domain,omitempty"`
	Group  uint64 `json:"group,omitempty"`
	// Remaining is how long the try may still run.
	Remaining cell.Duration `json:"left,omitzero"`
}

// Close records how a keyed request ended. The outcome Refused means that the request
// certainly did not run: the key is released if this try holds it.
type Close struct {
	Key    string `json:"key"`
	Digest uint64 `json:"digest,omitempty"`
	Try    string `json:"try,omitempty"`
	Answer Answer `json:"answer"`
}

// Await asks for a notification when the running try of a key has ended. ID identifies the
// waiter, and Until is when it gives up.
type Await struct {
	Key, ID string
	Until   time.Time
}

// CancelAwait ends a wait whose waiter has gone.
type CancelAwait struct{ ID string }

// Heartbeat is the last heartbeat of an entry host.
type Heartbeat struct {
	Incarnation int64
	At          time.Time
}

// HostHeartbeats carries the last heartbeat of each entry host.
type HostHeartbeats struct{ Heartbeats map[string]Heartbeat }

// Tick advances the time.
type Tick struct{}

func (Open) event()           {}
func (Close) event()          {}
func (Await) event()          {}
func (CancelAwait) event()    {}
func (HostHeartbeats) event() {}
func (Tick) event()           {}

// Action is an output of Ledger.Step, for the caller to carry out.
type Action interface{ action() }

// Verdict answers an Open.
type Verdict struct {
	Key    string  `json:"key"`
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

// Woken answers an Await.
type Woken struct {
	ID      string
	Verdict Verdict
}

func (Verdict) action() {}
func (Woken) action()   {}

// State is what a home knows about a key.
type State string

// The states of a key.
const (
	// Fresh means that the home now holds the key and the request may be sent.
	Fresh State = "fresh"
	// Running means that another try of this key was sent and has no answer yet.
	Running State = "running"
	// Answered means that the key has a stored answer.
	Answered State = "known"
	// Mismatch means that the key was used with another request.
	Mismatch State = "other"
	// Unconfirmed means that this home cannot guarantee that the key was not used before.
	Unconfirmed State = "blind"
	// Lost means that a try was running on an entry host that is gone.
	Lost State = "lost"
	// Released means that the awaited try released the key without running the request.
	Released State = "free"
	// FutureKey means that the time in the key is too far ahead of the home's clock.
	FutureKey State = "ahead"
)

// Answer is a complete answer as it is stored under its key.
type Answer struct {
	Outcome cell.Outcome      `json:"outcome"`
	Status  int               `json:"status"`
	Header  map[string]string `json:"header,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	// RetryAfter is how long the caller waits before the next try.
	RetryAfter cell.Duration `json:"again,omitzero"`
	At         time.Time     `json:"-"`
}

func (a Answer) size() int64 {
	n := int64(len(a.Body) + len(a.Reason))
	for name, value := range a.Header {
		n += int64(len(name) + len(value))
	}
	return n
}
