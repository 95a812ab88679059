package sched

import "time"

// leasesLapsed reports whether the leases of all runs that may be on a silent worker have certainly
// expired.
func (s *Sched) leasesLapsed(w *worker) bool {
	if len(w.tasks) == 0 || w.fenced && !w.silent(s.now) {
		return false
	}
	return s.now.After(s.leaseBound(w))
}

// leaseBound returns when the leases on a silent worker have certainly expired. For a worker that
// was never read under this term, the length of the former leaders' leases is unknown: each of them
// gives up its term in time, and its last renewal lasts at most one lease.
func (s *Sched) leaseBound(w *worker) time.Time {
	if w.fenced {
		return latest(w.leaseEnd(), w.strayLeaseEnd())
	}
	at := s.termStart.Add(StoreTimeout + maxLeaseDuration(s.limits.Lease))
	if !s.predecessorGone.IsZero() {
		at = latest(s.predecessorGone, s.earlierGone).Add(maxLeaseDuration(s.limits.Lease))
	}
	if !w.predecessorLeaseEnd.IsZero() && (w.name.HasBorn || w.predecessorLeaseEnd.Before(at)) {
		return latest(w.predecessorLeaseEnd, w.strayLeaseEnd())
	}
	return latest(at, w.strayLeaseEnd(), w.youngLeaseEnd())
}

// describeBound returns what leaseBound goes by, for the log.
func (s *Sched) describeBound(w *worker) string {
	switch {
	case w.fenced:
		return "read in this term"
	case !w.predecessorLeaseEnd.IsZero():
		return "not read in this term, bound handed over"
	case !s.predecessorGone.IsZero():
		return "not read in this term, previous leader has stopped"
	default:
		return "not read in this term, previous leader may have led on"
	}
}

// LeaseBounds returns for each silent worker how much longer runs may go on there. Without it a
// successor would have to wait for a whole lease again.
func (s *Sched) LeaseBounds(now time.Time) map[string]time.Duration {
	all := map[string]time.Duration{}
	for incarnation, w := range s.workers {
		if len(w.tasks)+len(w.untracked) > 0 && (!w.fenced || w.silent(now)) {
			all[incarnation] = max(s.leaseBound(w).Sub(now), 0)
		}
	}
	return all
}

// maxLeaseDuration returns how long a lease may last from the time of the request, on a slow clock
// and with the time that the request is in transit.
func maxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-maxClockDrift)) + maxTransit
}
