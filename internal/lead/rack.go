package lead

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/lease"
)

const (
	// rackDecisionTimeout is how long the list of a restarted worker is held back while it is
	// unclear whether the other workers of its rack still run.
	rackDecisionTimeout = 2 * time.Second
	// rackRestartSpread is the longest time between the restarts of workers whose rack failed as a
	// whole.
	rackRestartSpread = 30 * time.Second
	// rackPollInterval is how often a worker is read during that wait.
	rackPollInterval = 250 * time.Millisecond
)

// incarnation is one incarnation of a worker. since is when it was first seen, or zero if it is the
// first one that this host saw. undecided means that it is not known yet whether the whole rack was
// lost; rackLost means that it was.
type incarnation struct {
	name                string
	since               time.Time
	undecided, rackLost bool
}

// wholeRackLost reports whether a worker restarted together with its whole rack, so that the
// restart does not count against the tasks that ran there. If wait is true, that is not known yet.
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
	others := l.rackPeers(name)
	alive, silent := l.rackSigns(others, w.since)
	switch {
	case alive || len(others) == 0:
		w.undecided = false
		return false, false
	case silent && now.Sub(w.since) < rackDecisionTimeout:
		for _, other := range others {
			l.stepLeases(lease.Poll{Worker: other, After: rereadDelay})
		}
		l.stepLeases(lease.Poll{Worker: name, After: rackPollInterval})
		return false, true
	}
	w.undecided, w.rackLost = false, true
	l.Log.Warn("lead: all workers of a rack restarted together.", "rack", l.machines[name].Rack, "worker", name)
	return true, false
}

// rackPeers lists the other workers of a worker's rack that are held here or were held until
// recently.
func (l *Leader) rackPeers(name string) []string {
	held := l.Leases.Held()
	var others []string
	for _, other := range slices.Sorted(maps.Keys(l.machines)) {
		if other == name || l.machines[other].Rack != l.machines[name].Rack {
			continue
		}
		lost, ok := l.lastHeld[other]
		if slices.Contains(held, other) || ok && l.Clock().Sub(lost) < rackRestartSpread {
			others = append(others, other)
		}
	}
	return others
}

// rackSigns reports whether at least one of the workers has continued its incarnation after since,
// and whether at least one has not been heard from.
func (l *Leader) rackSigns(workers []string, since time.Time) (alive, silent bool) {
	for _, other := range workers {
		r, held := l.Leases.LastReading(other)
		w := l.incarnations[other]
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

// rereadUndecided reads the workers of a rack again for which it is not decided yet whether the
// rack was lost.
func (l *Leader) rereadUndecided(worker string) {
	for _, name := range slices.Sorted(maps.Keys(l.incarnations)) {
		if l.incarnations[name].undecided && l.machines[name].Rack == l.machines[worker].Rack {
			l.stepLeases(lease.Poll{Worker: name, After: rereadDelay})
		}
	}
}
