package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

const (
	// crashDelay is how long after its start a crashing task ends its worker's incarnation, and
	// restartDelay the time until the next incarnation is listed.
	crashDelay   = 10 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	// unlistDelay is the time until an ended incarnation is no longer listed.
	unlistDelay = 1200 * time.Millisecond
	// maxLateStarts is how often a task may start after the third crash under it.
	maxLateStarts = 2
)

// crashUnder crashes the worker if the run is still there.
func (w *fakeWorker) crashUnder(n flow.Name, r *fakeRun) {
	if w.dead || w.runs[n] != r {
		return
	}
	w.b.crashed[n]++
	w.endIncarnation()
}

// endIncarnation ends the worker's incarnation. The next one is listed later, at another address.
func (w *fakeWorker) endIncarnation() {
	b := w.b
	b.endedIncarnations++
	w.dead = true
	w.runs = map[flow.Name]*fakeRun{}
	n := b.endedIncarnations
	b.after(unlistDelay, b.list)
	b.after(restartDelay+b.restartExtra, func() {
		if b.reportsBorn {
			w.restart(0)
			return
		}
		w.replaced = true
		next := b.addWorker(fmt.Sprintf("z%03d", n), 100+n%100)
		next.info.Size, next.info.Domain, next.info.Rack = w.info.Size, w.info.Domain, w.info.Rack
		b.list()
	})
}

// markCrashing makes all tasks of the jobs crash their workers.
func (b *simCell) markCrashing(ids ...string) {
	b.crashesWorker = func(n flow.Name) bool {
		for _, id := range ids {
			if n.Job == id {
				return true
			}
		}
		return false
	}
}

// requireFailed checks that a job ended as failed, with few starts after the third crash.
func (b *simCell) requireFailed(id string) {
	b.t.Helper()
	require.Equal(b.t, flow.Failed, b.state(id))
	b.requireFewLateStarts()
}

// requireFewLateStarts checks how often tasks started after the third crash under them.
func (b *simCell) requireFewLateStarts() {
	b.t.Helper()
	for n, late := range b.lateStarts {
		require.LessOrEqual(b.t, late, maxLateStarts, "starts of %s after three crashes", n)
	}
}

// submitTimed submits a timed job.
func (b *simCell) submitTimed(id string, repeat flow.Repeat, step flow.Step) {
	spec := flow.Spec{ID: id, Queue: b.queues[0], Steps: []flow.Step{step}, Repeat: repeat}
	require.NoError(b.t, spec.Check())
	b.specs[id] = spec
	b.step(sched.Submit{Spec: spec})
}

// A task crashes each worker that starts it. If it were restarted without limit, it would take down
// the whole cell.
func TestCrashingTaskFailsItsJob(t *testing.T) {
	kinds := []struct {
		name string
		step func() flow.Step
	}{
		{"plain", func() flow.Step { return scan(1) }},
		{"several", func() flow.Step { return scan(3) }},
		{"gang", func() flow.Step {
			st := bulk(3)
			st.Gang, st.Size = true, cell.Size{CPU: 40_000, Mem: 32 << 30}
			return st
		}},
		{"shared_gang", func() flow.Step {
			st := bulk(3)
			st.Gang = true
			return st
		}},
		{"copies", func() flow.Step {
			st := scan(1)
			st.AllowCopies = true
			return st
		}},
		{"lasting", func() flow.Step {
			st := scan(1)
			st.LongRunning = true
			return st
		}},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			b := newSimCell(t, 8)
			b.copies = k.step().AllowCopies
			b.markCrashing("bad")
			b.advance(100 * time.Millisecond)
			b.submit("bad", "scan", k.step())
			b.advance(100 * time.Second)
			b.requireFailed("bad")
			require.Empty(t, b.violations)
			require.LessOrEqual(t, b.endedIncarnations, 9)
			require.Len(t, b.failedNotes, 1)
			require.Contains(t, b.failedNotes[0].Detail, "bad.0.0.")
		})
	}
}

