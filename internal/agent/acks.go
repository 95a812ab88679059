package agent

import (
	"log/slog"
	"time"
)

// acks follows the messages to agents and their confirmations, of which all pass through this host.
// They tell its own delay from that of an agent. Its user holds a lock.
type acks struct {
	open map[*message]struct{}
	// heard is when the newest message that was confirmed was sent, and heardFrom when each agent
	// was last heard.
	heard     time.Time
	heardFrom map[string]time.Time
	// lag and slowest are the largest values since they were last reported: of the time since heard
	// while messages were unconfirmed, and of the time to a confirmation.
	lag, slowest time.Duration
}

// message is a message to an agent that is not confirmed yet. The channel overdue is closed if the
// agent takes too long to confirm it.
type message struct {
	agent   string
	sent    time.Time
	overdue chan struct{}
}

func newAcks() acks {
	return acks{open: map[*message]struct{}{}, heardFrom: map[string]time.Time{}}
}

func (k *acks) send(agent string, now time.Time) *message {
	m := &message{agent, now, make(chan struct{})}
	k.open[m] = struct{}{}
	return m
}

// confirm records the confirmation of a message, also one that comes too late.
func (k *acks) confirm(m *message, now time.Time) {
	k.noteLag(now)
	k.slowest = max(k.slowest, now.Sub(m.sent))
	if m.sent.After(k.heard) {
		k.heard = m.sent
	}
	k.heardFrom[m.agent] = now
	delete(k.open, m)
}

// fail records that a message is not going to be confirmed.
func (k *acks) fail(m *message) { delete(k.open, m) }

// giveUp makes all messages to an agent overdue.
func (k *acks) giveUp(agent string) {
	for m := range k.open {
		if m.agent == agent {
			k.makeOverdue(m)
		}
	}
}

func (k *acks) makeOverdue(m *message) {
	delete(k.open, m)
	close(m.overdue)
}

// passed reports whether a time limit for an agent has run out. A host that is short of processor
// time sends and reads everything late, so its own clock does not prove that: it has to have
// confirmed what was sent at the limit, by any agent, unless it waits for no other one.
func (k *acks) passed(limit time.Time, agent string, now time.Time) bool {
	switch {
	case now.Before(limit):
		return false
	case !k.heard.Before(limit) || now.Sub(limit) >= maxAckWait:
		return true
	}
	for m := range k.open {
		if m.agent != agent {
			return false
		}
	}
	return true
}

// markOverdue finds the messages of agents that are silent although they should have confirmed one.
func (k *acks) markOverdue(now time.Time) {
	for m := range k.open {
		if now.Sub(k.heardFrom[m.agent]) >= ackTimeout && k.passed(m.sent.Add(ackTimeout), m.agent, now) {
			k.makeOverdue(m)
		}
	}
}

func (k *acks) noteLag(now time.Time) { k.lag = max(k.lag, k.currentLag(now)) }

// currentLag returns for how long this host has waited for the confirmation of any newer message
// than it has heard of: about its own delay, if there are several agents.
func (k *acks) currentLag(now time.Time) time.Duration {
	first := time.Time{}
	for m := range k.open {
		if m.sent.After(k.heard) && (first.IsZero() || m.sent.Before(first)) {
			first = m.sent
		}
	}
	if first.IsZero() {
		return 0
	}
	return now.Sub(first)
}

// waiting returns how many agents have not confirmed a message.
func (k *acks) waiting() int {
	agents := map[string]bool{}
	for m := range k.open {
		agents[m.agent] = true
	}
	return len(agents)
}

// TakeDelays returns the longest delays since the last call: for how long no newer message was
// confirmed than before, by any agent, and for how long the slowest message was not confirmed.
func (d *Dispatcher) TakeDelays() []slog.Attr {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acks.noteLag(d.leader.Now())
	attrs := []slog.Attr{slog.Duration("lag", d.acks.lag), slog.Duration("ack", d.acks.slowest)}
	d.acks.lag, d.acks.slowest = 0, 0
	return attrs
}
