package sched_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// endUnstored submits a job of one task and ends its run in a way that the leader reads and cannot
// store. It returns the worker and what the leader would report to its successor, which begins.
func endUnstored(b *simCell, how sched.Ending) (*fakeWorker, []sched.WorkerEnd) {
	b.submit("a", "print", bulk(1))
	b.advance(time.Second)
	all := b.sortedWorkers()
	w := all[slices.IndexFunc(all, func(w *fakeWorker) bool { return len(w.runs) > 0 })]
	require.Empty(b.t, b.core.UnstoredEnds())
	b.storeDown = true
	for n, r := range w.runs {
		w.end(n, r, how)
	}
	b.advance(200 * time.Millisecond)
	ends := b.core.UnstoredEnds()
	require.Len(b.t, ends, 1)
	b.takeover()
	b.storeDown = false
	return w, ends
}

// endUnstoredAndLeave is the same, but the worker leaves at once, and the successor has led for wait.
func endUnstoredAndLeave(t *testing.T, workers int, how sched.Ending, wait time.Duration) (*simCell, []sched.WorkerEnd) {
	b := newSimCell(t, workers)
	w, ends := endUnstored(b, how)
	w.dead = true
	b.advance(wait)
	return b, ends
}

// Guards against runs that are waited for, or done a second time, although the previous leader has
// read their ends.
func TestEndsThatThePreviousLeaderReadCount(t *testing.T) {
	for _, tc := range []struct {
		how    sched.Ending
		starts int
	}{{sched.EndDone, 1}, {sched.EndStopped, 2}, {sched.EndFailed, 2}} {
		t.Run(tc.how.String(), func(t *testing.T) {
			b, ends := endUnstoredAndLeave(t, 3, tc.how, 2*time.Second)
			require.Equal(t, 1, total(b.starts))
			b.step(sched.PreviousEnds{All: ends})
			b.advance(500 * time.Millisecond)
			require.Equal(t, tc.starts, total(b.starts))
			b.advance(10 * time.Second)
			require.Equal(t, tc.starts, total(b.starts))
			require.Equal(t, flow.Completed, b.state("a"))
			require.Empty(t, b.core.UnstoredEnds(), "what is stored need not be reported")
			require.Empty(t, b.violations)
		})
	}
}

// Guards against a second run of a task that was taken for lapsed before its end was reported.
func TestEndReportedAfterTheLeasesCounts(t *testing.T) {
	b, ends := endUnstoredAndLeave(t, 1, sched.EndDone, 20*time.Second)
	require.Equal(t, flow.Active, b.state("a"))
	b.step(sched.PreviousEnds{All: ends})
	b.addWorker("x", 1)
	b.list()
	b.advance(time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Equal(t, 1, total(b.starts))
}

// Guards against an end that is reported late and taken for that of a newer run.
func TestEndOfAnEarlierRunIsIgnored(t *testing.T) {
	b, ends := endUnstoredAndLeave(t, 3, sched.EndDone, 10*time.Second)
	require.Equal(t, 2, total(b.starts))
	b.step(sched.PreviousEnds{All: ends})
	b.advance(100 * time.Millisecond)
	require.Equal(t, flow.Active, b.state("a"))
	b.advance(10 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
	require.Empty(t, b.violations)
}

// Guards against a failure that counts twice because it is reported again and the worker lists it.
func TestFailureThatIsReportedAndListedCountsOnce(t *testing.T) {
	b := newSimCell(t, 1)
	w, ends := endUnstored(b, sched.EndFailed)
	w.silent = true
	for range 3 {
		b.step(sched.PreviousEnds{All: ends})
		b.advance(100 * time.Millisecond)
	}
	w.silent, w.fails = false, true
	b.advance(60 * time.Second)
	require.Equal(t, flow.Failed, b.state("a"))
	require.Equal(t, 4, total(b.starts), "the attempts that the queue allows")
}

// Guards against ends that are not reported because they are not in an append yet.
func TestAllUnstoredEndsAreReported(t *testing.T) {
	b := newSimCell(t, 3)
	b.submit("a", "print", bulk(6))
	b.advance(time.Second)
	b.storeDown = true
	for _, w := range b.sortedWorkers() {
		for _, n := range slices.SortedFunc(maps.Keys(w.runs), func(x, y flow.Name) int { return x.Index - y.Index }) {
			w.end(n, w.runs[n], sched.EndDone)
			b.advance(700 * time.Millisecond)
		}
	}
	require.Len(t, b.core.UnstoredEnds(), 6)
	b.storeDown = false
	b.advance(time.Second)
	require.Empty(t, b.core.UnstoredEnds())
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against the end of a copy that is taken for that of the copy on another worker: a leader may
// start copies before it stores them, so its successor may use the same number again.
func TestEndOfACopyElsewhereIsIgnored(t *testing.T) {
	b := newSimCell(t, 1)
	b.submit("a", "print", flow.Step{Tasks: 1, AllowCopies: true, EstimatedTime: 3 * time.Second})
	b.advance(time.Second)
	task := flow.Name{Job: "a"}
	require.Contains(t, b.workers["w00"].runs, task)
	b.step(sched.PreviousEnds{All: []sched.WorkerEnd{{Worker: "other", RunEnd: sched.RunEnd{Task: task, Run: 1, How: sched.EndStopped}}}})
	b.advance(10 * time.Second)
	require.Equal(t, 1, total(b.starts))
	require.Equal(t, flow.Completed, b.state("a"))
}
