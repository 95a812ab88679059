package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// Guards against the loss of a run because its worker also lists an older run of the same task,
// which is still being stopped: the task would be started again, or another one beside it.
func TestOlderRunOfATaskBesideItsNewOneDoesNotHideIt(t *testing.T) {
	for _, newFirst := range []bool{false, true} {
		t.Run(fmt.Sprint(newFirst), func(t *testing.T) {
			b := newSimCell(t, 1)
			b.copies = true
			b.advance(100 * time.Millisecond)
			st := apart(1, 20*time.Second)
			st.MaxPerWorker = 2
			b.submit("a", "scan", st)
			b.advance(300 * time.Millisecond)
			w := b.sortedWorkers()[0]
			require.Len(t, w.runs, 1)
			// The run is copied to a second worker, and the first one returns.
			w.silent = true
			b.advance(900 * time.Millisecond)
			b.addWorkers("w7")
			second := b.workers["w7"]
			require.Len(t, second.runs, 1)
			w.stopTime = time.Second
			w.silent = false
			for range 100 {
				b.advance(10 * time.Millisecond)
				if len(w.tombstones) > 0 {
					break
				}
			}
			require.Len(t, w.runs, 1)
			name := flow.Name{Job: "a"}
			older := w.runs[name].run
			// The copy fails, so the task starts a third time, beside its first run that is being
			// stopped.
			second.info.Draining = true
			b.list()
			second.end(name, second.runs[name], sched.EndFailed)
			b.advance(200 * time.Millisecond)
			newer := w.runs[name].run
			t.Logf("older run %d, newer run %d on %s", older, newer, w.info.Incarnation)
			require.Greater(t, newer, older)
			running := []sched.RunStatus{{Task: name, Run: older, Percent: 7}, {Task: name, Run: newer, Percent: 7}}
			if newFirst {
				slices.Reverse(running)
			}
			before := b.starts[name]
			b.step(sched.HoldReply{Worker: w.info.Incarnation, Probe: true, Sent: b.now.Add(-time.Millisecond), Received: b.now, Clock: b.now, Running: running})
			b.advance(60 * time.Millisecond)
			require.Equal(t, before, b.starts[name], "the task is started again while its run is listed")
			require.Equal(t, newer, w.runs[name].run)
		})
	}
}

// overtakenCopy prepares a cell of two workers, of which each may have one task of a step of two.
// The first task has a copy on the second worker, whose start has no answer and is carried out late,
// and which is silent since. The first worker was silent too, is draining now and has listed the end
// of its own copy as done.
func overtakenCopy(t *testing.T, late time.Duration) (b *simCell, second *fakeWorker, sent time.Time) {
	return overtakenCopyIn(newSimCell(t, 1), late)
}

// overtakenBornCopy is the same in a cell whose workers report when they began.
func overtakenBornCopy(t *testing.T, late time.Duration) (b *simCell, second *fakeWorker, sent time.Time) {
	return overtakenCopyIn(newBornCell(t, 1), late)
}

func overtakenCopyIn(b *simCell, late time.Duration) (_ *simCell, second *fakeWorker, sent time.Time) {
	t := b.t
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.submit("a", "scan", apart(2, 1200*time.Millisecond))
	b.advance(300 * time.Millisecond)
	first := b.sortedWorkers()[0]
	require.Len(t, first.runs, 1)
	first.silent = true
	b.advance(1700 * time.Millisecond)
	second = b.addWorker("w7", 7)
	second.startDelay, second.slowdown, second.stopTime = late, 50, time.Second
	b.list()
	b.advance(30 * time.Millisecond)
	sent = b.now
	second.silent = true
	b.advance(600 * time.Millisecond)
	first.info.Draining, first.info.Remaining = true, time.Minute
	b.list()
	first.silent = false
	b.advance(400 * time.Millisecond)
	require.Positive(t, first.tombstones[flow.Name{Job: "a"}], "the first copy has ended")
	require.Empty(t, first.runs)
	return b, second, sent
}

// Guards against a list from before a run began that releases the run: a leader that was paused
// reads a reply late.
func TestListFromBeforeARunDoesNotReleaseIt(t *testing.T) {
	b, second, sent := overtakenCopy(t, 3900*time.Millisecond)
	b.advance(sent.Add(3700 * time.Millisecond).Sub(b.now))
	require.Empty(t, second.runs)
	at := b.now
	b.advance(1500 * time.Millisecond)
	require.Len(t, second.runs, 1, "the late run")
	second.silent, second.startDelay = false, 0
	b.step(sched.HoldReply{Worker: "w7", Probe: true, Sent: at, Received: at.Add(time.Millisecond), Clock: at})
	t.Logf("list of %s after the start, read %s later", at.Sub(sent), b.now.Sub(at))
	for range 500 {
		b.advance(time.Millisecond)
		require.LessOrEqual(t, len(second.runs), 1, "a task starts beside the late run")
	}
}

// Guards against a task that starts where a run of its step may still begin, on a worker that
// answers again before it does.
func TestTasksStayApartFromALateRun(t *testing.T) {
	b, second, _ := overtakenCopy(t, 3900*time.Millisecond)
	second.silent, second.startDelay = false, 0
	require.Equal(t, 1, b.mostTogether(8*time.Second))
}

