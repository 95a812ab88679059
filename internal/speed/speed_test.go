package speed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/speed"
)

// recordSteps records steps of ten tasks whose work differs widely from step to step, on random
// workers, of which each third one is of kind b and takes twice as long. factor is the time factor
// of single workers.
func recordSteps(m *speed.Model, r *rand.Rand, steps, workers int, factor map[int]float64) {
	for i := range steps {
		work := time.Duration((0.2 + 3*r.Float64()) * float64(time.Second))
		for range 10 {
			n := r.IntN(workers)
			took := time.Duration(float64(work) * (0.85 + 0.3*r.Float64()))
			kind := "a"
			if n%3 == 2 {
				kind, took = "b", 2*took
			}
			if f, ok := factor[n]; ok {
				took = time.Duration(f * float64(took))
			}
			if r.IntN(100) < 3 {
				took *= 7
			}
			m.Record(fmt.Sprint(i), speed.Run{Worker: fmt.Sprint("w", n), Kind: kind, Took: took})
		}
		m.Complete(fmt.Sprint(i))
	}
}

// Load: two kinds of workers under jobs whose lengths differ by a factor of ten, with a tail.
func TestSlowKindIsKnownAfterAFewSteps(t *testing.T) {
	for seed := range uint64(20) {
		m := speed.New(nil)
		recordSteps(m, rand.New(rand.NewPCG(seed, 1)), 12, 90, nil)
		require.InDelta(t, 2, m.KindFactor("b"), 0.5, "seed %d", seed)
		require.InDelta(t, 1, m.KindFactor("a"), 0.01, "seed %d", seed)
		require.InDelta(t, 2, m.Factor("w-new", "b"), 0.5, "a new worker has the factor of its kind")
	}
}

// Guards against one worker that has turned slow being taken for a slow kind, or not being noticed.
func TestSlowWorkerIsToldFromSlowKind(t *testing.T) {
	for seed := range uint64(20) {
		m := speed.New(nil)
		recordSteps(m, rand.New(rand.NewPCG(seed, 2)), 60, 30, map[int]float64{0: 4})
		require.InDelta(t, 1, m.KindFactor("a"), 0.01, "seed %d", seed)
		require.Greater(t, m.Factor("w0", "a"), 2.0, "seed %d", seed)
		require.Less(t, m.Factor("w3", "a"), 1.5, "seed %d", seed)
		m.ForgetWorker("w0")
		require.InDelta(t, 1, m.Factor("w0", "a"), 0.01, "a later incarnation may be sound")
	}
}

// Guards against estimates that drift while nearly all steps run on one kind of workers, as they do
// once tasks prefer it.
func TestFactorsStayWhileKindsRarelyMix(t *testing.T) {
	for seed := range uint64(10) {
		m, r := speed.New(map[string]float64{"a": 1, "b": 2}), rand.New(rand.NewPCG(seed, 4))
		for step := range 2000 {
			work, mixed, kind := 0.2+3*r.Float64(), step%20 == 0, "a"
			if step%5 == 1 {
				kind = "b"
			}
			for i := range 10 {
				k, factor := kind, 1.0
				if mixed && i < 2 {
					k = "b"
				}
				if k == "b" {
					factor = 2
				}
				took := time.Duration(work * factor * (0.85 + 0.3*r.Float64()) * float64(time.Second))
				m.Record(fmt.Sprint(step), speed.Run{Worker: fmt.Sprint(k, r.IntN(30)), Kind: k, Took: took})
			}
			m.Complete(fmt.Sprint(step))
		}
		require.InDelta(t, 2, m.KindFactor("b"), 0.3, "seed %d", seed)
	}
}

// Guards against a successor that knows nothing of the kinds until jobs have ended under it.
func TestNextLeaderStartsWithReportedKinds(t *testing.T) {
	m := speed.New(nil)
	recordSteps(m, rand.New(rand.NewPCG(3, 1)), 30, 90, nil)
	next := speed.New(m.Kinds())
	require.InDelta(t, m.KindFactor("b"), next.KindFactor("b"), 1e-9)
	next.Adopt(map[string]float64{"a": 9, "b": 9, "c": -1})
	require.InDelta(t, m.KindFactor("b"), next.KindFactor("b"), 1e-9)
	require.InDelta(t, 1, next.KindFactor("c"), 1e-9)
}

// Guards against runs that say nothing: too short, too few of a step, or of unknown workers.
func TestNothingIsKnownFromTooFewRuns(t *testing.T) {
	m := speed.New(nil)
	for i := range 4 {
		m.Record("s", speed.Run{Worker: "w", Kind: "a", Took: time.Duration(i+1) * time.Second})
	}
	for range 50 {
		m.Record("t", speed.Run{Worker: "v", Kind: "b", Took: time.Millisecond})
	}
	m.Complete("s")
	m.Complete("t")
	require.InDelta(t, 1, m.Factor("w", "a"), 1e-9)
	require.InDelta(t, 1, m.Factor("v", "b"), 1e-9)
	require.Empty(t, m.Kinds())
}

// A worker ends while a step of which it has run tasks goes on. Guards against a factor that is kept
// for good for an incarnation that has ended.
func TestForgottenWorkerStaysForgotten(t *testing.T) {
	m := speed.New(nil)
	for i := range 30 {
		r := speed.Run{Worker: fmt.Sprint("w", i%6), Kind: "a", Took: time.Second}
		if r.Worker == "w0" {
			r.Took = 2 * time.Second
		}
		m.Record("s", r)
	}
	m.ForgetWorker("w0")
	m.Complete("s")
	require.InDelta(t, 1, m.Factor("w0", "a"), 1e-9)
}

func ExampleModel() {
	m := speed.New(nil)
	for step := range 8 {
		for i := range 6 {
			r := speed.Run{Worker: fmt.Sprint("w", i), Kind: "old", Took: 3 * time.Second}
			if i > 2 {
				r.Kind, r.Took = "new", 2*time.Second
			}
			m.Record(fmt.Sprint(step), r)
		}
		m.Complete(fmt.Sprint(step))
	}
	fmt.Printf("old %.1f, new %.1f\n", m.KindFactor("old"), m.KindFactor("new"))
	// Output: old 1.5, new 1.0
}

// Load: 1,100 workers with a label of their own each, so that each is a kind. A placement compares all
// of them, and a leader on a fifth of a core has no time to compare each with each.
func BenchmarkFactorWithManyKinds(b *testing.B) {
	m := speed.New(nil)
	for step := range 200 {
		for i := range 60 {
			name := fmt.Sprint("w", (step*60+i)%1100)
			m.Record(fmt.Sprint(step), speed.Run{Worker: name, Kind: name, Took: time.Second})
		}
		m.Complete(fmt.Sprint(step))
	}
	for b.Loop() {
		for i := range 1100 {
			m.Factor("", fmt.Sprint("w", i))
		}
	}
}
