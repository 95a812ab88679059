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
	// lastUse orders servers with equal room by when they were last used.
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

// pool are the backend pool, or the peers that lend theirs.
type pool struct {
	all         map[string]*backend
	byFree      *indexedHeap[*backend]
	slots, free int
	uses        int
}

func newPool() *pool {
	return &pool{all: map[string]*backend{}, byFree: newIndexedHeap(hasMoreFree)}
}

// set changes one server by f and keeps sums and order.
func (s *pool) set(m *backend, f func(m *backend)) {
	s.slots -= m.slots
	s.free -= m.free()
	f(m)
	s.slots += m.slots
	s.free += m.free()
	s.byFree.set(m)
}

// replace takes the shares in force. A server that is gone from the list but
// still has requests is remembered, because it may return to the list before
// they end and would then get more than its slots.
func (s *pool) replace(all []Share) {
	fresh := map[string]int{}
	for _, share := range all {
		fresh[share.Backend] = share.Slots
		if s.all[share.Backend] == nil {
			s.all[share.Backend] = &backend{name: share.Backend}
		}
	}
	for name, m := range s.all {
		s.set(m, func(m *backend) { m.slots = fresh[name] })
		if _, ok := fresh[name]; !ok && m.busy == 0 {
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

// pick is the server with most room, if possible none of those to avoid.
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

// reserveEstimate is how many slots urgent requests reserveEstimate kept back, found by trying: it
// grows when one waited noticeably and shrinks slowly while none does.
type reserveEstimate struct {
	level float64
	last  time.Time
}

const (
	// reserveHalfLife is how long the need has half its weight without urgent requests.
	reserveHalfLife = time.Minute
	// initialReserve keeps the whole reserve until urgent requests were seen.
	initialReserve = 1 << 10
	// delayedShare is the part of its own time that an urgent request may wait
	// before it counts as delayed.
	delayedShare = 0.25
	// reserveGrow and reserveShrink balance when one urgent request in a hundred is
	// delayed.
	reserveGrow, reserveShrink = 0.5, 0.005
)

func (n *reserveEstimate) decay(now time.Time) {
	if !n.last.IsZero() {
		n.level *= math.Exp2(-now.Sub(n.last).Seconds() / reserveHalfLife.Seconds())
	}
	n.last = now
}

// observe takes note of one urgent request; most bounds what may be kept back.
func (n *reserveEstimate) observe(waited, took time.Duration, most int) {
	if float64(waited) > delayedShare*float64(took) {
		n.level += reserveGrow
	} else {
		n.level -= reserveShrink
	}
	n.level = max(0, min(n.level, float64(most)))
}

// reserve is how many slots bulk requests must leave free: what urgent ones
// need by measure, at least one and at most the set share.
func (q *Queue) reserve() int {
	return min(q.maxReserve(), 1+int(math.Round(q.reserved.level)))
}

func (q *Queue) maxReserve() int { return int(math.Ceil(q.limits.Reserve * float64(q.local.slots))) }

// mayUse tells whether a class may have one of the free slots.
func (q *Queue) mayUse(c cell.Class) bool {
	if c == cell.Bulk {
		return q.local.free > q.reserve()
	}
	return q.local.free > 0
}
