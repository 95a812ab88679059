package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/incarnation"
	"pollencroft/internal/sched"
)

// bornCellWithEnds returns a cell whose workers have ended runs that were acknowledged, so that the
// numbers of the next incarnations' ends are below those that were read.
func bornCellWithEnds(t *testing.T, workers int) *simCell {
	b := newBornCell(t, workers)
	b.endSomeRuns()
	return b
}

// endSomeRuns lets each worker end some runs, and acknowledges their ends.
func (b *simCell) endSomeRuns() {
	b.advance(100 * time.Millisecond)
	b.submit("before", "scan", scan(12*len(b.workers)))
	b.advance(5 * time.Second)
	require.Equal(b.t, flow.Completed, b.state("before"))
	for _, w := range b.sortedWorkers() {
		require.Greater(b.t, w.lastEnd, int64(4))
	}
}

// requireCompletedWithin checks that a job completes within some time, and that no rule was broken.
func (b *simCell) requireCompletedWithin(id string, within time.Duration) {
	b.t.Helper()
	since := b.now
	for b.state(id) != flow.Completed && b.now.Sub(since) < within {
		b.advance(10 * time.Millisecond)
	}
	b.t.Logf("%s is %s after %s", id, b.state(id), b.now.Sub(since))
	require.Equal(b.t, flow.Completed, b.state(id))
	b.advance(30 * time.Second)
	require.Empty(b.t, b.violations)
}

// Guards against ends that are never read since the numbers of the next incarnation start again, and
// against a worker that gets no work although no order to its former incarnation is in flight.
func TestIdleWorkerRestartsUnderItsID(t *testing.T) {
	b := bornCellWithEnds(t, 1)
	b.worker("w00").restart(100 * time.Millisecond)
	b.advance(time.Second)
	b.submit("a", "scan", scan(3))
	b.requireCompletedWithin("a", 2*time.Second)
	require.Equal(t, 3, b.starts[flow.Name{Job: "a"}]+b.starts[flow.Name{Job: "a", Index: 1}]+b.starts[flow.Name{Job: "a", Index: 2}])
}

// Guards against runs that count as running, or done, in an incarnation that has ended.
func TestWorkerRestartsWithRuns(t *testing.T) {
	for _, entryAfter := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(entryAfter.String(), func(t *testing.T) {
			b := bornCellWithEnds(t, 2)
			b.submit("a", "print", bulk(4))
			b.advance(2 * time.Second)
			b.worker("w00").restart(entryAfter)
			b.worker("w01").restart(entryAfter)
			// No hold in flight acknowledges an end, so that the next incarnations get work at once.
			b.requireCompletedWithin("a", 11*time.Second)
			// One start may be sent to a former incarnation whose end is not known yet.
			require.LessOrEqual(t, b.starts[flow.Name{Job: "a"}], 3)
		})
	}
}

// Guards against a task that starts elsewhere while its first start, which had no answer, is carried
// out late by the next incarnation: before the stop reaches the worker, and after its answer, which
// the next incarnation does not know of.
func TestWorkerRestartsDuringAnUnansweredStart(t *testing.T) {
	for _, after := range []time.Duration{50 * time.Millisecond, 501 * time.Millisecond, 510 * time.Millisecond, 700 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			b := bornCellWithEnds(t, 2)
			b.lateStartsOfStopped = true
			b.worker("w00").startDelay, b.worker("w01").startDelay = 3*time.Second, 3*time.Second
			b.submit("a", "scan", flow.Step{Tasks: 1, Size: scan(1).Size, EstimatedTime: 20 * time.Second})
			b.advance(after)
			for _, id := range []string{"w00", "w01"} {
				b.worker(id).startDelay = 0
				b.worker(id).restart(100 * time.Millisecond)
			}
			b.requireCompletedWithin("a", 50*time.Second)
		})
	}
}

