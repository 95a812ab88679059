package lease

import (
	"slices"
	"time"
)

const (
	// incarnationQueryInterval is how often a worker that is not wanted here is asked for its
	// incarnation.
	incarnationQueryInterval = time.Minute
	// incarnationRetryInterval is the wait after a query without an answer.
	incarnationRetryInterval = time.Second
)

// noteIncarnation records the incarnation in which a worker answered.
//
// A worker that crashed has forgotten who held it, so it can be acquired at once while starts of
// its previous holder are in flight. Until these can no longer be carried out, it is unknown what
// the worker runs. A host that held the worker until now does not have to wait, because no other
// host can have sent starts.
func (l *Leases) noteIncarnation(now time.Time, w *worker, incarnation string) {
	if incarnation == "" || incarnation == w.incarnation {
		return
	}
	held := w.led && w.state == "held" && w.validUntil.After(now)
	w.incarnation = incarnation
	if !held {
		left := l.limits.startWindow()
		w.staleStartsUntil = now.Add(left + left/driftDivisor)
	}
}

// awaitStaleStarts schedules the next reading for when starts to previous incarnations can no
// longer be carried out.
func (w *worker) awaitStaleStarts(name string) []Action {
	at := w.staleStartsUntil.Add(time.Millisecond)
	if at.Before(w.nextExchange) {
		w.nextExchange = at
	}
	if w.awaitedIncarnation == w.incarnation {
		return nil
	}
	w.awaitedIncarnation = w.incarnation
	return []Action{AwaitStarts{Worker: name, Incarnation: w.incarnation, Until: at}}
}

func (l *Leases) setDomainWorkers(now time.Time, names []string) {
	for _, name := range names {
		if w := l.add(name); !w.inDomain {
			w.inDomain, w.nextIncarnationQuery = true, now
		}
	}
	for name, w := range l.workers {
		w.inDomain = slices.Contains(names, name)
	}
}

func (l *Leases) incarnationLearned(now time.Time, ev IncarnationLearned) {
	if w, ok := l.workers[ev.Worker]; ok && ev.Incarnation != "" {
		w.nextIncarnationQuery = now.Add(incarnationQueryInterval)
		l.noteIncarnation(now, w, ev.Incarnation)
	}
}

// incarnationConfirmed applies a peer's confirmation that starts to previous incarnations of a
// worker can no longer be carried out.
func (l *Leases) incarnationConfirmed(now time.Time, ev IncarnationConfirmed) {
	w, ok := l.workers[ev.Worker]
	if !ok || ev.Incarnation == "" || w.incarnation != "" && w.incarnation != ev.Incarnation {
		return
	}
	if w.staleStartsUntil.After(now) {
		w.nextExchange = now
	}
	w.incarnation, w.staleStartsUntil = ev.Incarnation, time.Time{}
}

// ConfirmedIncarnations returns, by worker, the incarnations for which no start to an earlier
// incarnation can still be carried out.
func (l *Leases) ConfirmedIncarnations(now time.Time) map[string]string {
	all := map[string]string{}
	for name, w := range l.workers {
		if w.incarnation != "" && !w.staleStartsUntil.After(now) {
			all[name] = w.incarnation
		}
	}
	return all
}

// HasUnconfirmed reports whether starts to an earlier incarnation of a wanted worker may still be
// in flight.
func (l *Leases) HasUnconfirmed(now time.Time) bool {
	for _, w := range l.workers {
		if w.wanted && w.staleStartsUntil.After(now) {
			return true
		}
	}
	return false
}
