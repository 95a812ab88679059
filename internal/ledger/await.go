package ledger

import (
	"slices"
	"time"
)

// await answers at once unless a try of the key is running.
func (l *Ledger) await(ev Await) []Action {
	e, ok := l.keys[ev.Key]
	if !ok {
		return []Action{Woken{ID: ev.ID, Verdict: Verdict{Key: ev.Key, State: Released}}}
	}
	if v := e.state(); v.State != Running {
		return []Action{Woken{ID: ev.ID, Verdict: v}}
	}
	l.waiters[ev.ID] = waiter{key: ev.Key, until: ev.Until}
	e.waiters = append(e.waiters, ev.ID)
	return nil
}

func (l *Ledger) removeWaiter(id string) {
	w, ok := l.waiters[id]
	if !ok {
		return
	}
	delete(l.waiters, id)
	if e := l.keys[w.key]; e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(other string) bool { return other == id })
	}
}

func (l *Ledger) notifyWaiters(e *entry, v Verdict) []Action {
	var woken []Action
	for _, id := range e.waiters {
		delete(l.waiters, id)
		woken = append(woken, Woken{ID: id, Verdict: v})
	}
	e.waiters = nil
	return woken
}

func (l *Ledger) tick(now time.Time) []Action {
	woken := l.markLostTries(now)
	for id, w := range l.waiters {
		if !w.until.After(now) {
			l.removeWaiter(id)
			woken = append(woken, Woken{ID: id, Verdict: Verdict{Key: w.key, State: Running}})
		}
	}
	for front := l.opened.Front(); front != nil; front = l.opened.Front() {
		e := front.Value.(*entry)
		if now.Sub(e.opened) <= l.limits.Retention {
			break
		}
		woken = append(woken, l.notifyWaiters(e, Verdict{Key: e.key, State: Lost})...)
		l.evict()
	}
	return woken
}

// markLostTries gives up the running tries whose entry host is gone or whose time is over,
// and notifies their waiters. Otherwise a repeat would wait until its deadline for an end
// that nobody reports.
func (l *Ledger) markLostTries(now time.Time) []Action {
	var woken []Action
	for host, tries := range l.running {
		sign := l.heartbeats[host]
		for _, e := range tries {
			if !e.isLost(now, sign) {
				continue
			}
			e.lost = true
			l.removeRunning(e)
			woken = append(woken, l.notifyWaiters(e, e.state())...)
		}
	}
	return woken
}

// isLost reports whether the entry host of a running try is gone or the try is overdue. The
// Open of the try counts as a heartbeat, also for a host that has sent none yet.
func (e *entry) isLost(now time.Time, sign Heartbeat) bool {
	if !e.overdueAt.IsZero() && now.After(e.overdueAt) {
		return true
	}
	if e.host == "" {
		return false
	}
	last := e.opened
	if sign.At.After(last) {
		last = sign.At
	}
	return sign.Incarnation > e.inc || now.Sub(last) > hostTimeout
}
