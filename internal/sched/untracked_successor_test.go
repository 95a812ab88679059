package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// leftBehind returns a cell whose organisation has two runs on the silent worker w00 and their copies
// on w7, which together use its quota.
func leftBehind(t *testing.T) *simCell {
	b := newQuotaCell(t, 1)
	b.copies = true
	two := bestOf(time.Hour)
	two.Tasks = 2
	b.submit("a", "scan", two)
	b.advance(300 * time.Millisecond)
	b.workers["w00"].silent = true
	b.addWorkers("w7")
	b.advance(time.Second)
	require.Len(t, b.workers["w7"].runs, 2)
	require.Len(t, b.namedUntracked(), 2)
	return b
}

// submitTwo submits a job of two tasks of the same organisation.
func (b *simCell) submitTwo(id string) {
	two := scan(2)
	two.EstimatedTime = time.Minute
	b.submit(id, "scan", two)
}

// startedBy returns how many tasks of a job have started.
func (b *simCell) startedBy(job string) int {
	n := 0
	for task := range b.starts {
		if task.Job == job {
			n++
		}
	}
	return n
}

// Guards against a run of a silent worker that the leader after the next one does not count, and
// against a task of which only one of two former runs is counted.
func TestRunsLeftBehindTwiceCountUnderLaterLeaders(t *testing.T) {
	b := newQuotaCell(t, 1)
	b.copies = true
	b.setQuotas(map[string]cell.Size{"small": {CPU: 15_000}})
	b.submit("a", "scan", bestOf(time.Hour))
	b.advance(300 * time.Millisecond)
	b.workers["w00"].silent = true
	b.addWorkers("w7")
	b.workers["w7"].silent = true
	b.addWorkers("w8")
	b.advance(time.Second)
	require.Len(t, b.workers["w8"].runs, 1)
	require.Len(t, b.namedUntracked(), 2)
	for _, id := range []string{"b", "c"} {
		b.takeover()
		b.submitTwo(id)
		require.LessOrEqual(t, b.maxRunning("small", time.Second), int64(15_000))
		require.Zero(t, b.startedBy(id))
	}
	require.Len(t, b.namedUntracked(), 2)
}

// Guards against runs that count forever, or no longer than until the first check, because a
// successor never reaches their worker: it is not listed any more. What a previous leader reports
// about its leases shortens the wait.
func TestRunsOnAWorkerThatIsNeverReachedCountUntilTheirLeasesAreOver(t *testing.T) {
	for name, tc := range map[string]struct{ reported, stored, older bool }{
		"nothing reported":                   {},
		"nothing reported by an older build": {older: true},
		"leases reported":                    {reported: true},
		"leases stored":                      {stored: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := leftBehind(t)
			b.olderLeaders = tc.older
			b.workers["w00"].dead = true
			bounds := b.core.LeaseBounds(b.now)
			require.Contains(t, bounds, "w00")
			if !tc.stored {
				delete(b.stored, sched.BoundsKey)
			}
			b.takeover()
			over := sched.DefaultLimits.Lease + 500*time.Millisecond
			switch {
			case tc.reported:
				b.step(sched.PredecessorStopped{Since: b.now, LeaseBounds: bounds})
				over = bounds["w00"]
			case tc.stored:
				over = bounds["w00"] + 300*time.Millisecond
			case tc.older:
				over = 17 * time.Second
			}
			b.submitTwo("b")
			b.advance(over - 700*time.Millisecond)
			require.Zero(t, b.startedBy("b"))
			b.advance(time.Second)
			require.Equal(t, 2, b.startedBy("b"))
			require.Empty(t, b.namedUntracked())
		})
	}
}

// Guards against a run that is not counted, or whose record is deleted, because its job was cancelled
// while its worker was silent, before or after the leader changed.
func TestRunOutlivesItsCancelledJob(t *testing.T) {
	for name, cancelFirst := range map[string]bool{"cancelled before": true, "cancelled after": false} {
		t.Run(name, func(t *testing.T) {
			b := leftBehind(t)
			if cancelFirst {
				b.cancel("a")
				b.advance(500 * time.Millisecond)
			}
			b.takeover()
			if !cancelFirst {
				b.cancel("a")
			}
			b.advance(500 * time.Millisecond)
			require.Empty(t, b.workers["w7"].runs)
			require.Len(t, b.workers["w00"].runs, 2)
			require.Equal(t, flow.Cancelled, b.state("a"))
			require.Len(t, b.namedUntracked(), 2)
			b.submitTwo("b")
			b.submitTwo("c")
			require.LessOrEqual(t, b.maxRunning("small", 3*time.Second), int64(20_000))
			require.Equal(t, 2, b.startedBy("b"))
			require.Zero(t, b.startedBy("c"))
			b.workers["w00"].silent = false
			b.advance(time.Second)
			require.Equal(t, 2, b.startedBy("c"), "the runs are stopped and released")
			require.Empty(t, b.namedUntracked())
		})
	}
}

