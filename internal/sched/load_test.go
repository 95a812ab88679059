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

// Bulk work fills the cell and more waits; scans come all the while. Each scan
// starts at once, in the room that bulk may not take. Pattern: the users' mix,
// 12 scans a second of 6 tasks on 5 cores for a second beside bulk at more than
// the rest of the cell; the grounds are the pass office's sheet.
func TestUrgentWorkStartsAtOnceBesideAFloodOfBulk(t *testing.T) {
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

// A queue with advice: no start without a ticket, and at most one question at a
// time for a step.
func TestAdviceIsAskedBeforeAStart(t *testing.T) {
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

// A job of many short tasks in three failure domains stays in one: when another
// is cut off, the job goes on.
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

// Filling tasks take room only of memory; when a task that serves beside them
// nears its bound they are held back, and let go again once it is calm.
func TestFillingTasksAreHeldBackBesideATaskThatServes(t *testing.T) {
	b := newSimCell(t, 1)
	serve := flow.Step{Tasks: 1, Size: cell.Size{CPU: 20_000, Mem: 8 << 30}, LongRunning: true, LatencyTarget: 100 * time.Millisecond}
	fill := flow.Step{Tasks: 2, Size: cell.Size{CPU: 10_000, Mem: 8 << 30}, EstimatedTime: time.Minute, BestEffort: true}
	b.submit("serve", "scan", serve)
	b.submit("fill", "print", fill)
	b.advance(time.Second)
	require.Len(t, b.workers["w00"].runs, 3)
	tail := func(ms int64) {
		ev := sched.HoldReply{Worker: "w00", Probe: true, Sent: b.now, Received: b.now, Clock: b.now}
		for n, r := range b.workers["w00"].runs {
			l := sched.RunStatus{Task: n, Run: r.run, Percent: 100}
			if r.step.LatencyTarget > 0 {
				l.Metric = ms
			}
			ev.Running = append(ev.Running, l)
		}
		b.step(ev)
	}
	tail(95)
	require.Len(t, b.paces, 2)
	require.Zero(t, b.paces[0].Percent)
	b.paces = nil
	b.advance(1200 * time.Millisecond)
	tail(20)
	require.NotEmpty(t, b.paces)
	require.Positive(t, b.paces[0].Percent)
}

// The store is away and a worker falls silent. Tasks of which copies may run go
// on starting; the first copy that is done counts and the job ends as done once.
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

// cellWithCopies is a cell in which the worker with the most tasks of a job, of which copies may
// run beside each other, has been silent for a while.
func cellWithCopies(t *testing.T, workers, tasks int, work, silent time.Duration) (*simCell, *fakeWorker) {
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

// A worker falls silent and returns with copies that were begun elsewhere
// meanwhile. They still take its room, and work that was placed as if they did
// not would overload it.
func TestCopiesLeftOnAWorkerStillTakeItsRoom(t *testing.T) {
	b, cut := cellWithCopies(t, 3, 12, 5*time.Second, 2500*time.Millisecond)
	require.Greater(t, len(cut.runs), 6)
	b.submit("b", "scan", scan(24))
	cut.silent = false
	b.advance(20 * time.Second)
	require.Greater(t, total(b.starts), 12+24, "copies began elsewhere")
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, flow.Completed, b.state("b"))
	require.Empty(t, b.violations)
}

// Hundreds of steps wait, and the lead's processor is so scarce that one pass over them takes
// tens of milliseconds. Made as often as ever, passes take half of the processor; starts, answers
// and appends wait for the rest, more steps wait, and passes take longer still: a cell whose lead
// does not find out of its backlog, and is fenced off for late answers.
func TestPassesLeaveTheLeadTimeForTheRest(t *testing.T) {
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
		require.LessOrEqual(t, time.Duration(b.passes)*took, time.Second/4+took, "a quarter of the second, and the pass that began last")
		require.GreaterOrEqual(t, b.passes, 4, "in a second")
		b.passTook = 0
		b.advance(2 * time.Second)
		require.Greater(t, total(b.starts), 40, "work goes on")
	}
}

// A lead is suspended for seconds in the middle of a pass. What waits when it goes on is placed as
// soon as ever, not as if each pass took as long.
func TestALeadThatWasSuspendedInAPassGoesOnAtItsPace(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("first", "scan", scan(1))
	b.core.RecordPassDuration(5 * time.Second)
	b.passes = 0
	for n := range 100 {
		b.submit(fmt.Sprintf("a%03d", n), "scan", scan(1))
		b.advance(10 * time.Millisecond)
	}
	require.Greater(t, b.passes, 30, "of fifty in a second")
}

// A worker falls silent and returns; copies of its tasks were begun elsewhere meanwhile and are
// done first, so what it runs of them is stopped. Until it is certain that nothing more can begin
// there, the lead asked it again as soon as it had answered, hundreds of times a second: a quarter
// of all calls of a large cell's lead, which had no processor left for starts and answers.
func TestAWorkerWithNothingButStoppedCopiesIsAskedAtItsPace(t *testing.T) {
	b, cut := cellWithCopies(t, 4, 8, 3*time.Second, 1500*time.Millisecond)
	cut.silent = false
	for b.state("a") != flow.Completed {
		b.advance(10 * time.Millisecond)
	}
	b.advance(100 * time.Millisecond)
	b.holds = 0
	const watched = 3 * time.Second
	b.advance(watched)
	require.Positive(t, b.holds, "until its room is given back")
	require.LessOrEqual(t, b.holds, 2+len(b.workers)*int(watched/sched.DefaultLimits.HoldWait))
}

// A lead ends with copies started that it could not store. Its successor finds
// them at their workers and goes on with them.
func TestCopiesThatWereNotStoredAreFoundByTheNextLead(t *testing.T) {
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

// The same events give the same decisions, to the order of each action.
func TestTheCoreDecidesTheSameTwice(t *testing.T) {
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

// A worker works seven times slower while it answers every question. What it
// runs of several jobs goes on elsewhere, and new work stays away from it.
func TestRunsOnAWorkerThatCrawlsGoOnElsewhere(t *testing.T) {
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

// One task has five times the work that its estimate says. Begun again elsewhere
// it would take as long once more.
func TestALongTaskOnASoundWorkerIsLeftAlone(t *testing.T) {
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

// Two thousand steps wait for tickets beside 350 workers, three times what the
// grown users' cells had waiting when their lead was short of processor for
// seconds. A pass over them must not look at every worker for every step; with
// 700,000 looks a pass it would.
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

// One answer in twenty of the workers is lost for some seconds. The lost one tells
// of an end; until the next answer nobody knows that the task is done, and with 16
// tasks in a job most callers would wait for that. So the worker is asked again at
// once. The pattern is that of the users' days on which answers get lost.
func TestALostAnswerIsAskedForAtOnce(t *testing.T) {
	b := newSimCell(t, 1)
	b.workers["w00"].repliesToLose = 1
	b.submit("a", "scan", scan(1))
	began := b.now
	for b.state("a") != flow.Completed && b.now.Sub(began) < 5*time.Second {
		b.advance(10 * time.Millisecond)
	}
	require.Zero(t, b.workers["w00"].repliesToLose)
	// The work, the rest of a hold's wait, and the patience for its answer.
	t.Log(b.now.Sub(began))
	require.Less(t, b.now.Sub(began), time.Second+sched.DefaultLimits.HoldWait+replyTimeout)
}

// The store takes 53 times as long for each append, as on the users' slow days, and
// scans come all the while. Each needs three appends, one after the other: its two
// starts and its end. What comes up while one is under way is stored beside it. If
// it waited for the rest of that one's time as well, scans would take 3.3 s and not
// 3.0, and more of them be late.
func TestASlowStoreIsWaitedForOnceAStep(t *testing.T) {
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

// After a loss of all power the lead has heard of one host, itself, and forty urgent
// jobs wait. The policy service turns a host's 33rd question away, and a host that
// fails gets none for a second. So questions wait at the lead, and go out at once
// when other hosts are heard of.
func TestQuestionsWaitForAHostThatIsFree(t *testing.T) {
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
	require.Equal(t, 40, len(b.queries), "%d were asked by one host", alone)
	b.advance(3 * time.Second)
	for i := range 40 {
		require.Equal(t, flow.Completed, b.state(fmt.Sprintf("scan%02d", i)))
	}
}

// The store returns after an outage in which the workers' entries lapsed: the first list
// is empty, and full again within two seconds. All who waited for the store come in that
// moment. The workers answer all the while, and work starts on them at once.
func TestWorkersThatAnswerAreUsedWhileTheirEntriesAreAway(t *testing.T) {
	b := newSimCell(t, 6)
	b.advance(time.Second)
	b.step(sched.Workers{})
	b.submit("a", "scan", scan(6))
	b.advance(200 * time.Millisecond)
	require.Equal(t, 6, total(b.starts))
	b.advance(2 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))

	// What is still missing after that has left.
	b.submit("b", "scan", scan(6))
	b.advance(2 * time.Second)
	require.Equal(t, 6, total(b.starts))
	b.list()
	b.advance(2 * time.Second)
	require.Equal(t, flow.Completed, b.state("b"))
	require.Empty(t, b.violations)
}

// Copies start before they are stored. The store is away, a task fails as often as its
// caller allows, and the lead goes without having stored any of that. Its successor finds
// the ends at the workers and counts them; it would try three times more.
func TestFailedCopiesThatWereNotStoredAreCounted(t *testing.T) {
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
	// It may start one more before it has read all workers.
	b.advance(200 * time.Millisecond)
	require.LessOrEqual(t, total(b.starts), 4)
	known := total(b.starts)
	b.advance(4 * time.Second)
	require.Equal(t, flow.Failed, b.state("a"))
	require.Equal(t, known, total(b.starts))
}
