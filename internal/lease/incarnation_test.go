package lease_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/lease"
)

func readingIn(sent time.Time, incarnation string, left time.Duration) lease.Reading {
	return lease.Reading{Sent: sent, Clock: sent, Remaining: left, Lease: "7", Incarnation: incarnation}
}

// holdIncarnation makes l lead a worker in an incarnation that has been known for a minute.
func holdIncarnation(t *testing.T, l *lease.Leases, incarnation string, left time.Duration) {
	t.Helper()
	l.Step(start.Add(-time.Minute), lease.DomainWorkers{Workers: []string{"w1"}})
	l.Step(start.Add(-time.Minute), lease.IncarnationLearned{Worker: "w1", Incarnation: incarnation})
	l.Step(start, lease.Wanted{Workers: []string{"w1"}})
	acts := l.Step(start, lease.Granted{Worker: "w1", Reading: readingIn(start, incarnation, left)})
	require.Len(t, actionsOf[lease.Up](acts), 1)
}

// grant acquires a worker in that incarnation and reports whether it is led then.
func grant(l *lease.Leases, at time.Time, incarnation string) bool {
	l.Step(at, lease.Wanted{Workers: []string{"w1"}})
	return len(actionsOf[lease.Up](l.Step(at, lease.Granted{Worker: "w1", Reading: readingIn(at, incarnation, 3*time.Second)}))) == 1
}

// Guards against starts on a worker where starts of a previous holder may still arrive.
func TestUnknownIncarnationIsAwaited(t *testing.T) {
	l := lease.New(limits)
	require.False(t, grant(l, start, "1"))
	require.True(t, l.HasUnconfirmed(start))
	led := func(after time.Duration) bool {
		at := start.Add(after)
		return len(actionsOf[lease.Up](l.Step(at, lease.Renewed{Worker: "w1", Reading: readingIn(at, "1", 3*time.Second)}))) == 1
	}
	require.False(t, led(time.Second))
	require.False(t, led(4200*time.Millisecond))
	require.True(t, led(4400*time.Millisecond))
	require.Equal(t, map[string]string{"w1": "1"}, l.ConfirmedIncarnations(start.Add(5*time.Second)))
}

// Guards against a worker that is idle after each crash: its holder does not have to wait, because
// no other host can have sent starts.
func TestCrashWhileHeldIsNotAwaited(t *testing.T) {
	l := lease.New(limits)
	holdIncarnation(t, l, "1", 3*time.Second)
	at := start.Add(time.Second)
	acts := l.Step(at, lease.Refused{Worker: "w1", Sent: at, Incarnation: "2"})
	require.Len(t, actionsOf[lease.Down](acts), 1)
	require.True(t, grant(l, at.Add(limits.RetryInterval), "2"))
}

// Guards against relying on an empty worker whose previous holder lost the lease before the crash.
func TestCrashAfterTheLeaseLapsedIsAwaited(t *testing.T) {
	l := lease.New(limits)
	holdIncarnation(t, l, "1", 3*time.Second)
	require.Len(t, actionsOf[lease.Down](l.Step(start.Add(4*time.Second), lease.Tick{})), 1)
	require.False(t, grant(l, start.Add(5*time.Second), "2"))
}

// Guards against workers that are idle after each change of their holder.
func TestIncarnationConfirmedByAPeerIsNotAwaited(t *testing.T) {
	l := lease.New(limits)
	l.Step(start, lease.IncarnationConfirmed{Worker: "w1", Incarnation: "1"})
	l.Step(start, lease.DomainWorkers{Workers: []string{"w1"}})
	l.Step(start, lease.IncarnationConfirmed{Worker: "w1", Incarnation: "1"})
	require.True(t, grant(l, start, "1"))
}

// Guards against a peer's confirmation of an incarnation that has ended since.
func TestConfirmationOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	l := lease.New(limits)
	l.Step(start, lease.DomainWorkers{Workers: []string{"w1"}})
	l.Step(start, lease.IncarnationConfirmed{Worker: "w1", Incarnation: "1"})
	require.False(t, grant(l, start, "2"))
	l.Step(start, lease.IncarnationConfirmed{Worker: "w1", Incarnation: "1"})
	require.True(t, l.HasUnconfirmed(start))
}