// Guards against a task that starts twice because its start was answered by the next incarnation,
// while it was tracked on the former one, whose end seemed to be the run's.
func TestWorkerRestartsBeforeAStartThatIsAnswered(t *testing.T) {
	for _, copies := range []bool{false, true} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			b := bornCellWithEnds(t, 2)
			b.worker("w00").restart(5 * time.Second)
			b.worker("w01").restart(5 * time.Second)
			b.submit("a", "scan", flow.Step{Tasks: 6, Size: scan(1).Size, EstimatedTime: 4 * time.Second, AllowCopies: copies})
			b.requireCompletedWithin("a", 30*time.Second)
			require.NotEmpty(t, b.carriedNotes)
			require.Contains(t, b.carriedNotes[0].Detail, "ago")
		})
	}
}

// restartWithLateHold restarts a worker to which a hold is on its way that acknowledges ends, and returns
// when the hold was sent at the latest.
func (b *simCell) restartWithLateHold(late time.Duration) time.Time {
	b.submit("first", "scan", scan(1))
	w := b.worker("w00")
	for n := w.lastEnd; w.lastEnd == n; {
		b.advance(time.Millisecond)
	}
	w.holdDelay = late
	b.advance(100 * time.Millisecond)
	last := b.now
	w.restart(100 * time.Millisecond)
	b.advance(200 * time.Millisecond)
	return last
}

// Guards against a hold to the former incarnation that makes the next one forget ends which nobody has
// read, so that their tasks run twice, and against a worker that gets no work until it cannot arrive.
func TestHoldToTheFormerIncarnationIsRefused(t *testing.T) {
	for _, late := range []time.Duration{2 * time.Second, 11 * time.Second, 20 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			b := bornCellWithEnds(t, 1)
			last := b.restartWithLateHold(late)
			b.submit("a", "scan", flow.Step{Tasks: 4, Size: scan(1).Size, EstimatedTime: last.Add(late).Sub(b.now) - 500*time.Millisecond})
			b.advance(100 * time.Millisecond)
			require.Equal(t, 5, total(b.starts)-12)
			// The ends are listed when the hold arrives, since they are not stored.
			b.storeDown, b.readsServed = true, true
			b.advance(last.Add(late).Sub(b.now) + time.Second)
			require.Len(t, b.worker("w00").ends, 4)
			b.takeover()
			b.storeDown = false
			b.requireCompletedWithin("a", 20*time.Second)
			require.Equal(t, 5, total(b.starts)-12)
		})
	}
}

// Guards against starts on an incarnation that may still forget ends because of a hold to the former
// one, which it would not refuse: the task's end would be lost, and the task run twice.
func TestNothingStartsWhileAHoldToTheFormerIncarnationMayArrive(t *testing.T) {
	const late = 11 * time.Second
	b := newBornCell(t, 1)
	b.storeEndDown = true
	b.endSomeRuns()
	last := b.restartWithLateHold(late)
	b.submit("a", "scan", scan(2))
	for b.starts[flow.Name{Job: "a"}] == 0 && b.now.Sub(last) < 30*time.Second {
		b.advance(10 * time.Millisecond)
	}
	t.Logf("started after %s", b.now.Sub(last))
	require.Greater(t, b.now.Sub(last), late, "the hold may arrive until then")
	require.Less(t, b.now.Sub(last), late+2*time.Second)
	b.requireCompletedWithin("a", 5*time.Second)
}

