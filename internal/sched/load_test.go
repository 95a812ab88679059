package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// Bulk work fills the cell and more is waiting, while scans arrive. Each scan starts at once, in
// the capacity that bulk may not use. The load follows the users' mix in the pass office's data
// sheet: 12 scans a second, each of 6 tasks on 5 cores for a second, beside more bulk than fits in
// the rest of the cell.
func TestUrgentWorkStartsAtOnceBesideBulkBacklog(t *testing.T) {
	b := newSimCell(t, 24)
	for i := range 40 {
		b.submit(fmt.Sprintf("bulk%02d", i), "print", bulk(8))
	}
	b.advance(3 * time.Second)
	for i := range 12 {
		b.submit(fmt.Sprintf("scan%02d", i), "scan", scan(1), scan(1))
		b.advance(80 * time.Millisecond)
	}
	b.advance(2 * time.Second)
	late := 0
	for i := range 12 {
		if b.state(fmt.Sprintf("scan%02d", i)) != flow.Completed {
			late++
		}
	}
	require.Zero(t, late)
	require.Empty(t, b.violations)
}

// A queue with advice: no task starts without a ticket, and a step has at most one query in flight.
func TestTicketIsRequiredBeforeStart(t *testing.T) {
	b := newSimCell(t, 12)
	b.queues[0].Advice = &flow.Advice{Base: 24 * time.Millisecond, PerWorker: 340 * time.Microsecond, Valid: 2500 * time.Millisecond}
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.allows = func(_, worker string) bool { return worker >= "w06" }
	b.submit("a", "scan", scan(6))
	b.advance(3 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.LessOrEqual(t, len(b.queries), 3)
	for _, n := range []string{"w00", "w01", "w02", "w03", "w04", "w05"} {
		require.Zero(t, b.workers[n].lastEnd, n)
	}
}

// A job with many short tasks is placed in one of three failure domains, so that it continues when
// another is cut off.
func TestAJobStaysInOneFailureDomain(t *testing.T) {
	b := newSimCell(t, 9)
	b.submit("a", "scan", scan(6), scan(6))
	b.advance(200 * time.Millisecond)
	domains := map[string]bool{}
	for _, w := range b.sortedWorkers() {
		if len(w.runs) > 0 {
			domains[w.info.Domain] = true
		}
	}
	require.Len(t, domains, 1)
}

// Best-effort tasks book only memory. When a serving task beside them nears its response-time
// target they are slowed, and they speed up again once it has recovered.
func TestBestEffortTasksAreSlowedBesideServingTask(t *testing.T) {
	b := newSimCell(t, 1)
	serve := flow.Step{Tasks: 1, Size: cell.Size{CPU: 20_000, Mem: 8 << 30}, LongRunning: true, LatencyTarget: 100 * time.Millisecond}
	fill := flow.Step{Tasks: 2, Size: cell.Size{CPU: 10_000, Mem: 8 << 30}, EstimatedTime: time.Minute, BestEffort: true}
	b.submit("serve", "scan", serve)
	b.submit("fill", "print", fill)
	b.advance(time.Second)
	require.Len(t, b.workers["w00"].runs, 3)
	tail := func(ms int64) { b.reportTail("w00", ms) }
	tail(95)
	require.Len(t, b.paces, 2)
	require.Zero(t, b.paces[0].Percent)
	b.paces = nil
	b.advance(1200 * time.Millisecond)
	tail(20)
	require.NotEmpty(t, b.paces)
	require.Positive(t, b.paces[0].Percent)
}

// reportTail reports the response-time tail of all serving tasks on a worker, in milliseconds.
func (b *simCell) reportTail(worker string, ms int64) {
	ev := sched.HoldReply{Worker: worker, Probe: true, Sent: b.now, Received: b.now, Clock: b.now}
	for n, r := range b.workers[worker].runs {
		l := sched.RunStatus{Task: n, Run: r.run, Percent: 100}
		if r.step.LatencyTarget > 0 {
			l.Metric = ms
		}
		ev.Running = append(ev.Running, l)
	}
	b.step(ev)
}

// Guards against best-effort tasks that stay paused for good under the next leader, and against those
// that go on at full pace at once beside a task that serves.
func TestPausedBestEffortTasksSpeedUpUnderTheNextLeader(t *testing.T) {
	for _, serves := range []bool{true, false} {
		t.Run(fmt.Sprintf("serves_%t", serves), func(t *testing.T) {
			b := newSimCell(t, 1)
			b.submit("serve", "scan", flow.Step{Tasks: 1, Size: cell.Size{CPU: 20_000, Mem: 8 << 30}, LongRunning: true, LatencyTarget: 100 * time.Millisecond})
			b.submit("fill", "print", flow.Step{Tasks: 1, Size: cell.Size{CPU: 10_000, Mem: 8 << 30}, EstimatedTime: time.Minute, BestEffort: true})
			b.advance(time.Second)
			require.Len(t, b.workers["w00"].runs, 2)
			b.reportTail("w00", 95)
			require.Zero(t, b.paces[len(b.paces)-1].Percent)
			if !serves {
				b.cancel("serve")
				b.advance(time.Millisecond)
			}
			b.paces = nil
			b.takeover()
			b.step(sched.PredecessorStopped{Since: b.now})
			b.advance(700 * time.Millisecond)
			if serves {
				require.NotEmpty(t, b.paces)
				require.Less(t, b.paces[0].Percent, 50)
			}
			for range 10 {
				b.advance(500 * time.Millisecond)
				b.reportTail("w00", 20)
			}
			require.NotEmpty(t, b.paces)
			require.Equal(t, 100, b.paces[len(b.paces)-1].Percent)
		})
	}
}

// The store is down and a worker falls silent. Tasks that allow copies still start. The first copy
// that is done counts, and the job completes once.
func TestCopiesNeitherWaitForTheStoreNorForASilentWorker(t *testing.T) {
	b := newSimCell(t, 4)
	b.copies = true
	b.advance(100 * time.Millisecond)
	step := scan(8)
	step.AllowCopies = true
	b.submit("a", "scan", step)
	b.advance(50 * time.Millisecond)
	b.storeDown = true
	next := scan(8)
	next.AllowCopies = true
	b.submit("b", "scan", next)
	b.advance(200 * time.Millisecond)
	started := 0
	for n := range b.starts {
		if n.Job == "b" {
			started++
		}
	}
	require.Equal(t, 8, started)
	for _, w := range b.sortedWorkers() {
		if len(w.runs) > 0 {
			w.silent = true
			break
		}
	}
	b.storeDown = false
	b.advance(4 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, flow.Completed, b.state("b"))
}

// newCellWithCopies returns a cell with a job that allows copies, whose worker with the most tasks
// has been silent for a while.
func newCellWithCopies(t *testing.T, workers, tasks int, work, silent time.Duration) (*simCell, *fakeWorker) {
	b := newSimCell(t, workers)
	b.copies = true
	b.advance(100 * time.Millisecond)
	step := scan(tasks)
	step.AllowCopies, step.EstimatedTime = true, work
	b.submit("a", "scan", step)
	b.advance(300 * time.Millisecond)
	cut := slices.MaxFunc(b.sortedWorkers(), func(x, y *fakeWorker) int { return len(x.runs) - len(y.runs) })
	require.NotEmpty(t, cut.runs)
	cut.silent = true
	b.advance(silent)
	return b, cut
}

// A worker falls silent and returns after copies of its tasks were started elsewhere. Its own runs
// still use its capacity; placing work as if they did not would overfill it.
func TestUntrackedCopiesStillTakeCapacity(t *testing.T) {
	b, cut := newCellWithCopies(t, 3, 12, 5*time.Second, 2500*time.Millisecond)
	require.Greater(t, len(cut.runs), 6)
	b.submit("b", "scan", scan(24))
	cut.silent = false
	b.advance(20 * time.Second)
	require.Greater(t, total(b.starts), 12+24, "copies must have started elsewhere")
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, flow.Completed, b.state("b"))
	require.Empty(t, b.violations)
}

