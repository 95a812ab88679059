package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// Guards against a task that lets its leases run out on a silent worker, although copies of it may
// run elsewhere, because its start there had no answer.
func TestUnansweredStartOnASilentWorkerIsCopied(t *testing.T) {
	b := newSimCell(t, 1)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.workers["w00"].silent = true
	b.submit("a", "scan", apart(1, time.Second))
	b.advance(100 * time.Millisecond)
	b.addWorkers("w7")
	b.advance(2 * time.Second)
	require.Len(t, b.starts, 1)
}

// Guards against a run that is given up, and started once more, because its worker also lists an
// older run of the same task, which is still being stopped.
func TestOlderRunOfATaskDoesNotHideTheNewestOne(t *testing.T) {
	b := newSimCell(t, 2)
	b.copies = true
	b.submit("a", "scan", bestOf(20*time.Second))
	b.advance(300 * time.Millisecond)
	n, w := flow.Name{Job: "a"}, b.busyWorkers()[0]
	w.silent, w.stopTime = true, 900*time.Millisecond
	b.advance(2 * time.Second)
	require.Equal(t, 2, b.starts[n])
	w.silent = false
	b.failRuns(600*time.Millisecond, func(on string, _ flow.Name) bool { return on != w.info.Incarnation })
	require.Equal(t, 3, w.runs[n].run)
	b.step(sched.HoldReply{Worker: w.info.Incarnation, Probe: true, Sent: b.now, Received: b.now, Clock: b.now, Running: []sched.RunStatus{
		{Task: n, Run: 3}, {Task: n, Run: 1},
	}})
	b.advance(500 * time.Millisecond)
	require.Equal(t, 3, b.starts[n])
}

// bestOf returns a step of one task that may have copies.
func bestOf(work time.Duration) flow.Step {
	st := apart(1, work)
	st.MaxPerWorker = 0
	return st
}

// Guards against a worker that is filled twice because a start arrives there after its run was
// given up: the start's deadline was set by a clock that had not been read for minutes, and that is
// slow.
func TestStartWithALateDeadlineKeepsItsCapacity(t *testing.T) {
	b := newSimCell(t, 1)
	b.copies = true
	w := b.workers["w00"]
	w.slowSince = b.now
	b.advance(10 * time.Minute)
	b.submit("a", "scan", bestOf(20*time.Second))
	w.startDelay = 9 * time.Second
	b.advance(100 * time.Millisecond)
	w.silent = true
	b.addWorkers("w7")
	b.advance(time.Second)
	require.Equal(t, 1, b.starts[flow.Name{Job: "a"}])
	w.silent, w.startDelay = false, 0
	whole := wholeWorker(1)
	whole.EstimatedTime = 10 * time.Second
	b.submit("b", "scan", whole)
	b.advance(40 * time.Second)
	require.Equal(t, flow.Completed, b.state("b"))
	require.Empty(t, b.violations)
}

// Guards against an exceeded quota after a change of the leader: the next one does not count runs
// that were left behind on a silent worker when copies of them started elsewhere.
func TestQuotaCountsRunsLeftBehindUnderAFormerLeader(t *testing.T) {
	b := newQuotaCell(t, 1)
	b.copies = true
	two := bestOf(30 * time.Second)
	two.Tasks = 2
	b.submit("a", "scan", two)
	b.advance(300 * time.Millisecond)
	b.workers["w00"].silent = true
	b.addWorkers("w7")
	b.advance(time.Second)
	require.Equal(t, int64(20_000), b.running("small").CPU)
	b.takeover()
	b.submit("b", "scan", two)
	require.LessOrEqual(t, b.maxRunning("small", 3*time.Second), int64(21_000))
}
