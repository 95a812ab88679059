package sched

import "time"

// leasesLapsed tells whether the leases of all that may run on a silent worker have
// surely lapsed.
func (s *Sched) leasesLapsed(w *worker) bool {
	if len(w.tasks) == 0 || w.fenced && !w.silent(s.now) {
		return false
	}
	return s.now.After(s.leaseBound(w))
}

// leaseBound is when the leases on a worker that answers no more have surely lapsed.
// Of a worker that was never read under this term nobody knows how long the
// former lead's leases are: that lead gives up its term in time, and what it
// held last cannot last longer than one lease.
func (s *Sched) leaseBound(w *worker) time.Time {
	if w.fenced {
		return w.leaseEnd()
	}
	at := s.termStart.Add(StoreTimeout + maxLeaseDuration(s.limits.Lease))
	if !s.predecessorGone.IsZero() {
		at = s.predecessorGone.Add(maxLeaseDuration(s.limits.Lease))
	}
	if !w.predecessorLeaseEnd.IsZero() && w.predecessorLeaseEnd.Before(at) {
		return w.predecessorLeaseEnd
	}
	return at
}

// LeaseBounds returns how much longer anything may run on each worker that does not
// answer. A successor would wait for a whole lease again.
func (s *Sched) LeaseBounds(now time.Time) map[string]time.Duration {
	all := map[string]time.Duration{}
	for life, w := range s.workers {
		if len(w.tasks) > 0 && (!w.fenced || w.silent(now)) {
			all[life] = max(s.leaseBound(w).Sub(now), 0)
		}
	}
	return all
}

// maxLeaseDuration is how long a lease may last from when it was asked for, on a slow
// clock and with what was on its way.
func maxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-maxClockDrift)) + maxTransit
}
