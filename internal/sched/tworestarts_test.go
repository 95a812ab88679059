package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late start that begins in the incarnation after the next one: the next one would
// have refused it, so the leader no longer watches the worker, and does not notice the second restart.
func TestSecondRestartOfAnIdleWorkerIsNoticedBeforeALateStart(t *testing.T) {
	b := bornCellWithEnds(t, 2)
	b.advance(15 * time.Second)
	name := b.runElsewhere(8 * time.Second)
	b.worker("w00").restart(100 * time.Millisecond)
	b.advance(2 * time.Second)
	require.True(t, b.worker("w00").reached)
	b.worker("w00").restart(20 * time.Second)
	b.requireCompletedWithin("a", 60*time.Second)
	require.Equal(t, 1, b.starts[name])
}
