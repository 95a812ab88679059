package sched_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// apart returns a step of which at most one task may run on a worker, and whose tasks may have
// copies.
func apart(tasks int, work time.Duration) flow.Step {
	st := scan(tasks)
	st.AllowCopies, st.EstimatedTime, st.MaxPerWorker = true, work, 1
	return st
}

// silenceOne submits a job of twelve tasks to a cell of four workers, each of which can have one of
// them, and silences one worker until the task there has a copy on one of three new workers. Six
// tasks still wait.
func silenceOne(t *testing.T, st flow.Step) (*simCell, *fakeWorker) {
	b := newSimCell(t, 4)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.submit("a", "scan", st)
	b.advance(300 * time.Millisecond)
	w := b.sortedWorkers()[0]
	require.Len(t, w.runs, 1)
	w.silent = true
	b.advance(3 * time.Second)
	b.addWorkers("w7", "w8", "w9")
	return b, w
}

// addWorkers adds workers to the cell and lets them get tasks.
func (b *simCell) addWorkers(names ...string) {
	for i, name := range names {
		b.addWorker(name, 7+i)
	}
	b.list()
	b.advance(time.Second)
}

// mostTogether returns how many runs of one step are on one worker at most, within a time.
func (b *simCell) mostTogether(within time.Duration) int {
	most := 0
	for range within / time.Millisecond {
		b.advance(time.Millisecond)
		for _, w := range b.sortedWorkers() {
			n := map[string]int{}
			for name := range w.runs {
				n[name.StepName()]++
				most = max(most, n[name.StepName()])
			}
		}
	}
	return most
}

// Guards against a task that starts beside a run of its step that is still being stopped, on a
// worker that returned while a copy of that run was on another one.
func TestTasksStayApartOnAReturnedWorker(t *testing.T) {
	b, w := silenceOne(t, apart(12, 20*time.Second))
	w.silent = false
	require.Equal(t, 1, b.mostTogether(2*time.Second))
	require.Equal(t, flow.Active, b.state("a"))
}

