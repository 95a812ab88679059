package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// failRuns lets time pass while runs fail within 10 ms of their start, as long as fails says so.
func (b *simCell) failRuns(d time.Duration, fails func(worker string, n flow.Name) bool) {
	for until := b.now.Add(d); b.now.Before(until); {
		b.advance(10 * time.Millisecond)
		for _, w := range b.sortedWorkers() {
			names := slices.SortedFunc(maps.Keys(w.runs), func(x, y flow.Name) int { return strings.Compare(x.String(), y.String()) })
			for _, n := range names {
				if r, ok := w.runs[n]; ok && fails(w.info.Incarnation, n) {
					w.end(n, r, sched.EndFailed)
				}
			}
		}
	}
}

// occupy fills the given share of each of the workers with a task that lasts.
func (b *simCell) occupy(share float64, workers ...string) {
	for _, name := range workers {
		w := b.workers[name]
		w.info.Labels = append(w.info.Labels, "only-"+name)
	}
	b.list()
	for _, name := range workers {
		b.submit("lasting-"+name, "print", lasting(b.workers[name].info.Size.Scale(share), "only-"+name))
	}
	b.advance(300 * time.Millisecond)
	for _, name := range workers {
		require.NotEmpty(b.t, b.workers[name].runs, name)
	}
}

func lasting(size cell.Size, label string) flow.Step {
	return flow.Step{Tasks: 1, Size: size, LongRunning: true, Label: label}
}

// wholeWorker returns a step whose tasks take a whole worker each.
func wholeWorker(tasks int) flow.Step {
	return flow.Step{Tasks: tasks, Size: cell.Size{CPU: 64_000, Mem: 64 << 30}, EstimatedTime: time.Second}
}

func gangOf(st flow.Step) flow.Step {
	st.Gang = true
	return st
}

// onceOn returns a function for failRuns by which only the first run of a job on a worker fails.
func onceOn(worker, job string) func(string, flow.Name) bool {
	failed := false
	return func(w string, n flow.Name) bool {
		if failed || w != worker || n.Job != job {
			return false
		}
		failed = true
		return true
	}
}

