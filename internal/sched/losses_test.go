package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against restarts of long-running tasks of which nobody can tell how long they took, and why.
func TestRestartIsReportedWithItsDelays(t *testing.T) {
	b := newSimCell(t, 4)
	st := scan(1)
	st.LongRunning = true
	b.submit("watch", "scan", st)
	b.advance(2 * time.Second)
	require.Empty(t, b.restarts)
	for _, w := range b.sortedWorkers() {
		w.silent = len(w.runs) > 0
	}
	b.advance(20 * time.Second)
	require.Len(t, b.restarts, 1)
	r := b.restarts[0]
	require.Equal(t, "watch.0.0.0", r.Task.String())
	require.True(t, r.LongRunning)
	require.Equal(t, 2, r.Run)
	require.Greater(t, r.Held, 5*time.Second)
	require.Less(t, r.Waited, time.Second)
}
