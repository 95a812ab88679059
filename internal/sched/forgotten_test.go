package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// unlistFor takes a worker's entry out of the list for some time.
func (b *simCell) unlistFor(w *fakeWorker, d time.Duration) {
	w.entryLate = true
	b.list()
	b.advance(d)
	w.entryLate = false
	b.list()
}

// Guards against a leader that is refused by a worker and steps down, since it has forgotten with which
// fencing token the worker's last orders were sent.
func TestWorkerThatIsListedAgainGetsNoLowerToken(t *testing.T) {
	b := bornCellWithEnds(t, 2)
	w := b.worker("w00").restart(100 * time.Millisecond)
	b.advance(2 * time.Second)
	b.unlistFor(w, 40*time.Second)
	b.submit("a", "scan", scan(12))
	b.advance(3 * time.Second)
	require.False(t, b.steppedDown)
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against orders to a former incarnation that the next one does not refuse, since the leader has
// forgotten that it sent any.
func TestWorkerThatRestartsUnlistedGetsAGreaterToken(t *testing.T) {
	b := bornCellWithEnds(t, 2)
	former := b.worker("w00")
	former.entryLate = true
	b.list()
	b.advance(40 * time.Second)
	former.restart(0)
	b.advance(3 * time.Second)
	require.Greater(t, b.worker("w00").fence, former.fence)
}
