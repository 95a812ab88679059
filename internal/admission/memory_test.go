package admission_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/admission"
	"pollencroft/internal/flow"
)

// Guards against large jobs that fill the leader's memory, and against keeping small ones out with them.
func TestLargeJobsLeaveMemoryForSmallOnes(t *testing.T) {
	const limit = 100 << 20
	small := flow.Spec{Steps: []flow.Step{{Tasks: 4}, {Tasks: 20, After: []int{0}}}}
	large := flow.Spec{Steps: []flow.Step{{Tasks: 9000}}}
	for held, fits := range map[int64]struct{ small, large bool }{
		0:               {true, true},
		1:               {true, true},
		limit/4 - 1<<20: {true, false},
		limit / 2:       {true, false},
		limit * 9 / 10:  {true, false},
		limit:           {false, false},
	} {
		for spec, want := range map[*flow.Spec]bool{&small: fits.small, &large: fits.large} {
			err := admission.CheckMemory(*spec, held, limit)
			if want {
				require.NoError(t, err, "%d bytes held, %d tasks", held, spec.Steps[0].Tasks)
				continue
			}
			require.ErrorAs(t, err, new(*admission.MemoryError), "%d bytes held, %d tasks", held, spec.Steps[0].Tasks)
		}
	}
	// A job that needs more than its part is rejected only while others take memory.
	require.NoError(t, admission.CheckMemory(large, 0, 1<<20))
}
