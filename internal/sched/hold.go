package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// ensureHold keeps one hold under way on a worker that has anything to hold,
// to read or to forget.
func (s *Sched) ensureHold(w *worker) {
	if w.holding || w.dead || !w.Addr.IsValid() || s.now.Before(w.nextHold) || w.idle() {
		return
	}
	if w.fenced && w.lastEndRead > w.lastEndStored && s.now.Sub(w.lastHold) < unstoredHoldInterval {
		// Ends that are not noted make every hold answer at once. The append that
		// is under way lets the worker be asked again.
		return
	}
	w.holding, w.lastHold = true, s.now
	h := Hold{To: w.Address, Term: s.term, AckedEnd: w.lastEndStored}
	if w.fenced && w.unansweredSince.IsZero() {
		// A worker that does not answer is only asked: a hold that is carried out
		// unanswered would lengthen leases, and a dead worker's never ran out.
		h.Deadline = w.clockAt(s.now).Add(s.limits.Lease)
		w.extendDeadline(h.Deadline)
		h.Wait = s.holdWait(w)
	}
	s.emit(h)
}

// idle tells whether there is nothing to hold, to read or to forget on a worker.
func (w *worker) idle() bool {
	return w.fenced && len(w.tasks) == 0 && len(w.untracked) == 0 && len(w.lostRuns) == 0 && w.lastEndAcked >= w.lastEndStored && w.unansweredSince.IsZero()
}

// holdWait is how long a hold may wait for an end. Of runs that are not followed any more none
// may be there, and nothing end; the room of the first of them is given back when its time is over.
func (s *Sched) holdWait(w *worker) time.Duration {
	switch {
	case len(w.tasks) == 0 && len(w.untracked) == 0:
		return 0
	case len(w.tasks) == 0 && w.firstUntrackedEnd().After(s.now):
		return min(s.limits.HoldWait, max(w.firstUntrackedEnd().Sub(s.now), s.limits.BatchInterval))
	case w.fillCPU > 0 && w.runsServing():
		return speedUpInterval / 2
	default:
		return s.limits.HoldWait
	}
}

// probe reads the worker's list beside the hold that may be waiting there.
func (s *Sched) probe(w *worker) {
	if w.probing {
		w.probeAgain = true
		return
	}
	if w.dead || !w.Addr.IsValid() {
		return
	}
	w.probing = true
	s.emit(Hold{To: w.Address, Term: s.term, AckedEnd: w.lastEndStored, Probe: true})
}

func (s *Sched) holdReplied(ev HoldReply) {
	w, ok := s.workers[ev.Worker]
	if !ok || w.dead {
		return
	}
	if ev.Probe {
		w.probing = false
		if w.probeAgain {
			w.probeAgain = false
			defer s.probe(w)
		}
	} else {
		w.holding = false
	}
	switch ev.Outcome {
	case Accepted:
		s.applyHoldReply(w, ev)
	case OtherIncarnation:
		s.incarnationEnded(w.Incarnation)
		return
	case Fenced:
		s.emit(StepDown{Worker: w.Incarnation})
		return
	default:
		if w.unansweredSince.IsZero() {
			// One answer may be lost; the next question tells, and it is asked at once:
			// ends at the worker are not known before.
			w.unansweredSince = s.now
			s.recordOutage(w)
			s.emit(Note{ID: w.Incarnation, What: "worker does not answer", Worker: w.Incarnation, Detail: ev.Outcome.String()})
			break
		}
		w.nextHold = s.now.Add(retryDelay)
		if !w.listed && len(w.tasks) == 0 {
			w.nextHold = s.now.Add(unlistedHoldInterval)
		}
		return
	}
	s.ensureHold(w)
}

// applyHoldReply takes over a worker's lists.
func (s *Sched) applyHoldReply(w *worker, ev HoldReply) {
	if !w.unansweredSince.IsZero() {
		w.backSince = s.now
		s.clearOutage(w)
		s.emit(Note{ID: w.Incarnation, What: "worker answers again", Worker: w.Incarnation})
	}
	w.unansweredSince = time.Time{}
	if ev.Received.After(w.readAt) {
		w.clock, w.readAt = ev.Clock, ev.Received
	}
	s.clearLostRuns(w, ev.Sent)
	first := !w.fenced
	w.fenced = true
	if first {
		w.extendDeadline(ev.Clock.Add(s.limits.Lease))
	}
	w.lastEndAcked = max(w.lastEndAcked, ev.AckedEnd)
	for _, e := range ev.Ended {
		if e.Number > w.lastEndRead {
			w.lastEndRead = e.Number
			s.runEnded(w, e, ev.Clock)
		}
	}
	if w.lastEndRead > w.lastEndStored {
		s.nextBatch.ackedEnds[w] = w.lastEndRead
	}
	listed := make(map[flow.Name]int, len(ev.Running))
	for _, l := range ev.Running {
		listed[l.Task] = l.Run
		s.runListed(w, l, ev.Clock)
	}
	for _, t := range w.sortedTasks() {
		if listed[t.Name] != t.Run {
			s.runMissing(t, ev.Sent)
		}
	}
	s.checkSpeed(w, ev.Clock)
	w.releaseUntracked(listed, s.now)
	s.adjustPace(w, ev.Running)
}
