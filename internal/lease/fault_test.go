package lease_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/lease"
)

func newReading(sent time.Time, tasks ...lease.Task) lease.Reading {
	return lease.Reading{Sent: sent, Clock: sent, Remaining: 3 * time.Second, Lease: "7", Cursor: int64(len(tasks)), Tasks: tasks}
}

func actionsOf[T lease.Action](acts []lease.Action) []T {
	var found []T
	for _, a := range acts {
		if a, ok := a.(T); ok {
			found = append(found, a)
		}
	}
	return found
}

func running(id string) lease.Task { return lease.Task{ID: id, State: "running"} }

// Two renewals overtake each other on the network, and the answer to the older one arrives last. If
// it were used as the newer one, it would hide a task that was started in between, and the task
// would be started a second time elsewhere.
func TestOlderAnswerDoesNotReplaceANewer(t *testing.T) {
	l := lease.New(limits)
	holdWorker(t, l)
	newer, older := start.Add(1500*time.Millisecond), start.Add(time.Second)
	acts := l.Step(newer, lease.Renewed{Worker: "w1", Reading: newReading(newer, running("t"))})
	require.Len(t, actionsOf[lease.Updated](acts)[0].Tasks, 1)
	acts = l.Step(newer, lease.Renewed{Worker: "w1", Reading: newReading(older)})
	require.Empty(t, actionsOf[lease.Updated](acts))
	r, _ := l.LastReading("w1")
	require.Len(t, r.Tasks, 1)
	require.Empty(t, actionsOf[lease.Down](l.Step(newer, lease.Refused{Worker: "w1", Sent: older})))
}

// The answer to a renewal is lost. The host does not know whether its lease was extended, so it
// relies only on the old one and retries in time.
func TestLostRenewalIsTriedAgainBeforeTheLeaseLapses(t *testing.T) {
	l := lease.New(limits)
	holdWorker(t, l)
	sent := 0
	for now := start; now.Before(start.Add(2900 * time.Millisecond)); now = now.Add(50 * time.Millisecond) {
		for range actionsOf[lease.Renew](l.Step(now, lease.Tick{})) {
			sent++
			l.Step(now, lease.Unanswered{Worker: "w1"})
		}
	}
	require.GreaterOrEqual(t, sent, 3)
	_, ok := l.Deadline(start.Add(2950*time.Millisecond), "w1")
	require.False(t, ok)
}

// The host's clock runs 1 % too slow and the worker's 1 % too fast. The host must stop starting
// tasks before the worker gives the anchor to another host.
func TestDriftingClocksDoNotStretchALease(t *testing.T) {
	l := lease.New(limits)
	holdWorker(t, l)
	lapsed := 3 * time.Second * 99 / 101
	_, ok := l.Deadline(start.Add(lapsed), "w1")
	require.False(t, ok)
}

// A host has to give up a rack while a start to one of its workers is in flight. If it released the
// worker at once, the next holder would read an empty task list and fill the worker, and the start
// would arrive in addition.
func TestAnchorIsNotReleasedDuringAStart(t *testing.T) {
	l := lease.New(limits)
	holdWorker(t, l)
	l.Step(start, lease.StartSent{Worker: "w1", Task: "t"})
	acts := l.Step(start, lease.Wanted{})
	require.Len(t, actionsOf[lease.Down](acts), 1)
	require.Empty(t, actionsOf[lease.Release](acts))
	_, ok := l.Deadline(start, "w1")
	require.False(t, ok, "a worker that is no longer wanted gets no new start")
	sure := l.Step(start.Add(time.Second), lease.StartAnswered{Worker: "w1", Task: "t", OutcomeKnown: true})
	require.Equal(t, []lease.Release{{Worker: "w1", Lease: ""}}, actionsOf[lease.Release](sure))
}

// Guards against an overfilled worker: a task is started again on the worker while the answer to
// its first start is outstanding. That answer must not release the anchor during the second start.
func TestAnchorIsNotReleasedDuringASecondStart(t *testing.T) {
	l := lease.New(limits)
	holdWorker(t, l)
	l.Step(start, lease.StartSent{Worker: "w1", Task: "t"})
	l.Step(start, lease.StartSent{Worker: "w1", Task: "t"})
	require.Empty(t, actionsOf[lease.Release](l.Step(start, lease.Wanted{})))
	require.Empty(t, actionsOf[lease.Release](l.Step(start, lease.StartAnswered{Worker: "w1", Task: "t", OutcomeKnown: true})))
	require.Len(t, actionsOf[lease.Release](l.Step(start, lease.StartAnswered{Worker: "w1", Task: "t", OutcomeKnown: true})), 1)
}

