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

// The same job arrives again at another host after its 2xx. A caller would see
// a pass spent twice if it became a second job.
func TestAJobThatArrivesTwiceIsOneJob(t *testing.T) {
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

// The store does not answer for a while. Nothing may start that no successor
// would know of, and no job may be shown as completed before that is stored.
func TestNothingStartsBeforeItsRunIsStored(t *testing.T) {
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

// A worker leaves a start without an answer and carries it out two seconds
// later. Started elsewhere meanwhile, the task would run twice.
func TestAStartWithoutAnAnswerIsStoppedBeforeTheTaskStartsElsewhere(t *testing.T) {
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

// A worker goes for good without a word. Its task begins elsewhere once no
// lease on it can last any more, and not before; a job that waited for ever
// would be one that its caller was told is accepted.
func TestTasksOfAWorkerThatIsGoneStartElsewhereAfterTheLease(t *testing.T) {
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
	require.Equal(t, before, total(b.starts), "nothing starts twice while a lease may last")
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

// A worker is cut off for 5.5 s and runs on. Its tasks live through it and are
// not started anywhere else.
func TestTasksOfAWorkerThatIsCutOffLiveThroughIt(t *testing.T) {
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

// All power goes while tasks run. The next lead finds each run that the records
// name at its worker, goes on with it, and starts nothing twice.
func TestTheNextLeadGoesOnWithWhatRuns(t *testing.T) {
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

// The lead ends between storing a run and sending it. The worker was read by
// the next lead and does not have it, so it starts, once.
func TestARunThatWasStoredAndNeverSentStartsUnderTheNextLead(t *testing.T) {
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

// The next lead cannot reach a worker that the records name. The former lead
// may go on holding it for a while: nothing of it starts before that and one
// lease are over.
func TestInheritedRunsOfASilentWorkerWaitForTheFormerLeadAndALease(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	w := b.workers["w00"]
	held := len(w.runs)
	require.NotZero(t, held)
	w.dead = true
	b.takeover()
	before := total(b.starts)
	b.advance(15 * time.Second)
	require.Equal(t, before, total(b.starts))
	b.advance(4 * time.Second)
	require.Equal(t, before+held, total(b.starts))
}

// The same, but the former lead is known to be over: one lease is enough.
func TestInheritedRunsWaitOneLeaseOnceTheFormerLeadIsOver(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	w := b.workers["w00"]
	held := len(w.runs)
	w.dead = true
	b.takeover()
	b.step(sched.PredecessorStopped{})
	before := total(b.starts)
	b.advance(8 * time.Second)
	require.Equal(t, before, total(b.starts))
	b.advance(2 * time.Second)
	require.Equal(t, before+held, total(b.starts))
}

// A lead leaves while a worker is silent. Leads that leave one after the other
// would each wait for a whole lease again, and the task would never start.
func TestWhatALeadKnowsOfSilentWorkersGoesToItsSuccessor(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	held := len(b.workers["w00"].runs)
	b.workers["w00"].dead = true
	before := total(b.starts)
	for range 3 {
		b.advance(2500 * time.Millisecond)
		bounds := b.core.LeaseBounds(b.now)
		b.takeover()
		b.step(sched.PredecessorStopped{Since: b.now, LeaseBounds: bounds})
	}
	require.Equal(t, before, total(b.starts))
	b.advance(2500 * time.Millisecond)
	require.Equal(t, before+held, total(b.starts))
}

// A worker fails all that it starts, at once. It always has room; without a
// judgement it would use up the tries of every job.
func TestAWorkerThatFailsEverythingDoesNotFailJobs(t *testing.T) {
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

// A job that fails everywhere ends as failed after as many tries as its queue
// allows, and not one more.
func TestAJobThatCanNeverBeDoneFailsAfterItsTries(t *testing.T) {
	b := newSimCell(t, 6)
	for _, w := range b.sortedWorkers() {
		w.fails = true
	}
	b.submit("bad", "scan", scan(1))
	b.advance(30 * time.Second)
	require.Equal(t, flow.Failed, b.state("bad"))
	require.Equal(t, 3, total(b.starts))
}

// All that one worker runs stands still while it answers every question. Its
// tasks go on elsewhere within two seconds instead of when it recovers.
func TestRunsThatStandStillGoOnElsewhere(t *testing.T) {
	b := newSimCell(t, 3)
	b.workers["w00"].stalled = true
	b.submit("a", "scan", scan(20))
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
}

// A cancelled job's runs are stopped at once, those that had no answer too, and
// the worker never begins them any more.
func TestACancelledJobRunsNowhere(t *testing.T) {
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

// A worker that leaves gets no start, and a lasting task is moved.
func TestAWorkerThatLeavesIsEmptied(t *testing.T) {
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

// All members of a gang start together or none does, under one run's number.
func TestAGangStartsWholeOrNotAtAll(t *testing.T) {
	b := newSimCell(t, 2)
	filler := scan(1)
	filler.Size.CPU, filler.EstimatedTime = 60_000, 3*time.Second
	b.submit("first", "scan", filler)
	b.advance(200 * time.Millisecond)
	gang := bulk(8)
	gang.Gang, gang.Checkpoints = true, false
	b.submit("gang", "print", gang)
	b.advance(2 * time.Second)
	require.Equal(t, 1, total(b.starts), "there is room for five members only")
	b.advance(9 * time.Second)
	require.Equal(t, flow.Completed, b.state("gang"))
	require.Empty(t, b.violations)
}

// A lead that a worker knows to be replaced is over.
func TestALeadThatAWorkerKnowsToBeReplacedIsDeposed(t *testing.T) {
	b := newSimCell(t, 1)
	b.submit("a", "scan", scan(1))
	b.advance(500 * time.Millisecond)
	b.workers["w00"].fence = 9
	b.advance(2 * time.Second)
	require.True(t, b.deposed)
}

// A lead takes over a job that has ended, of which it reads no steps, and a worker
// still lists a run of it. Nobody knows what room that run takes. Whatever else was
// started beside it could overfill the worker, so nothing is until it is gone.
func TestARunOfUnknownRoomTakesTheWholeWorker(t *testing.T) {
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

// A job is accepted at one host and cancelled at another, while the lead changes. The
// next lead hears of the cancellation first. Its caller was told that the job is
// cancelled, so no task of it may start.
func TestACancellationThatComesBeforeItsJobCounts(t *testing.T) {
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

// Guards against room of ended members of a gang that stays booked for seconds.
func TestMembersOfAGangThatEndedTakeNoRoom(t *testing.T) {
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