// Hundreds of steps wait, and the leader has so little processor time that one pass over them takes
// tens of milliseconds. If passes ran as often as usual, they would take half of that time; starts,
// replies and appends would wait for the rest, more steps would wait, and passes would take longer
// still. The leader would never work off its backlog and would be fenced for late answers.
func TestPassesAreLimitedToAShareOfTime(t *testing.T) {
	for _, took := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond} {
		b := newSimCell(t, 2)
		b.submit("first", "scan", scan(1))
		b.passTook = took
		b.advance(time.Second)
		b.passes = 0
		for n := range 100 {
			b.submit(fmt.Sprintf("a%03d", n), "scan", scan(4))
			b.advance(10 * time.Millisecond)
		}
		require.LessOrEqual(t, time.Duration(b.passes)*took, time.Second/4+took, "passes may take a quarter of the second, plus the one that began last")
		require.GreaterOrEqual(t, b.passes, 4, "passes within a second")
		b.passTook = 0
		b.advance(2 * time.Second)
		require.Greater(t, total(b.starts), 40, "starts after the load")
	}
}

// Bulk has filled the cell and hundreds of its steps wait, so that a pass over all of them takes
// a twenty-seventh of a second and is made four times a second. Scans that arrive meanwhile have to be
// placed within a few batches, not with the next pass over the backlog.
func TestUrgentStepsDoNotWaitForPassesOverABacklog(t *testing.T) {
	b := newSimCell(t, 24)
	for i := range 100 {
		b.submit(fmt.Sprintf("bulk%03d", i), "print", bulk(8))
	}
	b.advance(time.Second)
	b.passTook, b.urgentPassTook = 37*time.Millisecond, 2*time.Millisecond
	b.advance(time.Second)
	slowest := time.Duration(0)
	for i := range 20 {
		began, id := b.now, fmt.Sprintf("scan%02d", i)
		b.submit(id, "scan", scan(1))
		for b.starts[flow.Name{Job: id}] == 0 {
			b.advance(5 * time.Millisecond)
			require.Less(t, b.now.Sub(began), time.Second)
		}
		slowest = max(slowest, b.now.Sub(began))
		b.advance(43 * time.Millisecond)
	}
	require.LessOrEqual(t, slowest, 100*time.Millisecond)
	require.Empty(t, b.violations)
}

