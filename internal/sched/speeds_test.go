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

// newUnevenCell returns a cell of 24 workers of which each fourth one is of a kind that takes twice as
// long.
func newUnevenCell(t *testing.T) *simCell {
	b := newSimCell(t, 24)
	for i := range 24 {
		w := b.workers[fmt.Sprintf("w%02d", i)]
		w.info.Labels = []string{"a", w.info.Rack}
		if i%4 == 1 {
			w.info.Labels[0], w.slowdown = "b", 2
		}
	}
	b.list()
	return b
}

// submitScans submits jobs of two steps, eight a second for five seconds, and returns how many of
// them took longer than 1.5 times their work and 300 ms.
func (b *simCell) submitScans(prefix string) (late int) {
	began := map[string]time.Time{}
	for i := range 40 {
		id := fmt.Sprintf("%s%02d", prefix, i)
		b.submit(id, "scan", scan(10), scan(10))
		began[id] = b.now
		for range 5 {
			b.advance(25 * time.Millisecond)
			late += b.takeLate(began)
		}
	}
	for range 200 {
		b.advance(25 * time.Millisecond)
		late += b.takeLate(began)
	}
	return late + len(began)
}

// takeLate removes the jobs that have ended, and returns how many of them were late.
func (b *simCell) takeLate(began map[string]time.Time) (late int) {
	for id, at := range began {
		if !b.state(id).Final() {
			continue
		}
		if b.now.Sub(at) > 3300*time.Millisecond {
			late++
		}
		delete(began, id)
	}
	return late
}

// Load: urgent jobs with little time to spare beside workers of a kind that takes twice as long.
// Without measured speeds most jobs wait for a task on a slow worker.
func TestUrgentTasksGoToFastWorkers(t *testing.T) {
	b := newUnevenCell(t)
	b.submitScans("warm-up")
	require.LessOrEqual(t, b.submitScans("scan"), 2)
	require.Empty(t, b.violations)
}

// Load: long-running tasks arrive before urgent jobs. On fast workers they would keep these from
// them for good.
func TestLongRunningTasksLeaveFastWorkersFree(t *testing.T) {
	b := newUnevenCell(t)
	b.submitScans("warm-up")
	watch := flow.Step{Tasks: 12, Size: cell.Size{CPU: 20_000, Mem: 16 << 30}, LongRunning: true}
	b.submit("watch", "print", watch)
	b.advance(time.Second)
	onFast := 0
	for _, w := range b.sortedWorkers() {
		if w.slowdown == 1 {
			onFast += len(w.runs)
		}
	}
	require.Zero(t, onFast)
}

// Guards against a successor that sends urgent tasks to slow workers until it has measured them
// again.
func TestNextLeaderKnowsSlowKinds(t *testing.T) {
	b := newUnevenCell(t)
	b.submitScans("warm-up")
	kinds := b.core.KindFactors()
	require.InDelta(t, 2, kinds["b"], 0.3)
	b.takeover()
	b.step(sched.KnownSpeeds{Kinds: kinds})
	b.advance(100 * time.Millisecond)
	b.submit("first", "scan", scan(10))
	b.advance(200 * time.Millisecond)
	for _, w := range b.sortedWorkers() {
		if w.slowdown > 1 {
			require.Empty(t, w.runs, w.info.Incarnation)
		}
	}
}
