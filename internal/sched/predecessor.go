package sched

// handleTerm handles events about this term and what previous leaders have left.
func (s *Sched) handleTerm(ev Event) {
	switch ev := ev.(type) {
	case Tokens:
		s.setTokens(ev)
	case FormerLeases:
		s.formerLease = ev.Lease
		if ev.Older > 0 {
			s.olderLeaseEnd = s.now.Add(ev.Older)
		}
		s.adoptBounds(ev.Bounds)
	case PredecessorStopped:
		s.predecessorStopped(ev)
	case KnownSpeeds:
		s.speeds.Adopt(ev.Kinds)
	case PreviousEnds:
		s.applyPreviousEnds(ev)
	}
}

// predecessorStopped applies what the previous leader reported when it left.
func (s *Sched) predecessorStopped(ev PredecessorStopped) {
	s.predecessorGone, s.earlierGone = s.now, s.termStart.Add(StoreTimeout)
	if left := ev.ClaimedAt.Add(StoreTimeout + MaxClockSkew).Sub(s.now); left < s.earlierGone.Sub(s.now) {
		s.earlierGone = s.now.Add(left)
	}
	for incarnation, left := range ev.LeaseBounds {
		if w, ok := s.workers[incarnation]; ok {
			w.predecessorLeaseEnd = ev.Since.Add(left)
		}
	}
}
