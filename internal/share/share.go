// Package share decides which slots of the backend servers one entry host may use, so that the
// hosts of a failure domain never use a slot twice.
//
// The settings assign each slot to an owner and put the other hosts after it in a fixed order of
// succession. A host uses a slot while each host before it in this order is gone and each host
// after it has freed the slot. Each of these conditions concerns two hosts only, so no vote is
// needed. A host is gone when it released its slots in a planned stop, or when the platform's list
// has been without it, and it was silent, for the longest deadline. A host that has started uses
// its slots once the requests of its previous incarnation must have ended and the hosts after it
// have confirmed that they hold none of its slots. A slot stays empty while any of this is
// uncertain.
package share

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits are the times on which the right to use a slot depends.
type Limits struct {
	// LongestDeadline is the maximum duration of a request that was sent. An entry of the host list
	// must not be out of date by more than that.
	LongestDeadline time.Duration
	// StartupWait is how long a host waits after its start for the requests of its previous
	// incarnation to end. It is LongestDeadline unless no previous incarnation can have run.
	StartupWait time.Duration
}

// peerState is what this host knows about one other host of its failure domain.
type peerState struct {
	incarnation int64
	// released reports that the incarnation released its slots.
	released bool
	// freedOwnSlots reports that the other host uses no slot in whose succession this host comes
	// before it.
	freedOwnSlots bool
	// gone reports that the other host uses no slot at all.
	gone bool
	// takenInUse reports that slots that were taken while the other host was gone may still be in
	// use.
	takenInUse bool
	// absentSince is since when both the list and the silence of the host indicate that it is gone;
	// zero when either shows that it is there.
	absentSince time.Time
}

// Shares is the share state machine of one host.
type Shares struct {
	limits      Limits
	self        Announcement
	began       time.Time
	lastStep    time.Time
	names       []string
	peers       map[string]*peerState
	startupDone bool
	stopping    bool
}

// New returns the state machine of the host with the name self; others are the other hosts of its
// failure domain according to the settings.
func New(limits Limits, self string, incarnation int64, others []string, now time.Time) *Shares {
	s := &Shares{
		limits: limits, self: Announcement{Name: self, Incarnation: incarnation}, began: now, lastStep: now,
		names: append(slices.Clone(others), self), peers: map[string]*peerState{},
	}
	slices.Sort(s.names)
	for _, name := range others {
		s.peers[name] = &peerState{}
	}
	return s
}

// Step applies one event and returns the actions that follow from it.
func (s *Shares) Step(now time.Time, ev Event) []Action {
	before := s.usageRights()
	s.resume(now)
	var acts []Action
	switch ev := ev.(type) {
	case AnnouncementReceived:
		s.receive(ev.Announcement)
	case HostsListed:
		s.updateHosts(now, ev.Names)
	case Drained:
		acts = s.drained()
	case Stopping:
		s.beginStop()
	case Tick:
	}
	s.applyTimeouts(now)
	if !slices.Equal(before, s.usageRights()) {
		acts = append(acts, SlotsChanged{})
	}
	return acts
}

// resume treats a host that was paused for long like one that has just started. The other hosts may
// have taken its slots meanwhile. If the host went on using them, a backend server would have more
// requests than slots.
func (s *Shares) resume(now time.Time) {
	gap := now.Sub(s.lastStep)
	s.lastStep = now
	if gap <= s.limits.LongestDeadline/2 {
		return
	}
	s.self.Incarnation++
	for _, p := range s.peers {
		*p = peerState{incarnation: p.incarnation, released: p.released, takenInUse: p.takenInUse || p.gone}
	}
}

func (s *Shares) receive(w Announcement) {
	p, ok := s.peers[w.Name]
	if !ok || w.Incarnation < p.incarnation || w.Incarnation == p.incarnation && p.released {
		return
	}
	p.incarnation, p.released = w.Incarnation, w.Released
	p.absentSince = time.Time{}
	p.takenInUse = p.takenInUse || p.gone
	p.gone = w.Released && !s.stopping
	if w.Released || w.Freed[s.self.Name] == s.self.Incarnation {
		p.freedOwnSlots = !s.stopping
	}
}

