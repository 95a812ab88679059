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

// SetProof tells the core when the term was last proved to go on: when a call to the store began by
// which no later term had begun.
func (s *Sched) SetProof(at time.Time) { s.provedAt = at }

// leaseDeadline returns until when a worker may go on with its runs, on its clock. It follows from the
// last proof of the term and not from when the order is sent or arrives, because that is all that a
// successor knows: the proofs of former leaders came before its own term.
func (s *Sched) leaseDeadline(w *worker) time.Time {
	since := s.provedAt.Sub(w.readAt)
	if since > 0 {
		// The worker's clock may be slow since it was read.
		since = time.Duration(float64(since) * (1 - maxClockDrift))
	}
	return w.clock.Add(since + s.limits.Lease)
}

// startDeadline returns until when a worker may begin a run whose start is sent now, on its clock.
// Workers take it for a lease as well.
func (s *Sched) startDeadline(w *worker) time.Time {
	deadline := w.clockAt(s.now).Add(startTimeout)
	if last := s.leaseDeadline(w); last.Before(deadline) {
		return last
	}
	return deadline
}

// leaseBound returns when the leases on a silent worker have certainly expired.
func (s *Sched) leaseBound(w *worker) time.Time {
	if w.fenced {
		return latest(w.leaseEnd(), w.strayLeaseEnd())
	}
	at := s.formerLeaseEnd()
	if !w.predecessorLeaseEnd.IsZero() && (w.name.HasBorn || w.predecessorLeaseEnd.Before(at)) {
		return latest(w.predecessorLeaseEnd, w.strayLeaseEnd())
	}
	at = latest(at, w.strayLeaseEnd(), w.youngLeaseEnd())
	if end := latest(w.recordedLeaseEnd, w.strayLeaseEnd()); !w.recordedLeaseEnd.IsZero() && end.Before(at) {
		return end
	}
	return at
}

// formerLeaseEnd returns when all leases of former leaders have certainly expired. Leaders of older
// builds renew leases until they give up their terms.
func (s *Sched) formerLeaseEnd() time.Time {
	switch {
	case s.formerLease > 0:
		return latest(s.termStart.Add(onSlowClock(s.formerLease)+leaseMargin), s.olderLeaseEnd)
	case !s.predecessorGone.IsZero():
		return latest(s.predecessorGone, s.earlierGone).Add(maxLeaseDuration(olderLease))
	default:
		return s.termStart.Add(StoreTimeout + maxLeaseDuration(olderLease))
	}
}

// longestFormerLease returns how long leases of former leaders last at most on a worker that is read
// for the first time.
func (s *Sched) longestFormerLease() time.Duration {
	if s.formerLease > 0 && s.olderLeaseEnd.IsZero() {
		return max(s.formerLease, s.limits.Lease)
	}
	return max(olderLease, s.limits.Lease)
}

// describeBound returns what leaseBound goes by, for the log.
func (s *Sched) describeBound(w *worker) string {
	switch {
	case w.fenced:
		return "read in this term"
	case !w.predecessorLeaseEnd.IsZero():
		return "not read in this term, bound handed over"
	case !w.recordedLeaseEnd.IsZero() && w.recordedLeaseEnd.Before(s.formerLeaseEnd()):
		return "not read in this term, bound stored by the previous leader"
	case s.formerLease > 0:
		return "not read in this term, leases of former leaders have expired"
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

// OlderLeases is how long leases of older builds may last after the last answer of the store to the
// leader that gave them.
var OlderLeases = StoreTimeout + maxLeaseDuration(olderLease)

// maxLeaseDuration returns how long a lease may last from the time of the request, on a slow clock
// and with the time that the request is in transit.
func maxLeaseDuration(lease time.Duration) time.Duration { return onSlowClock(lease) + maxTransit }

// onSlowClock returns how long a time of a worker's clock may take.
func onSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}
