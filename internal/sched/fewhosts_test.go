package sched_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// Three hosts are left, and the queries about all steps take 2.2 of them. Guards against bulk jobs
// that wait for good beside free workers, because two hosts are kept free for urgent queries.
func TestBulkIsQueriedForWithFewHosts(t *testing.T) {
	kinds := hallWorkloads()[:2]
	kinds[0].rate, kinds[1].rate = 10, 1.1
	kinds[1].step = func(r *rand.Rand) flow.Step {
		return flow.Step{Tasks: 1 + r.IntN(9), Size: cell.Size{CPU: 18_000, Mem: 51 << 30}, EstimatedTime: jitter(r, 4800*time.Millisecond), Checkpoints: true}
	}
	b := newHallPart(t, kinds, 300, 3)
	b.submitHallArrivals(rand.New(rand.NewPCG(1, 2)), kinds, 60*time.Second)
	b.advance(25 * time.Second)
	open := 0
	for id := range b.specs {
		if b.core.JobForTest(id).State != flow.Completed {
			open++
		}
	}
	require.Zero(t, open, "jobs that have not ended")
	require.Empty(t, b.violations)
}
