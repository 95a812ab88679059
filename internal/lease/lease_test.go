package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/lease"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = lease.Limits{TTL: 3 * time.Second, TaskTTL: 9 * time.Second, RetryInterval: 250 * time.Millisecond}
)

func holdWorker(t *testing.T, l *lease.Leases) {
	t.Helper()
	require.Equal(t, []lease.Action{lease.Acquire{Worker: "w1", TTL: 3 * time.Second}}, l.Step(start, lease.Wanted{Workers: []string{"w1"}}))
	acts := l.Step(start, lease.Granted{Worker: "w1", Reading: lease.Reading{Sent: start, Clock: start, Remaining: 3 * time.Second}})
	require.IsType(t, lease.Up{}, acts[0])
}

// A host is paused for longer than its lease and then continues. It must notice that the lease has
// lapsed before it starts anything, otherwise a task could run twice, once started by the next
// holder.
func TestPausedHolderStartsNothing(t *testing.T) {
	l := lease.New(limits)
	holdWorker(t, l)
	_, ok := l.Deadline(start.Add(time.Second), "w1")
	require.True(t, ok)
	_, ok = l.Deadline(start.Add(4*time.Second), "w1")
	require.False(t, ok)
	acts := l.Step(start.Add(4*time.Second), lease.Tick{})
	require.Contains(t, acts, lease.Down{Worker: "w1"})
}

// The worker's clock is hours off. The deadline of a start is given by the worker's own clock, so
// the start is neither refused nor late.
func TestDeadlineIsInTheWorkersClock(t *testing.T) {
	l := lease.New(limits)
	l.Step(start, lease.Wanted{Workers: []string{"w1"}})
	theirs := start.Add(-5 * time.Hour)
	l.Step(start, lease.Granted{Worker: "w1", Reading: lease.Reading{Sent: start, Clock: theirs, Remaining: 3 * time.Second}})
	d, ok := l.Deadline(start.Add(time.Second), "w1")
	require.True(t, ok)
	require.True(t, d.After(theirs) && d.Before(theirs.Add(3*time.Second)))
}

// A grant is delivered after its lease has lapsed. Accepting it would let two hosts start tasks on
// one worker.
func TestLateGrantIsIgnored(t *testing.T) {
	l := lease.New(limits)
	l.Step(start, lease.Wanted{Workers: []string{"w1"}})
	acts := l.Step(start.Add(5*time.Second), lease.Granted{Worker: "w1", Reading: lease.Reading{Sent: start, Clock: start, Remaining: 3 * time.Second}})
	for _, a := range acts {
		_, up := a.(lease.Up)
		require.False(t, up)
	}
}
