package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// Guards against a task that starts elsewhere once the leases of a silent worker have expired, while the
// worker has restarted unnoticed and its next incarnation carries out the first start, with a lease of
// its own.
func TestLateStartAfterTheLeasesOfASilentWorkerThatRestarted(t *testing.T) {
	for _, late := range []time.Duration{3 * time.Second, 6 * time.Second, 9 * time.Second, 11 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			b := bornCellWithEnds(t, 1)
			b.lateStartsOfStopped = true
			w := b.worker("w00")
			w.startDelay = late
			b.submit("a", "scan", flow.Step{Tasks: 1, Size: scan(1).Size, EstimatedTime: 60 * time.Second})
			b.advance(50 * time.Millisecond)
			w.silent, w.startDelay = true, 0
			next := w.restart(40 * time.Second)
			require.True(t, next.silent)
			b.addWorker("w01", 1)
			b.list()
			b.advance(30 * time.Second)
			t.Logf("starts: %d", b.starts[flow.Name{Job: "a"}])
			require.Empty(t, b.violations)
		})
	}
}
