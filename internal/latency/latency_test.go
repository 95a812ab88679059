package latency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/latency"
)

// Workers answer in a millisecond or two, and one answer in twenty is lost. A lost answer is
// detected after a quarter of the longest timeout; otherwise a job with 16 tasks would be late.
// When the leader itself is short of CPU time, all answers take longer, and the leader must not
// take that for lost answers.
func TestOrderTimeoutFollowsResponseTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	o := latency.New()
	require.Equal(t, 120*time.Millisecond, o.Timeout("w", now))
	o.Record("v", 2*time.Millisecond, now)
	require.Equal(t, 120*time.Millisecond, o.Timeout("w", now))
	o.Record("v", 80*time.Millisecond, now)
	require.Equal(t, 320*time.Millisecond, o.Timeout("w", now))
	now = now.Add(1100 * time.Millisecond)
	require.Equal(t, 320*time.Millisecond, o.Timeout("w", now), "a slow answer counts for up to two seconds")
	now = now.Add(1100 * time.Millisecond)
	require.Equal(t, 120*time.Millisecond, o.Timeout("w", now))
}

// A worker that is slow itself gets a longer timeout, and no other worker does. Otherwise the
// runs that it starts would be stopped just as they begin.
func TestSlowWorkerGetsALongerTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	o := latency.New()
	o.Record("slow", 300*time.Millisecond, now)
	require.Equal(t, 500*time.Millisecond, o.Timeout("slow", now.Add(time.Minute)))
	require.Equal(t, 120*time.Millisecond, o.Timeout("other", now))
}
