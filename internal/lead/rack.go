package lead

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/lease"
)

const (
	// rackDecisionTimeout is how long the list of a worker in a new life waits for a sign of its rack.
	rackDecisionTimeout = 2 * time.Second
	// rackRestartSpread is how far apart the workers of a rack come back that was lost as a whole.
	rackRestartSpread = 30 * time.Second
	// rackPollInterval is how often the worker is read meanwhile.
	rackPollInterval = 250 * time.Millisecond
)

// incarnation is one incarnation of a worker. Since is when it was first seen; zero: it is the first one that
// this host saw. Open tells that its list waits for a sign of the rack, lost that there was none.
type incarnation struct {
	name                string
	since               time.Time
	undecided, rackLost bool
}

// wholeRackLost tells whether a worker began a new life together with all of its rack, which is no
// fault of the tasks that ran there. With wait set that is not known yet.
func (l *Leader) wholeRackLost(name string, r lease.Reading) (lost, wait bool) {
	now := l.Clock()
	w := l.incarnations[name]
	switch {
	case r.Incarnation == "":
		return false, false
	case w == nil:
		w = &incarnation{name: r.Incarnation}
		l.incarnations[name] = w
	case w.name != r.Incarnation:
		*w = incarnation{name: r.Incarnation, since: now, undecided: true}
	}
	if !w.undecided {
		l.rereadUndecided(name)
		return w.rackLost, false
	}
	mates := l.rackPeers(name)
	alive, silent := l.rackSigns(mates, w.since)
	switch {
	case alive || len(mates) == 0:
		w.undecided = false
		return false, false
	case silent && now.Sub(w.since) < rackDecisionTimeout:
		for _, mate := range mates {
			l.stepLeases(lease.Poll{Worker: mate, After: rereadDelay})
		}
		l.stepLeases(lease.Poll{Worker: name, After: rackPollInterval})
		return false, true
	}
	w.undecided, w.rackLost = false, true
	l.Log.Warn("lead: whole rack was lost.", "rack", l.machines[name].Rack, "worker", name)
	return true, false
}

// rackPeers are the workers of a worker's rack that are held here or were a short while ago.
func (l *Leader) rackPeers(name string) []string {
	held := l.Leases.Held()
	var mates []string
	for _, other := range slices.Sorted(maps.Keys(l.machines)) {
		if other == name || l.machines[other].Rack != l.machines[name].Rack {
			continue
		}
		lost, ok := l.lastHeld[other]
		if slices.Contains(held, other) || ok && l.Clock().Sub(lost) < rackRestartSpread {
			mates = append(mates, other)
		}
	}
	return mates
}

// rackSigns tells whether some worker has gone on with its life since then, and whether some has given
// no sign.
func (l *Leader) rackSigns(mates []string, since time.Time) (alive, silent bool) {
	for _, mate := range mates {
		r, held := l.Leases.LastReading(mate)
		w := l.incarnations[mate]
		switch {
		case w != nil && !w.since.IsZero() && since.Sub(w.since) < rackRestartSpread:
		case held && r.Sent.After(since) && (w == nil || w.name == r.Incarnation):
			alive = true
		default:
			silent = true
		}
	}
	return alive, silent
}

// rereadUndecided reads the workers again whose lists wait for a sign of the rack.
func (l *Leader) rereadUndecided(mate string) {
	for _, name := range slices.Sorted(maps.Keys(l.incarnations)) {
		if l.incarnations[name].undecided && l.machines[name].Rack == l.machines[mate].Rack {
			l.stepLeases(lease.Poll{Worker: name, After: rereadDelay})
		}
	}
}
