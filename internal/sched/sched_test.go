package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

func TestJobOfStepsRunsInOrder(t *testing.T) {
	b := newSimCell(t, 6)
	b.submit("a", "scan", scan(6), scan(3))
	require.Equal(t, map[string]int{"scan": 1}, b.core.Pending())
	b.advance(1500 * time.Millisecond)
	require.Equal(t, flow.Active, b.state("a"))
	require.Empty(t, b.core.Pending())
	b.advance(time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
	require.Len(t, b.starts, 9)
}

// A job is submitted again at another host after its 2xx. If it became a second job, its work would
// be done twice.
func TestDuplicateSubmitIsIgnored(t *testing.T) {
	b := newSimCell(t, 3)
	b.submit("a", "scan", scan(2))
	b.advance(3 * time.Second)
	b.submit("a", "scan", scan(2))
	b.advance(3 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	for n, c := range b.starts {
		require.Equal(t, 1, c, n.String())
	}
}

// The store does not answer for a while. No run may start that a successor would not know of, and
// no job may be shown as completed before that is stored.
func TestRunStartsOnlyAfterItIsStored(t *testing.T) {
	b := newSimCell(t, 3)
	b.advance(100 * time.Millisecond)
	b.storeDown = true
	b.submit("a", "scan", scan(2))
	b.advance(2 * time.Second)
	require.Empty(t, b.starts)
	b.storeDown = false
	b.advance(500 * time.Millisecond)
	require.Len(t, b.starts, 2)
	b.storeDown = true
	b.advance(2 * time.Second)
	require.NotEqual(t, flow.Completed, b.state("a"))
	b.storeDown = false
	b.advance(time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// A worker doesn't answer a start and carries it out two seconds later. If the task were started
// elsewhere meanwhile, it would run twice.
func TestUnansweredStartIsStoppedBeforeRestartElsewhere(t *testing.T) {
	b := newSimCell(t, 3)
	b.advance(100 * time.Millisecond)
	for _, w := range b.sortedWorkers() {
		w.startDelay = 2 * time.Second
	}
	b.submit("a", "scan", scan(4))
	b.advance(300 * time.Millisecond)
	for _, w := range b.sortedWorkers() {
		w.startDelay = 0
	}
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
}

// A worker disappears for good. Its tasks start elsewhere once no lease on it can still be valid,
// and not before. A job that waited forever would break the promise of its acceptance.
func TestTasksOfLostWorkerRestartAfterLease(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	gone := b.workers["w00"]
	require.NotEmpty(t, gone.runs)
	held := len(gone.runs)
	gone.dead = true
	b.list()
	before := total(b.starts)
	b.advance(6 * time.Second)
	require.Equal(t, before, total(b.starts), "tasks must not start again while a lease may still be valid")
	b.advance(5 * time.Second)
	require.Equal(t, before+held, total(b.starts))
	b.advance(20 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
}

func total(starts map[flow.Name]int) int {
	n := 0
	for _, c := range starts {
		n += c
	}
	return n
}

// A worker is cut off from the network for 5.5 s and keeps running. Its tasks survive that and are
// not started elsewhere.
func TestTasksSurviveNetworkCut(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	b.workers["w00"].silent = true
	b.advance(5500 * time.Millisecond)
	b.workers["w00"].silent = false
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, 8, total(b.starts))
	require.Empty(t, b.violations)
}

// All hosts lose power while tasks run. The next leader finds each recorded run at its worker,
// continues with it, and starts nothing twice.
func TestNewLeaderAdoptsRunningTasks(t *testing.T) {
	b := newSimCell(t, 3)
	b.submit("a", "print", bulk(8))
	b.submit("b", "scan", scan(5), scan(5))
	b.advance(600 * time.Millisecond)
	b.takeover()
	b.advance(10 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, flow.Completed, b.state("b"))
	require.Equal(t, 18, total(b.starts))
	require.Empty(t, b.violations)
}

// The leader ends between storing a run and sending its start. The next leader reads the worker,
// which does not have the run, and starts it once.
func TestNewLeaderStartsRunStoredButNotSent(t *testing.T) {
	for cut := range 40 {
		b := newSimCell(t, 3)
		b.advance(100 * time.Millisecond)
		b.submit("a", "scan", scan(6))
		b.advance(time.Duration(cut) * time.Millisecond)
		b.takeover()
		b.advance(4 * time.Second)
		require.Equal(t, flow.Completed, b.state("a"), "cut after %d ms", cut)
		require.Empty(t, b.violations, "cut after %d ms", cut)
	}
}

// requireInheritedRunsWait checks that the tasks of a worker that the next leader cannot reach start elsewhere
// after wait, and until then after that. The leader is told of the events given.
func requireInheritedRunsWait(t *testing.T, older bool, wait, until time.Duration, events ...sched.Event) {
	t.Helper()
	b := newSimCell(t, 2)
	b.olderLeaders = older
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	w := b.workers["w00"]
	held := len(w.runs)
	require.NotZero(t, held)
	w.dead = true
	b.takeover()
	for _, ev := range events {
		b.step(ev)
	}
	before := total(b.starts)
	b.advance(wait)
	require.Equal(t, before, total(b.starts))
	b.advance(until)
	require.Equal(t, before+held, total(b.starts))
}

// The next leader cannot reach a worker that the records name. The previous leader may have renewed the
// leases there until its last proof, and one of an older build may go on renewing them for a while: none of
// the worker's tasks may start elsewhere before these leases have expired.
func TestInheritedRunsOfSilentWorkerWaitForPreviousLeaderAndLease(t *testing.T) {
	t.Run("this build", func(t *testing.T) {
		requireInheritedRunsWait(t, false, sched.DefaultLimits.Lease, 500*time.Millisecond)
	})
	t.Run("an older build", func(t *testing.T) {
		requireInheritedRunsWait(t, true, 15*time.Second, 4*time.Second)
	})
}

// The same, but the previous leader is known to have stopped: one lease is enough.
func TestInheritedRunsWaitOneLeaseAfterPreviousLeaderStopped(t *testing.T) {
	t.Run("this build", func(t *testing.T) {
		requireInheritedRunsWait(t, false, sched.DefaultLimits.Lease, 500*time.Millisecond, sched.PredecessorStopped{})
	})
	t.Run("an older build", func(t *testing.T) {
		requireInheritedRunsWait(t, true, 8*time.Second, 2*time.Second, sched.PredecessorStopped{})
	})
}

// A leader leaves while a worker is silent. If each of several successive leaders waited for a
// whole lease again, the task would never start.
func TestLeaseBoundsOfSilentWorkersPassToSuccessor(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	held := len(b.workers["w00"].runs)
	b.workers["w00"].dead = true
	before := total(b.starts)
	step := (sched.DefaultLimits.Lease - 500*time.Millisecond) / 3
	for range 3 {
		b.advance(step)
		bounds := b.core.LeaseBounds(b.now)
		b.takeover()
		b.step(sched.PredecessorStopped{Since: b.now, LeaseBounds: bounds})
	}
	require.Equal(t, before, total(b.starts))
	b.advance(step)
	require.Equal(t, before+held, total(b.starts))
}

// A worker fails every run immediately, so it always has free capacity. Without a quarantine it
// would use up the attempts of every job.
func TestFailingWorkerDoesNotFailJobs(t *testing.T) {
	b := newSimCell(t, 6)
	b.workers["w00"].fails = true
	for i := range 12 {
		b.submit(fmt.Sprintf("job%d", i), "scan", scan(6))
		b.advance(300 * time.Millisecond)
	}
	b.advance(10 * time.Second)
	for i := range 12 {
		require.Equal(t, flow.Completed, b.state(fmt.Sprintf("job%d", i)))
	}
	require.Empty(t, b.violations)
}

// A job that fails everywhere ends as failed after exactly as many attempts as its queue allows.
func TestJobFailsAfterAllAttempts(t *testing.T) {
	b := newSimCell(t, 6)
	for _, w := range b.sortedWorkers() {
		w.fails = true
	}
	b.submit("bad", "scan", scan(1))
	b.advance(30 * time.Second)
	require.Equal(t, flow.Failed, b.state("bad"))
	require.Equal(t, 3, total(b.starts))
}

// All runs on one worker stall while it answers every request. Its tasks restart elsewhere within
// two seconds instead of waiting for it to recover.
func TestStalledRunsRestartElsewhere(t *testing.T) {
	b := newSimCell(t, 3)
	b.workers["w00"].stalled = true
	b.submit("a", "scan", scan(20))
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
}

// The runs of a cancelled job are stopped at once, including those whose start had no answer, and
// the worker never begins them afterwards.
func TestCancelledJobIsStoppedEverywhere(t *testing.T) {
	b := newSimCell(t, 3)
	b.advance(100 * time.Millisecond)
	b.workers["w01"].startDelay = 2 * time.Second
	b.submit("a", "print", bulk(12))
	b.advance(time.Second)
	b.cancel("a")
	b.advance(4 * time.Second)
	require.Equal(t, flow.Cancelled, b.state("a"))
	for _, w := range b.sortedWorkers() {
		require.Empty(t, w.runs)
	}
}

// A draining worker gets no starts, and a long-running task is moved away from it.
func TestDrainingWorkerIsEmptied(t *testing.T) {
	b := newSimCell(t, 2)
	lasts := scan(8)
	lasts.LongRunning = true
	b.submit("watch", "scan", lasts)
	b.advance(time.Second)
	leaving := b.workers["w00"]
	require.NotEmpty(t, leaving.runs)
	leaving.info.Draining, leaving.info.Remaining = true, 4*time.Second
	b.list()
	b.advance(time.Second)
	require.Empty(t, leaving.runs)
	require.Len(t, b.workers["w01"].runs, 8)
	require.Empty(t, b.violations)
}

// All members of a gang start together, with the same run number, or none does.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	b := newSimCell(t, 2)
	filler := scan(1)
	filler.Size.CPU, filler.EstimatedTime = 60_000, 3*time.Second
	b.submit("first", "scan", filler)
	b.advance(200 * time.Millisecond)
	gang := bulk(8)
	gang.Gang, gang.Checkpoints = true, false
	b.submit("gang", "print", gang)
	b.advance(2 * time.Second)
	require.Equal(t, 1, total(b.starts), "there is capacity for five members only")
	b.advance(9 * time.Second)
	require.Equal(t, flow.Completed, b.state("gang"))
	require.Empty(t, b.violations)
}

// A leader steps down when a worker has seen a leader of a later term.
func TestFencedLeaderStepsDown(t *testing.T) {
	b := newSimCell(t, 1)
	b.submit("a", "scan", scan(1))
	b.advance(500 * time.Millisecond)
	b.workers["w00"].fence = 9
	b.advance(2 * time.Second)
	require.True(t, b.steppedDown)
}

// A leader takes over a job that has ended, whose steps are no longer stored, and a worker still
// lists a run of it. The size of that run is unknown, and anything started beside it could overfill
// the worker, so nothing may start there until it is gone.
func TestRunOfUnknownSizeTakesWholeWorker(t *testing.T) {
	b := newSimCell(t, 1)
	b.submit("a", "scan", scan(1))
	b.advance(3 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	w := b.workers["w00"]
	large := scan(1)
	large.Size.CPU = 60_000
	w.runs[flow.Name{Job: "a"}] = &fakeRun{run: 9, began: b.now, ends: b.now.Add(time.Minute), step: large}
	w.deadline = b.now.Add(time.Minute)
	b.takeover()
	b.submit("b", "scan", scan(3))
	b.advance(12 * time.Second)
	require.Equal(t, flow.Completed, b.state("b"))
	require.Empty(t, b.violations)
}

// A job is accepted at one host and cancelled at another while the leader changes, and the next
// leader receives the cancellation first. The caller was told that the job is cancelled, so none of
// its tasks may start.
func TestCancellationBeforeSubmitCounts(t *testing.T) {
	b := newSimCell(t, 3)
	b.advance(100 * time.Millisecond)
	b.cancel("a")
	b.advance(50 * time.Millisecond)
	b.submit("a", "scan", scan(2), scan(1))
	b.advance(3 * time.Second)
	require.Equal(t, flow.Cancelled, b.state("a"))
	require.Empty(t, b.starts)
	require.Empty(t, b.violations)
}

// Guards against the capacity of ended gang members staying booked for seconds.
func TestEndedGangMembersTakeNoCapacity(t *testing.T) {
	b := newSimCell(t, 1)
	for _, id := range []string{"a", "b"} {
		gang := bulk(5)
		gang.Gang, gang.Checkpoints, gang.EstimatedTime = true, false, time.Second
		b.submit(id, "print", gang)
	}
	b.advance(3 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, flow.Completed, b.state("b"))
	require.Empty(t, b.violations)
}