// A leader is suspended for seconds in the middle of a pass. Afterwards waiting work is placed as
// quickly as before, not as if each pass took that long.
func TestSuspensionInAPassDoesNotSlowLaterPasses(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("first", "scan", scan(1))
	b.core.RecordPassDuration(5 * time.Second)
	b.passes = 0
	for n := range 100 {
		b.submit(fmt.Sprintf("a%03d", n), "scan", scan(1))
		b.advance(10 * time.Millisecond)
	}
	require.Greater(t, b.passes, 30, "of at most fifty passes within a second")
}

// A worker falls silent and returns. Copies of its tasks were started elsewhere meanwhile and are
// done first, so its own runs are stopped. Until it was certain that nothing more could begin
// there, the leader asked it again after each reply, hundreds of times a second. These were a
// quarter of all calls of a large cell's leader, which had no processor time left for starts and
// replies.
func TestWorkerWithOnlyStoppedCopiesIsPolledSlowly(t *testing.T) {
	b, cut := newCellWithCopies(t, 4, 8, 3*time.Second, 1500*time.Millisecond)
	cut.silent, cut.stalled, cut.stopTime = false, true, time.Minute
	for b.state("a") != flow.Completed {
		b.advance(10 * time.Millisecond)
	}
	b.advance(100 * time.Millisecond)
	require.NotEmpty(t, cut.runs, "its copies are still being stopped")
	b.holds = 0
	const watched = 3 * time.Second
	b.advance(watched)
	require.Positive(t, b.holds, "holds until its capacity is released")
	require.LessOrEqual(t, b.holds, 2+len(b.workers)*int(watched/sched.DefaultLimits.HoldWait))
}

