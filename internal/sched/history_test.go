package sched_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

var (
	histories = flag.Int("histories", 60, "how many random histories to play")
	firstSeed = flag.Uint64("seed", 1, "seed of the first history")
)

// failedSeeds are seeds that failed before, each with its cause.
var failedSeeds = []uint64{}

// Plays a leader, workers and the store with random overlapping faults: leaders end between any two
// steps; workers fall silent, die, leave, fail, slow down and carry starts out late; the store is
// down; jobs are cancelled. No task may run twice at the same time or after its end was
// acknowledged, no worker may be overfilled, and once all faults have ended every job must end.
// Each seed is played again with workers that shrink and grow meanwhile, and with organisations
// whose quotas change: none may have more running than its quota allows. Some seeds are played again
// with steps that are kept apart: no worker may have more runs of a step than the step allows.
func TestRandomHistories(t *testing.T) {
	seeds := failedSeeds
	for i := range *histories {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runHistory(t, seed, nil, nil) })
		t.Run(fmt.Sprintf("%d_sizes", seed), func(t *testing.T) { runHistory(t, seed, nil, sizeRand(seed)) })
		t.Run(fmt.Sprintf("%d_quotas", seed), func(t *testing.T) { runQuotaHistory(t, seed) })
	}
	for _, seed := range apartSeeds(3) {
		t.Run(fmt.Sprintf("%d_apart", seed), func(t *testing.T) { runApartHistory(t, seed) })
	}
}

// Guards against a third start after the third crash, regardless of what each leader knew.
func TestRandomHistoriesWithCrashes(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runHistory(t, seed, rand.New(rand.NewPCG(seed, 2)), nil) })
	}
}

// sizeRand returns a random source for size changes, separate from that of the other faults so that
// these stay the same for a seed.
func sizeRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }

// quotaRand returns a random source for organisations and their quotas.
func quotaRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// runHistory plays the history of a seed. crashes is the random source for worker crashes and sizes
// that for size changes; nil means none.
func runHistory(t *testing.T, seed uint64, crashes, sizes *rand.Rand) {
	r := rand.New(rand.NewPCG(seed, 0))
	b := newSimCell(t, 3+r.IntN(7))
	b.pickCrashingJobs(crashes, seed)
	b.playHistory(r, crashes, sizes, func() {})
}

// playHistory plays a history on a cell; see runHistory. beforeStep is called before each step of the
// history.
func (b *simCell) playHistory(r, crashes, sizes *rand.Rand, beforeStep func()) {
	jobs := b.playFaults(r, crashes, sizes, beforeStep)
	b.endHistory(jobs, crashes)
}

// playFaults submits the jobs of a history, and returns them, while faults come and go.
func (b *simCell) playFaults(r, crashes, sizes *rand.Rand, beforeStep func()) map[string]bool {
	jobs := map[string]bool{}
	spare := 50
	for i := range 40 + r.IntN(40) {
		beforeStep()
		switch n := r.IntN(20); {
		case n < 6:
			id := fmt.Sprintf("s%02d", i)
			b.submit(id, "scan", scan(1+r.IntN(8)), scan(1+r.IntN(4)))
			jobs[id] = true
		case n < 9:
			id := fmt.Sprintf("b%02d", i)
			step := bulk(1 + r.IntN(6))
			step.Gang = r.IntN(5) == 0
			b.submit(id, "print", step)
			jobs[id] = true
		case n < 10:
			for _, id := range slices.Sorted(maps.Keys(jobs)) {
				if !b.state(id).Final() {
					b.cancel(id)
				}
				break
			}
		case n < 12:
			ends := b.core.UnstoredEnds()
			b.takeover()
			// Whichever host leads by then hears of these ends.
			b.after(time.Duration(i%7)*time.Second, func() { b.step(sched.PreviousEnds{All: ends}) })
			if r.IntN(2) == 0 {
				b.step(sched.PredecessorStopped{Since: b.now})
			}
		case n < 13:
			b.storeDown = !b.storeDown
			// A slow store completes its appends in any order.
			b.storeTime = nil
			if r.IntN(2) == 0 {
				b.storeTime = func() time.Duration { return time.Duration(1+r.IntN(600)) * time.Millisecond }
			}
		case n < 18:
			spare = b.injectFault(r, spare)
		}
		if crashes != nil {
			b.maybeCrashWorker(crashes)
		}
		b.advance(time.Duration(r.IntN(700)) * time.Millisecond)
		b.resizeRandomWorkers(sizes)
	}
	return jobs
}