// Guards against a leader that takes a run for ended, or starts it twice, because its record names an
// incarnation that was replaced before, during or after the change of the leader.
func TestWorkerRestartsDuringALeaderChange(t *testing.T) {
	for _, startDelay := range []time.Duration{0, 3 * time.Second} {
		for _, listed := range []time.Duration{0, 800 * time.Millisecond, 4 * time.Second} {
			for _, change := range []time.Duration{0, 20 * time.Millisecond, 120 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
				t.Run(fmt.Sprint(startDelay, listed, change), func(t *testing.T) {
					b := bornCellWithEnds(t, 2)
					for _, id := range []string{"w00", "w01"} {
						b.worker(id).startDelay = startDelay
					}
					b.submit("a", "scan", flow.Step{Tasks: 3, Size: scan(1).Size, EstimatedTime: 5 * time.Second})
					b.advance(100 * time.Millisecond)
					for _, id := range []string{"w00", "w01"} {
						b.worker(id).startDelay = 0
						b.worker(id).restart(listed)
					}
					b.advance(change)
					b.takeover()
					b.advance(250 * time.Millisecond)
					b.takeover()
					b.requireCompletedWithin("a", 45*time.Second)
				})
			}
		}
	}
}

// Guards against a run of a former leader that begins in the next incarnation, which no leader has
// read yet, and is not found there or started again.
func TestStartOfAFormerLeaderBeginsInTheNextIncarnation(t *testing.T) {
	b := bornCellWithEnds(t, 2)
	for _, id := range []string{"w00", "w01"} {
		b.worker(id).startDelay = time.Second
	}
	b.submit("a", "scan", flow.Step{Tasks: 1, Size: scan(1).Size, EstimatedTime: 15 * time.Second})
	b.advance(100 * time.Millisecond)
	for _, id := range []string{"w00", "w01"} {
		b.worker(id).startDelay = 0
		b.worker(id).restart(time.Millisecond).silent = true
	}
	b.takeover()
	b.advance(3 * time.Second)
	name := flow.Name{Job: "a"}
	require.Equal(t, 1, b.starts[name])
	for _, id := range []string{"w00", "w01"} {
		b.worker(id).silent = false
	}
	b.requireCompletedWithin("a", 20*time.Second)
	require.Equal(t, 1, b.starts[name], "the run goes on")
	require.Len(t, b.carriedNotes, 1)
	require.Contains(t, b.carriedNotes[0].Detail, "by a former leader")
}

// Guards against a gang that goes on with one member fewer, or whose members run under different
// numbers, since one of its workers has restarted.
func TestWorkerRestartsInTheMiddleOfAGang(t *testing.T) {
	for _, startDelay := range []time.Duration{0, 2 * time.Second} {
		for _, after := range []time.Duration{30 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second} {
			for _, change := range []bool{false, true} {
				t.Run(fmt.Sprint(startDelay, after, change), func(t *testing.T) {
					b := bornCellWithEnds(t, 4)
					st := bulk(3)
					st.Gang, st.MaxPerWorker = true, 1
					for _, w := range b.sortedWorkers() {
						w.startDelay = startDelay
					}
					b.submit("a", "print", st)
					b.advance(after)
					for _, w := range b.sortedWorkers() {
						w.startDelay = 0
					}
					for _, id := range []string{"w00", "w01", "w02"} {
						if w := b.worker(id); len(w.runs) > 0 || startDelay > 0 {
							w.restart(200 * time.Millisecond)
							break
						}
					}
					if change {
						b.takeover()
					}
					b.requireCompletedWithin("a", 60*time.Second)
				})
			}
		}
	}
}

// Guards against a run that is no longer tracked and begins in the next incarnation, where it counts
// neither for the limit per worker nor for the capacity.
func TestUntrackedRunMayBeginInTheNextIncarnation(t *testing.T) {
	b, second, _ := overtakenBornCopy(t, 3*time.Second)
	next := second.restart(100 * time.Millisecond)
	next.silent, next.startDelay = false, 0
	require.Equal(t, 1, b.mostTogether(15*time.Second))
}

// Guards against an entry of a former incarnation that is listed after the next one's, and against a
// restart that is taken for the same incarnation because the clocks or numbers fit.
func TestEntryOfAFormerIncarnationIsIgnored(t *testing.T) {
	b := newBornCell(t, 1)
	b.advance(time.Second)
	former := b.worker("w00").info
	next := b.worker("w00").restart(0)
	b.advance(100 * time.Millisecond)
	b.step(sched.Workers{All: []sched.Worker{former}})
	b.submit("a", "scan", scan(1))
	b.advance(100 * time.Millisecond)
	require.Len(t, next.runs, 1)
	require.Empty(t, b.violations)
}

