package store

import (
	"context"
	"time"
)

const (
	// maxReadWait is the most that a read is waited for before it is made again on another
	// connection, however long answers took of late: the operators' table has to be in
	// force within two seconds, and one second of that is spent waiting for it.
	maxReadWait = 700 * time.Millisecond
	// readPeerDelay is when the next peer is asked as well while one has not answered a read,
	// ten times what a peer on a calm host takes. A write is left to one peer for patience:
	// it costs the store a turn each time.
	readPeerDelay = 150 * time.Millisecond
	// maxPeers is how many peers are asked for one call. While the store is away for all,
	// each call of each host would otherwise go to every other host.
	maxPeers = 3
	// maxTries is how often one read is made on the direct way, with twice the pause each
	// time: a lead that takes over reads pages that take their time on a busy host.
	maxTries = 3
)

// race makes one call on several ways: first the direct one, then through peers, each a
// while after the one before, and none is waited for before the next is tried.
//
// Ways fall silent without a word, and several at once: the hosts of a failure domain that
// is cut off, a connection that was open while the store was away. Waited for one after the
// other, a read would take as long as all of them together, and a host would go on with an
// old table for seconds after everyone was told that the new one is in force.
type race struct {
	r       *Routed
	call    Call
	results chan result
	// pending is how many tries have no outcome yet, tries how many were direct.
	pending, tries int
	// peers are those not asked yet.
	peers []string
	// failed joins the failures so far.
	failed error
}

type result struct {
	answer Answer
	err    error
}

func newRace(r *Routed, c Call) *race {
	return &race{r: r, call: c, results: make(chan result, maxTries+maxPeers), peers: r.peers()}
}

// run returns the first answer, or the failure of all ways. What has no answer when the
// time is over may still be carried out.
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
			if w.tries > 0 {
				w.r.markSilent(w.call)
			}
			w.askNextPeer(ctx)
			next.Reset(w.r.peerDelay(w.call))
		case <-again.C:
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

// tryDirect tries the tryDirect way; false if the store has just refused there.
func (w *race) tryDirect(ctx context.Context) bool {
	if w.tries == maxTries || w.r.isClosed(w.call) {
		return false
	}
	w.tries++
	w.pending++
	go func() {
		// It goes on when a peer was faster: how long it takes tells whether the
		// way is silent or slow.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		a, err := w.r.callDirect(ctx, w.call)
		w.results <- result{a, err}
	}()
	return true
}

// askNextPeer asks the next askNextPeer, if there is one.
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
