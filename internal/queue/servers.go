package queue

import (
	"math"
	"slices"
	"time"

	"pollencroft/internal/cell"
)

type backend struct {
	name        string
	slots, busy int
	// lastUse orders servers with the same number of free slots: the one that was used least
	// recently goes first.
	lastUse int
}

func (m *backend) free() int { return max(0, m.slots-m.busy) }

func hasMoreFree(a, b *backend) bool {
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	if a.lastUse != b.lastUse {
		return a.lastUse < b.lastUse
	}
	return a.name < b.name
}

// pool holds the backend servers, or the peers that lend slots of theirs.
type pool struct {
	all         map[string]*backend
	byFree      *indexedHeap[*backend]
	slots, free int
	uses        int
}

func newPool() *pool {
	return &pool{all: map[string]*backend{}, byFree: newIndexedHeap(hasMoreFree)}
}

// set changes one server by f and updates the sums and the order.
func (s *pool) set(m *backend, f func(m *backend)) {
	s.slots -= m.slots
	s.free -= m.free()
	f(m)
	s.slots += m.slots
	s.free += m.free()
	s.byFree.set(m)
}

// replace sets the current shares. A server that is no longer listed but still has requests
// is kept: it may be listed again before they end and would then get more requests than it
// has slots.
func (s *pool) replace(all []Share) {
	slots := map[string]int{}
	for _, share := range all {
		slots[share.Backend] = share.Slots
		if s.all[share.Backend] == nil {
			s.all[share.Backend] = &backend{name: share.Backend}
		}
	}
	for name, m := range s.all {
		s.set(m, func(m *backend) { m.slots = slots[name] })
		if _, ok := slots[name]; !ok && m.busy == 0 {
			s.byFree.drop(m)
			delete(s.all, name)
		}
	}
}

func (s *pool) acquire(m *backend) {
	s.uses++
	s.set(m, func(m *backend) { m.busy++; m.lastUse = s.uses })
}

func (s *pool) release(name string) {
	if m, ok := s.all[name]; ok {
		s.set(m, func(m *backend) { m.busy-- })
	}
}

// pick returns the server with the most free slots, skipping those to avoid. It returns nil
// if no other server has a free slot.
func (s *pool) pick(avoid func(name string) bool) *backend {
	m := s.byFree.first()
	if m == nil || m.free() == 0 {
		return nil
	}
	if !avoid(m.name) {
		return m
	}
	rest := slices.DeleteFunc(slices.Clone(s.byFree.items), func(m *backend) bool { return m.free() == 0 || avoid(m.name) })
	if len(rest) == 0 {
		return nil
	}
	return slices.MinFunc(rest, func(a, b *backend) int {
		if hasMoreFree(a, b) {
			return -1
		}
		return 1
	})
}

// reserveEstimate estimates how many slots must be kept free for urgent requests. It grows
// when an urgent request waited noticeably and shrinks slowly while none does.
type reserveEstimate struct {
	level float64
	last  time.Time
}

const (
	// reserveHalfLife is the time in which the estimate falls to half without urgent requests.
	reserveHalfLife = time.Minute
	// initialReserve is high enough to keep the whole reserve until urgent requests have been
	// seen.
	initialReserve = 1 << 10
	// delayedShare is the share of its own duration that an urgent request may wait before it
	// counts as delayed.
	delayedShare = 0.25
	// reserveGrow and reserveShrink balance each other when one urgent request in a hundred is
	// delayed.
	reserveGrow, reserveShrink = 0.5, 0.005
)

func (n *reserveEstimate) decay(now time.Time) {
	if !n.last.IsZero() {
		n.level *= math.Exp2(-now.Sub(n.last).Seconds() / reserveHalfLife.Seconds())
	}
	n.last = now
}

// observe updates the estimate with one urgent request. most is the upper bound of the
// estimate.
func (n *reserveEstimate) observe(waited, took time.Duration, most int) {
	if float64(waited) > delayedShare*float64(took) {
		n.level += reserveGrow
	} else {
		n.level -= reserveShrink
	}
	n.level = max(0, min(n.level, float64(most)))
}

// reserve returns how many slots bulk requests must leave free: the estimate for urgent
// requests, but at least one and at most the configured share.
func (q *Queue) reserve() int {
	return min(q.maxReserve(), 1+int(math.Round(q.reserved.level)))
}

func (q *Queue) maxReserve() int { return int(math.Ceil(q.limits.Reserve * float64(q.local.slots))) }

// mayUse reports whether a request of a class may use one of the free slots.
func (q *Queue) mayUse(c cell.Class) bool {
	if c == cell.Bulk {
		return q.local.free > q.reserve()
	}
	return q.local.free > 0
}
