package store_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/store"
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
