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
	// closeTimeout bounds one telling of keys' ends. A connection that has gone
	// silent is replaced within the time of two, so that one of closeTries gets
	// through; without it repeats would wait for an end that is there.
	closeTimeout = time.Second
	// closeRate is the rate in bytes a second that answers are given besides.
	closeRate  = 256 << 10
	closeTries = 4
	// closeBatch is how many ends go into one message, and closeBytes after how
	// many bytes of answers it is full. Ends that come while one message is on
	// its way share the next, which halves the cost of a keyed request.
	closeBatch = 128
	closeBytes = 1 << 20
	// maxQueuedEnds bounds the ends that wait for one home.
	maxQueuedEnds = 4096
)

// keyEnds are the keyEnds of keys that homes are still to be told, by home.
type keyEnds struct {
	mu      sync.Mutex
	waiting map[string][]ledger.Close
	sending map[string]bool
	wg      sync.WaitGroup
}

// queueEnd tells a home how a try ended. The caller does not wait for it: a
// home that has gone silent would hold back an answer that is there.
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
		x.Log.Warn("ledger: too many keys' ends wait for a home.", "home", a.Home)
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

// nextBatch returns the next ends for a home; without any the home is not busy.
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
		x.Log.Warn("ledger: keys' ends not kept.", "home", home, "ends", len(batch), "err", err)
		if !errors.As(err, &silent) {
			return
		}
	}
}

// FlushKeyEnds waits until the homes were told the ends of all requests. A planned
// stop calls it: homes that were not told would answer repeats with unknown.
func (x *Relay) FlushKeyEnds() { x.ends.wg.Wait() }
