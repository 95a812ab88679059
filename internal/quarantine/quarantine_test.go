package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/quarantine"
)

// Guards against a worker that fails all its runs and goes on to get work.
func TestWorkerThatFailsSeveralJobsIsSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	var r quarantine.Record
	require.Zero(t, r.Fail("a", now))
	require.Zero(t, r.Fail("a", now), "one job may be at fault itself")
	require.Zero(t, r.Fail("b", now))
	require.False(t, r.Suspect())
	for _, want := range []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second, 12 * time.Second} {
		require.Equal(t, want, r.Fail("c", now))
		require.True(t, r.Suspect())
		require.False(t, r.Over(now.Add(want-time.Millisecond)))
		require.True(t, r.Over(now.Add(want)))
	}
	r.Succeed()
	require.False(t, r.Suspect())
	require.Zero(t, r.Failures())
}
