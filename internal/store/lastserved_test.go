package store_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
)

// Guards against a leader that takes the arrival of an answer for the moment at which the store gave
// it: another host may have claimed leadership in between.
func TestLastServedIsWhenTheCallBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := uptime.NewSteady(time.Now)
		time.Sleep(time.Second)
		r := store.NewRouted(&slow{wait: 400 * time.Millisecond}, peers{}, time.Now, up, func(store.Call, bool, error) {})
		require.Zero(t, r.LastServed())
		_, err := r.Do(t.Context(), appendCall)
		require.NoError(t, err)
		require.Equal(t, time.Second, r.LastServed())
		synctest.Wait()
	})
}

// Guards against the same for a call through a peer, and against failed calls that count.
func TestLastServedCountsCallsThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := uptime.NewSteady(time.Now)
		p := peers{"a": {err: errRefused}}
		r := store.NewRouted(&fixedLog{err: errRefused}, p, time.Now, up, func(store.Call, bool, error) {})
		time.Sleep(time.Second)
		_, err := r.Do(t.Context(), appendCall)
		require.Error(t, err)
		require.Zero(t, r.LastServed())
		p["a"].err = nil
		time.Sleep(time.Second)
		_, err = r.Do(t.Context(), appendCall)
		require.NoError(t, err)
		require.Equal(t, 2*time.Second, r.LastServed())
	})
}
