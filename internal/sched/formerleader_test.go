package sched_test

import (
	"time"

	"pollencroft/internal/sched"
)

// formerLeader is a leader that goes on after another host began a term. The store does not answer it.
type formerLeader struct {
	term int64
	core *sched.Sched
	// provedAt is when the store confirmed its claim last.
	provedAt time.Time
	// suspendedUntil is until when its machine is suspended, skew how far its steady clock is behind
	// since then.
	suspendedUntil time.Time
	skew           time.Duration
}

const (
	// formerTick is how often a former leader is stepped at least.
	formerTick = 20 * time.Millisecond
	// delistDelay is how long after its end a worker that is lost for good is listed.
	delistDelay = 4500 * time.Millisecond
)

// loseLeader ends the leader's process. Another host leads after gap.
func (b *simCell) loseLeader(gap time.Duration) {
	if b.leaderless {
		return
	}
	b.leaderless, b.term = true, 0
	b.after(gap, func() {
		b.leaderless = false
		b.takeover()
	})
}

// cutLeaderOff cuts the leader off from the store and the other hosts, together with some workers that
// only it reaches from then on. Another host leads after gap.
func (b *simCell) cutLeaderOff(gap, cut time.Duration, reaches func(*fakeWorker) bool) {
	if b.leaderless {
		return
	}
	f := b.keepFormer()
	for _, w := range b.sortedWorkers() {
		inside := reaches(w)
		w.cutOff = func(term int64) bool { return (term == f.term) != inside }
	}
	b.loseLeader(gap)
	b.after(cut, func() {
		delete(b.formers, f.term)
		for _, w := range b.sortedWorkers() {
			w.cutOff = nil
		}
	})
}

// suspendLeader suspends the leader's machine. Another host leads after gap.
func (b *simCell) suspendLeader(gap, d time.Duration) {
	if b.leaderless {
		return
	}
	f := b.keepFormer()
	f.suspendedUntil, f.skew = b.now.Add(d), -d
	b.loseLeader(gap)
}

// keepFormer lets the leader go on beside its successors until its term ends.
func (b *simCell) keepFormer() *formerLeader {
	if b.formers == nil {
		b.formers = map[int64]*formerLeader{}
	}
	f := &formerLeader{term: b.term, core: b.core, provedAt: b.now}
	b.formers[f.term] = f
	b.after(formerTick, func() { b.tickFormer(f) })
	return f
}

func (b *simCell) tickFormer(f *formerLeader) {
	if b.formers[f.term] != f {
		return
	}
	b.stepFormer(f, sched.Tick{})
	b.after(formerTick, func() { b.tickFormer(f) })
}

func (b *simCell) stepFormer(f *formerLeader, ev sched.Event) {
	switch {
	case b.now.Before(f.suspendedUntil):
		return
	case b.now.Sub(f.provedAt) > sched.StoreTimeout:
		delete(b.formers, f.term)
		return
	}
	if r, ok := ev.(sched.HoldReply); ok {
		r.Sent, r.Received = r.Sent.Add(f.skew), r.Received.Add(f.skew)
		ev = r
	}
	f.core.SetProof(f.provedAt.Add(f.skew))
	for _, a := range f.core.Step(b.now.Add(f.skew), ev) {
		b.execute(f.term, a)
	}
}

// loseWorkers ends workers for good.
func (b *simCell) loseWorkers(all ...*fakeWorker) {
	for _, w := range all {
		w.dead = true
		w.runs = nil
	}
	b.after(delistDelay, b.list)
}
