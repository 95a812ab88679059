package store

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Ways to the store.
const (
	// patience is how long a call may go without an answer before it is made
	// through a peer as well. The store answers in 4 ms; slow days take sixty
	// times that.
	patience = 450 * time.Millisecond
	// avoid is how long the direct way is left alone after it failed: about as
	// long as a look costs less than the calls it would delay.
	avoid = time.Second
	// most bounds one call in all, besides the time it asks the store to wait.
	most = 3 * time.Second
)

// Relay makes a call at a peer that may be served by the store.
type Relay interface {
	// Peers lists the peers to ask, best first.
	Peers() []string
	// Do has the peer make the call.
	Do(ctx context.Context, peer string, c Call) (Answer, error)
}

// Routed reaches the store directly or, while it turns this host away, through
// a peer. A host that the store refuses would otherwise refuse callers whom the
// host beside it serves; it would be seen in refusals at single hosts.
//
// A call without an answer is made again on the other way. That is safe: an
// append is fenced by epoch and sequence, is conditional, or is keyed by what it
// says, and all other calls only read or renew.
type Routed struct {
	direct Log
	relay  Relay
	now    func() time.Time
	// lost is told when the direct way fails and comes back.
	lost func(ok bool, err error)
	mu   sync.Mutex
	// until is when the direct way is tried again; zero while it works.
	until time.Time
	good  time.Time
}

// NewRouted returns a log that knows both ways; lost may not wait.
func NewRouted(direct Log, relay Relay, now func() time.Time, lost func(ok bool, err error)) *Routed {
	return &Routed{direct: direct, relay: relay, now: now, lost: lost}
}

// Good is when the store answered this host last, on whichever way.
func (r *Routed) Good() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.good
}

// Direct makes the call on the direct way only, for a peer.
func (r *Routed) Direct(ctx context.Context, c Call) (Answer, error) {
	if !r.open() {
		return Answer{}, &RefusedError{Op: c.Op, Reason: "this host is turned away as well"}
	}
	return r.try(ctx, c)
}

// Do makes the call.
func (r *Routed) Do(ctx context.Context, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, most+c.Wait)
	defer cancel()
	unsure := false
	var last error
	if r.open() {
		a, err := r.try(ctx, c)
		if !away(err) {
			return a, err
		}
		last, unsure = err, !NotDone(err)
	}
	// A read that waits is left to its caller: it is made again soon.
	if c.Wait > 0 && last != nil {
		return Answer{}, last
	}
	for _, p := range r.relay.Peers() {
		if ctx.Err() != nil {
			break
		}
		a, err := r.ask(ctx, p, c)
		if !away(err) {
			return a, err
		}
		last = err
		unsure = unsure || !NotDone(err)
	}
	switch {
	case last == nil:
		return Answer{}, &RefusedError{Op: c.Op, Reason: "no way to the store"}
	case unsure && NotDone(last):
		// One way said that nothing was done, another did not answer.
		return Answer{}, &UnansweredError{Op: c.Op, Cause: last}
	}
	return Answer{}, last
}

func (r *Routed) open() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until.IsZero() {
		return true
	}
	if r.now().Before(r.until) {
		return false
	}
	// One call looks; the others go on around it meanwhile.
	r.until = r.now().Add(avoid)
	return true
}

func (r *Routed) try(ctx context.Context, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, patience+c.Wait)
	defer cancel()
	a, err := r.direct.Do(ctx, c)
	r.tell(err)
	return a, err
}

func (r *Routed) ask(ctx context.Context, p string, c Call) (Answer, error) {
	// A peer's time is not for waiting.
	c.Wait = min(c.Wait, patience)
	ctx, cancel := context.WithTimeout(ctx, 2*patience)
	defer cancel()
	a, err := r.relay.Do(ctx, p, c)
	if !away(err) {
		r.mu.Lock()
		r.good = r.now()
		r.mu.Unlock()
	}
	return a, err
}

func (r *Routed) tell(err error) {
	r.mu.Lock()
	was := r.until.IsZero()
	if away(err) {
		r.until = r.now().Add(avoid)
	} else {
		r.until, r.good = time.Time{}, r.now()
	}
	is := r.until.IsZero()
	r.mu.Unlock()
	if was != is {
		r.lost(is, err)
	}
}

// away tells whether the store did not serve this host at all.
func away(err error) bool {
	var unanswered *UnansweredError
	return NotDone(err) || errors.As(err, &unanswered)
}
