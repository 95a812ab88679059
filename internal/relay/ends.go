package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/ledger"
	"pollencroft/internal/peer"
)

const (
	// closeTimeout bounds one message that reports ends of keys to a home. A connection
	// that has gone silent is replaced within two such timeouts, so that one of closeTries
	// messages gets through. Otherwise repeats would wait for an end that is already known.
	closeTimeout = time.Second
	// closeRate extends closeTimeout by one second for this many bytes of answers.
	closeRate  = 256 << 10
	closeTries = 4
	// closeBatch is how many ends one message holds, and closeBytes is after how many bytes
	// of answers it is full. Ends that arrive while a message is in flight share the next
	// one, which halves the cost of a keyed request.
	closeBatch = 128
	closeBytes = 1 << 20
	// maxQueuedEnds bounds the ends that are queued for one home.
	maxQueuedEnds = 4096
)

// keyEnds queues the ends of keys that are still to be reported, by home.
type keyEnds struct {
	mu      sync.Mutex
	waiting map[string][]ledger.Close
	sending map[string]bool
	wg      sync.WaitGroup
}

// queueEnd queues the end of a try for a home. The caller does not wait for it to be
// delivered: a silent home would delay an answer that is already available.
func (x *Relay) queueEnd(a ledger.RecordEnd) {
	if a.Home == x.Name {
		x.CloseKey(a.Close)
		return
	}
	e := &x.ends
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting == nil {
		e.waiting, e.sending = map[string][]ledger.Close{}, map[string]bool{}
	}
	if len(e.waiting[a.Home]) >= maxQueuedEnds {
		x.Log.Warn("ledger: dropped the end of a key, the queue for its home is full.", "home", a.Home)
		return
	}
	e.waiting[a.Home] = append(e.waiting[a.Home], a.Close)
	if !e.sending[a.Home] {
		e.sending[a.Home] = true
		e.wg.Go(func() { x.sendEnds(a.Home) })
	}
}

func (x *Relay) sendEnds(home string) {
	for {
		batch := x.ends.nextBatch(home)
		if len(batch) == 0 {
			return
		}
		x.sendBatch(home, batch)
	}
}

// nextBatch removes and returns the next ends for a home. If there are none, it marks the
// sending to this home as finished.
func (e *keyEnds) nextBatch(home string) []ledger.Close {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := e.waiting[home]
	n, size := 0, 0
	for n < len(all) && n < closeBatch && size < closeBytes {
		size += len(all[n].Answer.Body)
		n++
	}
	e.waiting[home] = all[n:]
	if n == 0 {
		delete(e.waiting, home)
		delete(e.sending, home)
	}
	return all[:n:n]
}

func (x *Relay) sendBatch(home string, batch []ledger.Close) {
	var silent *peer.NoAnswerError
	wait := closeTimeout
	for _, ev := range batch {
		wait += time.Duration(len(ev.Answer.Body)) * time.Second / closeRate
	}
	for range closeTries {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		err := x.Peers.Ask(ctx, home, peer.CloseKeys{All: batch}, nil)
		cancel()
		if err == nil {
			return
		}
		x.Log.Warn("ledger: failed to report the ends of keys to a home.", "home", home, "ends", len(batch), "err", err)
		if !errors.As(err, &silent) {
			return
		}
	}
}

// FlushKeyEnds waits until the homes have been told the ends of all requests. A planned
// stop calls it, because homes that were not told would answer repeats with unknown.
func (x *Relay) FlushKeyEnds() { x.ends.wg.Wait() }
