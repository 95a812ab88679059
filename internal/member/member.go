// Package member decides which entry hosts count as alive. The result is only a hint for
// choosing whom to contact; no guarantee depends on it.
package member

import (
	"maps"
	"slices"
	"time"
)

// SilenceTimeout is how long a peer may be silent before it counts as gone. A peer with a long
// heartbeat period may miss silentPeriods of its own periods instead.
const SilenceTimeout = 1500 * time.Millisecond

const silentPeriods = 3

// pauseThreshold is the longest normal gap between two steps of this host. After a longer gap
// this host was paused, and the heartbeats of that time are still unread in the sockets. Without
// this rule it would count all peers as dead by its own clock and take over their work.
const pauseThreshold = time.Second

type peerState struct {
	Heartbeat
	// firstHeard is when this incarnation of the peer was first heard.
	firstHeard time.Time
	// sendFailed reports whether a message to the peer failed since its last heartbeat.
	sendFailed bool
}

// Members is the membership state machine of one host.
type Members struct {
	self         Heartbeat
	peers        map[string]peerState
	leavingSince map[string]time.Time
	live         []string
	lastStep     time.Time
	oneWayCount  int
	pauseCount   int
}

// New returns the state machine of the host that self describes.
func New(self Heartbeat) *Members {
	return &Members{self: self, peers: map[string]peerState{}, leavingSince: map[string]time.Time{}, live: []string{self.Name}}
}

// Step applies one event and returns a LiveChanged if the set of live hosts changed.
func (m *Members) Step(now time.Time, ev Event) []Action {
	m.compensatePause(now)
	switch ev := ev.(type) {
	case HeartbeatReceived:
		m.recordHeartbeat(now, ev.Heartbeat)
	case SendFailed:
		m.recordSendFailure(ev.Name)
	case LeaveReceived:
		delete(m.peers, ev.Name)
	case LeavingListed:
		m.recordLeaving(now, ev.Leaving)
	case Tick:
	}
	return m.updateLive(now)
}

// compensatePause extends the deadlines of all peers by the time in which this host itself was
// paused.
func (m *Members) compensatePause(now time.Time) {
	gap := now.Sub(m.lastStep)
	if !m.lastStep.IsZero() && gap > pauseThreshold {
		m.pauseCount++
		for name, p := range m.peers {
			p.ReceivedAt = p.ReceivedAt.Add(gap)
			m.peers[name] = p
		}
	}
	m.lastStep = now
}

// recordHeartbeat keeps only the newest incarnation of a peer: a delayed message from a dead
// incarnation would otherwise bring it back to life. An older heartbeat of the same incarnation
// is ignored too, because it may say that the peer does not hear this host yet.
func (m *Members) recordHeartbeat(now time.Time, b Heartbeat) {
	old, ok := m.peers[b.Name]
	if ok && (old.Incarnation > b.Incarnation || old.Incarnation == b.Incarnation && old.Seq > b.Seq) {
		return
	}
	p := peerState{Heartbeat: b, firstHeard: old.firstHeard}
	if !ok || old.Incarnation != b.Incarnation {
		p.firstHeard = now
	}
	p.ReceivedAt = now
	m.peers[b.Name] = p
}

func (m *Members) recordSendFailure(name string) {
	if p, ok := m.peers[name]; ok {
		p.sendFailed = true
		m.peers[name] = p
	}
}

// recordLeaving remembers since when the platform lists each host as leaving. The list lags: a
// host that was restarted under the same name is recognised by its newer incarnation.
func (m *Members) recordLeaving(now time.Time, leaving []string) {
	for name := range m.leavingSince {
		if !slices.Contains(leaving, name) {
			delete(m.leavingSince, name)
		}
	}
	for _, name := range leaving {
		if _, ok := m.leavingSince[name]; !ok {
			m.leavingSince[name] = now
		}
	}
}

func (m *Members) updateLive(now time.Time) []Action {
	live := []string{m.self.Name}
	m.oneWayCount = 0
	for name, p := range m.peers {
		switch {
		case now.Sub(p.ReceivedAt) > p.silenceTimeout() || p.Leaving || p.sendFailed || m.isListedLeaving(p):
		case !p.Ack:
			m.oneWayCount++
		default:
			live = append(live, name)
		}
	}
	slices.Sort(live)
	if slices.Equal(live, m.live) {
		return nil
	}
	m.live = live
	return []Action{LiveChanged{Live: slices.Clone(live)}}
}

// isListedLeaving reports whether the platform lists the host as leaving and this incarnation
// was first heard before it did.
func (m *Members) isListedLeaving(p peerState) bool {
	since, ok := m.leavingSince[p.Name]
	return ok && !p.firstHeard.After(since)
}

func (p peerState) silenceTimeout() time.Duration {
	return max(SilenceTimeout, silentPeriods*p.Period.Duration)
}

// HearsFrom reports whether a peer's heartbeats arrive at this host. Each heartbeat to that peer
// carries the result: only a reply from the peer can show a host that its own heartbeats are
// lost while the other direction works.
func (m *Members) HearsFrom(now time.Time, name string) bool {
	p, ok := m.peers[name]
	return ok && now.Sub(p.ReceivedAt) <= p.silenceTimeout()
}

// OneWayCount returns how many peers this host hears that do not hear this host.
func (m *Members) OneWayCount() int { return m.oneWayCount }

// PauseCount returns how often this host found that it had been paused.
func (m *Members) PauseCount() int { return m.pauseCount }

// Live lists the names of all live hosts in order, including this one.
func (m *Members) Live() []string { return slices.Clone(m.live) }

// LiveIn lists the live hosts of one failure domain in order of name.
func (m *Members) LiveIn(domain string) []string {
	var in []string
	for _, name := range m.live {
		if m.domain(name) == domain {
			in = append(in, name)
		}
	}
	return in
}

func (m *Members) domain(name string) string {
	if name == m.self.Name {
		return m.self.Domain
	}
	return m.peers[name].Domain
}

// Heartbeats lists the last heartbeat of each known peer in order of name.
func (m *Members) Heartbeats() []Heartbeat {
	all := make([]Heartbeat, 0, len(m.peers))
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		all = append(all, m.peers[name].Heartbeat)
	}
	return all
}
