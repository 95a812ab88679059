package sched_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// Guards against successors that do not count runs which their predecessors left behind on silent
// workers, in random histories of organisations whose steps allow copies: leaders end while workers
// are silent, some of these come back under the next leader and some never do.
func TestRandomHistoriesWithRunsLeftBehind(t *testing.T) {
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLeftBehindHistory(t, seed) })
	}
}

func runLeftBehindHistory(t *testing.T, seed uint64) {
	r, own := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 5))
	b := newSimCell(t, 4+r.IntN(5))
	b.named = map[flow.UntrackedRun]int{}
	b.copies, b.alter = true, func(spec *flow.Spec) {
		for i := range spec.Steps {
			st := &spec.Steps[i]
			st.AllowCopies = !st.Gang && own.IntN(4) > 0
			if own.IntN(3) == 0 {
				st.MaxPerWorker = (st.Tasks + 2) / 3
			}
			st.EstimatedTime += time.Duration(own.IntN(6000)) * time.Millisecond
		}
	}
	widest := bulk(1).Size.Scale(6)
	b.playHistory(r, nil, nil, func() {
		b.drawOrganisation(own, widest)
		if own.IntN(6) == 0 {
			b.leaveBehind(own)
		}
	})
	require.Empty(t, b.namedUntracked(), "records name runs that certainly do not exist")
}

// namedUntracked returns the untracked runs that the stored records name.
func (b *simCell) namedUntracked() []flow.UntrackedRun {
	var all []flow.UntrackedRun
	for _, id := range slices.Sorted(maps.Keys(b.stored)) {
		j, err := flow.Restore(b.specs[id], b.stored[id], b.now)
		require.NoError(b.t, err)
		all = append(all, j.Untracked...)
	}
	return all
}

// leaveBehind silences some workers for long enough that their tasks are copied, some for longer than
// their leases, and ends the leader meanwhile.
func (b *simCell) leaveBehind(r *rand.Rand) {
	all := b.sortedWorkers()
	for range 1 + r.IntN(len(all)/2) {
		w := all[r.IntN(len(all))]
		w.silent = true
		b.after(2*time.Second+time.Duration(r.IntN(10_000))*time.Millisecond, func() { w.silent = false })
	}
	for range 1 + r.IntN(2) {
		b.after(time.Second+time.Duration(r.IntN(1500))*time.Millisecond, b.takeover)
	}
}

// noteNamed notes the runs that a stored record names. A leader must count each of them until it
// certainly does not exist, whatever later records say.
func (b *simCell) noteNamed(c sched.Change) {
	if b.named == nil {
		return
	}
	j, err := flow.Restore(b.specs[c.Key], c.Value, b.now)
	require.NoError(b.t, err)
	all := j.Untracked
	j.Tasks(func(t *flow.Task) {
		if t.MayBeRunning() {
			all = append(all, flow.UntrackedRun{Task: t.Name, Run: t.Run, Worker: t.Worker})
		}
	})
	for _, r := range all {
		if _, ok := b.named[r]; !ok {
			b.named[r] = b.seq
		}
	}
}

// excused returns the size of an organisation's runs that a leader need not have counted when it sent
// a start: a former leader started them, and no stored record had named them.
func (b *simCell) excused(organisation string, sent int) cell.Size {
	var sum cell.Size
	if b.named == nil {
		return sum
	}
	for _, w := range b.workers {
		for n, r := range w.runs {
			if w.dead || r.term == b.term || b.specs[n.Job].Organisation != organisation {
				continue
			}
			if seq, ok := b.named[flow.UntrackedRun{Task: n, Run: r.run, Worker: w.info.Incarnation}]; !ok || sent <= seq {
				sum = sum.Add(r.step.Size)
			}
		}
	}
	return sum
}
