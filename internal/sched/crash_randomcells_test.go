package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// Guards against healthy jobs failing because they run beside crashing ones, in random cells.
func TestGoodJobsCompleteInRandomCellsWithCrashes(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			b := newSimCell(t, 6+r.IntN(8))
			b.copies = r.IntN(2) == 0
			b.markCrashing("bad0", "bad1")
			b.restartExtra = time.Duration(r.IntN(3000)) * time.Millisecond
			b.advance(time.Duration(r.IntN(1000)) * time.Millisecond)
			bad := scan(3)
			bad.AllowCopies = b.copies
			at := []int{r.IntN(20), r.IntN(20)}
			for i := range 20 {
				for k := range at {
					if at[k] == i {
						b.submit(fmt.Sprintf("bad%d", k), "scan", bad)
					}
				}
				st := scan(6)
				st.AllowCopies = b.copies && i%2 == 0
				st.EstimatedTime = jitter(r, 2*time.Second)
				b.submit(fmt.Sprintf("good%02d", i), "scan", st, scan(2))
				b.advance(time.Duration(r.IntN(300)) * time.Millisecond)
			}
			b.advance(60 * time.Second)
			b.requireFailed("bad0")
			b.requireFailed("bad1")
			for i := range 20 {
				id := fmt.Sprintf("good%02d", i)
				require.Equal(t, flow.Completed, b.state(id), id)
			}
			require.LessOrEqual(t, b.endedIncarnations, 18)
			require.Empty(t, b.violations)
		})
	}
}
