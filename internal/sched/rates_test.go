package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/sched"
)

// newRateCell returns a cell in which the organisation "small" has a rate of one job per second and
// "large" has none.
func newRateCell(t *testing.T) *simCell {
	b := newSimCell(t, 4)
	b.quotas = map[string]cell.Size{"small": {}, "large": {}}
	b.setWeights(map[string]float64{"small": 1})
	return b
}

func (b *simCell) setWeights(all map[string]float64) {
	b.weights = all
	b.step(sched.Queues{Version: 2, All: b.queues, Quotas: b.quotas, Weights: all})
}

// send submits jobs of an organisation at a constant rate.
func (b *simCell) send(organisation string, first, jobs int, every time.Duration) {
	b.organisation = organisation
	for i := first; i < first+jobs; i++ {
		b.submit(fmt.Sprintf("%s%02d", organisation, i), "scan", scan(1))
		b.advance(every)
	}
}

// marked lists the numbers of an organisation's jobs that are marked as beyond its rate.
func (b *simCell) marked(organisation string, jobs int) (all []int) {
	for i := range jobs {
		if b.core.JobForTest(fmt.Sprintf("%s%02d", organisation, i)).BeyondRate {
			all = append(all, i)
		}
	}
	return all
}

// Guards against a burst of one organisation that is not marked, and against marks on jobs of
// others.
func TestBurstOfAnOrganisationIsMarked(t *testing.T) {
	b := newRateCell(t)
	b.send("small", 0, 12, 200*time.Millisecond)
	b.send("large", 0, 40, 10*time.Millisecond)
	require.Equal(t, []int{4, 6, 7, 8, 9, 11}, b.marked("small", 12))
	require.Empty(t, b.marked("large", 40))
}

// Guards against a successor that forgets who exceeded its rate, or that takes jobs accepted while
// nobody led for a burst.
func TestSuccessorRebuildsTheMarks(t *testing.T) {
	b := newRateCell(t)
	b.send("small", 0, 12, 200*time.Millisecond)
	b.advance(time.Second)
	want := b.marked("small", 12)
	b.takeover()
	require.Equal(t, want, b.marked("small", 12))
	b.organisation = "small"
	b.submit("small12", "scan", scan(1))
	b.submit("small13", "scan", scan(1))
	require.Equal(t, append(want, 13), b.marked("small", 14), "the tokens of the former term are used up")
	b.advance(5 * time.Second)
	b.send("small", 14, 4, 0)
	require.Equal(t, append(want, 13), b.marked("small", 18))
}

// Guards against a change of the table that changes the marks of accepted jobs.
func TestChangedWeightAffectsOnlyLaterJobs(t *testing.T) {
	b := newRateCell(t)
	b.send("small", 0, 6, 0)
	b.setWeights(map[string]float64{"large": 0.5})
	b.send("small", 6, 20, 0)
	b.send("large", 0, 6, 0)
	require.Equal(t, []int{4, 5}, b.marked("small", 26))
	require.Equal(t, []int{4, 5}, b.marked("large", 6))
	require.Empty(t, b.violations)
}
