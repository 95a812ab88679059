package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// newCellWithPages returns a cell with one worker that lists two ends in a reply, and a job of ten
// tasks that run there.
func newCellWithPages(t *testing.T) (*simCell, *fakeWorker) {
	b := newSimCell(t, 1)
	b.endsPerReply = 2
	step := scan(10)
	step.EstimatedTime, step.Checkpoints = time.Minute, true
	b.submit("a", "scan", step)
	b.advance(time.Second)
	w := b.sortedWorkers()[0]
	require.Len(t, w.runs, 10)
	return b, w
}

// endAll ends all runs on the worker as done.
func (w *fakeWorker) endAll() {
	for i := range 10 {
		n := flow.Name{Job: "a", Index: i}
		if r, ok := w.runs[n]; ok {
			w.end(n, r, sched.EndDone)
		}
	}
}

func requireCompletedOnce(t *testing.T, b *simCell) {
	t.Helper()
	b.advance(10 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, 10, total(b.starts))
	require.Empty(t, b.violations)
}

// Guards against tasks that run a second time after a worker has listed their ends: more tasks end
// while the store is down than the worker lists in one reply.
func TestTasksBeyondAPageOfEndsAreNotMissing(t *testing.T) {
	b, w := newCellWithPages(t)
	b.storeDown = true
	w.endAll()
	b.advance(2 * time.Second)
	b.storeDown = false
	requireCompletedOnce(t, b)
}

// Guards against the same under the next leader, which inherits the runs.
func TestInheritedTasksBeyondAPageOfEndsAreNotMissing(t *testing.T) {
	b, w := newCellWithPages(t)
	w.endAll()
	b.takeover()
	requireCompletedOnce(t, b)
}

// Guards against the same for runs that were told to stop when they had ended.
func TestStoppedTasksBeyondAPageOfEndsAreNotMissing(t *testing.T) {
	b, w := newCellWithPages(t)
	b.storeDown = true
	w.silent = true
	w.endAll()
	w.info.Draining = true
	b.addWorker("w01", 1)
	b.list()
	b.advance(time.Second)
	w.silent = false
	b.advance(time.Second)
	b.storeDown = false
	requireCompletedOnce(t, b)
}

// Guards against tasks that wait for good after a page of ends that is the last one: a run that was
// never listed is missing only once a page with room is read.
func TestMissingTaskIsFoundAfterTheLastPage(t *testing.T) {
	b, w := newCellWithPages(t)
	gone := flow.Name{Job: "a", Index: 9}
	delete(w.runs, gone)
	w.endAll()
	b.advance(time.Second)
	require.Equal(t, 2, b.starts[gone])
	b.advance(2 * time.Minute)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, 11, total(b.starts))
}

// Plays random histories with workers that list few ends in a reply.
func TestRandomHistoriesWithPagesOfEnds(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			b := newSimCell(t, 3+r.IntN(7))
			b.endsPerReply = 1 + int(seed%3)
			b.playHistory(r, nil, nil, func() {})
		})
	}
}

// failedPageSeeds are seeds that failed before: an acknowledgement of ends reached the next incarnation
// of its worker, which forgot ends of its own.
var failedPageSeeds = []uint64{87, 559}

// Plays the same with workers that restart under their IDs.
func TestRandomHistoriesWithPagesOfEndsAndRestarts(t *testing.T) {
	seeds := failedPageSeeds
	for i := range *histories {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r, restarts := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 4))
			b := newBornCell(t, 3+r.IntN(7))
			b.endsPerReply = 1 + int(seed%3)
			b.playHistory(r, nil, nil, func() { b.restartRandomWorker(restarts, false) })
		})
	}
}

// Guards against a note for each reply of a worker that lists its ends in pages.
func TestPagesOfEndsAreReportedOnce(t *testing.T) {
	b, w := newCellWithPages(t)
	b.storeDown = true
	w.endAll()
	b.advance(3 * time.Second)
	require.Len(t, b.pageNotes, 1)
	b.storeDown = false
	requireCompletedOnce(t, b)
	require.Len(t, b.pageNotes, 2)
}
