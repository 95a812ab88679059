// Package call defines a caller's request and the reply to it, as hosts send
// them to each other.
package call

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollencroft/internal/cell"
)

// Request is one caller's request to a backend server.
type Request struct {
	ID     string            `json:"id"`
	Row    string            `json:"row"`
	Method string            `json:"method"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Deadline is in the clock of the host that holds the request. It is not
	// encoded: hosts send each other the time left instead, because their clocks
	// differ.
	Deadline time.Time `json:"-"`
	Key      string    `json:"key,omitempty"`
	Attempt  int       `json:"attempt,omitempty"`
	// Trace is the W3C trace context of the previous hop.
	Trace string `json:"trace,omitempty"`
	// Lost lists the backend servers whose connections broke during the request,
	// once for each time.
	Lost []string `json:"lost,omitempty"`
}

// Digest returns a hash of the request's row, method, path and body, which
// distinguishes different requests with the same key.
func (r Request) Digest() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Row, r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Reply is the reply to a caller. Status, Header and Body are those of the
// backend server if the outcome is done.
type Reply struct {
	Outcome cell.Outcome      `json:"outcome"`
	Status  int               `json:"status"`
	Header  map[string]string `json:"header,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	// RetryAfter is how long the caller should wait before the next attempt.
	RetryAfter cell.Duration `json:"again,omitzero"`
	// Lost lists the backend servers whose connections broke during this attempt.
	// It is not sent to callers.
	Lost []string `json:"lost,omitempty"`
}

// Refuse returns a reply to a request that certainly did not run.
func Refuse(status int, reason string, again time.Duration) Reply {
	return Reply{Outcome: cell.Refused, Status: status, Reason: reason, RetryAfter: cell.Duration{Duration: again}}
}

// Unsure returns a reply to a request that may have run and has no complete answer.
func Unsure(status int, reason string, again time.Duration) Reply {
	return Reply{Outcome: cell.Unknown, Status: status, Reason: reason, RetryAfter: cell.Duration{Duration: again}}
}