// A leader ends after starting copies that it could not store. Its successor finds them on their
// workers and continues with them.
func TestNewLeaderFindsUnstoredCopies(t *testing.T) {
	b := newSimCell(t, 4)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.storeDown = true
	step := scan(8)
	step.AllowCopies, step.EstimatedTime = true, 3*time.Second
	b.submit("a", "scan", step)
	b.advance(200 * time.Millisecond)
	require.Equal(t, 8, total(b.starts))
	b.storeDown = false
	b.takeover()
	b.advance(4 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.LessOrEqual(t, total(b.starts), 16)
}

// The same events give the same decisions, including the order of actions.
func TestDecisionsAreDeterministic(t *testing.T) {
	play := func() string {
		b := newSimCell(t, 9)
		b.workers["w03"].fails = true
		for i := range 20 {
			b.submit(fmt.Sprintf("s%02d", i), "scan", scan(6), scan(3))
			b.submit(fmt.Sprintf("b%02d", i), "print", bulk(5))
			b.advance(150 * time.Millisecond)
		}
		b.workers["w05"].silent = true
		b.advance(3 * time.Second)
		return fmt.Sprint(b.starts, b.core.Pending(), len(b.queries))
	}
	require.Equal(t, play(), play())
}

// A worker is seven times slower while it answers every request. Its runs of several jobs are
// restarted elsewhere, and new work avoids it.
func TestRunsOnSlowWorkerRestartElsewhere(t *testing.T) {
	b := newSimCell(t, 3)
	b.workers["w01"].slowdown = 7
	for i := range 6 {
		b.submit(fmt.Sprintf("s%d", i), "scan", scan(4))
	}
	b.advance(5 * time.Second)
	for i := range 6 {
		require.Equal(t, flow.Completed, b.state(fmt.Sprintf("s%d", i)))
	}
	require.Empty(t, b.violations)
}

// One task has five times the work of its estimate. Restarted elsewhere it would take just as long.
func TestLongTaskOnHealthyWorkerIsNotRestarted(t *testing.T) {
	b := newSimCell(t, 1)
	for i := range 3 {
		b.submit(fmt.Sprintf("s%d", i), "scan", scan(3))
		b.advance(400 * time.Millisecond)
	}
	long := b.workers["w00"].runs[flow.Name{Job: "s2"}]
	require.NotNil(t, long)
	long.ends = long.began.Add(5 * time.Second)
	b.after(4*time.Second, func() { b.workers["w00"].end(flow.Name{Job: "s2"}, long, sched.EndDone) })
	b.advance(8 * time.Second)
	require.Equal(t, flow.Completed, b.state("s2"))
	require.Equal(t, 1, b.starts[flow.Name{Job: "s2"}])
}

// Measures a pass with two thousand steps waiting for tickets and 350 workers. That is three times
// the backlog of the users' large cells when their leader was short of processor time for seconds.
// A pass must not check every worker for every step, which would be 700,000 checks.
func BenchmarkPassOverABacklog(b *testing.B) {
	c := newSimCell(&testing.T{}, 350)
	c.queues[1].Advice = &flow.Advice{Base: 370 * time.Millisecond, PerWorker: 5 * time.Millisecond, Valid: 2500 * time.Millisecond}
	c.step(sched.Queues{Version: 2, All: c.queues})
	c.allows = func(string, string) bool { return false }
	for i := range 2000 {
		c.submit(fmt.Sprintf("b%04d", i), "print", bulk(8))
	}
	c.advance(time.Second)
	for b.Loop() {
		c.now = c.now.Add(21 * time.Millisecond)
		c.step(sched.Cancel{ID: "nobody"})
	}
}

// One reply in twenty is lost for some seconds, as on some of the users' days. The lost reply lists
// an end, and until the next reply nobody knows that the task is done; with 16 tasks in a job most
// callers would have to wait for that. So the worker is asked again at once.
func TestLostHoldReplyIsRequestedAgainAtOnce(t *testing.T) {
	b := newSimCell(t, 1)
	b.workers["w00"].repliesToLose = 1
	b.submit("a", "scan", scan(1))
	began := b.now
	for b.state("a") != flow.Completed && b.now.Sub(began) < 5*time.Second {
		b.advance(10 * time.Millisecond)
	}
	require.Zero(t, b.workers["w00"].repliesToLose)
	// The work, the rest of a hold's wait, and the timeout for its reply.
	t.Log(b.now.Sub(began))
	require.Less(t, b.now.Sub(began), time.Second+sched.DefaultLimits.HoldWait+replyTimeout)
}

// The store takes 53 times as long for each append, as on the users' slow days, while scans arrive.
// Each scan needs three appends in sequence: for its two starts and its end. Changes that arrive
// while one append is in flight are stored beside it. If they waited for the rest of its time as
// well, scans would take 3.3 s and not 3.0, and more of them would be late.
func TestSlowStoreDelaysEachStepOnce(t *testing.T) {
	const slow = 212 * time.Millisecond
	b := newSimCell(t, 12)
	b.storeTime = func() time.Duration { return slow }
	began, took := map[string]time.Time{}, map[string]time.Duration{}
	for i := range 300 {
		if i%7 == 0 && i < 140 {
			id := fmt.Sprintf("scan%03d", i)
			began[id] = b.now
			b.submit(id, "scan", scan(1), scan(1))
		}
		b.advance(20 * time.Millisecond)
		for id, at := range began {
			if _, over := took[id]; !over && b.state(id) == flow.Completed {
				took[id] = b.now.Sub(at)
			}
		}
	}
	var sum time.Duration
	for _, d := range took {
		sum += d
	}
	require.Len(t, took, 20)
	require.Less(t, sum/20, 3150*time.Millisecond)
	require.Empty(t, b.violations)
}

// After a complete power loss the leader knows only one host, itself, and forty urgent jobs wait.
// The policy service rejects a host's 33rd query, and a host with a failed query gets none for a
// second. So queries wait in the leader, and are sent as soon as it learns of other hosts.
func TestQueriesWaitForFreeHost(t *testing.T) {
	b := newSimCell(t, 24)
	b.queues[0].Advice = &flow.Advice{Base: 30 * time.Millisecond, PerWorker: 300 * time.Microsecond, Valid: 2500 * time.Millisecond}
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.step(sched.Hosts{Names: []string{"h1"}})
	for i := range 40 {
		b.submit(fmt.Sprintf("scan%02d", i), "scan", scan(1))
	}
	b.advance(25 * time.Millisecond)
	require.NotEmpty(t, b.queries)
	require.Less(t, len(b.queries), 32)
	alone := len(b.queries)
	names := []string{"h1"}
	for i := range 9 {
		names = append(names, fmt.Sprintf("x%d", i))
	}
	b.step(sched.Hosts{Names: names})
	b.advance(25 * time.Millisecond)
	require.Equal(t, 40, len(b.queries), "%d queries were sent by one host", alone)
	b.advance(3 * time.Second)
	for i := range 40 {
		require.Equal(t, flow.Completed, b.state(fmt.Sprintf("scan%02d", i)))
	}
}

// The store returns after an outage in which the workers' entries expired: the first list is empty,
// and full again within two seconds. All callers who waited for the store return at that moment.
// The workers answer all the time, and work starts on them at once.
func TestAnsweringWorkersAreUsedWhileEntriesAreMissing(t *testing.T) {
	b := newSimCell(t, 6)
	b.advance(time.Second)
	b.step(sched.Workers{})
	b.submit("a", "scan", scan(6))
	b.advance(200 * time.Millisecond)
	require.Equal(t, 6, total(b.starts))
	b.advance(2 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))

	// Workers that are still missing after that have left.
	b.submit("b", "scan", scan(6))
	b.advance(2 * time.Second)
	require.Equal(t, 6, total(b.starts))
	b.list()
	b.advance(2 * time.Second)
	require.Equal(t, flow.Completed, b.state("b"))
	require.Empty(t, b.violations)
}

// Copies start before they are stored. The store is down, a task fails as often as its caller
// allows, and the leader ends without having stored any of that. Its successor finds the ends on
// the workers and counts them; otherwise it would try the task three more times.
func TestUnstoredFailedCopiesAreCounted(t *testing.T) {
	b := newSimCell(t, 4)
	b.copies = true
	for _, w := range b.workers {
		w.fails = true
	}
	b.advance(100 * time.Millisecond)
	b.storeDown = true
	step := scan(1)
	step.AllowCopies = true
	b.submit("a", "scan", step)
	b.advance(4 * time.Second)
	require.Equal(t, 3, total(b.starts))
	b.storeDown = false
	b.takeover()
	// The new leader may start one more run before it has read all workers.
	b.advance(200 * time.Millisecond)
	require.LessOrEqual(t, total(b.starts), 4)
	known := total(b.starts)
	b.advance(4 * time.Second)
	require.Equal(t, flow.Failed, b.state("a"))
	require.Equal(t, known, total(b.starts))
}
