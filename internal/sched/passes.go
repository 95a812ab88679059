package sched

import "time"

// passKind is which steps a placement pass is about.
type passKind int

const (
	// fullPass is about all steps, urgentPass about those of the most urgent queues.
	fullPass passKind = iota
	urgentPass
	passKinds
)

// pass places steps. A full pass is also one for urgent steps.
func (s *Sched) pass(kind passKind) {
	s.changed[urgentPass] = false
	if kind == fullPass {
		s.changed[fullPass] = false
	}
	s.lastPasses[kind], s.lastKind = s.now, kind
	s.placeSteps(kind)
	s.sendUnstored()
}

const (
	// maxPassShare is the share of the leader's time that placement passes may take. Without a
	// limit a backlog would sustain itself: passes take longer with more waiting work, and the
	// processor time that they use is then missing for starts and replies, so that even more work
	// waits.
	maxPassShare = 0.25
	// urgentPassShare is the part of it for passes over urgent steps only.
	urgentPassShare = 0.1
	// maxPassDelay is the longest time that passes as a whole are delayed for this reason.
	maxPassDelay = 250 * time.Millisecond
)

// passShares are the shares of the leader's time that each kind of pass may take.
var passShares = [passKinds]float64{fullPass: maxPassShare - urgentPassShare, urgentPass: urgentPassShare}

// nextPassAt returns when the next pass of a kind may be made. Passes about urgent steps are made
// while a full pass has to wait: those steps are few, and must not wait for the time that a pass
// over a backlog of bulk takes.
func (s *Sched) nextPassAt(kind passKind) time.Time {
	if !s.enabled(LimitPassTime) {
		return s.lastPasses[fullPass].Add(s.limits.BatchInterval)
	}
	if kind == urgentPass && !s.enabled(PassUrgentFirst) {
		return s.nextPassAt(fullPass)
	}
	pause := max(s.limits.BatchInterval, time.Duration(float64(s.passDurations[kind])/passShares[kind]))
	return s.lastPasses[kind].Add(pause)
}

// LastPass returns the time of the last placement pass.
func (s *Sched) LastPass() time.Time {
	if urgent := s.lastPasses[urgentPass]; urgent.After(s.lastPasses[fullPass]) {
		return urgent
	}
	return s.lastPasses[fullPass]
}

// LastPassUrgent reports whether the last pass was only about the most urgent queues.
func (s *Sched) LastPassUrgent() bool { return s.lastKind == urgentPass }

// RecordPassDuration reports how long the step with the last pass took. The core has no clock of
// its own, and the same work takes several times as long on a host that is short of processor time.
// The duration is capped, because a leader that was suspended for seconds during a pass says
// nothing about later passes.
func (s *Sched) RecordPassDuration(d time.Duration) {
	s.passDurations[s.lastKind] = min(d, time.Duration(maxPassShare*float64(maxPassDelay)))
}