// Guards against a successor that keeps counting a run after its worker has listed its end, or has
// answered without listing it.
func TestSuccessorReleasesRunsByTheirWorkersLists(t *testing.T) {
	name := func(i int) flow.Name { return flow.Name{Job: "a", Index: i} }
	ends := map[string]func(*fakeWorker){
		"stopped": func(*fakeWorker) {},
		"ended": func(w *fakeWorker) {
			for i := range 2 {
				w.end(name(i), w.runs[name(i)], sched.EndFailed)
			}
		},
		"not listed": func(w *fakeWorker) { clear(w.runs) },
	}
	for how, end := range ends {
		t.Run(how, func(t *testing.T) {
			b := leftBehind(t)
			b.takeover()
			b.submitTwo("b")
			b.advance(200 * time.Millisecond)
			require.Zero(t, b.startedBy("b"))
			end(b.workers["w00"])
			b.workers["w00"].silent = false
			b.advance(1500 * time.Millisecond)
			require.Equal(t, 2, b.startedBy("b"))
			require.Empty(t, b.namedUntracked())
			require.Equal(t, 4, b.starts[name(0)]+b.starts[name(1)], "the copies run on")
		})
	}
}

// Guards against the deletion of a job's record while a run of it may exist, and against a record that
// is stored after the deletion and remains forever.
func TestJobWithAnUntrackedRunIsNotForgotten(t *testing.T) {
	b := leftBehind(t)
	w := b.workers["w00"]
	w.silent, w.stopTime = false, 5*time.Minute
	b.cancel("a")
	b.advance(sched.DefaultLimits.Retention + 10*time.Second)
	require.Len(t, w.runs, 2)
	require.Len(t, b.namedUntracked(), 2)
	require.Equal(t, flow.Cancelled, b.state("a"), "still known")
	b.advance(5 * time.Minute)
	require.Empty(t, w.runs)
	require.Empty(t, b.namedUntracked())
	_, ok := b.core.State("a")
	require.False(t, ok)
}

// Guards against a run that no longer counts because its worker has not been listed for a while, although
// the worker lists the run and renews its lease.
func TestRunOnAnUnlistedWorkerThatAnswersCounts(t *testing.T) {
	b := leftBehind(t)
	w := b.workers["w00"]
	w.silent, w.stopTime = false, 2*time.Minute
	b.step(sched.Workers{All: []sched.Worker{b.workers["w7"].info}})
	b.advance(time.Minute)
	require.Len(t, w.runs, 2)
	b.submitTwo("b")
	b.advance(time.Second)
	require.Zero(t, b.startedBy("b"))
	b.advance(2 * time.Minute)
	require.Equal(t, 2, b.startedBy("b"))
	require.Empty(t, b.namedUntracked())
}

// Guards against a run that counts until its leases are over because nobody asks its worker any more,
// which is not listed and answers again.
func TestUnlistedWorkerWithUntrackedRunsIsAsked(t *testing.T) {
	b := leftBehind(t)
	b.step(sched.Workers{All: []sched.Worker{b.workers["w7"].info}})
	b.cancel("a")
	b.submitTwo("b")
	b.submitTwo("c")
	b.advance(3 * time.Second)
	require.Equal(t, 2, b.startedBy("b"))
	require.Zero(t, b.startedBy("c"))
	b.workers["w00"].silent = false
	b.advance(2 * time.Second)
	require.Equal(t, 2, b.startedBy("c"))
}

// Guards against a run that counts although its end is known from the previous leader, which could not
// store it.
func TestEndFromThePreviousLeaderReleasesARun(t *testing.T) {
	b := leftBehind(t)
	b.takeover()
	b.submitTwo("b")
	end := sched.RunEnd{Number: 1, Task: flow.Name{Job: "a"}, Run: 1, How: sched.EndFailed}
	b.step(sched.PreviousEnds{All: []sched.WorkerEnd{{Worker: "w7", RunEnd: end}}})
	b.advance(time.Second)
	require.Zero(t, b.startedBy("b"), "another run")
	b.step(sched.PreviousEnds{All: []sched.WorkerEnd{{Worker: "w00", RunEnd: end}}})
	b.advance(time.Second)
	require.Equal(t, 1, b.startedBy("b"))
	require.Len(t, b.namedUntracked(), 1)
}
