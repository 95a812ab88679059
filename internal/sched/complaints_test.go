package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// A quarter more workers join while bulk waits for capacity and policy service answers are needed.
// All of them must have work within seconds; bulk once waited for hours beside empty workers.
func TestWorkersThatJoinGetWaitingBulkWithinSeconds(t *testing.T) {
	b := newSimCell(t, 12)
	b.queues[1].Advice = &flow.Advice{Base: 546 * time.Millisecond, PerWorker: 7800 * time.Microsecond, Valid: 2500 * time.Millisecond}
	b.step(sched.Queues{Version: 2, All: b.queues})
	hour := bulk(8)
	hour.EstimatedTime = time.Hour
	for i := range 30 {
		b.submit(fmt.Sprintf("bulk%02d", i), "print", hour)
	}
	b.advance(20 * time.Second)
	full := total(b.starts)
	require.Greater(t, full, 12*4, "the cell is full")
	var joined []*fakeWorker
	for i := 12; i < 15; i++ {
		joined = append(joined, b.addWorker(fmt.Sprintf("w%02d", i), i))
	}
	b.list()
	b.advance(3 * time.Second)
	for _, w := range joined {
		require.NotEmpty(t, w.runs, w.info.Incarnation)
	}
	require.Greater(t, total(b.starts), full+2*4)
	require.Empty(t, b.violations)
}

// The time of day of hosts is seconds ahead or behind, and jumps back. Leases, takeovers and the
// time for which ended jobs are known must not depend on it.
func TestLeadersWithOtherTimesOfDayRunNothingTwice(t *testing.T) {
	for _, skew := range []time.Duration{5 * time.Second, -5 * time.Second} {
		b := newSimCell(t, 6)
		lasting := flow.Step{Tasks: 3, Size: cell.Size{CPU: 2_000, Mem: 1 << 30}, LongRunning: true}
		b.submit("watch", "scan", lasting)
		b.submit("early", "scan", scan(2))
		b.advance(5 * time.Second)
		require.Equal(t, flow.Completed, b.state("early"))
		for i := range 10 {
			b.submit(fmt.Sprintf("bulk%d", i), "print", bulk(4))
		}
		for i, at := range []time.Duration{skew, 0, skew, -skew} {
			b.advance(time.Second)
			b.skew = at
			b.takeover()
			b.submit(fmt.Sprintf("scan%d", i), "scan", scan(3))
			b.advance(2 * time.Second)
			require.Equal(t, flow.Active, b.state("watch"))
		}
		b.advance(60 * time.Second)
		for i := range 10 {
			require.Equal(t, flow.Completed, b.state(fmt.Sprintf("bulk%d", i)))
		}
		for i := range 4 {
			require.Equal(t, flow.Completed, b.state(fmt.Sprintf("scan%d", i)))
		}
		// The platform wants ended jobs to be known for two minutes.
		b.advance(120*time.Second - 77*time.Second)
		require.Equal(t, flow.Completed, b.state("early"))
		require.Empty(t, b.violations)
	}
}
