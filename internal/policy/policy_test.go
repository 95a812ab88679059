package policy_test

import (
	"fmt"
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
		name := p.Pick(policy.Long, 0, now)
		require.Equal(t, want, name)
		if name != "" {
			p.Assign(name, time.Second, true, now)
		}
	}
	require.Equal(t, "c", p.Pick(policy.Urgent, 0, now))
	require.Empty(t, p.PickOnce(policy.Long, now))
	require.True(t, p.NoneFree(policy.Long))
	require.False(t, p.NoneFree(policy.Urgent))
}

// Guards against queries that go to a host at which they fail.
func TestFailedHostIsAvoidedForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	p := policy.New(true)
	p.Set([]string{"a", "b"})
	p.Failed("a", now)
	require.Equal(t, "b", p.Pick(policy.Urgent, 0, now))
	require.False(t, p.Away())
	p.Failed("b", now)
	require.Empty(t, p.Pick(policy.Urgent, 0, now))
	require.True(t, p.Away())
	require.Equal(t, "a", p.Pick(policy.Urgent, 0, now.Add(1100*time.Millisecond)))
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

// Guards against long queries that wait for good where few hosts are left, because most of them are kept
// free for urgent ones.
func TestOverdueQueriesGetMoreOfFewHosts(t *testing.T) {
	for hosts, want := range map[int]int{1: 1, 2: 1, 3: 2, 7: 5, 38: 23} {
		p := policy.New(false)
		var names []string
		for i := range hosts {
			names = append(names, fmt.Sprint("h", i))
		}
		p.Set(names)
		now, got := time.Unix(1000, 0), 0
		for name := p.Pick(policy.Overdue, 0, now); name != ""; name = p.Pick(policy.Overdue, 0, now) {
			p.Assign(name, time.Second, true, now)
			got++
		}
		require.Equal(t, want, got, fmt.Sprint(hosts, " hosts"))
	}
}