// Guards against a start that is based on an old answer: another host that finds the worker in its
// next incarnation waits no longer than a start may take.
func TestStartsAreNotSentOnAnOldAnswer(t *testing.T) {
	l := lease.New(limits)
	holdIncarnation(t, l, "1", 15*time.Second)
	d, ok := l.Deadline(start.Add(time.Second), "w1")
	require.True(t, ok)
	most := limits.TTL + limits.TTL*2/5
	require.False(t, d.After(start.Add(most)))
	at := start.Add(most)
	_, ok = l.Deadline(at, "w1")
	require.False(t, ok)
	require.Len(t, actionsOf[lease.Down](l.Step(at, lease.Tick{})), 1)
	acts := l.Step(at.Add(time.Second), lease.Renewed{Worker: "w1", Reading: readingIn(at.Add(time.Second), "1", 15*time.Second)})
	require.Len(t, actionsOf[lease.Up](acts), 1)
}

// Guards against a renewal whose answer is interpreted as changes of the previous incarnation. The
// new incarnation was learned from the answer to a query that was sent before the worker was
// acquired.
func TestIncarnationLearnedBesideARenewalEndsTheLease(t *testing.T) {
	l := lease.New(limits)
	holdIncarnation(t, l, "1", 3*time.Second)
	at := start.Add(time.Second)
	l.Step(at, lease.IncarnationLearned{Worker: "w1", Incarnation: "2"})
	acts := l.Step(at, lease.Renewed{Worker: "w1", Reading: readingIn(at, "2", 3*time.Second)})
	require.Len(t, actionsOf[lease.Down](acts), 1)
	require.Len(t, actionsOf[lease.Acquire](acts), 1)
}

// Guards against workers of other hosts whose incarnations nobody here knows when their holder is
// lost.
func TestIncarnationsOfOtherHostsWorkersAreQueried(t *testing.T) {
	l := lease.New(limits)
	ask := func(after time.Duration) int {
		return len(actionsOf[lease.AskIncarnation](l.Step(start.Add(after), lease.Tick{})))
	}
	require.Len(t, actionsOf[lease.AskIncarnation](l.Step(start, lease.DomainWorkers{Workers: []string{"w1", "w2"}})), 2)
	l.Step(start, lease.IncarnationLearned{Worker: "w1", Incarnation: "1"})
	require.Equal(t, 1, ask(time.Second), "the other worker did not answer")
	require.Equal(t, 1, ask(2*time.Second))
	require.True(t, grant(l, start.Add(10*time.Second), "1"))
}

// Guards against a leader of very many workers that repeatedly loses and acquires each of them,
// because it renews them so rarely that an answer is too old for a start before the next one
// arrives.
func TestLeaderOfManyWorkersKeepsThem(t *testing.T) {
	l := lease.New(lease.DefaultLimits)
	var names []string
	for i := range 400 {
		names = append(names, strconv.Itoa(i))
	}
	var pending []lease.Action
	step := func(at time.Time, ev lease.Event) {
		for _, a := range l.Step(at, ev) {
			_, down := a.(lease.Down)
			require.False(t, down, at)
			pending = append(pending, a)
		}
	}
	step(start, lease.DomainWorkers{Workers: names})
	step(start, lease.Wanted{Workers: names})
	for at := start; at.Before(start.Add(time.Minute)); at = at.Add(50 * time.Millisecond) {
		step(at, lease.Tick{})
		for len(pending) > 0 {
			a := pending[0]
			pending = pending[1:]
			switch a := a.(type) {
			case lease.Acquire:
				step(at, lease.Granted{Worker: a.Worker, Reading: readingIn(at, "1", a.TTL)})
			case lease.Renew:
				step(at, lease.Renewed{Worker: a.Worker, Reading: readingIn(at, "1", a.TTL)})
			}
		}
	}
	require.Len(t, l.Held(), len(names))
}
