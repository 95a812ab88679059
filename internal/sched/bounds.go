package sched

import (
	"encoding/json"
	"time"

	"pollencroft/internal/flow"
)

// A leader stores until when leases may last on workers that do not answer, and renews none there until a later
// record without them is stored. Its successor takes over these bounds. Otherwise the wait for the leases of
// former leaders would begin anew with each term, and tasks of lost workers would not run again while leaders
// change.

// BoundsKey is the key of the record of these bounds, in the topic of the jobs' progress.
const BoundsKey = "!leases"

const (
	// boundsInterval is how often the record is renewed while workers do not answer. The older it is when
	// the leader is lost, the longer its successor waits.
	boundsInterval = 250 * time.Millisecond
	// boundsAfter is how long a worker must not have answered to be recorded.
	boundsAfter = 200 * time.Millisecond
)

// boundsRecord is the stored form: by worker, how many milliseconds its leases may last from then on.
type boundsRecord struct {
	flow.Version
	Bounds map[string]int64 `json:"w"`
}

// DecodeBounds returns the bounds in a record that a leader of the given term has written.
func DecodeBounds(b []byte, term int64) map[string]time.Duration {
	var rec boundsRecord
	if json.Unmarshal(b, &rec) != nil || rec.Term != term {
		return nil
	}
	all := make(map[string]time.Duration, len(rec.Bounds))
	for worker, ms := range rec.Bounds {
		if ms >= 0 && ms <= maxBound.Milliseconds() {
			all[worker] = time.Duration(ms) * time.Millisecond
		}
	}
	return all
}

// maxBound is the longest time that a record may name.
const maxBound = time.Hour

// recordable reports whether the bound of a worker's leases is to be recorded: runs may be there, and it has
// not answered for a moment.
func (s *Sched) recordable(w *worker) bool {
	switch {
	case w.dead || len(w.tasks)+len(w.untracked) == 0:
		return false
	case !w.fenced:
		return s.now.Sub(s.termStart) >= boundsAfter
	default:
		return !w.unansweredSince.IsZero() && s.now.Sub(w.unansweredSince) >= boundsAfter
	}
}

// checkBounds decides whether the record of bounds has to be renewed.
func (s *Sched) checkBounds() {
	for _, w := range s.workers {
		switch {
		case s.recordable(w):
			s.boundsDue = s.boundsDue || s.now.Sub(s.boundsAt) >= boundsInterval
		case w.recordedIn > 0 && !s.clearing:
			s.boundsDue = true
		}
	}
}

// takeBounds returns the record of bounds for an append, or nil if it is not due.
func (s *Sched) takeBounds(v flow.Version) *Change {
	if !s.boundsDue {
		return nil
	}
	s.boundsDue, s.boundsAt, s.clearing = false, s.now, true
	rec := boundsRecord{Version: v, Bounds: map[string]int64{}}
	for incarnation, w := range s.workers {
		if s.recordable(w) {
			w.recordedIn = v.Append
			rec.Bounds[incarnation] = max(s.leaseBound(w).Sub(s.now), 0).Milliseconds() + 1
		}
	}
	// The record has only plain values, so encoding cannot fail.
	b, _ := json.Marshal(rec)
	return &Change{Key: BoundsKey, Value: b}
}

// boundsStored allows leases on the workers that the stored record does not name.
func (s *Sched) boundsStored(number int64) {
	s.clearing = false
	for _, w := range s.workers {
		if w.recordedIn > 0 && w.recordedIn < number {
			w.recordedIn = 0
			s.ensureHold(w)
		}
	}
}

// adoptBounds takes over the bounds that the previous leader has stored.
func (s *Sched) adoptBounds(bounds map[string]time.Duration) {
	for incarnation, left := range bounds {
		if w, ok := s.workers[incarnation]; ok {
			w.recordedLeaseEnd = s.termStart.Add(left)
		}
	}
}
