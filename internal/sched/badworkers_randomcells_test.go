package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// badKinds are the ways in which a worker of a random cell is bad for good while it answers holds.
var badKinds = []string{"fails", "stalls", "refuses starts", "answers no starts"}

// makeBad makes a worker bad; runs on one that fails are ended by failRuns.
func (b *simCell) makeBad(w *fakeWorker, kind string, jobs []string) {
	switch kind {
	case "stalls":
		w.stalled = true
	case "refuses starts":
		for _, id := range jobs {
			for i := range 8 {
				w.tombstones[flow.Name{Job: id, Index: i}] = 1_000_000
			}
		}
	case "answers no starts":
		w.startDelay = 3 * time.Second
	}
}

// Guards against jobs that fail or wait for good because of one or two workers that are bad for
// good, in random cells with little load whose other workers have capacity for each job.
func TestJobsCompleteInRandomCellsWithBadWorkers(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		for _, kind := range badKinds {
			t.Run(fmt.Sprintf("%d_%s", seed, kind), func(t *testing.T) { runBadWorkers(t, seed, kind) })
		}
	}
}

func runBadWorkers(t *testing.T, seed uint64, kind string) {
	r := rand.New(rand.NewPCG(seed, 3))
	b := newSimCell(t, 8+r.IntN(6))
	var jobs []string
	for i := range 10 {
		jobs = append(jobs, fmt.Sprintf("j%02d", i))
	}
	all, bad := b.sortedWorkers(), map[string]bool{}
	for range 1 + r.IntN(2) {
		w := all[r.IntN(len(all))]
		bad[w.info.Incarnation] = true
		b.makeBad(w, kind, jobs)
	}
	for _, w := range all {
		w.stopTime = time.Duration(100+r.IntN(800)) * time.Millisecond
	}
	fails := func(w string, _ flow.Name) bool { return kind == "fails" && bad[w] }
	b.failRuns(200*time.Millisecond, fails)
	for _, id := range jobs {
		st := scan(1 + r.IntN(4))
		if r.IntN(3) == 0 {
			st = gangOf(wholeWorker(2))
		}
		b.submit(id, []string{"scan", "print"}[r.IntN(2)], st)
		b.failRuns(time.Duration(r.IntN(1500))*time.Millisecond, fails)
	}
	b.failRuns(30*time.Second, fails)
	require.Empty(t, b.violations)
	for _, id := range jobs {
		st := b.specs[id].Steps[0]
		require.Equal(t, flow.Completed, b.state(id), "%s, gang %t, tasks %d, bad workers %v", id, st.Gang, st.Tasks, bad)
	}
}
