package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// runElsewhere submits a task whose start is carried out late by w00, after the task was started on w01
// instead. It returns the task.
func (b *simCell) runElsewhere(late time.Duration) flow.Name {
	b.lateStartsOfStopped = true
	b.worker("w01").info.Draining = true
	b.list()
	b.worker("w00").startDelay = late
	b.submit("a", "scan", flow.Step{Tasks: 1, Size: scan(1).Size, EstimatedTime: 30 * time.Second})
	b.advance(300 * time.Millisecond)
	b.worker("w00").startDelay = 0
	b.addWorker("w02", 2)
	b.list()
	b.advance(1700 * time.Millisecond)
	name := flow.Name{Job: "a"}
	require.Len(b.t, b.worker("w02").runs, 1, "the task runs elsewhere")
	return name
}

// Guards against a late start that begins in the next incarnation of a worker beside a later run of its
// task, because nobody polled the worker and noticed its restart.
func TestRestartOfAnIdleWorkerIsNoticedBeforeALateStart(t *testing.T) {
	for _, arrives := range []time.Duration{3500 * time.Millisecond, 5 * time.Second, 8 * time.Second} {
		t.Run(arrives.String(), func(t *testing.T) {
			b := bornCellWithEnds(t, 2)
			b.advance(15 * time.Second)
			name := b.runElsewhere(arrives)
			b.advance(arrives - 2*time.Second - noticeTime)
			// Its entry follows long after the start.
			b.worker("w00").restart(20 * time.Second)
			b.requireCompletedWithin("a", 60*time.Second)
			require.Equal(t, 1, b.starts[name])
		})
	}
}

// Guards against the same after a change of the leader: the next one does not know of the start.
func TestRestartOfAnIdleWorkerIsNoticedAfterALeaderChange(t *testing.T) {
	b := bornCellWithEnds(t, 2)
	name := b.runElsewhere(8 * time.Second)
	b.takeover()
	b.advance(4 * time.Second)
	b.worker("w00").restart(20 * time.Second)
	b.requireCompletedWithin("a", 60*time.Second)
	require.Equal(t, 1, b.starts[name])
}

// Guards against a late start that begins in the next incarnation because the leader has forgotten it:
// a host that stood still may send an order after any time.
func TestStartIsRefusedByTheNextIncarnationHoweverLateItIs(t *testing.T) {
	b := bornCellWithEnds(t, 2)
	name := b.runElsewhere(16 * time.Second)
	b.advance(12500 * time.Millisecond)
	b.worker("w00").restart(100 * time.Millisecond)
	b.requireCompletedWithin("a", 60*time.Second)
	require.Equal(t, 1, b.starts[name])
}

// Guards against a leader that is refused by a worker, and takes that for the end of its term, because
// it has forgotten that it had raised the token of the worker's orders.
func TestTokenOfAForgottenWorkerIsNotLowered(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		b := bornCellWithEnds(t, 2)
		w := b.worker("w00").restart(100 * time.Millisecond)
		b.advance(time.Second)
		w.silent, w.entryLate = true, true
		b.list()
		b.advance(2 * time.Minute)
		w.silent, w.entryLate = false, false
		if restarts {
			w.restart(0)
		}
		b.list()
		b.submit("a", "scan", scan(24))
		b.requireCompletedWithin("a", 5*time.Second)
		require.False(t, b.steppedDown)
		require.Positive(t, b.worker("w00").lastEnd)
	}
}

// Guards against an acknowledgement that is the first order to reach the next incarnation, which forgets
// an end of its own: nothing was sent to the worker while the store took long.
func TestAcknowledgementDoesNotReachTheNextIncarnationFirst(t *testing.T) {
	b := bornCellWithEnds(t, 1)
	b.submit("first", "scan", scan(1))
	b.advance(990 * time.Millisecond)
	w := b.worker("w00")
	w.startDelay = 150 * time.Millisecond
	b.submit("a", "scan", flow.Step{Tasks: 1, Size: scan(1).Size, EstimatedTime: 50 * time.Millisecond})
	b.advance(12 * time.Millisecond)
	b.storeDown = true
	b.advance(100 * time.Millisecond)
	require.NotEmpty(t, w.ends, "the end of the first task is not acknowledged")
	w.startDelay = 0
	w.restart(10 * time.Second)
	b.advance(110 * time.Millisecond)
	require.Len(t, b.worker("w00").ends, 1, "the other one has ended in the next incarnation")
	b.storeDown = false
	b.requireCompletedWithin("a", 20*time.Second)
	require.Equal(t, 1, b.starts[flow.Name{Job: "a"}])
}
