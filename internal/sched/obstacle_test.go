package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// Guards against a step that waits beside free capacity without a line that says why.
func TestWaitingStepNamesWhatKeepsItFromStarting(t *testing.T) {
	b := newSimCell(t, 6)
	for _, name := range []string{"w01", "w02", "w03", "w04", "w05"} {
		b.workers[name].info.Labels = []string{"x"}
	}
	b.list()
	b.occupy(1, "w02", "w03")
	b.workers["w04"].info.Draining = true
	b.list()
	b.queues[0].Advice = &flow.Advice{Base: 24 * time.Millisecond, PerWorker: 340 * time.Microsecond, Valid: 2500 * time.Millisecond}
	b.allows = func(string, string) bool { return false }
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.workers["w01"].setSize(cell.Size{CPU: 4_000, Mem: 256 << 30})
	b.list()
	st := scan(1)
	st.Label = "x"
	for _, id := range []string{"a", "b"} {
		b.submit(id, "scan", st)
	}
	b.advance(5 * time.Second)
	require.Len(t, b.longWaits, 2)
	for _, note := range b.longWaits {
		require.Contains(t, note.Detail, "workers: 1 not usable, 1 without the label, 3 full, 1 without a ticket")
	}
}
