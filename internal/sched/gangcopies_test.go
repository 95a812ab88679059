package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// startGang starts a gang of three seconds that allows copies, one member on each of two workers.
// Without a store its starts are not recorded.
func startGang(t *testing.T, withStore bool) (*simCell, []*fakeWorker) {
	b := newSimCell(t, 2)
	b.copies, b.storeDown = true, !withStore
	gang := apart(2, 3*time.Second)
	gang.Gang = true
	b.submit("a", "scan", gang)
	b.advance(300 * time.Millisecond)
	on := b.busyWorkers()
	require.Len(t, on, 2)
	return b, on
}

// requireCompleted lets a worker join and checks that a job completes.
func (b *simCell) requireCompleted(id string) {
	b.addWorkers("w7")
	b.advance(20 * time.Second)
	require.Equal(b.t, flow.Completed, b.state(id))
}

// Guards against a gang that waits for good for its other members because only the worker of one
// member told that the gang was done, to a new leader that had found only this member.
func TestEndOfAnAdoptedMemberEndsItsGang(t *testing.T) {
	b, on := startGang(t, false)
	on[0].silent, b.storeDown = true, false
	b.takeover()
	b.advance(4 * time.Second)
	on[0].dead = true
	b.requireCompleted("a")
}

// Guards against a gang that waits for good for its other members because only the worker of one
// member told that the gang was done, after the run of all members was given up.
func TestLateEndOfAMemberEndsItsGang(t *testing.T) {
	b, on := startGang(t, true)
	on[0].silent, on[1].silent = true, true
	b.advance(12 * time.Second)
	on[0].dead, on[1].silent = true, false
	b.advance(time.Second)
	b.requireCompleted("a")
}
