package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// earlyPlay cancels jobs and submits them later.
type earlyPlay struct {
	b *simCell
	r *rand.Rand
	// submitted are the jobs that were cancelled before they were submitted.
	submitted []string
	n         int
}

// beforeStep cancels a job in some steps, which comes within ten seconds.
func (e *earlyPlay) beforeStep() {
	if e.r.IntN(3) > 0 {
		return
	}
	e.n++
	id := fmt.Sprintf("e%02d", e.n)
	e.b.cancel(id)
	e.b.after(time.Duration(e.r.IntN(10_000))*time.Millisecond, func() {
		if e.b.leaderless {
			return
		}
		e.submitted = append(e.submitted, id)
		e.b.submit(id, "scan", scan(1+e.r.IntN(4)))
	})
}

// Guards against a job that runs although it was cancelled before it came, whatever happened to leaders,
// workers and the store in between.
func TestJobsCancelledBeforeTheyComeNeverRun(t *testing.T) {
	submitted := 0
	for i := range *histories / 2 {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			b := newSimCell(t, 3+r.IntN(7))
			e := &earlyPlay{b: b, r: rand.New(rand.NewPCG(seed, 5))}
			b.playHistory(r, nil, nil, e.beforeStep)
			b.advance(10 * time.Second)
			submitted += len(e.submitted)
			for _, id := range e.submitted {
				require.Equal(t, flow.Cancelled, b.state(id), id)
				for n := range b.starts {
					require.NotEqual(t, id, n.Job)
				}
			}
		})
	}
	require.Greater(t, submitted, *histories/2)
}

// forgotten returns the cancellations that a core forgets at a time.
func forgotten(core *sched.Sched, now time.Time) []sched.ForgetCancel {
	var all []sched.ForgetCancel
	for _, a := range core.Step(now, sched.Tick{}) {
		if f, ok := a.(sched.ForgetCancel); ok {
			all = append(all, f)
		}
	}
	return all
}

// Guards against cancellations of jobs that never come which are kept for good, for longer after each
// change of the leader, or not long enough.
func TestEarlyCancellationIsKeptForTheRetention(t *testing.T) {
	start, keep := time.Unix(1_000_000, 0), sched.DefaultLimits.Retention
	for name, at := range map[string]time.Time{
		"now": {}, "repeated": {}, "under_a_former_leader": start.Add(-keep / 2), "by_a_clock_that_is_ahead": start.Add(time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			core := sched.New(sched.DefaultLimits, 1, nil)
			core.Step(start, sched.Cancel{ID: "a", Organisation: "o", At: at})
			ends := start.Add(keep)
			switch name {
			case "under_a_former_leader":
				ends = at.Add(keep)
			case "repeated":
				core.Step(start.Add(keep/2), sched.Cancel{ID: "a", Organisation: "o", At: start.Add(keep / 2)})
				ends = start.Add(keep / 2).Add(keep)
			}
			require.Empty(t, forgotten(core, ends.Add(-time.Second)))
			require.Equal(t, []sched.ForgetCancel{{ID: "a", Organisation: "o"}}, forgotten(core, ends.Add(2*time.Second)))
			require.Empty(t, forgotten(core, ends.Add(keep)))
			core.Step(ends.Add(keep), sched.Submit{Spec: flow.Spec{ID: "a", Organisation: "o", Steps: []flow.Step{scan(1)}}})
			require.Equal(t, flow.Queued, core.JobForTest("a").State)
		})
	}
}

// Guards against the cancellation of one organisation that stops, or is dropped with, the job of
// another one.
func TestEarlyCancellationConcernsItsOrganisationOnly(t *testing.T) {
	now, keep := time.Unix(1_000_000, 0), sched.DefaultLimits.Retention
	core := sched.New(sched.DefaultLimits, 1, nil)
	core.Step(now, sched.Cancel{ID: "a", Organisation: "x"})
	core.Step(now, sched.Submit{Spec: flow.Spec{ID: "a", Organisation: "y", Steps: []flow.Step{scan(1)}}})
	require.Equal(t, flow.Queued, core.JobForTest("a").State)
	require.Equal(t, []sched.ForgetCancel{{ID: "a", Organisation: "x"}}, forgotten(core, now.Add(keep+2*time.Second)))
	for owner, cancelled := range map[string]bool{"": true, "x": true, "y": false} {
		core.Step(now, sched.Cancel{ID: "b" + owner, Organisation: "x"})
		core.Step(now, sched.Submit{Spec: flow.Spec{ID: "b" + owner, Organisation: owner, Steps: []flow.Step{scan(1)}}})
		require.Equal(t, cancelled, core.JobForTest("b"+owner).State == flow.Cancelled, owner)
	}
}
