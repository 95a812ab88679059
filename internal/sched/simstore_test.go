package sched_test

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// prove tells the core when the store has confirmed its claim last.
func (b *simCell) prove() {
	if !b.storeDown || b.readsServed || b.provedAt.IsZero() {
		b.provedAt = b.now.Add(-proofDelay)
		if b.storeTime != nil {
			b.provedAt = b.now.Add(-slowProofDelay)
		}
	}
	b.core.SetProof(b.provedAt.Add(b.skew))
}

func (b *simCell) store(term int64, a sched.Append) {
	if term != b.term {
		return
	}
	if b.storeDown {
		b.after(100*time.Millisecond, func() { b.store(term, a) })
		return
	}
	for _, c := range a.Changes {
		b.stored[c.Key] = flow.NewerRecord(b.stored[c.Key], c.Value)
		b.noteNamed(c)
	}
	b.storeEnd += int64(len(a.Changes))
	end := b.storeEnd
	b.after(3*time.Millisecond, func() {
		b.deliver(term, sched.Appended{Number: a.Number})
		if !b.storeEndDown {
			b.deliver(term, sched.Tokens{Last: end})
		}
	})
}

// takeover ends the leader without a handover; another begins from what is stored.
func (b *simCell) takeover() {
	former := b.lastTerm
	b.storeEnd++
	b.term, b.lastTerm = b.storeEnd, b.storeEnd
	var jobs []*flow.Job
	var fresh []flow.Spec
	for _, id := range slices.Sorted(maps.Keys(b.specs)) {
		rec, ok := b.stored[id]
		if !ok {
			fresh = append(fresh, b.specs[id])
			continue
		}
		if j, ended := flow.RestoreEnded(id, rec); ended {
			jobs = append(jobs, j)
			continue
		}
		j, err := flow.Restore(b.specs[id], rec, b.now.Add(b.skew))
		require.NoError(b.t, err)
		jobs = append(jobs, j)
	}
	b.core = sched.New(sched.DefaultLimits, b.term, jobs)
	// The claim is stored now.
	b.provedAt = b.now
	if !b.olderLeaders {
		b.step(sched.FormerLeases{Lease: sched.DefaultLimits.Lease, Bounds: sched.DecodeBounds(b.stored[sched.BoundsKey], former)})
	}
	b.step(sched.Queues{Version: 1, All: b.queues, Quotas: b.quotas, Weights: b.weights})
	b.step(sched.Hosts{Names: []string{"h1", "h2", "h3", "h4"}})
	for _, s := range fresh {
		b.step(sched.Submit{Spec: s})
	}
	for _, id := range b.storedCancels {
		b.step(sched.Cancel{ID: id, Organisation: b.specs[id].Organisation})
	}
	b.list()
}
