// Package policy divides queries of the policy service among the hosts that make them. The service
// takes one query of each host at a time.
package policy

import (
	"math"
	"slices"
	"time"
)

// Hosts are the hosts that can query the policy service. They are not safe for concurrent use.
type Hosts struct {
	all map[string]*host
	// urgent is how many hosts the urgent queries keep busy.
	urgent usage
	// adapt means that the number of hosts kept free of long queries follows the urgent load.
	adapt bool
	// noneFree means for each kind of query that no host can take one in this pass.
	noneFree map[Kind]bool
}

// Kind is the kind of a query.
type Kind int

const (
	// Urgent queries are those about steps of the most urgent queues.
	Urgent Kind = iota
	// Long queries are all others.
	Long
	// Overdue queries are long ones that have waited for a host for too long.
	Overdue
)

// host is a host that can query the policy service.
type host struct {
	// busyUntil is when the queries given to the host are expected to be answered; long means that
	// one of them is not urgent.
	busyUntil time.Time
	long      bool
	// avoidUntil is until when the host gets no queries because one failed there, and backoff the
	// length of that pause.
	avoidUntil time.Time
	backoff    time.Duration
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
	// maxBacklog is how much query time a host may have queued; further queries wait until any host
	// is free. The service rejects the 33rd query of a host, and 32 urgent ones take a second.
	maxBacklog = 250 * time.Millisecond
	// minBackoff is how long a host gets no queries after one failed there. It doubles up to
	// maxBackoff while queries go on failing.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
)

// New returns an empty set of hosts. If adapt is set, the number of hosts that are kept free of long
// queries follows the load of urgent ones; otherwise it is constant.
func New(adapt bool) *Hosts {
	return &Hosts{all: map[string]*host{}, adapt: adapt, noneFree: map[Kind]bool{}}
}

// Set replaces the hosts. What is known of those that stay is kept.
func (p *Hosts) Set(names []string) {
	for _, n := range names {
		if _, ok := p.all[n]; !ok {
			p.all[n] = &host{}
		}
	}
	for n := range p.all {
		if !slices.Contains(names, n) {
			delete(p.all, n)
		}
	}
}

// Away reports whether the last query failed at every host.
func (p *Hosts) Away() bool {
	for _, h := range p.all {
		if h.backoff == 0 {
			return false
		}
	}
	return true
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

// reserved returns how many hosts are kept free of long queries, based on the recent load of urgent
// ones. An urgent query takes a tenth of the time of a long one and would have to wait for all of
// it. But each host that is reserved needlessly leaves workers idle that no step asks about. Of few
// hosts the share rounded up is most of them, so it is rounded down for overdue queries.
func (p *Hosts) reserved(k Kind, now time.Time) int {
	share := maxUrgentShare * float64(len(p.all))
	most := int(math.Ceil(share))
	if k == Overdue {
		most = max(int(share), 1)
	}
	if !p.adapt {
		return most
	}
	return min(1+int(math.Ceil(urgentHostFactor*p.urgent.current(now))), most)
}

// BeginPass forgets what PickOnce has found.
func (p *Hosts) BeginPass() { clear(p.noneFree) }

// NoneFree reports whether PickOnce has found no host since BeginPass.
func (p *Hosts) NoneFree(k Kind) bool { return p.noneFree[k] }

// PickOnce is like Pick, but remembers until BeginPass that no host is free, so that a backlog of a
// thousand steps checks once.
func (p *Hosts) PickOnce(k Kind, now time.Time) string {
	if p.noneFree[k] {
		return ""
	}
	name := p.Pick(k, 0, now)
	p.noneFree[k] = name == ""
	return name
}

// Pick chooses the host for a query, or returns "" if the query would have to wait at every host.
// Long queries go to idle hosts only and never to all hosts, so that an urgent one doesn't wait
// behind them everywhere. A long query must leave at least the given number of the hosts open to
// long queries.
func (p *Hosts) Pick(k Kind, leave int, now time.Time) string {
	long, busy := k != Urgent, 0
	best := ""
	for n, h := range p.all {
		if h.long && h.busyUntil.After(now) {
			busy++
		}
		if now.Before(h.avoidUntil) || long && h.busyUntil.After(now) || h.busyUntil.Sub(now) > maxBacklog {
			continue
		}
		if best == "" || h.busyUntil.Before(p.all[best].busyUntil) || h.busyUntil.Equal(p.all[best].busyUntil) && n < best {
			best = n
		}
	}
	most := max(len(p.all)-p.reserved(k, now), 1)
	if long && busy+leave >= most {
		return ""
	}
	return best
}

// Assign gives a host a query that takes the service that long, and returns when its answer is
// expected.
func (p *Hosts) Assign(name string, cost time.Duration, long bool, now time.Time) time.Time {
	h := p.all[name]
	if h.busyUntil.Before(now) {
		h.busyUntil = now
	}
	h.busyUntil = h.busyUntil.Add(cost)
	h.long = long
	if !long {
		p.urgent.add(cost, now)
	}
	return h.busyUntil
}

// Answered records that a query of a host was answered.
func (p *Hosts) Answered(name string) {
	if h, ok := p.all[name]; ok {
		h.backoff = 0
	}
}

// Failed records that a query of a host failed. The host gets no queries for a while.
func (p *Hosts) Failed(name string, now time.Time) {
	if h, ok := p.all[name]; ok {
		h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
		h.avoidUntil = now.Add(h.backoff)
		h.busyUntil = now
	}
}
