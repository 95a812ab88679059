package ledger

import (
	"time"

	"pollencroft/internal/cell"
)

// Event is what the key ledger is told.
type Event interface{ event() }

// Open asks whether a keyed request may be sent on. Attempt is 1 for the
// caller's first try.
type Open struct {
	Key     string `json:"key"`
	Digest  uint64 `json:"digest"`
	Attempt int    `json:"attempt"`
	// Try names this try of the key; no two tries share a name.
	Try string `json:"try,omitempty"`
	// Host and Inc name the entry host that asks and its incarnation.
	Host        string `json:"host,omitempty"`
	Incarnation int64  `json:"inc,omitempty"`
	// Domain is the failure domain whose homes are asked, and Group the digest
	// of those homes' names, so that hosts with unlike settings notice it.
	Domain string `json:"domain,omitempty"`
	Group  uint64 `json:"group,omitempty"`
	// Remaining is how long the try may still run.
	Remaining cell.Duration `json:"left,omitzero"`
}

// Close keeps what became of a keyed request. Refused means that it provably
// did not run: the key is given back, if this try holds it.
type Close struct {
	Key    string `json:"key"`
	Digest uint64 `json:"digest,omitempty"`
	Try    string `json:"try,omitempty"`
	Answer Answer `json:"answer"`
}

// Await asks to be told once the running try of a key has ended. ID names the
// waiter, Until is when it gives up.
type Await struct {
	Key, ID string
	Until   time.Time
}

// CancelAwait ends a wait whose waiter has gone.
type CancelAwait struct{ ID string }

// Heartbeat is the last sign of life of an entry host.
type Heartbeat struct {
	Incarnation int64
	At          time.Time
}

// HostHeartbeats tells the last sign of life of every other entry host.
type HostHeartbeats struct{ Heartbeats map[string]Heartbeat }

// Tick lets time pass.
type Tick struct{}

func (Open) event()           {}
func (Close) event()          {}
func (Await) event()          {}
func (CancelAwait) event()    {}
func (HostHeartbeats) event() {}
func (Tick) event()           {}

// Action is what the ledger asks its edge to do.
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

// State says what is known of a key.
type State string

// What a ledger may say of a key.
const (
	// Fresh means that the key is now kept and the request may be sent.
	Fresh State = "fresh"
	// Running means that another try of this key was sent and has no answer yet.
	Running State = "running"
	// Answered means that the stored answer is the answer.
	Answered State = "known"
	// Mismatch means that the key was used with another request.
	Mismatch State = "other"
	// Unconfirmed means that this home cannot vouch for the key.
	Unconfirmed State = "blind"
	// Lost means that a try was running on an entry host that is gone.
	Lost State = "lost"
	// Released means that the try that was waited for gave the key back.
	Released State = "free"
	// FutureKey means that the key's own time is in the future.
	FutureKey State = "ahead"
)

// Answer is a whole answer as it is kept under its key.
type Answer struct {
	Outcome cell.Outcome      `json:"outcome"`
	Status  int               `json:"status"`
	Header  map[string]string `json:"header,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	// RetryAfter is how long to wait before the next try.
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