// Each round of a timed job crashes its workers.
func TestCrashingTimedJobFails(t *testing.T) {
	b := newSimCell(t, 8)
	b.markCrashing("bad")
	b.submitTimed("bad", flow.Repeat{Count: 30, First: b.now.Add(time.Second), Every: 3 * time.Second}, scan(1))
	b.advance(100 * time.Second)
	b.requireFailed("bad")
	require.LessOrEqual(t, b.endedIncarnations, 9)
}

// Guards against crash counts that start again from zero with each new leader.
func TestCrashCountSurvivesLeaderChange(t *testing.T) {
	for _, copies := range []bool{false, true} {
		for _, after := range []time.Duration{30 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprintf("copies_%t_%s", copies, after), func(t *testing.T) {
				b := newSimCell(t, 8)
				b.copies = copies
				b.markCrashing("bad")
				st := scan(1)
				st.AllowCopies = copies
				b.advance(100 * time.Millisecond)
				b.submit("bad", "scan", st)
				ended := 0
				for range 3000 {
					b.advance(50 * time.Millisecond)
					if b.endedIncarnations > ended {
						ended = b.endedIncarnations
						b.advance(after)
						b.takeover()
					}
				}
				b.requireFailed("bad")
				require.LessOrEqual(t, b.endedIncarnations, 5)
				require.Empty(t, b.violations)
			})
		}
	}
}

// Guards against healthy jobs failing because they run beside crashing ones.
func TestGoodJobsCompleteBesideCrashingTasks(t *testing.T) {
	for _, copies := range []bool{false, true} {
		t.Run(fmt.Sprintf("copies_%t", copies), func(t *testing.T) {
			b := newSimCell(t, 8)
			b.copies = copies
			b.markCrashing("bad0", "bad1")
			b.advance(100 * time.Millisecond)
			bad := scan(3)
			bad.AllowCopies = copies
			b.submit("bad0", "scan", bad)
			b.submit("bad1", "scan", bad)
			for i := range 20 {
				st := scan(6)
				st.AllowCopies = copies && i%2 == 0
				b.submit(fmt.Sprintf("good%02d", i), "scan", st, scan(2))
				b.advance(150 * time.Millisecond)
			}
			b.advance(120 * time.Second)
			b.requireFailed("bad0")
			b.requireFailed("bad1")
			for i := range 20 {
				require.Equal(t, flow.Completed, b.state(fmt.Sprintf("good%02d", i)), "good%02d", i)
			}
			require.LessOrEqual(t, b.endedIncarnations, 18)
			require.Empty(t, b.violations)
		})
	}
}

// Guards against starts of a crashing task that the next leader would not know of.
func TestCrashIsStoredBeforeNextStart(t *testing.T) {
	b := newSimCell(t, 8)
	b.copies = true
	b.markCrashing("bad")
	b.advance(100 * time.Millisecond)
	st := scan(1)
	st.AllowCopies = true
	b.storeDown = true
	b.submit("bad", "scan", st)
	b.advance(20 * time.Second)
	require.Equal(t, 1, total(b.starts))
	b.storeDown = false
	b.storeTime = func() time.Duration { return 600 * time.Millisecond }
	b.advance(100 * time.Second)
	b.requireFailed("bad")
}

// The reply to a start is lost because the task crashed its worker immediately.
func TestUnansweredStartOnCrashedWorkerCounts(t *testing.T) {
	b := newSimCell(t, 8)
	b.markCrashing("bad")
	b.advance(100 * time.Millisecond)
	for _, w := range b.sortedWorkers() {
		w.startDelay = time.Millisecond
	}
	b.submit("bad", "scan", scan(1))
	b.advance(100 * time.Second)
	b.requireFailed("bad")
}