// updateHosts records which hosts the list is without. A list without this host itself was made
// before this host started and proves nothing.
func (s *Shares) updateHosts(now time.Time, names []string) {
	if !slices.Contains(names, s.self.Name) {
		return
	}
	for name, p := range s.peers {
		switch {
		case slices.Contains(names, name):
			p.absentSince = time.Time{}
		case p.absentSince.IsZero():
			p.absentSince = now
		}
	}
}

// drained completes a planned stop by releasing the slots. A host that stops before the end of its
// startup wait releases nothing: requests of its previous incarnation may still run, and the next
// host in the succession would send a second request into the same slot.
func (s *Shares) drained() []Action {
	for _, p := range s.peers {
		p.takenInUse = false
	}
	if !s.stopping || !s.startupDone || s.self.Released {
		return nil
	}
	s.self.Released = true
	return []Action{SendAnnouncement{Announcement: s.Announcement()}}
}

func (s *Shares) beginStop() {
	s.stopping = true
	for _, p := range s.peers {
		p.takenInUse = p.takenInUse || p.gone
		p.freedOwnSlots, p.gone = false, false
	}
}

// applyTimeouts grants the rights that follow from the passage of time alone.
func (s *Shares) applyTimeouts(now time.Time) {
	s.startupDone = s.startupDone || now.Sub(s.began) >= s.limits.StartupWait
	if s.stopping {
		return
	}
	for _, p := range s.peers {
		if !p.absentSince.IsZero() && now.Sub(p.absentSince) >= s.limits.LongestDeadline {
			p.freedOwnSlots, p.gone = true, true
		}
	}
}

// Announcement returns this host's current announcement to the other hosts of its failure domain.
func (s *Shares) Announcement() Announcement {
	w := s.self
	w.Freed = map[string]int64{}
	for name, p := range s.peers {
		if s.startupDone && p.incarnation > 0 && !p.released && !p.gone && !p.takenInUse {
			w.Freed[name] = p.incarnation
		}
	}
	return w
}

// AwaitedHosts lists the hosts that have not yet freed their part of this host's slots, ordered by
// name.
func (s *Shares) AwaitedHosts() []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if !s.peers[name].freedOwnSlots {
			all = append(all, name)
		}
	}
	return all
}

func (s *Shares) usageRights() []bool {
	all := []bool{s.startupDone, s.stopping}
	for _, name := range s.names {
		if p, ok := s.peers[name]; ok {
			all = append(all, p.freedOwnSlots, p.gone)
		}
	}
	return all
}

// UsableSlots returns how many of a backend server's slots this host may use now.
func (s *Shares) UsableSlots(backend string, slots int) int {
	n := 0
	for i := range slots {
		if s.MayUse(backend, i) {
			n++
		}
	}
	return n
}

// MayUse reports whether this host may use one slot of a backend server now.
func (s *Shares) MayUse(backend string, slot int) bool {
	if !s.startupDone || s.stopping {
		return false
	}
	before := true
	for _, name := range s.succession(backend, slot) {
		switch {
		case name == s.self.Name:
			before = false
		case before && !s.peers[name].gone, !before && !s.peers[name].freedOwnSlots:
			return false
		}
	}
	return true
}

// succession returns the hosts that may use a slot in order of precedence, its owner first. The
// order differs from slot to slot, so that the slots of a dead host are spread over all others.
func (s *Shares) succession(backend string, slot int) []string {
	n := len(s.names)
	turn := int(xxhash.Sum64String(backend)%uint64(n)) + slot
	owner := turn % n
	order := []string{s.names[owner]}
	for i := range n - 1 {
		order = append(order, s.names[(owner+1+(turn/n+i)%(n-1))%n])
	}
	return order
}
