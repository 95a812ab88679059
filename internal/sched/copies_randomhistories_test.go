package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pollencroft/internal/flow"
)

// Guards against jobs that never end, overfilled workers and tasks that are not kept apart, in random
// histories whose steps allow copies, are gangs and keep their tasks apart at random.
func TestRandomHistoriesWithCopies(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r, own := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 4))
			b := newSimCell(t, 3+r.IntN(7))
			b.copies, b.alter = true, func(spec *flow.Spec) {
				for i := range spec.Steps {
					varyStep(own, &spec.Steps[i])
				}
			}
			b.playHistory(r, nil, sizeRand(seed), func() {})
		})
	}
}

// varyStep draws whether a step allows copies, is a gang and keeps its tasks apart. A gang fits on
// three workers.
func varyStep(r *rand.Rand, st *flow.Step) {
	st.AllowCopies = r.IntN(3) > 0
	st.Gang = st.Gang || r.IntN(4) == 0
	if r.IntN(2) == 0 {
		st.MaxPerWorker = (st.Tasks + 2) / 3
	}
}
