package estimate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/estimate"
)

// Callers declare 2 s for runs that take 4 s, and 8 s for runs that take 8 s: what is declared says
// little about what a run takes. A run of 4 s that is declared is expected to take what lies between.
func ExampleTimes() {
	times := estimate.NewTimes(10)
	fmt.Println(times.Expect("print", 4*time.Second).Median)
	for range 500 {
		times.Record("print", 2*time.Second, 4*time.Second)
		times.Record("print", 8*time.Second, 8*time.Second)
	}
	d := times.Expect("print", 4*time.Second)
	fmt.Println(d.Median.Round(100*time.Millisecond), times.Expect("scan", 4*time.Second).Measured)
	// Output:
	// 4s
	// 5.7s false
}

// load generates runs whose logarithms have a linear relation.
type load struct {
	slope, offset, spread float64
	// tail is the share of runs that take tailFactor times as long.
	tail, tailFactor float64
}

func (l load) record(times *estimate.Times, r *rand.Rand, runs int) {
	for range runs {
		x := r.NormFloat64() * 0.7
		y := l.offset + l.slope*x + l.spread*r.NormFloat64()
		if r.Float64() < l.tail {
			y += math.Log(l.tailFactor)
		}
		times.Record("q", inSeconds(math.Exp(x)), inSeconds(math.Exp(y)))
	}
}

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// The regression must find the relation of each queue, and its spread, whether declared times say
// much, little or nothing about run times, and although a few runs in a hundred take five times as
// long. Without clipping, the tail would triple the narrowest spread.
func TestTimesFindTheRelationOfAQueue(t *testing.T) {
	for _, slope := range []float64{0, 0.4, 1} {
		for _, spread := range []float64{0.15, 0.55, 0.95} {
			for _, tail := range []float64{0, 0.04} {
				times, r := estimate.NewTimes(100), rand.New(rand.NewPCG(1, 2))
				load{slope: slope, offset: 0.3, spread: spread, tail: tail, tailFactor: 5}.record(times, r, 4000)
				name := fmt.Sprintf("slope %v, spread %v, tail %v", slope, spread, tail)
				for _, x := range []float64{-1, 0, 1} {
					d := times.Expect("q", inSeconds(math.Exp(x)))
					require.InDelta(t, 0.3+slope*x, math.Log(d.Median.Seconds()), 0.17, "%s: expected time at %v", name, x)
					require.InDelta(t, spread, d.Spread, 0.06+0.15*spread, name)
					require.True(t, d.Measured)
				}
				require.InDelta(t, slope, times.Queue("q").Slope(), 0.12, name)
			}
		}
	}
}

// The tail must not move the estimate while there are only as many runs as are needed to use it.
func TestTailDoesNotMoveTheFirstEstimate(t *testing.T) {
	for seed := range uint64(20) {
		times, r := estimate.NewTimes(30), rand.New(rand.NewPCG(seed, 3))
		load{slope: 1, spread: 0.15, tail: 0.07, tailFactor: 8}.record(times, r, 30)
		require.InDelta(t, 1, times.Expect("q", time.Second).Median.Seconds(), 0.15, "seed %d", seed)
	}
}

// A queue's callers begin to send work that takes four times as long. An estimate that keeps old
// runs, or takes all new ones for a tail, would stay wrong.
func TestTimesFollowAChange(t *testing.T) {
	times, r := estimate.NewTimes(30), rand.New(rand.NewPCG(4, 5))
	load{slope: 1, spread: 0.3}.record(times, r, 3000)
	load{slope: 1, spread: 0.3, offset: math.Log(4)}.record(times, r, 3000)
	require.InDelta(t, 4, times.Expect("q", time.Second).Median.Seconds(), 0.6)
}

// A slope above one or below zero would send expected times of rare declared times far off, so it is
// bounded however the runs lie.
func TestSlopeIsBounded(t *testing.T) {
	for _, slope := range []float64{-2, 3} {
		times, r := estimate.NewTimes(30), rand.New(rand.NewPCG(6, 7))
		load{slope: slope, spread: 0.1}.record(times, r, 2000)
		require.Equal(t, min(max(slope, 0), 1), times.Queue("q").Slope())
	}
}

