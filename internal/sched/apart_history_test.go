package sched_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// apartRand returns a random source for steps that are kept apart and for their faults.
func apartRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 4)) }

// apartSeeds lists the seeds that are played with steps that are kept apart: one in a share of all,
// since such a history has several times the work of another.
func apartSeeds(share int) []uint64 {
	var all []uint64
	for i := range *histories / share {
		all = append(all, *firstSeed+uint64(i))
	}
	return all
}

// apartPlay keeps the tasks of jobs apart, and adds faults that leave a worker with runs that the
// leader does not track: without them hardly a history has one while a task of its step waits.
type apartPlay struct {
	b *simCell
	r *rand.Rand
	// jobs are the jobs submitted in addition, lasting those of them that last.
	jobs, lasting []string
}

const (
	apartLabel = "x"
	// maxBacklog is how many jobs may wait; more of them would not begin before the faults end.
	maxBacklog = 8
)

// newApartPlay prepares a cell for steps that are kept apart.
func newApartPlay(b *simCell, r *rand.Rand) *apartPlay {
	a := &apartPlay{b: b, r: r}
	b.copies, b.alter, b.labels = true, a.keepApart, []string{apartLabel}
	a.restoreEntries()
	return a
}

// restoreEntries gives all workers the service and the label that the jobs need.
func (a *apartPlay) restoreEntries() {
	for _, w := range a.b.sortedWorkers() {
		w.setService("pass", apartLabel)
	}
}

// between returns a random time between two.
func (a *apartPlay) between(least, most time.Duration) time.Duration {
	return least + time.Duration(a.r.Int64N(int64(most-least)))
}

// keepApart draws the limits of a job's steps, whether they allow copies and need a label, and
// whether the job repeats. A cell has at least three workers, so each gang fits.
func (a *apartPlay) keepApart(spec *flow.Spec) {
	for i := range spec.Steps {
		st := &spec.Steps[i]
		st.MaxPerWorker = 1 + a.r.IntN(3)
		st.AllowCopies = a.r.IntN(3) > 0
		if a.r.IntN(4) == 0 {
			st.Label = apartLabel
		}
		if st.Gang {
			st.Tasks = min(st.Tasks, 3*st.MaxPerWorker)
			continue
		}
		st.Tasks += a.r.IntN(6)
		st.EstimatedTime += a.between(0, 2*time.Second)
	}
	if a.r.IntN(8) == 0 {
		spec.Repeat = flow.Repeat{Count: 2 + a.r.IntN(2), First: a.b.now, Every: a.between(300*time.Millisecond, 1500*time.Millisecond)}
	}
}

// step sometimes submits jobs or adds a fault that ends by itself.
func (a *apartPlay) step() {
	for _, w := range a.b.sortedWorkers() {
		if w.stopTime == 0 {
			w.stopTime = a.between(100*time.Millisecond, time.Second)
		}
	}
	switch n := a.r.IntN(12); {
	case n < 5:
		a.silenceSome()
	case n < 6:
		w := a.worker()
		w.startDelay = a.between(200*time.Millisecond, 3500*time.Millisecond)
		a.b.after(a.between(200*time.Millisecond, 2*time.Second), func() { w.startDelay = 0 })
	case n < 7:
		a.loseUnstored()
	case n < 8:
		a.submitBurst()
	case n < 9:
		a.changeEntry()
	case n < 10:
		a.submitLasting()
	}
}

// worker returns a random worker.
func (a *apartPlay) worker() *fakeWorker {
	all := a.b.sortedWorkers()
	return all[a.r.IntN(len(all))]
}

// silenceSome silences some workers for long enough that copies of their tasks start, and for less
// than their leases.
func (a *apartPlay) silenceSome() {
	for range 1 + a.r.IntN(3) {
		w := a.worker()
		w.silent = true
		a.b.after(a.between(700*time.Millisecond, 3*time.Second), func() { w.silent = false })
	}
}

// loseUnstored ends the leader while the store is down, after it has started tasks that are not
// stored, and hides some workers from the next leader for a while.
func (a *apartPlay) loseUnstored() {
	b := a.b
	b.storeDown = true
	a.submitBurst()
	b.after(a.between(100*time.Millisecond, 500*time.Millisecond), func() {
		a.silenceSome()
		b.storeDown, b.storeTime = false, nil
		b.takeover()
	})
}

// submitBurst submits jobs with more tasks than may run at a time.
func (a *apartPlay) submitBurst() {
	waiting := 0
	for _, n := range a.b.core.Pending() {
		waiting += n
	}
	for range min(1+a.r.IntN(2), maxBacklog-waiting) {
		st := scan(4 + a.r.IntN(12))
		st.Size.CPU = 2_000
		st.EstimatedTime = a.between(500*time.Millisecond, 3*time.Second)
		a.submit(a.b.queues[0], st)
	}
}

func (a *apartPlay) submit(q flow.Queue, st flow.Step) string {
	id := fmt.Sprintf("a%03d", len(a.jobs))
	a.jobs = append(a.jobs, id)
	a.b.submit(id, q.Name, st)
	return id
}

func (a *apartPlay) submitLasting() {
	st := lasting(cell.Size{CPU: 1_000, Mem: 1 << 30}, "")
	st.Tasks = 1 + a.r.IntN(4)
	a.lasting = append(a.lasting, a.submit(a.b.queues[len(a.b.queues)-1], st))
}

// changeEntry takes the label from a worker, or gives it to another service, for a while.
func (a *apartPlay) changeEntry() {
	w := a.worker()
	if a.r.IntN(2) == 0 {
		w.setService("pass")
	} else {
		w.setService("other", apartLabel)
	}
	a.b.after(a.between(200*time.Millisecond, 2*time.Second), func() { w.setService("pass", apartLabel) })
}

// cancelLasting cancels the lasting jobs.
func (a *apartPlay) cancelLasting() {
	for _, id := range a.lasting {
		if !a.b.state(id).Final() {
			a.b.cancel(id)
		}
	}
}

// requireLastingRun checks that as many tasks of the lasting jobs run as may.
func (a *apartPlay) requireLastingRun() {
	for _, id := range a.lasting {
		if !a.b.state(id).Final() {
			require.Equal(a.b.t, a.mayRun(id), a.runs(id), "running tasks of lasting job %s", id)
		}
	}
}

// mayRun returns how many tasks of a lasting job may run in a cell with enough capacity.
func (a *apartPlay) mayRun(id string) int {
	spec, n := a.b.specs[id], 0
	for _, w := range a.b.workers {
		if !w.dead && !w.info.Draining {
			n += spec.Steps[0].MaxPerWorker
		}
	}
	return min(spec.Steps[0].Tasks, n) * max(spec.Repeat.Count, 1)
}

// runs returns how many tasks of a lasting job run on workers that don't leave.
func (a *apartPlay) runs(id string) int {
	n := 0
	for _, w := range a.b.workers {
		for m := range w.runs {
			if m.Job == id && !w.dead && !w.info.Draining {
				n++
			}
		}
	}
	return n
}

// runApartHistory plays a history whose steps are kept apart.
func runApartHistory(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	b := newSimCell(t, 3+r.IntN(7))
	a := newApartPlay(b, apartRand(seed))
	jobs := b.playFaults(r, nil, nil, a.step)
	for _, id := range a.jobs {
		jobs[id] = true
	}
	b.clearFaults()
	a.restoreEntries()
	b.advance(60 * time.Second)
	a.requireLastingRun()
	a.cancelLasting()
	maps.DeleteFunc(jobs, func(id string, _ bool) bool { return b.state(id).Final() })
	b.endHistory(jobs, nil)
}
