package policy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/policy"
)

// Guards against an urgent query that finds every host busy with long ones.
func TestLongQueriesLeaveHostsToUrgentOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	p := policy.New(true)
	p.Set([]string{"a", "b", "c"})
	for _, want := range []string{"a", "b", ""} {
		name := p.Pick(true, 0, now)
		require.Equal(t, want, name)
		if name != "" {
			p.Assign(name, time.Second, true, now)
		}
	}
	require.Equal(t, "c", p.Pick(false, 0, now))
	require.Empty(t, p.PickOnce(true, now))
	require.True(t, p.NoneFree(true))
	require.False(t, p.NoneFree(false))
}

// Guards against queries that go to a host at which they fail.
func TestFailedHostIsAvoidedForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	p := policy.New(true)
	p.Set([]string{"a", "b"})
	p.Failed("a", now)
	require.Equal(t, "b", p.Pick(false, 0, now))
	require.False(t, p.Away())
	p.Failed("b", now)
	require.Empty(t, p.Pick(false, 0, now))
	require.True(t, p.Away())
	require.Equal(t, "a", p.Pick(false, 0, now.Add(1100*time.Millisecond)))
	p.Answered("a")
	require.False(t, p.Away())
}

func TestBestCandidatesAreKeptInOrder(t *testing.T) {
	b := policy.Best{Most: 2}
	for _, c := range []policy.Candidate{{Worker: "x", Cost: 3}, {Worker: "y", Cost: 1}, {Worker: "known", Known: true, Cost: 9}, {Worker: "z", Cost: 1}} {
		b.Add(c)
	}
	require.Equal(t, []policy.Candidate{{Worker: "known", Known: true, Cost: 9}, {Worker: "y", Cost: 1}}, b.All)
}
