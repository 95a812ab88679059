package lease

import (
	"slices"
	"time"
)

const (
	// incarnationQueryInterval is how often a worker that is not wanted here is asked for its life.
	incarnationQueryInterval = time.Minute
	// incarnationRetryInterval is how long after a question for it without an answer.
	incarnationRetryInterval = time.Second
)

// noteIncarnation notes the life that a worker answered in.
//
// A worker that crashed has forgotten who held it, so it may be taken at once while starts of its
// former holder are under way. Until these are dead nothing is known of the worker. A host that
// held it until now has no other's starts to wait for.
func (l *Leases) noteIncarnation(now time.Time, w *worker, life string) {
	if life == "" || life == w.incarnation {
		return
	}
	held := w.led && w.state == "held" && w.validUntil.After(now)
	w.incarnation = life
	if !held {
		left := l.limits.startWindow()
		w.staleStartsUntil = now.Add(left + left/driftDivisor)
	}
}

// awaitStaleStarts has the worker read again when the starts to its former lives are dead.
func (w *worker) awaitStaleStarts(name string) []Action {
	at := w.staleStartsUntil.Add(time.Millisecond)
	if at.Before(w.nextExchange) {
		w.nextExchange = at
	}
	if w.awaitedIncarnation == w.incarnation {
		return nil
	}
	w.awaitedIncarnation = w.incarnation
	return []Action{AwaitStarts{Worker: name, Life: w.incarnation, Until: at}}
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
	if w, ok := l.workers[ev.Worker]; ok && ev.Life != "" {
		w.nextIncarnationQuery = now.Add(incarnationQueryInterval)
		l.noteIncarnation(now, w, ev.Life)
	}
}

// incarnationConfirmed takes a peer's word that it waited for the starts of a worker's former lives.
func (l *Leases) incarnationConfirmed(now time.Time, ev IncarnationConfirmed) {
	w, ok := l.workers[ev.Worker]
	if !ok || ev.Life == "" || w.incarnation != "" && w.incarnation != ev.Life {
		return
	}
	if w.staleStartsUntil.After(now) {
		w.nextExchange = now
	}
	w.incarnation, w.staleStartsUntil = ev.Life, time.Time{}
}

// ConfirmedIncarnations holds by worker the life in which no start to an earlier one is under way any more.
func (l *Leases) ConfirmedIncarnations(now time.Time) map[string]string {
	all := map[string]string{}
	for name, w := range l.workers {
		if w.incarnation != "" && !w.staleStartsUntil.After(now) {
			all[name] = w.incarnation
		}
	}
	return all
}

// HasUnconfirmed tells whether starts to an earlier life of a wanted worker may be under way.
func (l *Leases) HasUnconfirmed(now time.Time) bool {
	for _, w := range l.workers {
		if w.wanted && w.staleStartsUntil.After(now) {
			return true
		}
	}
	return false
}