// Guards against a task that takes down one incarnation of a worker after the other: that they have
// the same ID must not hide the crashes.
func TestCrashesUnderTheSameIDCount(t *testing.T) {
	for _, copies := range []bool{false, true} {
		b := newBornCell(t, 8)
		b.copies = copies
		b.markCrashing("bad")
		b.advance(100 * time.Millisecond)
		st := scan(1)
		st.AllowCopies = copies
		b.submit("bad", "scan", st)
		b.advance(100 * time.Second)
		b.requireFailed("bad")
		require.Empty(t, b.violations)
	}
}

// Guards against a job that is given up because the worker of one start restarts again and again: the
// start is carried out once at most, so that one incarnation at most ended under its run.
func TestOneStartCountsForOneCrashOnly(t *testing.T) {
	for _, pause := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			b := bornCellWithEnds(t, 6)
			for _, w := range b.sortedWorkers() {
				w.startDelay = 11 * time.Second
			}
			b.submit("a", "scan", scan(1))
			b.advance(40 * time.Millisecond)
			id := incarnation.Parse(b.core.JobForTest("a").Rounds[0].Stages[0].Tasks[0].Worker).ID
			for range 4 {
				// What is stopped there can't be confirmed before the next restart.
				b.worker(id).restart(0).silent = true
				b.advance(pause)
			}
			b.worker(id).silent = false
			seen := map[int]int{}
			for _, a := range b.crashNotes {
				seen[a.Run]++
			}
			for run, n := range seen {
				require.Equal(t, 1, n, "run %d", run)
			}
			b.advance(3 * time.Second)
			require.NotEqual(t, flow.Failed, b.state("a"))
			b.requireCompletedWithin("a", 60*time.Second)
		})
	}
}

// Plays random histories whose workers restart under their IDs at any time, with orders that are
// carried out late, by the next incarnation too; see TestRandomHistories.
func TestRandomHistoriesWithRestartsUnderTheSameID(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRestartHistory(t, seed, nil) })
		t.Run(fmt.Sprintf("%d_crashes", seed), func(t *testing.T) { runRestartHistory(t, seed, rand.New(rand.NewPCG(seed, 5))) })
	}
}

// Plays the same while no greater fencing token can be used within a term.
func TestRandomHistoriesWithRestartsAndOneTokenForEachTerm(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r, restarts := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 4))
			b := newBornCell(t, 3+r.IntN(7))
			b.storeEndDown, b.endsPerReply = true, int(seed%4)
			b.playHistory(r, nil, nil, func() { b.restartRandomWorker(restarts, false) })
		})
	}
}

func runRestartHistory(t *testing.T, seed uint64, crashes *rand.Rand) {
	r, restarts := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 4))
	b := newBornCell(t, 3+r.IntN(7))
	b.pickCrashingJobs(crashes, seed)
	b.playHistory(r, crashes, nil, func() { b.restartRandomWorker(restarts, crashes != nil) })
}

// restartRandomWorker sometimes restarts a worker under its ID, or delays its orders by 2 to 12 s. If
// workers crash, those are the restarts: others would look like outages of racks, which rule out that
// a task is the cause.
func (b *simCell) restartRandomWorker(r *rand.Rand, crashes bool) {
	all := b.sortedWorkers()
	w := all[r.IntN(len(all))].current()
	late := 2*time.Second + time.Duration(r.IntN(10_000))*time.Millisecond
	switch n := r.IntN(9); {
	case n < 2 && !crashes:
		w.restart(time.Duration(r.IntN(1500)) * time.Millisecond)
	case n == 2:
		w.startDelay = late
	case n == 3:
		w.holdDelay = late
	case n == 4:
		w.startDelay, w.holdDelay = 0, 0
	}
}