// The answer to a start is lost, so it is unknown whether the start will still arrive. The anchor
// is left to lapse, since the start can no longer be carried out after that.
func TestAnchorLapsesAfterAStartOfUnknownOutcome(t *testing.T) {
	l := lease.New(limits)
	holdWorker(t, l)
	l.Step(start, lease.StartSent{Worker: "w1", Task: "t"})
	l.Step(start, lease.Wanted{})
	require.Empty(t, actionsOf[lease.Release](l.Step(start.Add(time.Second), lease.StartAnswered{Worker: "w1", Task: "t"})))
	require.Empty(t, actionsOf[lease.Release](l.Step(start.Add(4*time.Second), lease.Tick{})))
}

// A task ends long before the next renewal is due. Its capacity must not stay unused until then. A
// task that runs longer than declared is polled less and less often, so that wrong run times do not
// cause a flood of requests.
func TestWorkerIsPolledWhenATaskShouldHaveEnded(t *testing.T) {
	slow := limits
	slow.TTL = 30 * time.Second
	l := lease.New(slow)
	l.Step(start, lease.Wanted{Workers: []string{"w1"}})
	r := newReading(start)
	r.Remaining = 30 * time.Second
	l.Step(start, lease.Granted{Worker: "w1", Reading: r})
	l.Step(start, lease.StartSent{Worker: "w1", Task: "t"})
	l.Step(start, lease.StartAnswered{Worker: "w1", Task: "t", OutcomeKnown: true, RunTime: time.Second})
	var at []time.Duration
	for now := start; now.Before(start.Add(11 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if len(actionsOf[lease.Renew](l.Step(now, lease.Tick{}))) > 0 {
			at = append(at, now.Sub(start))
			r := newReading(now, running("t"))
			r.Remaining = 30 * time.Second
			l.Step(now, lease.Renewed{Worker: "w1", Reading: r})
		}
	}
	require.Less(t, at[0], 1100*time.Millisecond)
	require.Less(t, len(at), 8, at)
}

// One host leads many workers. The leases get longer so that the renewals stay within their budget,
// and they never get shorter than three seconds.
func TestLeasesFollowTheByteBudget(t *testing.T) {
	l := lease.New(lease.DefaultLimits)
	l.Step(start, lease.Wanted{Workers: []string{"w1"}})
	require.Equal(t, 3*time.Second, l.TTL())
	names := make([]string, 46)
	for i := range names {
		names[i] = string(rune('A' + i))
	}
	l.Step(start, lease.Wanted{Workers: names})
	bytes := 46 * float64(lease.DefaultLimits.RenewalBytes) / (l.TTL().Seconds() * 2 / 5)
	require.LessOrEqual(t, bytes, float64(lease.DefaultLimits.BytesPerSecond)*1.01)
	require.Greater(t, lease.DefaultLimits.TaskTTL, 2*l.TTL(), "tasks survive the failure of their leader")
	for len(names) < 5000 {
		names = append(names, strconv.Itoa(len(names)))
	}
	l.Step(start, lease.Wanted{Workers: names})
	require.LessOrEqual(t, l.TTL(), lease.DefaultLimits.TaskTTL/3, "no start lasts longer than an inventory waits for a silent worker")
}

// Guards against an overfilled worker: a host gives up a rack and gets it back while a start is in
// flight, and the task list that it read before does not contain the task.
func TestWorkerIsLedAgainOnlyWithAListOfAllItsStarts(t *testing.T) {
	l := lease.New(limits)
	holdWorker(t, l)
	l.Step(start, lease.StartSent{Worker: "w1", Task: "t"})
	require.Len(t, actionsOf[lease.Down](l.Step(start, lease.Wanted{})), 1)
	at := start.Add(100 * time.Millisecond)
	acts := l.Step(at, lease.Wanted{Workers: []string{"w1"}})
	require.Empty(t, actionsOf[lease.Up](acts))
	require.Len(t, actionsOf[lease.Renew](acts), 1, "its task list is read at once")
	require.Empty(t, actionsOf[lease.Up](l.Step(at, lease.Renewed{Worker: "w1", Reading: newReading(at)})), "the start may still arrive")
	_, ok := l.Deadline(at, "w1")
	require.False(t, ok)
	at = at.Add(100 * time.Millisecond)
	require.Len(t, actionsOf[lease.Renew](l.Step(at, lease.StartAnswered{Worker: "w1", Task: "t", OutcomeKnown: true})), 1)
	later := at.Add(100 * time.Millisecond)
	up := actionsOf[lease.Up](l.Step(later, lease.Renewed{Worker: "w1", Reading: newReading(later, running("t"))}))
	require.Len(t, up, 1)
	require.Len(t, up[0].Tasks, 1)
}
