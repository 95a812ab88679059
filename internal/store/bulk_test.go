package store_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
)

// Many hosts read large pages over slow links, which takes longer than any usual answer. Each of
// these reads is made once: made again on other routes it would take the bandwidth several times.
func TestBulkReadsAreMadeOnOneRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, p := &slow{wait: 2 * time.Second}, peers{"a": {}}
		r := routed(direct, p)
		_, err := r.Do(background, store.Call{Op: store.Newest, Topic: "state", Bulk: true})
		require.NoError(t, err)
		require.EqualValues(t, 1, direct.calls.Load())
		require.Zero(t, p["a"].calls)
	})
}

// A bulk read that the store refuses to this host is made through a peer.
func TestRefusedBulkReadIsMadeThroughAPeer(t *testing.T) {
	p := peers{"a": {}}
	r := routed(&fixedLog{err: errRefused}, p)
	_, err := r.Do(background, store.Call{Op: store.Newest, Topic: "state", Bulk: true})
	require.NoError(t, err)
	require.Equal(t, 1, p["a"].calls)
}

// A bulk read that the store has refused a moment ago, on a host that knows no peer, fails. An empty
// answer would be taken for the absence of records.
func TestBulkReadWithoutAnyRouteFails(t *testing.T) {
	r := routed(&fixedLog{err: errRefused}, peers{})
	for range 2 {
		_, err := r.Do(background, store.Call{Op: store.Newest, Topic: "state", Bulk: true})
		require.True(t, store.NotDone(err))
	}
}

// narrowLink answers each call at once, with an answer that takes a second to arrive if the link
// carries no other one at the same time.
type narrowLink struct {
	mu     sync.Mutex
	active int
	calls  int
}

func (w *narrowLink) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	w.change(1)
	defer w.change(-1)
	if c.OnReply != nil {
		c.OnReply()
	}
	const step = 10 * time.Millisecond
	for left := float64(time.Second); left > 0; {
		select {
		case <-ctx.Done():
			return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
		case <-time.After(step):
			w.mu.Lock()
			left -= float64(step) / float64(w.active)
			w.mu.Unlock()
		}
	}
	return store.Answer{End: 1}, nil
}

func (w *narrowLink) change(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active += n
	if n > 0 {
		w.calls++
	}
}

// linkPeers are peers whose answers arrive over this host's own link.
type linkPeers struct{ link *narrowLink }

func (p linkPeers) Peers() []string { return []string{"a", "b", "c"} }

func (p linkPeers) Do(ctx context.Context, _ string, c store.Call) (store.Answer, error) {
	return p.link.Do(ctx, c)
}

// Guards against a large table that never arrives over a slow link, because each read of it is
// repeated on other routes before it is complete, over the same link.
func TestAnswerThatIsArrivingIsNotAskedForAgain(t *testing.T) {
	for name, c := range map[string]store.Call{"newest": {Op: store.Newest, Topic: "op"}, "waiting read": longRead} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				link := &narrowLink{}
				r := store.NewRouted(link, linkPeers{link}, time.Now, uptime.NewSteady(time.Now), func(store.Call, bool, error) {})
				began := time.Now()
				_, err := r.Do(background, c)
				require.NoError(t, err)
				require.Equal(t, 1, link.calls)
				require.Less(t, time.Since(began), 1100*time.Millisecond)
				require.Less(t, r.RecentLatency(), 100*time.Millisecond, "the size of an answer is no latency")
			})
		})
	}
}
