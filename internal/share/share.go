// Package share decides which slots of the backend servers one entry host may
// use, so that the hosts of a failure domain never use a slot twice.
//
// The settings give each slot an owner and put the other hosts behind it in a
// fixed order of succession. A host uses a slot while each host before it is
// gone and each host behind it has freed the slot, so every question is settled
// between two hosts and needs no vote. A host is gone when it gave its slots
// away in a planned stop, or when the platform's list has been without it, and
// it was silent, for the longest deadline. A started host begins when its former
// incarnation's requests must have ended and the hosts behind it have said that
// they hold nothing of its slots. Whatever is not certain leaves a slot empty.
package share

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits are the times that the rights depend on.
type Limits struct {
	// LongestDeadline is how long a sent request can take at most. A line of the host
	// list must not be late by more.
	LongestDeadline time.Duration
	// StartupWait is how long a started host waits for what its former incarnation
	// sent. It is Longest unless no former incarnation can have run.
	StartupWait time.Duration
}

// peerState is what this host knows of one other host of its failure domain.
type peerState struct {
	incarnation int64
	// released tells that the incarnation gave its slots away.
	released bool
	// freedOwnSlots tells that the other host uses no slot in which this one precedes it.
	freedOwnSlots bool
	// gone tells that the other host uses no slot at all.
	gone bool
	// takenInUse tells that slots taken while it was gone may still be in use.
	takenInUse bool
	// absentSince is since when the list and the host itself say that it is gone;
	// zero when either says that it is there.
	absentSince time.Time
}

// Shares is the share core of one host.
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

// New returns the core of the host called self; others are the other hosts of
// its failure domain as the settings name them.
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

// Step takes one event and returns what follows from it.
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

// resume treats a host that was paused for long as a new one. The others may
// have taken its slots meanwhile; it would use them a second time, which shows
// as a backend server with more than its slots in use.
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

// updateHosts notes who is gone. A updateHosts without this host itself comes from before
// this host's start and proves nothing.
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

// drained ends a planned stop by giving the slots away. A host that stops
// before it settled gives nothing: what its former incarnation sent may still
// run, and the heir would send a second request into the same slot.
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

// applyTimeouts grants what time alone proves.
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

// Announcement is what this host has to tell the others of its failure domain now.
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

// AwaitedHosts lists the hosts that have not yet freed their part of this host's
// slots, in order of name.
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

// UsableSlots is how many of a backend server's slots this host may use now.
func (s *Shares) UsableSlots(backend string, slots int) int {
	n := 0
	for i := range slots {
		if s.MayUse(backend, i) {
			n++
		}
	}
	return n
}

// MayUse tells whether this host may use one slot of a backend server now.
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

// succession orders the hosts that may use a slot, its owner first. The order
// differs from slot to slot, so that what a dead host leaves is spread over all.
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
