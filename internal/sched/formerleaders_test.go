package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/sched"
)

// Guards against runs that are started again while a leader before the previous one may still renew
// their leases: those of older builds do so for as long as they may go on without the store.
func TestLeasesOfLeadersBeforeThePreviousOneAreWaitedFor(t *testing.T) {
	for _, tc := range []struct {
		name string
		// claimed is how long before the term the previous leader claimed.
		claimed time.Duration
		// until is how long the runs are certainly left alone.
		until time.Duration
	}{
		{"claimed a moment ago", time.Second, 15 * time.Second},
		{"claimed when clocks may disagree", 9 * time.Second, 12 * time.Second},
		{"claimed long ago", time.Minute, 8 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newSimCell(t, 2)
			b.olderLeaders = true
			b.submit("a", "print", bulk(8))
			b.advance(time.Second)
			w := b.workers["w00"]
			held := len(w.runs)
			w.dead = true
			b.takeover()
			b.step(sched.PredecessorStopped{ClaimedAt: b.now.Add(-tc.claimed)})
			before := total(b.starts)
			b.advance(tc.until)
			require.Equal(t, before, total(b.starts))
			b.advance(3 * time.Second)
			require.Equal(t, before+held, total(b.starts))
		})
	}
}

// Guards against a bound of leases that is handed over and not obeyed because it is later than the
// end of one lease.
func TestLeaseBoundsThatAreHandedOverAreObeyed(t *testing.T) {
	b := newSimCell(t, 2)
	b.olderLeaders = true
	b.submit("a", "print", bulk(8))
	b.advance(time.Second)
	held := len(b.workers["w00"].runs)
	b.workers["w00"].dead = true
	before := total(b.starts)
	b.takeover()
	b.advance(time.Second)
	bounds := b.core.LeaseBounds(b.now)
	require.Contains(t, bounds, "w00")
	b.takeover()
	b.step(sched.PredecessorStopped{Since: b.now, LeaseBounds: bounds, ClaimedAt: b.now.Add(-time.Second)})
	b.advance(15 * time.Second)
	require.Equal(t, before, total(b.starts))
	b.advance(3 * time.Second)
	require.Equal(t, before+held, total(b.starts))
}
