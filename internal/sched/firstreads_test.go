package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// Guards against a new leader of thousands of workers that reads all of them at once: the replies take
// all of its time, and nothing starts for seconds although most of the cell is idle.
func TestNewLeaderOfManyWorkersReadsThemInTurn(t *testing.T) {
	b := newSimCell(t, 0)
	for i := range 3000 {
		b.addWorker(fmt.Sprintf("w%04d", i), i).info.Size = cell.Size{CPU: 64_000, Mem: 256 << 30}
	}
	b.list()
	b.submit("before", "print", bulk(4))
	b.advance(time.Second)
	require.Len(t, b.starts, 4)
	b.holds = 0
	b.takeover()
	require.LessOrEqual(t, b.holds, 320, "workers with tasks are read beside the first in turn")
	for _, w := range b.sortedWorkers()[:100] {
		w.silent = true
	}
	b.submit("after", "scan", scan(4))
	b.advance(500 * time.Millisecond)
	require.Equal(t, flow.Active, b.state("after"))
	for _, w := range b.workers {
		w.silent = false
	}
	b.advance(10 * time.Second)
	require.Equal(t, flow.Completed, b.state("after"))
	require.Equal(t, flow.Completed, b.state("before"))
	require.Equal(t, 3000, b.core.FencedForTest(), "all are read in the end")
	require.Empty(t, b.violations)
}