// Guards against a task that starts beside the second copy of another one, which is still being
// stopped because the first copy is done.
func TestTasksStayApartFromAnOvertakenCopy(t *testing.T) {
	b, w := silenceOne(t, apart(12, 4*time.Second))
	w.silent = false
	require.Equal(t, 1, b.mostTogether(2*time.Second))
	b.advance(20 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against a task that starts beside a run that a former leader started and could not store,
// on a worker that the new leader reaches only after it has started that task elsewhere.
func TestTasksStayApartFromARunOfAFormerLeader(t *testing.T) {
	b := newSimCell(t, 4)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.storeDown = true
	b.submit("a", "scan", apart(12, 20*time.Second))
	b.advance(300 * time.Millisecond)
	w := b.sortedWorkers()[0]
	require.Len(t, w.runs, 1)
	w.silent, b.storeDown = true, false
	b.takeover()
	b.addWorkers("w7", "w8", "w9")
	w.silent = false
	require.Equal(t, 1, b.mostTogether(2*time.Second))
	require.Equal(t, flow.Active, b.state("a"))
}

// Guards against best-effort tasks that share processors with one that is still being stopped, on a
// worker that returned while a copy of that one was on another worker, beside idle workers.
func TestBestEffortTasksShareNoProcessorsOnAReturnedWorker(t *testing.T) {
	st := apart(4, 20*time.Second)
	st.MaxPerWorker, st.BestEffort, st.Size.CPU = 0, true, 40_000
	b, w := silenceOne(t, st)
	w.stopTime, w.silent = time.Second, false
	b.advance(300 * time.Millisecond)
	require.Len(t, w.runs, 1, "the run is still being stopped")
	st.Tasks = 3
	b.submit("b", "scan", st)
	b.advance(300 * time.Millisecond)
	require.Len(t, w.runs, 1)
	for _, name := range []string{"w7", "w8", "w9"} {
		require.Len(t, b.workers[name].runs, 1, name)
	}
}

// Guards against a worker that stays half empty because a run that was adopted again counts twice.
func TestAdoptedRunTakesItsCapacityOnce(t *testing.T) {
	b := newSimCell(t, 1)
	b.copies = true
	b.advance(100 * time.Millisecond)
	wide := apart(1, 20*time.Second)
	wide.Size.CPU = 30_000
	b.submit("a", "scan", wide)
	b.advance(300 * time.Millisecond)
	w := b.sortedWorkers()[0]
	w.silent = true
	b.advance(2 * time.Second)
	w.silent = false
	b.advance(time.Second)
	b.submit("b", "scan", wide)
	b.advance(time.Second)
	require.Len(t, w.runs, 2)
}

// busyWorkers lists the workers that run something.
func (b *simCell) busyWorkers() []*fakeWorker {
	return slices.DeleteFunc(b.sortedWorkers(), func(w *fakeWorker) bool { return len(w.runs) == 0 })
}

// Guards against capacity that stays taken after the end of a run that is not tracked any more was
// listed.
func TestEndOfAnUntrackedRunFreesItsCapacity(t *testing.T) {
	b := newSimCell(t, 2)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.submit("a", "scan", apart(1, 1200*time.Millisecond))
	b.advance(300 * time.Millisecond)
	on := b.busyWorkers()
	require.Len(t, on, 1)
	on[0].silent = true
	b.advance(1500 * time.Millisecond)
	on[0].silent = false
	b.advance(500 * time.Millisecond)
	require.Equal(t, flow.Completed, b.state("a"))
	b.submit("b", "scan", wholeWorker(2))
	b.advance(300 * time.Millisecond)
	require.Len(t, b.busyWorkers(), 2)
}

// workerWithRuns returns the worker that has that many runs; there must be one.
func (b *simCell) workerWithRuns(runs int) *fakeWorker {
	all := b.busyWorkers()
	i := slices.IndexFunc(all, func(w *fakeWorker) bool { return len(w.runs) == runs })
	require.GreaterOrEqual(b.t, i, 0, "a worker has %d runs", runs)
	return all[i]
}

// Guards against a gang of which more members start on a worker than may, because a run that a former
// leader started and could not store is still being stopped there.
func TestGangStaysApartFromARunOfAFormerLeader(t *testing.T) {
	b := newSimCell(t, 4)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.storeDown = true
	gang := gangOf(apart(3, 20*time.Second))
	gang.MaxPerWorker = 2
	b.submit("a", "scan", gang)
	b.advance(300 * time.Millisecond)
	former := b.workerWithRuns(1)
	for _, w := range b.busyWorkers() {
		w.silent = true
	}
	b.storeDown = false
	b.takeover()
	b.advance(2 * time.Second)
	require.Len(t, b.busyWorkers(), 4)
	former.silent, former.stopTime = false, 3*time.Second
	b.addWorker("w9", 9).info.Size.CPU = 20_000
	for _, name := range []string{"w00", "w01", "w02", "w03"} {
		w := b.workers[name]
		w.info.Draining, w.info.Remaining = w != former && !w.silent, 10*time.Second
	}
	b.list()
	b.advance(200 * time.Millisecond)
	for _, w := range b.busyWorkers() {
		for n, r := range w.runs {
			if w.info.Draining && n.Index == 0 {
				w.end(n, r, sched.EndFailed)
			}
		}
	}
	b.advance(time.Second)
	require.Len(t, b.workers["w9"].runs, 2)
	require.Len(t, former.runs, 2, "one of them is being stopped")
	require.Empty(t, b.violations)
}

// Guards against a gang that waits for good because only a part of it is known as done: a former
// leader could not store its start, and one of its workers ends before the next leader reads it.
func TestGangOfAFormerLeaderEndsWhole(t *testing.T) {
	b := newSimCell(t, 4)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.storeDown = true
	b.submit("a", "scan", gangOf(apart(2, 2*time.Second)))
	b.advance(300 * time.Millisecond)
	lost := b.busyWorkers()[0]
	lost.silent, b.storeDown = true, false
	b.takeover()
	b.advance(1900 * time.Millisecond)
	lost.endIncarnation()
	b.advance(60 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}
