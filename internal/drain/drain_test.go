package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/drain"
)

// Guards against idle time that counts as slow progress, against a single gap that counts as a slow
// backlog, and against a stalled backlog that counts as a fast one.
func TestIntervalFollowsTheSends(t *testing.T) {
	now := time.Unix(1000, 0)
	m := drain.Meter{Window: 250 * time.Millisecond}
	m.Restart(now)
	require.Zero(t, m.Interval(now.Add(200*time.Millisecond)), "nothing has been measured")
	send := func(n int, every time.Duration) {
		for range n {
			now = now.Add(every)
			m.Count(now)
		}
	}
	send(100, 10*time.Millisecond)
	require.InDelta(t, 10*time.Millisecond, m.Interval(now), float64(time.Millisecond))
	require.InDelta(t, 10*time.Millisecond, m.Interval(now.Add(200*time.Millisecond)), float64(time.Millisecond))
	require.InDelta(t, 2*time.Second, m.Interval(now.Add(2*time.Second)), float64(10*time.Millisecond))
	now = now.Add(time.Hour)
	m.Restart(now)
	send(100, 5*time.Millisecond)
	require.InDelta(t, 6*time.Millisecond, m.Interval(now), float64(2*time.Millisecond))
}
