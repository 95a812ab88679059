package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// small is less than two bulk tasks need, large is the size of newSimCell's workers.
var (
	small = cell.Size{CPU: 20_000, Mem: 80 << 30}
	large = cell.Size{CPU: 64_000, Mem: 256 << 30}
)

// resizeAll changes the size of all workers at once.
func (b *simCell) resizeAll(size cell.Size) {
	for _, w := range b.sortedWorkers() {
		w.resize(size)
	}
}

// A worker that was listed with a smaller size gets no more work than fits that size.
func TestShrunkWorkerIsNotOverfilled(t *testing.T) {
	b := newSimCell(t, 3)
	b.advance(time.Second)
	b.resizeAll(small)
	b.advance(3 * time.Second)
	b.submit("a", "print", bulk(9))
	b.advance(time.Second)
	require.Equal(t, 3, total(b.starts))
	b.advance(25 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
}

// A worker shrinks below what runs there. Its runs are not stopped, and nothing more starts there.
func TestRunsContinueOnShrunkWorker(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("a", "print", bulk(10))
	b.advance(time.Second)
	require.Equal(t, 10, total(b.starts))
	b.resizeAll(small)
	b.submit("b", "scan", scan(4))
	b.advance(4 * time.Second)
	require.Equal(t, 10, total(b.starts), "there is no free capacity")
	b.advance(10 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, flow.Completed, b.state("b"))
	require.Equal(t, 14, total(b.starts), "nothing is started twice")
	require.Empty(t, b.violations)
}

// Guards against starts that are sent to a worker that shrank while their append was in flight.
func TestUnsentStartsFitNewSize(t *testing.T) {
	b := newSimCell(t, 2)
	b.advance(100 * time.Millisecond)
	b.storeTime = func() time.Duration { return 500 * time.Millisecond }
	b.submit("a", "print", bulk(5))
	b.advance(200 * time.Millisecond)
	require.Zero(t, total(b.starts))
	for _, w := range b.sortedWorkers() {
		w.resize(small)
	}
	b.advance(2 * time.Second)
	require.Equal(t, 2, total(b.starts))
	b.advance(20 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, 5, total(b.starts))
	require.Empty(t, b.violations)
}

// The same while the store is down for longer than a lease.
func TestUnsentStartsFitNewSizeAfterStoreOutage(t *testing.T) {
	b := newSimCell(t, 3)
	b.advance(100 * time.Millisecond)
	b.storeDown = true
	b.submit("a", "print", bulk(9))
	b.advance(10 * time.Second)
	b.resizeAll(small)
	b.advance(time.Second)
	b.storeDown = false
	b.advance(time.Second)
	require.Equal(t, 3, total(b.starts))
	b.advance(25 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
}

// Guards against a partial start of a gang after one of its workers shrank.
func TestGangIsPlacedAgainWholeAfterShrink(t *testing.T) {
	b := newSimCell(t, 3)
	b.advance(100 * time.Millisecond)
	b.storeTime = func() time.Duration { return 300 * time.Millisecond }
	gang := bulk(8)
	gang.Gang, gang.Checkpoints = true, false
	b.submit("gang", "print", gang)
	b.advance(100 * time.Millisecond)
	b.workers["w00"].resize(small)
	b.advance(12 * time.Second)
	require.Equal(t, flow.Completed, b.state("gang"))
	require.Equal(t, 8, total(b.starts))
	require.Empty(t, b.violations)
}

// A worker regains its old size. Waiting work uses the capacity in the next pass.
func TestRegainedCapacityIsUsedAtOnce(t *testing.T) {
	b := newSimCell(t, 1)
	b.advance(100 * time.Millisecond)
	b.resizeAll(small)
	b.submit("a", "print", bulk(5))
	b.advance(2 * time.Second)
	require.Equal(t, 1, total(b.starts))
	b.resizeAll(large)
	b.advance(50 * time.Millisecond)
	require.Equal(t, 5, total(b.starts))
	require.Empty(t, b.violations)
}

// Sizes change twice a second. No run is given up because of that.
func TestRunsContinueWhileSizesFlap(t *testing.T) {
	b := newSimCell(t, 3)
	b.submit("a", "print", bulk(12))
	size := small
	for i := range 40 {
		if i%4 == 0 {
			b.submit("s"+string(rune('a'+i)), "scan", scan(3))
		}
		b.resizeAll(size)
		if size == small {
			size = large
		} else {
			size = small
		}
		b.advance(500 * time.Millisecond)
	}
	b.resizeAll(large)
	b.advance(15 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, 12+30, total(b.starts))
	require.Empty(t, b.violations)
}

// Guards against a new leader that overfills workers that have shrunk.
func TestNewLeaderUsesCurrentSizes(t *testing.T) {
	b := newSimCell(t, 2)
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	b.resizeAll(cell.Size{CPU: 40_000, Mem: 160 << 30})
	b.submit("b", "scan", scan(8))
	b.advance(20 * time.Millisecond)
	b.takeover()
	b.advance(10 * time.Millisecond)
	b.resizeAll(small)
	b.advance(15 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, flow.Completed, b.state("b"))
	require.Equal(t, 16, total(b.starts))
	require.Empty(t, b.violations)
}

// Guards against starts and against lapsed runs on a worker that is listed without capacity.
func TestWorkerWithoutCapacityKeepsRuns(t *testing.T) {
	b := newSimCell(t, 1)
	long := bulk(2)
	long.EstimatedTime = 20 * time.Second
	b.submit("a", "print", long)
	b.advance(time.Second)
	b.resizeAll(cell.Size{})
	b.submit("b", "scan", scan(2))
	b.advance(15 * time.Second)
	require.Equal(t, 2, total(b.starts))
	require.Len(t, b.workers["w00"].runs, 2)
	b.resizeAll(large)
	b.advance(8 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, flow.Completed, b.state("b"))
	require.Equal(t, 4, total(b.starts))
	require.Empty(t, b.violations)
}

// A task that needs no capacity does not start on a worker that is listed without any.
func TestNothingStartsOnWorkerWithoutCapacity(t *testing.T) {
	b := newSimCell(t, 1)
	b.resizeAll(cell.Size{})
	b.submit("a", "scan", flow.Step{Tasks: 1, EstimatedTime: time.Second})
	b.advance(2 * time.Second)
	require.Zero(t, total(b.starts))
	b.resizeAll(large)
	b.advance(2 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// The size of a run is not known, and its worker grows. The run may use the added capacity too.
func TestRunOfUnknownSizeTakesAddedCapacity(t *testing.T) {
	b := newSimCell(t, 1)
	b.submit("a", "scan", scan(1))
	b.advance(3 * time.Second)
	w := b.workers["w00"]
	wide := scan(1)
	wide.Size.CPU = 60_000
	w.runs[flow.Name{Job: "a"}] = &fakeRun{run: 9, began: b.now, ends: b.now.Add(time.Minute), step: wide}
	w.deadline = b.now.Add(time.Minute)
	w.resize(small)
	b.takeover()
	b.submit("b", "scan", scan(3))
	b.advance(20 * time.Millisecond)
	w.resize(large)
	b.advance(12 * time.Second)
	require.Equal(t, flow.Completed, b.state("b"))
	require.Empty(t, b.violations)
}

// Guards against starts based on a service or a label that a worker no longer has.
func TestChangedServiceAndLabelsAreUsedAtOnce(t *testing.T) {
	b := newSimCell(t, 2)
	b.storeTime = func() time.Duration { return 300 * time.Millisecond }
	for _, w := range b.sortedWorkers() {
		w.info.Labels = []string{"fast"}
	}
	b.list()
	b.advance(100 * time.Millisecond)
	step := scan(12)
	step.Label = "fast"
	b.submit("a", "scan", step)
	b.advance(100 * time.Millisecond)
	b.workers["w00"].info.Labels = nil
	b.list()
	b.advance(3 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Zero(t, b.workers["w00"].lastEnd)

	b.submit("b", "scan", scan(12))
	b.advance(100 * time.Millisecond)
	b.workers["w00"].info.Service = "other"
	b.list()
	b.advance(4 * time.Second)
	require.Equal(t, flow.Completed, b.state("b"))
	require.Zero(t, b.workers["w00"].lastEnd)
	require.Empty(t, b.violations)
}

// Guards against capacity that stays reserved for a wide task on a worker that has become too small
// for it.
func TestPreemptedCapacityOnShrunkWorkerIsGivenUp(t *testing.T) {
	b := newSimCell(t, 2)
	b.queues[1].Stretch, b.queues[1].Slack = 10, time.Minute
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.submit("bulk", "print", bulk(10))
	b.advance(time.Second)
	wide := scan(1)
	wide.Size.CPU, wide.EstimatedTime = 40_000, 3*time.Second
	b.submit("wide", "scan", wide)
	b.advance(40 * time.Millisecond)
	b.workers["w00"].resize(cell.Size{CPU: 39_000, Mem: 256 << 30})
	b.advance(500 * time.Millisecond)
	require.Len(t, b.workers["w00"].runs, 3, "bulk tasks, which use the capacity that is too small for the wide task")
	require.Equal(t, 1, b.starts[flow.Name{Job: "wide"}])
	b.advance(25 * time.Second)
	require.Equal(t, flow.Completed, b.state("wide"))
	require.Equal(t, flow.Completed, b.state("bulk"))
	require.Empty(t, b.violations)
}

// Guards against a size change without a log line that has the previous size.
func TestSizeChangeIsLogged(t *testing.T) {
	b := newSimCell(t, 1)
	w := b.workers["w00"]
	b.advance(500 * time.Millisecond)
	w.info.Version = 5
	b.list()
	b.advance(time.Second)
	w.info.Version = 17
	w.resize(small)
	require.Equal(t, []sched.Note{{
		ID: "w00", What: "worker resized", Worker: "w00",
		Detail: "cpu 64000 to 20000, mem 274877906944 to 85899345920, accel 0 to 0, entry 17; before: entry 5, 1.5s",
	}}, b.resizeNotes)
}