// endHistory ends all faults and checks that the jobs end.
func (b *simCell) endHistory(jobs map[string]bool, crashes *rand.Rand) {
	t := b.t
	b.clearFaults()
	b.advance(90 * time.Second)
	maps.DeleteFunc(jobs, func(id string, _ bool) bool { return b.state(id).Final() })
	if crashes != nil {
		// The addresses of incarnations that ended under a previous leader are not known.
		b.advance(40 * time.Second)
	}
	for range 4 {
		if crashes == nil || !b.reportsBorn {
			break
		}
		// A worker gets no task for up to 12 s after each crash.
		maps.DeleteFunc(jobs, func(id string, _ bool) bool { return b.state(id).Final() })
		b.advance(time.Minute)
	}
	b.requireFewLateStarts()
	require.Empty(t, b.violations)
	for id := range jobs {
		state := b.state(id)
		require.True(t, state.Final(), "job %s is %s", id, state)
	}
}

// pickCrashingJobs draws which jobs crash their workers and how long these stay down.
func (b *simCell) pickCrashingJobs(r *rand.Rand, seed uint64) {
	if r == nil {
		return
	}
	b.restartExtra = time.Duration(r.IntN(4000)) * time.Millisecond
	share := 1 + r.Uint64N(8)
	b.crashesWorker = func(n flow.Name) bool { return xxhash.Sum64String(n.Job+fmt.Sprint(seed))%10 < share }
}

// maybeCrashWorker sometimes crashes a worker.
func (b *simCell) maybeCrashWorker(r *rand.Rand) {
	if r.IntN(12) > 0 {
		return
	}
	if w := b.sortedWorkers()[r.IntN(len(b.workers))]; !w.dead {
		w.endIncarnation()
	}
}

// injectFault applies a random fault to one worker. spare is the number of the last added worker.
func (b *simCell) injectFault(r *rand.Rand, spare int) int {
	all := b.sortedWorkers()
	w := all[r.IntN(len(all))]
	switch r.IntN(7) {
	case 0:
		w.silent = !w.silent
	case 1:
		w.dead = true
		spare++
		b.addWorker(fmt.Sprintf("x%02d", spare), spare).info.Size = w.originalSize()
	case 2:
		w.fails = !w.fails
	case 3:
		w.stalled = !w.stalled
	case 4:
		w.slowdown = []float64{1, 6}[r.IntN(2)]
	case 5:
		w.startDelay = time.Duration(r.IntN(2)) * time.Duration(r.IntN(6)) * time.Second
	case 6:
		w.info.Draining, w.info.Remaining = true, 3*time.Second
		spare++
		b.addWorker(fmt.Sprintf("x%02d", spare), spare).info.Size = w.originalSize()
	}
	b.list()
	return spare
}

// resizeRandomWorkers changes the size of up to two workers, down to no capacity, or restores their
// original size. It does nothing if sizes is nil.
func (b *simCell) resizeRandomWorkers(sizes *rand.Rand) {
	if sizes == nil {
		return
	}
	all := b.sortedWorkers()
	for range sizes.IntN(3) {
		w := all[sizes.IntN(len(all))]
		size := w.originalSize()
		switch sizes.IntN(5) {
		case 0:
		case 1:
			size = cell.Size{}
		case 2:
			size.Mem = int64(sizes.Float64() * float64(size.Mem))
		case 3:
			size = size.Scale(sizes.Float64())
		case 4:
			size = size.Scale(1 + sizes.Float64())
		}
		w.resize(size)
	}
}

// clearFaults ends all faults that can end, and after a while the runs that slow workers still have.
func (b *simCell) clearFaults() {
	b.storeDown, b.storeTime = false, nil
	for _, w := range b.sortedWorkers() {
		w.setSize(w.originalSize())
		w.silent, w.fails, w.stalled, w.slowdown, w.startDelay, w.holdDelay = false, false, false, 1, 0, 0
		for n, run := range w.runs {
			if !w.dead && !run.step.LongRunning {
				b.after(10*time.Second, func() {
					if w.runs[n] == run {
						w.end(n, run, sched.EndDone)
					}
				})
			}
		}
	}
	b.list()
}