// Guards against a task that waits for good because the only free worker is one that it failed on.
func TestFailedTaskReturnsToOnlyFreeWorker(t *testing.T) {
	b := newSimCell(t, 3)
	b.occupy(1, "w01", "w02")
	b.submit("a", "scan", scan(1))
	b.failRuns(time.Second, onceOn("w00", "a"))
	require.Equal(t, 1, total(b.starts)-2)
	b.advance(7 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against the same where the policy service allows no other worker.
func TestFailedTaskReturnsToOnlyAllowedWorker(t *testing.T) {
	b := newSimCell(t, 4)
	b.queues[0].Advice = &flow.Advice{Base: 24 * time.Millisecond, PerWorker: 340 * time.Microsecond, Valid: 2500 * time.Millisecond}
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.allows = func(_, worker string) bool { return worker == "w02" }
	b.submit("a", "scan", scan(1))
	b.failRuns(time.Second, onceOn("w02", "a"))
	require.Equal(t, 1, total(b.starts))
	b.advance(7 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against a gang that waits for good because its first member failed on a worker that it
// cannot do without.
func TestFailedGangReturnsToWorkerItNeeds(t *testing.T) {
	for _, worker := range []string{"w00", "w01"} {
		t.Run(worker, func(t *testing.T) {
			b := newSimCell(t, 4)
			b.occupy(1, "w02", "w03")
			b.submit("a", "scan", gangOf(wholeWorker(2)))
			b.failRuns(time.Second, onceOn(worker, "a"))
			require.Greater(t, total(b.starts), 2)
			b.advance(9 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"))
			require.Empty(t, b.violations)
		})
	}
}

// Guards against a quarantine that ends without anything being placed because no other event comes.
func TestWaitingJobStartsWhenQuarantineEnds(t *testing.T) {
	b := newSimCell(t, 1)
	b.workers["w00"].fails = true
	for i := range 3 {
		st := scan(1)
		st.EstimatedTime = 200 * time.Millisecond
		b.submit(fmt.Sprintf("j%d", i), "print", st)
	}
	b.advance(time.Second)
	b.workers["w00"].fails = false
	b.advance(8 * time.Second)
	for i := range 3 {
		require.Equal(t, flow.Completed, b.state(fmt.Sprintf("j%d", i)))
	}
}

// Guards against a gang that returns at once to the worker that fails one of its members, until
// its attempts are used up beside other free workers.
func TestGangLeavesWorkerThatFailsAMember(t *testing.T) {
	for _, bad := range []string{"w00", "w01"} {
		t.Run(bad, func(t *testing.T) {
			b := newSimCell(t, 4)
			b.submit("a", "scan", gangOf(wholeWorker(2)))
			b.failRuns(10*time.Second, func(w string, n flow.Name) bool { return w == bad })
			require.Equal(t, flow.Completed, b.state("a"), "ends on the bad worker: %d", b.workers[bad].lastEnd)
			require.Empty(t, b.violations)
		})
	}
}

// Guards against a gang that returns for good to the worker on which one of its members stands
// still.
func TestGangLeavesWorkerOnWhichAMemberStalls(t *testing.T) {
	for _, bad := range []string{"w00", "w01"} {
		t.Run(bad, func(t *testing.T) {
			b := newSimCell(t, 4)
			b.workers[bad].stalled = true
			b.submit("a", "scan", gangOf(wholeWorker(2)))
			b.advance(30 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"), "starts: %d", total(b.starts))
			require.Empty(t, b.violations)
		})
	}
}

// Guards against a gang that returns for good to a worker that refuses its starts.
func TestGangLeavesWorkerThatRefusesStarts(t *testing.T) {
	for _, bad := range []string{"w00", "w01"} {
		t.Run(bad, func(t *testing.T) {
			b := newSimCell(t, 4)
			for _, w := range b.sortedWorkers() {
				w.stopTime = 800 * time.Millisecond
			}
			for i := range 2 {
				b.workers[bad].tombstones[flow.Name{Job: "a", Index: i}] = 1_000_000
			}
			b.submit("a", "scan", gangOf(wholeWorker(2)))
			b.advance(30 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"), "starts: %d", total(b.starts))
			require.Empty(t, b.violations)
		})
	}
}

// Guards against a task that returns for good to a worker that refuses its starts.
func TestTaskLeavesWorkerThatRefusesStarts(t *testing.T) {
	b := newSimCell(t, 4)
	b.workers["w00"].tombstones[flow.Name{Job: "a"}] = 1_000_000
	b.submit("a", "scan", scan(1))
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against work that returns for good to a worker that answers holds but no starts.
func TestTaskLeavesWorkerThatAnswersNoStarts(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang_%t", gang), func(t *testing.T) {
			b := newSimCell(t, 4)
			b.advance(100 * time.Millisecond)
			b.workers["w00"].startDelay = 3 * time.Second
			st := wholeWorker(2)
			st.Gang = gang
			b.submit("a", "scan", st)
			b.advance(30 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"), "starts: %d", total(b.starts))
			require.Empty(t, b.violations)
		})
	}
}

// Guards against attempts that a new leader counts from zero again, or counts twice.
func TestAttemptsAreCountedOverLeaderChanges(t *testing.T) {
	for after := range 40 {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			b := newSimCell(t, 3)
			b.submit("a", "scan", scan(1))
			changes, failed := 0, 0
			for range 3000 {
				before := failed
				b.failRuns(10*time.Millisecond, func(string, flow.Name) bool { failed++; return true })
				if failed > before {
					b.advance(time.Duration(after) * time.Millisecond)
					b.takeover()
					b.step(sched.PredecessorStopped{Since: b.now})
					changes++
				}
			}
			require.Equal(t, 3, changes)
			require.Equal(t, flow.Failed, b.state("a"))
			require.Equal(t, 3, total(b.starts))
		})
	}
}

// Guards against attempts that are used up within an instant on the only free worker because each
// new leader starts the task there at once.
func TestNewLeaderAvoidsWorkerThatFailedTask(t *testing.T) {
	for _, changes := range []int{0, 2} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			b := newSimCell(t, 3)
			b.occupy(1, "w01", "w02")
			b.submit("a", "scan", scan(1))
			fails := func(w string, n flow.Name) bool { return w == "w00" && n.Job == "a" }
			for range changes {
				b.failRuns(500*time.Millisecond, fails)
				b.takeover()
				b.step(sched.PredecessorStopped{Since: b.now})
			}
			b.failRuns(time.Second, fails)
			b.cancel("lasting-w01")
			b.advance(7 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"), "ends on the bad worker: %d", b.workers["w00"].lastEnd)
		})
	}
}

// Guards against attempts that are used up, or restarts without end, by going back and forth
// between two bad workers beside free ones in other failure domains.
func TestTwoBadWorkersOfADomainDoNotHoldAJob(t *testing.T) {
	for _, kind := range []string{"fails", "stalled"} {
		t.Run(kind, func(t *testing.T) {
			b := newSimCell(t, 6)
			for _, name := range []string{"w00", "w03"} {
				b.workers[name].fails, b.workers[name].stalled = kind == "fails", kind == "stalled"
			}
			b.submit("a", "scan", scan(1))
			b.advance(60 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"), "starts: %d", total(b.starts))
		})
	}
}

// Guards against attempts that are used up within an instant on two bad workers while the others
// are full for a moment. The other kind has one bad worker.
func TestAttemptsAreNotUsedUpBetweenTwoBadWorkers(t *testing.T) {
	for _, bad := range [][]string{{"w00"}, {"w00", "w01"}} {
		t.Run(fmt.Sprint(len(bad)), func(t *testing.T) {
			b := newSimCell(t, 3)
			b.occupy(1, "w02")
			if len(bad) == 1 {
				b.occupy(1, "w01")
			}
			b.submit("a", "scan", scan(1))
			b.failRuns(time.Second, func(w string, n flow.Name) bool { return n.Job == "a" && slices.Contains(bad, w) })
			b.cancel("lasting-w02")
			b.advance(10 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"), "starts: %d", b.starts[flow.Name{Job: "a"}])
		})
	}
}

// Guards against tasks of a step that wait beside free capacity because the first of them avoids it.
// The other kind is without a failure.
func TestTasksBehindOneThatAvoidsAWorkerStart(t *testing.T) {
	for _, kind := range []string{"healthy", "failed"} {
		t.Run(kind, func(t *testing.T) {
			b := newSimCell(t, 4)
			b.workers["w00"].info.Labels = []string{"x"}
			b.list()
			filler := scan(1)
			filler.Size.CPU, filler.Label = 54_000, "x"
			b.submit("filler", "scan", filler)
			b.advance(100 * time.Millisecond)
			st := scan(6)
			st.Label = "x"
			b.submit("a", "scan", st)
			first := onceOn("w00", "a")
			b.failRuns(1500*time.Millisecond, func(w string, n flow.Name) bool { return kind == "failed" && first(w, n) })
			b.advance(3 * time.Second)
			for i := 1; i < 6; i++ {
				require.NotZero(t, b.starts[flow.Name{Job: "a", Index: i}], "task %d has not started", i)
			}
		})
	}
}

// Guards against avoiding a worker for a failure long ago, because the time is counted from when
// the task began to wait again.
func TestFailureLongAgoDoesNotDelayRestart(t *testing.T) {
	b := newSimCell(t, 2)
	st := lasting(cell.Size{CPU: 5_000, Mem: 16 << 30}, "")
	b.submit("a", "scan", st)
	b.failRuns(time.Second, onceOn("w00", "a"))
	b.advance(time.Minute)
	w := b.workers["w01"]
	require.Len(t, w.runs, 1)
	w.info.Draining, w.info.Remaining = true, time.Minute
	b.list()
	b.advance(3 * time.Second)
	require.Len(t, b.workers["w00"].runs, 1)
}

// Guards against all attempts being used up within an instant on the only worker that is free.
func TestAttemptsOnOnlyFreeWorkerAreSpread(t *testing.T) {
	b := newSimCell(t, 3)
	b.occupy(1, "w01", "w02")
	b.submit("a", "scan", scan(1))
	b.failRuns(9*time.Second, func(w string, _ flow.Name) bool { return w == "w00" })
	require.False(t, b.state("a").Final())
	b.advance(3 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against tasks of a step that wait without a ticket because the first of them avoids the
// only worker that the policy service allows.
func TestTasksBehindOneThatAvoidsAWorkerGetTickets(t *testing.T) {
	b := newSimCell(t, 4)
	b.queues[0].Advice = &flow.Advice{Base: 24 * time.Millisecond, PerWorker: 340 * time.Microsecond, Valid: time.Second}
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.allows = func(_, worker string) bool { return worker == "w00" }
	b.occupy(0.8, "w00")
	st := scan(5)
	st.Size.CPU = 10_000
	b.submit("a", "scan", st)
	b.failRuns(5*time.Second, onceOn("w00", "a"))
	for i := 1; i < 5; i++ {
		require.NotZero(t, b.starts[flow.Name{Job: "a", Index: i}], "task %d has not started", i)
	}
}

// Guards against a new leader that starts a task at once on the only free worker, where a run failed
// that its predecessor could not store.
func TestNewLeaderAvoidsWorkerOfUnstoredFailure(t *testing.T) {
	b := newSimCell(t, 3)
	b.copies = true
	b.occupy(1, "w01", "w02")
	b.storeDown = true
	step := scan(1)
	step.AllowCopies = true
	b.submit("a", "scan", step)
	b.failRuns(500*time.Millisecond, onceOn("w00", "a"))
	b.storeDown = false
	b.takeover()
	b.step(sched.PredecessorStopped{Since: b.now})
	known := total(b.starts)
	b.advance(3 * time.Second)
	require.Equal(t, known, total(b.starts))
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against capacity held for a gang that is given away whenever a worker that the gang needs
// misses a reply.
func TestLostRepliesDoNotReleaseWhatIsHeldForGang(t *testing.T) {
	for seed := range 6 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			b := newSimCell(t, 12)
			for _, name := range []string{"w00", "w01", "w02"} {
				b.workers[name].info.Labels = []string{"x"}
			}
			b.list()
			b.advance(100 * time.Millisecond)
			for i := range 400 {
				st := scan(4)
				st.Size.CPU, st.EstimatedTime = 10_000, time.Duration(700+100*((i+seed)%7))*time.Millisecond
				b.submit(fmt.Sprintf("small%03d", i), "print", st)
			}
			b.advance(2 * time.Second)
			gang := gangOf(wholeWorker(3))
			gang.Label = "x"
			b.submit("gang", "scan", gang)
			for range 5 {
				for _, w := range b.sortedWorkers() {
					w.repliesToLose = 1
				}
				b.advance(time.Second)
			}
			require.Equal(t, flow.Completed, b.state("gang"))
		})
	}
}
