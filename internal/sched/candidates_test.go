package sched_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The leader's processor bounds how many tasks a cell starts. Guards against queries to the policy
// service that take the leader more work the more workers have free capacity.
func TestWorkOfAQueryDoesNotGrowWithTheCell(t *testing.T) {
	examined := func(workers int) float64 {
		kinds := hallWorkloads()[:1]
		kinds[0].rate /= 5
		b := newHallPart(t, kinds, workers, 30)
		b.submitHallArrivals(rand.New(rand.NewPCG(1, 2)), kinds, 5*time.Second)
		b.advance(5 * time.Second)
		require.Empty(t, b.violations)
		return float64(b.core.ExaminedForTest()) / float64(len(b.specs))
	}
	require.Less(t, examined(2400), 1.5*examined(600), "workers considered for each job")
}