// Guards against a task that waits for seconds beside an empty worker, since the run of an overtaken
// copy counts whose start was never carried out.
func TestCopyThatNeverBeganDoesNotKeepItsStepWaiting(t *testing.T) {
	b, second, _ := overtakenCopy(t, time.Minute)
	second.silent, second.startDelay = false, 0
	since := b.now
	for len(second.runs) == 0 && b.now.Sub(since) < 10*time.Second {
		b.advance(10 * time.Millisecond)
	}
	t.Logf("the empty worker gets a task %s after it answers", b.now.Sub(since))
	require.Less(t, b.now.Sub(since), maxIdle)
}

// Guards against steps kept apart that wait in a small cell after all its workers were silent.
func TestStepKeptApartRunsOnAfterASilenceOfAllWorkers(t *testing.T) {
	for _, workers := range []int{3, 4} {
		for _, silence := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
			for _, after := range []time.Duration{time.Millisecond, 25 * time.Millisecond, 300 * time.Millisecond} {
				t.Run(fmt.Sprint(workers, silence, after), func(t *testing.T) {
					b := newSimCell(t, workers)
					b.copies = true
					b.advance(100 * time.Millisecond)
					b.submit("a", "scan", apart(2*workers, 1500*time.Millisecond))
					b.advance(after)
					for _, w := range b.sortedWorkers() {
						w.silent = true
					}
					b.advance(silence)
					for _, w := range b.sortedWorkers() {
						w.silent = false
					}
					back, idle, longest := b.now, time.Duration(0), time.Duration(0)
					for b.state("a") != flow.Completed && b.now.Sub(back) < 30*time.Second {
						b.advance(time.Millisecond)
						idle += time.Millisecond
						for _, w := range b.sortedWorkers() {
							require.LessOrEqual(t, len(w.runs), 1)
							if len(w.runs) > 0 {
								idle = 0
							}
						}
						longest = max(longest, idle)
					}
					t.Logf("done %s after the return, nothing running for %s at most", b.now.Sub(back), longest)
					require.Equal(t, flow.Completed, b.state("a"))
					require.Less(t, longest, maxIdle)
				})
			}
		}
	}
}

// Guards against a false report of too many runs, and a task that waits for a run that has ended,
// because a list arrives after a newer one that names the end of the run.
func TestListFromBeforeAnEndDoesNotBringTheRunBack(t *testing.T) {
	b := newSimCell(t, 1)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.submit("a", "scan", apart(2, 20*time.Second))
	b.advance(300 * time.Millisecond)
	w := b.sortedWorkers()[0]
	name := flow.Name{Job: "a"}
	require.Contains(t, w.runs, name)
	old := sched.HoldReply{
		Worker: "w00", Probe: true, Sent: b.now.Add(-time.Millisecond), Received: b.now, Clock: b.now,
		Running: []sched.RunStatus{{Task: name, Run: w.runs[name].run, Percent: 1}},
	}
	w.end(name, w.runs[name], sched.EndFailed)
	b.advance(60 * time.Millisecond)
	require.Len(t, w.runs, 1, "the other task of the step")
	require.NotContains(t, w.runs, name)
	for _, a := range b.core.Step(b.now, old) {
		_, exceeded := a.(sched.LimitExceeded)
		if exceeded {
			t.Errorf("reported: %+v", a)
		}
		b.execute(b.term, a)
	}
	b.addWorker("w7", 7)
	b.list()
	b.advance(100 * time.Millisecond)
	require.Contains(t, b.workers["w7"].runs, name, "the task starts on a free worker at once")
}

// Guards against a worker that is overfilled because the job of a run of unknown size becomes known:
// the run was booked without its size.
func TestRunOfUnknownSizeFillsItsWorkerOnceItsJobIsKnown(t *testing.T) {
	b := newSimCell(t, 1)
	w := b.sortedWorkers()[0]
	w.stopTime = time.Minute
	st := scan(1)
	st.Size.CPU = 40_000
	name := flow.Name{Job: "unknown"}
	w.runs[name] = &fakeRun{run: 2, began: b.now, ends: b.now.Add(time.Hour), step: st}
	b.submit("first", "scan", scan(1))
	b.advance(time.Second)
	b.submit("unknown", "scan", st)
	b.advance(time.Second)
	b.submit("a", "scan", st)
	b.advance(2 * time.Second)
	require.Equal(t, []flow.Name{name}, slices.Collect(maps.Keys(w.runs)))
	require.Empty(t, b.violations)
}

// Guards against a task that runs again although its end as done is read while it waits: its worker
// was silent until the leases had lapsed, and there was no other worker.
func TestEndThatIsReadAfterALapseCounts(t *testing.T) {
	b := newSimCell(t, 1)
	b.advance(100 * time.Millisecond)
	b.submit("a", "scan", scan(1))
	b.advance(300 * time.Millisecond)
	w := b.sortedWorkers()[0]
	require.Len(t, w.runs, 1)
	w.silent = true
	b.advance(20 * time.Second)
	require.Empty(t, w.runs)
	w.silent = false
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
	require.Equal(t, 1, b.starts[flow.Name{Job: "a"}])
}
