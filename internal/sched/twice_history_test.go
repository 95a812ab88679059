package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/incarnation"
)

// Plays random histories in which the same few workers restart again and again, also while they are
// silent and while leaders change, with a store that is slow or tells the leader of no higher end.
func TestRandomHistoriesOfManyRestarts(t *testing.T) {
	// Each seed is played four times.
	for i := range *histories / 4 {
		seed := *firstSeed + uint64(i)
		for _, kind := range []string{"plain", "copies", "lasting", "cut"} {
			t.Run(fmt.Sprintf("%d_%s", seed, kind), func(t *testing.T) { runManyRestarts(t, seed, kind) })
		}
	}
}

func runManyRestarts(t *testing.T, seed uint64, kind string) {
	r, own := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 6))
	b := newBornCell(t, 4+r.IntN(7))
	b.endsPerReply = own.IntN(3)
	b.storeEndDown = own.IntN(4) == 0
	if kind == "copies" {
		b.copies = true
	}
	b.alter = func(spec *flow.Spec) {
		for i := range spec.Steps {
			st := &spec.Steps[i]
			st.EstimatedTime = time.Duration(100+own.IntN(8000)) * time.Millisecond
			switch kind {
			case "copies":
				st.AllowCopies = !st.Gang && own.IntN(4) > 0
			case "lasting":
				st.LongRunning = i == len(spec.Steps)-1 && !st.Gang && own.IntN(4) == 0
			}
		}
	}
	var ids []string
	for _, w := range b.sortedWorkers() {
		ids = append(ids, incarnation.Parse(w.info.Incarnation).ID)
	}
	hot := ids[:2+own.IntN(len(ids)-2)]
	jobs := b.playFaults(r, nil, nil, func() { b.restartMany(own, hot, kind) })
	b.storeEndDown = false
	for id := range jobs {
		if !b.state(id).Final() && kind == "lasting" {
			delete(jobs, id)
		}
	}
	b.clearFaults()
	b.advance(90 * time.Second)
	require.Empty(t, b.violations)
	require.False(t, b.steppedDown, "the leader is refused by a worker")
	for id := range jobs {
		require.True(t, b.state(id).Final(), "job %s is %s", id, b.state(id))
	}
}

func (b *simCell) restartMany(r *rand.Rand, hot []string, kind string) {
	late := func() time.Duration { return 2*time.Second + time.Duration(r.IntN(10_000))*time.Millisecond }
	for range 1 + r.IntN(3) {
		id := hot[r.IntN(len(hot))]
		w := b.currentByID(id)
		if w == nil || w.dead {
			continue
		}
		switch n := r.IntN(12); {
		case n < 4:
			after := time.Duration(r.IntN(600)) * time.Millisecond
			entry := time.Duration(r.IntN(4000)) * time.Millisecond
			b.after(after, func() {
				if c := w.current(); !c.dead {
					c.restart(entry)
				}
			})
		case n == 4:
			w.startDelay = late()
		case n == 5:
			w.holdDelay = late()
		case n < 8:
			w.startDelay, w.holdDelay = 0, 0
		case n == 8:
			after := time.Duration(r.IntN(400)) * time.Millisecond
			b.after(after, b.takeover)
		case n == 9:
			b.storeEndDown = !b.storeEndDown
		case n == 10 && kind == "cut":
			w.silent = true
			b.after(time.Duration(r.IntN(12_000))*time.Millisecond, func() { w.current().silent = false })
		case n == 11:
			w.repliesToLose = 1 + r.IntN(3)
		}
	}
}

// currentByID returns the current incarnation of a worker, or nil if it is gone.
func (b *simCell) currentByID(id string) *fakeWorker {
	for _, w := range b.sortedWorkers() {
		if incarnation.Parse(w.info.Incarnation).ID == id && w.next == nil {
			return w
		}
	}
	return nil
}
