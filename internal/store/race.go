package store

import (
	"context"
	"sync"
	"time"
)

const (
	// maxReadWait is the longest wait before a read is repeated on another connection, whatever
	// the recent latency. The operators' table must be in force within two seconds, and one
	// second of that is spent waiting for it.
	maxReadWait = 700 * time.Millisecond
	// readPeerDelay is the delay before the next peer is asked as well while a peer has not
	// answered a read. It is ten times what a peer on an idle host takes. For a write the delay
	// is at least directTimeout, since each attempt of a write costs the store a turn.
	readPeerDelay = 150 * time.Millisecond
	// maxPeers is how many peers are asked for one call. While the store is unavailable to all
	// hosts, each call of each host would otherwise go to every other host.
	maxPeers = 3
	// maxTries is how often one read is made on the direct route. The pause doubles each time,
	// because a leader that takes over reads pages that take long on a busy host.
	maxTries = 3
)

// arrivalTimeout is how long an answer may take to arrive completely. The same call on another route
// would only take a part of the link's bandwidth from it.
const arrivalTimeout = 1500 * time.Millisecond

// arrival is when an answer last began to arrive; zero before. It is safe for concurrent use.
type arrival struct {
	mu sync.Mutex
	at time.Time
}

func (a *arrival) begin(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = now
}

func (a *arrival) began() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at
}

// inProgress reports whether an answer is arriving and is not overdue.
func (a *arrival) inProgress(now time.Time) bool {
	at := a.began()
	return !at.IsZero() && now.Sub(at) < arrivalTimeout
}

// race makes one call on several routes: first the direct one, then through peers, each some time
// after the previous one. It does not wait for one attempt to end before it starts the next.
//
// Routes go silent without an error, and several may do so at once, such as all hosts of a
// failure domain that is cut off, or a connection that was open while the store was unavailable.
// If the routes were tried one after the other, a read would take the sum of their timeouts, and
// a host would use an old table for seconds after everyone was told that the new one is in force.
type race struct {
	r       *Routed
	call    Call
	results chan result
	// arrival is when an answer on the direct route last began to arrive.
	arrival arrival
	// pending counts the attempts without an outcome, tries the attempts on the direct route.
	pending, tries int
	// peers are those not asked yet.
	peers []string
	// failed combines the failures so far.
	failed error
}

type result struct {
	answer Answer
	err    error
}

func newRace(r *Routed, c Call) *race {
	return &race{r: r, call: c, results: make(chan result, maxTries+maxPeers), peers: r.peers()}
}

// run returns the first answer, or the combined failure of all routes. A call that has no answer
// when the context ends may still be carried out.
func (w *race) run(ctx context.Context) (Answer, error) {
	first := w.r.directDelay(w.call)
	if !w.tryDirect(ctx) || w.r.isCut(w.call) {
		w.askNextPeer(ctx)
		first = w.r.peerDelay(w.call)
	}
	next := time.NewTimer(first)
	defer next.Stop()
	pause := w.r.retryDelay()
	again := time.NewTimer(pause)
	defer again.Stop()
	for w.pending > 0 {
		select {
		case got := <-w.results:
			w.pending--
			if !IsUnavailable(got.err) {
				return got.answer, got.err
			}
			w.failed = CombineErrors(w.failed, got.err)
			w.askNextPeer(ctx)
			next.Reset(w.r.peerDelay(w.call))
		case <-next.C:
			if w.arrival.inProgress(w.r.now()) {
				next.Reset(w.r.peerDelay(w.call))
				continue
			}
			if w.tries > 0 {
				w.r.markSilent(w.call)
			}
			w.askNextPeer(ctx)
			next.Reset(w.r.peerDelay(w.call))
		case <-again.C:
			if w.arrival.inProgress(w.r.now()) {
				again.Reset(pause)
				continue
			}
			if w.call.Op.isRead() {
				w.tryDirect(ctx)
			}
			pause *= 2
			again.Reset(pause)
		case <-ctx.Done():
			return Answer{}, &UnansweredError{Op: w.call.Op, Cause: ctx.Err()}
		}
	}
	if w.failed == nil {
		w.failed = &RefusedError{Op: w.call.Op, Reason: "no way to the store"}
	}
	return Answer{}, w.failed
}

// tryDirect starts an attempt on the direct route. It returns false if the store has just refused
// there or maxTries is reached.
func (w *race) tryDirect(ctx context.Context) bool {
	if w.tries == maxTries || w.r.isClosed(w.call) {
		return false
	}
	w.tries++
	w.pending++
	go func() {
		// The attempt goes on even if a peer answers first: its duration shows whether the route
		// is silent or slow.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		call := w.call
		call.OnReply = func() { w.arrival.begin(w.r.now()) }
		a, err := w.r.callDirect(ctx, call)
		w.results <- result{a, err}
	}()
	return true
}

// askNextPeer asks the next peer, if there is one.
func (w *race) askNextPeer(ctx context.Context) {
	if len(w.peers) == 0 {
		return
	}
	p := w.peers[0]
	w.peers = w.peers[1:]
	w.pending++
	go func() {
		a, err := w.r.callPeer(ctx, p, w.call)
		w.results <- result{a, err}
	}()
}
