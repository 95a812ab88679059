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

// newFullCell returns a cell whose bulk queue has an objective, and of two organisations that may send
// a job every two seconds each.
func newFullCell(t *testing.T) *simCell {
	b := newSimCell(t, 12)
	b.queues[1].Stretch, b.queues[1].Slack = 2.2, 1200*time.Millisecond
	b.weights = map[string]float64{"quiet": 0.5, "busy": 0.5}
	b.step(sched.Queues{Version: 2, All: b.queues, Weights: b.weights})
	return b
}

// submitAs submits a job of two steps for an organisation, and returns when it has to end.
func (b *simCell) submitAs(organisation, id string) time.Time {
	b.organisation = organisation
	b.submit(id, "print", bulk(6), bulk(6))
	return b.now.Add(time.Duration(2.2*12*float64(time.Second)) + 1200*time.Millisecond)
}

// Load: one organisation sends seven times its rate for fifteen seconds, so that bulk arrives at
// nearly three times the cell's capacity. In order of acceptance the jobs of the other one, which
// stays within its rate, wait behind it until they are late.
func TestOrganisationBeyondItsRateMakesNoOthersLate(t *testing.T) {
	b := newFullCell(t)
	dueAt := map[string]time.Time{}
	for i := range 30 {
		if i < 15 {
			for k := range 4 {
				b.submitAs("busy", fmt.Sprintf("busy%02d-%d", i, k))
			}
		}
		if i%2 == 0 {
			id := fmt.Sprintf("quiet%02d", i)
			dueAt[id] = b.submitAs("quiet", id)
		}
		b.advance(time.Second)
	}
	late := 0
	for b.now.Before(dueAt["quiet28"]) {
		b.advance(250 * time.Millisecond)
		for id, at := range dueAt {
			if !b.now.Before(at) {
				if !b.state(id).Final() {
					late++
				}
				delete(dueAt, id)
			}
		}
	}
	require.LessOrEqual(t, late, 1)
	require.Empty(t, b.violations)
}

// Guards against a successor that decides otherwise than its predecessor in the middle of a shortage:
// the jobs whose first steps have run must go on first.
func TestSelectionOutlivesTheLeader(t *testing.T) {
	b := newFullCell(t)
	for i := range 30 {
		b.submitAs("quiet", fmt.Sprintf("j%02d", i))
	}
	b.advance(8 * time.Second)
	begun := map[string]bool{}
	for n := range b.starts {
		begun[n.Job] = true
	}
	b.takeover()
	b.advance(100 * time.Millisecond)
	b.advance(16 * time.Second)
	for id := range begun {
		require.Equal(t, flow.Completed, b.state(id), id)
	}
	require.Empty(t, b.violations)
}

// Guards against starvation of a job whose queue has no objective: it cannot miss one, so it never
// counts as late or starved, and must not wait behind all jobs that have one.
func TestJobWithoutAnObjectiveIsNotDropped(t *testing.T) {
	b := newFullCell(t)
	b.queues = append(b.queues, flow.Queue{Name: "plain", Service: "pass", Rank: 2, Attempts: 4})
	b.setWeights(b.weights)
	b.organisation = "quiet"
	for i := range 40 {
		if i == 10 {
			b.submit("plain", "plain", bulk(6))
		}
		for k := range 4 {
			b.submitAs("busy", fmt.Sprintf("busy%02d-%d", i, k))
		}
		b.advance(time.Second)
	}
	require.Equal(t, flow.Completed, b.state("plain"))
	require.Empty(t, b.violations)
}

// Guards against starvation while on-time-first is switched off: no job counts as starved then, so
// one that is beyond its organisation's rate must not wait for all others.
func TestNothingIsDroppedWithoutOnTimeFirst(t *testing.T) {
	t.Setenv("POLLENCROFT_OFF", string(sched.OnTimeFirst))
	b := newFullCell(t)
	for i := range 40 {
		if i == 4 {
			for k := range 8 {
				b.submitAs("busy", fmt.Sprintf("busy%d", k))
			}
		}
		for k := range 3 {
			b.submitAs("other", fmt.Sprintf("other%02d-%d", i, k))
		}
		b.advance(time.Second)
	}
	for i := range 8 {
		require.Equal(t, flow.Completed, b.state(fmt.Sprintf("busy%d", i)), i)
	}
	require.Empty(t, b.violations)
}

// One job takes far longer than declared in a cell that is otherwise idle, and an organisation waits
// for its quota. Neither uses all that the cell has. Guards against a usable capacity that is measured
// then: it falls to nearly zero, and the next jobs are dropped although they fit.
func TestUsableCapacityIsMeasuredOnlyWhileItIsInUse(t *testing.T) {
	b := newFullCell(t)
	b.queues[0].Stretch, b.queues[0].Slack = 1.5, 300*time.Millisecond
	b.quotas = map[string]cell.Size{"quiet": {CPU: 70_000, Mem: 1 << 40}}
	b.setWeights(b.weights)
	b.organisation = "busy"
	b.submitReal("long", []flow.Step{scan(1)}, 200*time.Second)
	b.advance(10 * time.Second)
	require.InDelta(t, 0.92, b.core.UsableShareForTest("pass"), 1e-9)
	for i := range 10 {
		b.submitAs("quiet", fmt.Sprintf("quiet%d", i))
	}
	b.advance(15 * time.Second)
	require.InDelta(t, 0.92, b.core.UsableShareForTest("pass"), 1e-9)
	require.Empty(t, b.violations)
}

// Guards against a selection that depends on the order of a map: sums of floating-point numbers do.
func TestOccupiedTimeIsDeterministic(t *testing.T) {
	running, seconds := map[int]float64{}, map[int]float64{}
	for rank := range 12 {
		running[rank], seconds[rank] = float64(rank), 1e9/float64(rank+3)
	}
	want := sched.OccupiedForTest(running, seconds)
	for range 200 {
		require.Equal(t, want, sched.OccupiedForTest(running, seconds))
	}
}
