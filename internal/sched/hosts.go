package sched

import (
	"math"
	"slices"
	"time"

	"pollencroft/internal/flow"
)

// host is an entry host that can query the policy service. The service takes one query of each host
// at a time.
type host struct {
	// busyUntil is when the queries given to the host are expected to be answered; longQuery means
	// that one of them is for a queue that is not among the most urgent.
	busyUntil time.Time
	longQuery bool
	// avoidUntil is until when the host gets no queries because one failed there, and backoff the
	// length of that pause.
	avoidUntil time.Time
	backoff    time.Duration
}

func (h *host) queryFailed(now time.Time) {
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.avoidUntil = now.Add(h.backoff)
	h.busyUntil = now
}

// policyAway reports whether the last query of the policy service failed at every host.
func (s *Sched) policyAway() bool {
	for _, h := range s.hosts {
		if h.backoff == 0 {
			return false
		}
	}
	return true
}

const (
	// maxUrgentShare is the largest share of the hosts that is kept free of long queries.
	maxUrgentShare = 0.4
	// urgentHostFactor is how many hosts are kept free for each host that urgent queries keep busy,
	// in addition to one: with randomly arriving queries that take one host's time in total, one in
	// eleven finds all three hosts busy.
	urgentHostFactor = 2
	// urgentWindow is the averaging time for the load of urgent queries: longer than the gaps
	// between two queries of a burst, shorter than a burst.
	urgentWindow = 2 * time.Second
	// maxHostBacklog is how much query time a host may have queued; further queries wait until any
	// host is free. The service rejects the 33rd query of a host, and 32 urgent ones take a second.
	maxHostBacklog = 250 * time.Millisecond
	// minBackoff is how long a host gets no queries after one failed there. It doubles up to
	// maxBackoff while queries go on failing.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
)

func (s *Sched) setHosts(ev Hosts) {
	for _, n := range ev.Names {
		if _, ok := s.hosts[n]; !ok {
			s.hosts[n] = &host{}
		}
	}
	for n := range s.hosts {
		if !slices.Contains(ev.Names, n) {
			delete(s.hosts, n)
		}
	}
}

// usage is the number of hosts that queries keep busy, as an exponentially decaying average.
type usage struct {
	load    float64
	updated time.Time
}

func (u *usage) add(cost time.Duration, now time.Time) {
	u.load = u.current(now) + cost.Seconds()/urgentWindow.Seconds()
	u.updated = now
}

func (u *usage) current(now time.Time) float64 {
	return u.load * math.Exp(-now.Sub(u.updated).Seconds()/urgentWindow.Seconds())
}

// reservedHosts returns how many hosts are kept free of long queries, based on the recent load of
// urgent ones. An urgent query takes a tenth of the time of a long one and would have to wait for
// all of it. But each host that is reserved needlessly leaves workers idle that no step asks about.
func (s *Sched) reservedHosts() int {
	most := int(math.Ceil(maxUrgentShare * float64(len(s.hosts))))
	if !s.enabled(AdaptUrgentHosts) {
		return most
	}
	return min(1+int(math.Ceil(urgentHostFactor*s.urgentUsage.current(s.now))), most)
}

// isLong reports whether a queue is not among the most urgent ones, whose queries are short.
func (s *Sched) isLong(q flow.Queue) bool {
	for _, other := range s.queues {
		if other.Rank < q.Rank {
			return true
		}
	}
	return false
}

// pickHostOnce is like pickHost, but remembers for the rest of the pass that no host is free for
// urgent or for long queries, so that a backlog of a thousand steps checks once.
func (s *Sched) pickHostOnce(q flow.Queue) string {
	kind := 0
	if s.isLong(q) {
		kind = 1
	}
	if s.noFreeHost[kind] {
		return ""
	}
	name := s.pickHost(q, 0)
	s.noFreeHost[kind] = name == ""
	return name
}

// pickHost chooses the host for a query, or returns "" if the query would have to wait at every
// host. Long queries go to idle hosts only and never to all hosts, so that an urgent one doesn't
// wait behind them everywhere. A long query must leave at least the given number of the hosts open
// to long queries.
func (s *Sched) pickHost(q flow.Queue, leave int) string {
	long := s.isLong(q)
	busy := 0
	best := ""
	for n, h := range s.hosts {
		if h.longQuery && h.busyUntil.After(s.now) {
			busy++
		}
		if s.now.Before(h.avoidUntil) || long && h.busyUntil.After(s.now) || h.busyUntil.Sub(s.now) > maxHostBacklog {
			continue
		}
		if best == "" || h.busyUntil.Before(s.hosts[best].busyUntil) || h.busyUntil.Equal(s.hosts[best].busyUntil) && n < best {
			best = n
		}
	}
	most := max(len(s.hosts)-s.reservedHosts(), 1)
	if long && busy+leave >= most {
		return ""
	}
	return best
}
