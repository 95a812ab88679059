package sched

import (
	"math"
	"slices"
	"time"

	"pollencroft/internal/flow"
)

// host is an entry host that can ask the policy service, which takes one
// question of each host at a time.
type host struct {
	// busyUntil is until when the questions that it was given take; long tells of one
	// for a queue that is not the most urgent.
	busyUntil time.Time
	longQuery bool
	// avoidUntil is until when it is not asked because a question failed there, and rest
	// how long that was.
	avoidUntil time.Time
	backoff    time.Duration
}

func (h *host) queryFailed(now time.Time) {
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.avoidUntil = now.Add(h.backoff)
	h.busyUntil = now
}

const (
	// maxUrgentShare is the largest share of the hosts that is kept free of long questions.
	maxUrgentShare = 0.4
	// urgentHostFactor is how many hosts are kept free for each that urgent questions keep
	// busy, besides one: of questions that come at random and take one host's time, one
	// in eleven finds all three hosts busy.
	urgentHostFactor = 2
	// urgentWindow is over how long the time of urgent questions is averaged: longer than
	// one burst lets pass between two, shorter than a burst.
	urgentWindow = 2 * time.Second
	// maxHostBacklog is how much work a host may have ahead of a question: what comes later
	// waits for whichever host is free first. The service turns away the 33rd question
	// of a host, and 32 urgent ones take a second.
	maxHostBacklog = 250 * time.Millisecond
	// minBackoff is how long a host whose question failed gets none; it doubles up
	// to mostRest while they go on failing.
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

// usage is how many hosts questions keep busy, averaged over a time that fades.
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

// reservedHosts is how many hosts are reservedHosts free of long questions, as many as the urgent ones of
// late need. An urgent question takes a tenth of a long one's time and would wait for
// all of it; but each host that is reservedHosts free for nothing leaves workers idle that nobody
// asks about.
func (s *Sched) reservedHosts() int {
	most := int(math.Ceil(maxUrgentShare * float64(len(s.hosts))))
	if !s.enabled(AdaptUrgentHosts) {
		return most
	}
	return min(1+int(math.Ceil(urgentHostFactor*s.urgentUsage.current(s.now))), most)
}

// isLong tells whether a queue is not among the most urgent ones.
func (s *Sched) isLong(q flow.Queue) bool {
	for _, other := range s.queues {
		if other.Rank < q.Rank {
			return true
		}
	}
	return false
}

// pickHostOnce is askable, which gives the same answer to all queues of a kind
// until a pass has found no host: a backlog of a thousand steps asks once.
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

// pickHost chooses the host for a question; none if all would keep it waiting.
// Long questions go to idle hosts only, and never to all: an urgent one would
// wait behind them at every host.
// Of the hosts that long questions may take so many are left.
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
