// Package member decides which entry hosts are taken for alive. The answer is
// a hint for who tries what; no promise rests on it.
package member

import (
	"maps"
	"slices"
	"time"
)

// SilenceTimeout is how long a peer may be silent before it counts as gone. Peers
// that beat slowly may be silent for silentBeats of their own periods.
const SilenceTimeout = 1500 * time.Millisecond

const silentPeriods = 3

// pauseThreshold is how long this host's own ticks may be apart. After a longer
// pause the heartbeats of that time wait unread in the sockets: judged by its
// clock alone, this host would take all peers for dead and their work with it.
const pauseThreshold = time.Second

type peerState struct {
	Heartbeat
	// firstHeard is when this incarnation was firstHeard heard.
	firstHeard time.Time
	// sendFailed tells that a message could not be sent since the last heartbeat.
	sendFailed bool
}

// Members is the membership core of one host.
type Members struct {
	self         Heartbeat
	peers        map[string]peerState
	leavingSince map[string]time.Time
	live         []string
	lastStep     time.Time
	oneWayCount  int
	pauseCount   int
}

// New returns the core of the host that self describes.
func New(self Heartbeat) *Members {
	return &Members{self: self, peers: map[string]peerState{}, leavingSince: map[string]time.Time{}, live: []string{self.Name}}
}

// Step takes one event and returns a Changed if the live set changed.
func (m *Members) Step(now time.Time, ev Event) []Action {
	m.compensatePause(now)
	switch ev := ev.(type) {
	case HeartbeatReceived:
		m.recordHeartbeat(now, ev.Beat)
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

// compensatePause gives the peers back the time in which this host itself was paused.
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

// recordHeartbeat keeps the newest incarnation: a message that a dead predecessor left in
// the network would otherwise bring the predecessor back to life. An older heartbeat of the
// same incarnation may tell that it did not recordHeartbeat this host yet.
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

// recordLeaving notes since when the platform shows hosts as leaving. Its recordLeaving lags: a
// host that came back under the same name is known by a newer incarnation.
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

// isListedLeaving tells whether the platform shows the host as leaving and this
// incarnation was there before it did.
func (m *Members) isListedLeaving(p peerState) bool {
	since, ok := m.leavingSince[p.Name]
	return ok && !p.firstHeard.After(since)
}

func (p peerState) silenceTimeout() time.Duration {
	return max(SilenceTimeout, silentPeriods*p.Period.Duration)
}

// HearsFrom tells whether a peer's heartbeats arrive here. It goes into each
// heartbeat to that peer: only the peer's answer can tell a host that its own
// heartbeats are lost on a link that works the other way.
func (m *Members) HearsFrom(now time.Time, name string) bool {
	p, ok := m.peers[name]
	return ok && now.Sub(p.ReceivedAt) <= p.silenceTimeout()
}

// OneWayCount returns how many peers are heard and do not hear this host.
func (m *Members) OneWayCount() int { return m.oneWayCount }

// PauseCount returns how often this host found that it had been paused.
func (m *Members) PauseCount() int { return m.pauseCount }

// Live lists the names of live hosts in order, this one included.
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