// A new leader measures bulk of 4.8 s, of which 200 runs begin in a second. The short ones end first,
// so that an estimate from the first that end would be a third of what runs take.
func TestFirstEstimateIsNotThatOfShortRuns(t *testing.T) {
	for _, spread := range []float64{0.56, 0.97} {
		for seed := range uint64(5) {
			q, r := estimate.NewTimes(100).Queue("q"), rand.New(rand.NewPCG(seed, 10))
			began := time.Unix(1_000_000, 0)
			type run struct {
				began time.Time
				took  time.Duration
			}
			var runs []run
			for i := range 4000 {
				runs = append(runs, run{began.Add(time.Duration(i) * 5 * time.Millisecond), inSeconds(4.8 * math.Exp(spread*r.NormFloat64()))})
			}
			slices.SortFunc(runs, func(a, b run) int { return a.began.Add(a.took).Compare(b.began.Add(b.took)) })
			for _, run := range runs {
				q.RecordLater(run.began, 4*time.Second, run.took)
				if q.Settle(run.began.Add(run.took)) {
					break
				}
			}
			require.InDelta(t, 4.8, q.Expect(4*time.Second).Median.Seconds(), 1.7, "spread %v, seed %d", spread, seed)
		}
	}
}

// Runs without a declared time must not be expected to take no time, nor make the estimate for
// declared ones wrong. Neither must runs that end at once.
func TestUndeclaredTimes(t *testing.T) {
	times := estimate.NewTimes(10)
	require.Equal(t, estimate.Distribution{Spread: 1}, times.Expect("q", 0))
	for range 10 {
		times.Record("q", 0, 3*time.Second)
		times.Record("q", time.Second, 2*time.Second)
		times.Record("z", time.Second, 0)
	}
	require.InDelta(t, 3, times.Expect("q", 0).Median.Seconds(), 0.01)
	require.InDelta(t, 2, times.Expect("q", time.Second).Median.Seconds(), 0.01)
	require.InDelta(t, 0.001, times.Expect("z", time.Second).Median.Seconds(), 0.0001)
}

// What is derived from an estimate is cached until the version changes, so the version must stand
// still while the estimate does, or each ended run would invalidate hundreds of cached values.
func TestVersionChangesRarely(t *testing.T) {
	times, r := estimate.NewTimes(100), rand.New(rand.NewPCG(8, 9))
	q := times.Queue("q")
	load{slope: 0.5, spread: 0.55}.record(times, r, 99)
	require.Zero(t, q.Version())
	load{slope: 0.5, spread: 0.55}.record(times, r, 5000)
	require.Positive(t, q.Version())
	require.Less(t, q.Version(), 120, "changes within 5000 runs")
}

func TestDistribution(t *testing.T) {
	d := estimate.Distribution{Median: 10 * time.Second, Spread: 0.5}
	require.InDelta(t, 10, d.Quantile(0.5).Seconds(), 0.001)
	require.InDelta(t, 10*math.Exp(0.5*1.2816), d.Quantile(0.9).Seconds(), 0.01)
	require.InDelta(t, 10*math.Exp(0.125), d.Mean().Seconds(), 0.001)
	require.Equal(t, 20*time.Second, d.Scale(2).Median)
	require.Equal(t, d.Median, d.Remaining(0))
	// The longer a run has taken already, the later it is expected to end.
	for _, took := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		require.Greater(t, took+d.Remaining(took), max(d.Median-time.Millisecond, took), "after %v", took)
	}
	require.Zero(t, d.Remaining(10*time.Hour))
	require.Equal(t, 4*time.Second, estimate.Distribution{Median: 10 * time.Second}.Remaining(6*time.Second))
}

func BenchmarkRecord(b *testing.B) {
	times, r := estimate.NewTimes(100), rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		times.Record("q", inSeconds(1+r.Float64()), inSeconds(1+r.Float64()))
	}
}

// Runs end after a second that declare a day. Guards against keeping all of them for three days.
func TestRunsThatWaitToBeRecordedAreBounded(t *testing.T) {
	all := estimate.NewTimes(100)
	now := time.Unix(1_000_000, 0)
	for range 12_000 {
		all.Queue("q").RecordLater(now, 24*time.Hour, time.Second)
	}
	all.Settle(now.Add(time.Second))
	require.Equal(t, 2000, all.Queue("q").Runs())
	require.InDelta(t, 1, all.Expect("q", 24*time.Hour).Median.Seconds(), 0.1)
}
