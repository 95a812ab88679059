package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/sched"
)

// Guards against bounds of leases that another leader than the previous one has stored, and against odd
// records of other writers.
func TestOnlyBoundsOfThatTermCount(t *testing.T) {
	const rec = `{"t":7,"a":3,"w":{"w00":1500,"w01":0,"w02":-4,"w03":4000000000000}}`
	require.Equal(t, map[string]time.Duration{"w00": 1500 * time.Millisecond, "w01": 0}, sched.DecodeBounds([]byte(rec), 7))
	for _, b := range []string{"", "null", "[]", `{"t":7,"w":{"w00":"1"}}`, `{"t":7,"w":[1]}`, rec[:20]} {
		require.Empty(t, sched.DecodeBounds([]byte(b), 7), b)
	}
	require.Nil(t, sched.DecodeBounds([]byte(rec), 6))
	require.Nil(t, sched.DecodeBounds([]byte(rec), 8))
}

// Guards against leases on a worker that a stored record names among those that do not answer: a successor
// relies on it that there are none.
func TestNoLeasesWhileAStoredBoundNamesTheWorker(t *testing.T) {
	b := newSimCell(t, 2)
	st := scan(4)
	st.LongRunning = true
	b.submit("watch", "scan", st)
	b.advance(time.Second)
	w := b.workers["w00"]
	require.NotEmpty(t, w.runs)
	w.silent = true
	b.advance(2 * time.Second)
	require.Contains(t, sched.DecodeBounds(b.stored[sched.BoundsKey], b.term), "w00")
	b.storeDown, b.readsServed = true, true
	w.silent = false
	before := w.deadline
	b.advance(2 * time.Second)
	require.Equal(t, before, w.deadline)
	b.storeDown = false
	b.advance(time.Second)
	require.True(t, w.deadline.After(before))
	require.NotContains(t, sched.DecodeBounds(b.stored[sched.BoundsKey], b.term), "w00")
	require.Len(t, w.runs, 4)
	require.Empty(t, b.violations)
}