// A long-running task runs for a long time between crashes of its workers that it did not cause.
func TestLastingTaskThatRanLongIsNotFailed(t *testing.T) {
	b := newSimCell(t, 4)
	st := scan(1)
	st.LongRunning = true
	b.submit("watch", "scan", st)
	for range 6 {
		b.advance(20 * time.Second)
		for _, w := range b.sortedWorkers() {
			if !w.dead && len(w.runs) > 0 {
				w.endIncarnation()
			}
		}
	}
	b.advance(20 * time.Second)
	require.Equal(t, flow.Active, b.state("watch"))
}

// Guards against counting workers as crashed that are drained, cut off, or answer again.
func TestWorkersThatDidNotCrashAreNotCounted(t *testing.T) {
	for _, copies := range []bool{false, true} {
		t.Run(fmt.Sprintf("copies_%t", copies), func(t *testing.T) {
			b := newSimCell(t, 12)
			b.copies = copies
			st := scan(1)
			st.AllowCopies, st.EstimatedTime = copies, 200*time.Second
			b.submit("long", "scan", st)
			for i := range 8 {
				b.advance(2 * time.Second)
				for _, w := range b.sortedWorkers() {
					if len(w.runs) == 0 || w.silent || w.dead || w.info.Draining {
						continue
					}
					if i%4 == 3 {
						w.info.Draining, w.info.Remaining = true, time.Second
						b.list()
						b.advance(time.Second)
						w.dead, w.replaced, w.runs = true, true, map[flow.Name]*fakeRun{}
						b.addWorker(fmt.Sprintf("y%02d", i), 80+i)
						b.list()
						break
					}
					w.silent = true
					b.advance(12 * time.Second)
					w.silent = false
					b.advance(time.Second)
					// The next run starts on another worker.
					w.info.Draining, w.info.Remaining = true, time.Minute
					b.list()
					break
				}
			}
			b.advance(250 * time.Second)
			require.Equal(t, flow.Completed, b.state("long"))
			require.Empty(t, b.failedNotes)
		})
	}
}

// Guards against failing a job because racks lose power under it.
func TestRackPowerLossIsNotCounted(t *testing.T) {
	b := newSimCell(t, 12)
	st := bulk(4)
	st.EstimatedTime = 12 * time.Second
	b.submit("job", "print", st)
	for i := range 5 {
		b.advance(4 * time.Second)
		rack := fmt.Sprintf("r%d", i%3)
		for _, w := range b.sortedWorkers() {
			if len(w.runs) > 0 && !w.dead {
				rack = w.info.Rack
			}
		}
		for _, w := range b.sortedWorkers() {
			if w.info.Rack == rack && !w.dead {
				w.endIncarnation()
			}
		}
	}
	b.advance(60 * time.Second)
	require.Equal(t, flow.Completed, b.state("job"))
	require.Empty(t, b.failedNotes)
	require.Empty(t, b.violations)
}

// Guards against copies that wait forever because an ended incarnation that may have crashed is no
// longer polled.
func TestUnlistedIncarnationIsAskedWhetherItEnded(t *testing.T) {
	b := newSimCell(t, 8)
	b.copies, b.restartExtra = true, 3*time.Second
	b.markCrashing("bad")
	st := scan(1)
	st.AllowCopies = true
	b.advance(100 * time.Millisecond)
	b.submit("bad", "scan", st)
	b.advance(15 * time.Second)
	b.requireFailed("bad")
	require.Equal(t, 3, b.endedIncarnations)
}

// Guards against failing a job for starts that reached a worker whose incarnation had already
// ended.
func TestStartAtEndedIncarnationIsNotCounted(t *testing.T) {
	b := newSimCell(t, 6)
	b.advance(100 * time.Millisecond)
	for _, w := range b.sortedWorkers()[:5] {
		w.dead, w.replaced = true, true
	}
	b.submit("job", "scan", scan(1))
	b.advance(10 * time.Second)
	require.Equal(t, flow.Completed, b.state("job"))
	require.Equal(t, 1, total(b.starts))
	require.Empty(t, b.failedNotes)
}
