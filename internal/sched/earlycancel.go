package sched

import (
	"cmp"
	"slices"
	"time"

	"pollencroft/internal/access"
)

// earlyCancels holds the cancellations of jobs that are not known. A submission may be under way when
// its job is cancelled, at a host that stands still or in a store that answers late, and then the
// cancellation arrives first.
type earlyCancels struct {
	byID map[string][]earlyCancel
	// prunedAt is when expired ones were last removed.
	prunedAt time.Time
}

type earlyCancel struct {
	organisation string
	at           time.Time
}

// earlyCancelsInterval is the time between two searches for expired cancellations.
const earlyCancelsInterval = time.Second

func newEarlyCancels() earlyCancels { return earlyCancels{byID: map[string][]earlyCancel{}} }

// add keeps a cancellation as of the time at which its caller asked for it last, which may be by another
// host's clock. It reports whether the cancellation is new.
func (e *earlyCancels) add(c Cancel, now time.Time) bool {
	all, at := e.byID[c.ID], now
	if !c.At.IsZero() && c.At.Before(now) {
		at = c.At
	}
	i := slices.IndexFunc(all, func(x earlyCancel) bool { return x.organisation == c.Organisation })
	if i < 0 {
		e.byID[c.ID] = append(all, earlyCancel{c.Organisation, at})
		return true
	}
	if at.After(all[i].at) {
		all[i].at = at
	}
	return false
}

// take removes the cancellations of a job by callers that may cancel it, and returns one of them.
func (e *earlyCancels) take(id, owner string) (organisation string, ok bool) {
	rest := slices.DeleteFunc(e.byID[id], func(x earlyCancel) bool {
		mayCancel := access.Owns(x.organisation, owner)
		if mayCancel {
			organisation, ok = x.organisation, true
		}
		return mayCancel
	})
	e.keep(id, rest)
	return organisation, ok
}

// expire removes the cancellations that are older than retention and returns them.
func (e *earlyCancels) expire(now time.Time, retention time.Duration) []Cancel {
	if now.Sub(e.prunedAt) < earlyCancelsInterval {
		return nil
	}
	e.prunedAt = now
	var expired []Cancel
	for id, all := range e.byID {
		e.keep(id, slices.DeleteFunc(all, func(x earlyCancel) bool {
			old := now.Sub(x.at) > retention
			if old {
				expired = append(expired, Cancel{ID: id, Organisation: x.organisation})
			}
			return old
		}))
	}
	slices.SortFunc(expired, compareCancels)
	return expired
}

func (e *earlyCancels) keep(id string, all []earlyCancel) {
	if len(all) == 0 {
		delete(e.byID, id)
		return
	}
	e.byID[id] = all
}

func compareCancels(a, b Cancel) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Organisation, b.Organisation))
}
