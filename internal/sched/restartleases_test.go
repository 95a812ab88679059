package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// longScan is a step of one task that takes 20 s.
func longScan() flow.Step {
	return flow.Step{Tasks: 1, Size: scan(1).Size, EstimatedTime: 20 * time.Second}
}

// silentRestart submits a task whose start to the only worker has no answer and is carried out late,
// and restarts that worker, which then does not answer. Another worker is free.
func silentRestart(t *testing.T, late time.Duration) *simCell {
	b := newBornCell(t, 1)
	b.advance(30 * time.Second)
	b.worker("w00").startDelay = late
	b.submit("a", "scan", longScan())
	b.advance(100 * time.Millisecond)
	b.worker("w00").restart(50 * time.Millisecond).silent = true
	b.addWorker("w01", 1)
	b.advance(500 * time.Millisecond)
	return b
}

// Guards against a task that starts elsewhere although its first start may still be carried out by a
// silent incarnation, or has been: until when is not bounded by deadlines on the former one's clock.
func TestStartToASilentNextIncarnationIsWaitedFor(t *testing.T) {
	for _, change := range []bool{false, true} {
		b := silentRestart(t, 11*time.Second)
		if change {
			b.takeover()
			b.step(sched.PredecessorStopped{Since: b.now})
		}
		b.requireCompletedWithin("a", 70*time.Second)
		require.Equal(t, 2, b.starts[flow.Name{Job: "a"}])
	}
}

// Guards against leases that a hold to the former incarnation has given, which last longer than those
// that were given to the next one.
func TestHoldToTheFormerIncarnationExtendsLeases(t *testing.T) {
	b := newBornCell(t, 1)
	b.submit("first", "scan", longScan())
	b.advance(time.Second)
	w := b.worker("w00")
	w.holdDelay = 8 * time.Second
	b.advance(time.Second)
	next := w.restart(50 * time.Millisecond)
	b.advance(time.Second)
	require.Len(t, next.runs, 1)
	next.silent = true
	b.addWorker("w01", 1)
	b.list()
	b.requireCompletedWithin("first", 60*time.Second)
}

// Guards against a start whose stop the former incarnation has answered, and which the next one, that
// does not know of it, carries out beside the task's newer run.
func TestStopIsRepeatedOnTheNextIncarnation(t *testing.T) {
	b := newBornCell(t, 1)
	b.lateStartsOfStopped = true
	b.advance(time.Second)
	w := b.worker("w00")
	w.startDelay = 5 * time.Second
	b.submit("a", "scan", longScan())
	b.advance(700 * time.Millisecond)
	b.addWorker("w01", 1)
	b.list()
	b.advance(time.Second)
	require.Len(t, b.worker("w01").runs, 1)
	w.restart(100 * time.Millisecond)
	b.requireCompletedWithin("a", 30*time.Second)
}

// Guards against a task that runs again although the previous leader has read its end: the next
// leader tracks it on the incarnation after the one that listed the end.
func TestEndOnTheFormerIncarnationCounts(t *testing.T) {
	b := newBornCell(t, 1)
	w, ends := endUnstored(b, sched.EndDone)
	w.restart(0).silent = true
	b.advance(time.Second)
	b.step(sched.PreviousEnds{All: ends})
	b.advance(time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, 1, total(b.starts))
}
