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

// newFullCell returns a cell of organisations with weights, whose bulk queue has an objective.
func newFullCell(t *testing.T) *simCell {
	b := newSimCell(t, 12)
	b.queues[1].Stretch, b.queues[1].Slack = 2.2, 1200*time.Millisecond
	b.weights = map[string]float64{"o1": 100, "o2": 100}
	b.step(sched.Queues{Version: 2, All: b.queues, Weights: b.weights})
	return b
}

// playBurst submits bulk jobs of two steps with tasks of 6 s, at 2.4 times the cell's capacity for
// seven seconds and then at 0.95 of it. It returns how many ended on time of those that were due.
func playBurst(t *testing.T, seed uint64) (onTime, due int) {
	b, r := newFullCell(t), rand.New(rand.NewPCG(seed, 5))
	const capacity = 12 * 5 // tasks at a time
	dueAt := map[string]time.Time{}
	done := func() {
		for id, at := range dueAt {
			switch {
			case b.state(id) == flow.Completed:
				onTime++
				due++
				delete(dueAt, id)
			case b.now.After(at):
				due++
				delete(dueAt, id)
			}
		}
	}
	for i, began := 0, b.now; b.now.Sub(began) < 60*time.Second; i++ {
		load := 0.95
		if at := b.now.Sub(began); at > 2*time.Second && at < 9*time.Second {
			load = 2.4
		}
		tasks, id := 4+r.IntN(9), fmt.Sprintf("j%03d", i)
		b.organisation = fmt.Sprint("o", 1+i%2)
		b.submit(id, "print", bulk(tasks), bulk(tasks))
		dueAt[id] = b.now.Add(time.Duration(2.2*12*float64(time.Second)) + 1200*time.Millisecond)
		pause := time.Duration(float64(2*tasks) * 6 / capacity / load * float64(time.Second))
		for ; pause > 0; pause -= 100 * time.Millisecond {
			b.advance(min(pause, 100*time.Millisecond))
			done()
		}
	}
	require.Empty(t, b.violations)
	return onTime, due
}

// Load: a burst of bulk that leaves a backlog in a cell that stays full. In order of acceptance each
// job starts when it has no time to spare, and nearly all are late from then on.
func TestBurstDoesNotMakeAllLaterJobsLate(t *testing.T) {
	for seed := range uint64(3) {
		onTime, due := playBurst(t, seed)
		t.Logf("seed %d: %d of %d on time", seed, onTime, due)
		// 59 s at full load have room for about three quarters of what arrives in them.
		require.GreaterOrEqual(t, onTime, due*6/10, "seed %d: %d of %d", seed, onTime, due)
	}
}

// Guards against a successor that decides otherwise than its predecessor in the middle of a shortage:
// the jobs whose first steps have run must go on first.
func TestSelectionOutlivesTheLeader(t *testing.T) {
	b := newFullCell(t)
	b.organisation = "o1"
	for i := range 30 {
		b.submit(fmt.Sprintf("j%02d", i), "print", bulk(8), bulk(8))
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
