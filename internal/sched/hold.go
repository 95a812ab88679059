package sched

import (
	"slices"
	"strconv"
	"time"

	"pollencroft/internal/flow"
	"pollencroft/internal/incarnation"
)

// ensureHold keeps one hold in flight to each worker that has leases to renew, lists to read, or
// ends to forget.
func (s *Sched) ensureHold(w *worker) {
	if w.holding || w.dead || !w.Addr.IsValid() || s.now.Before(w.nextHold) || w.idle() && !s.isWatched(w) {
		return
	}
	if w.fenced && w.lastEndRead > w.lastEndStored && s.now.Sub(w.lastHold) < unstoredHoldInterval {
		// While a worker has ends that are not stored, it answers every hold at once. It is asked
		// again once the append in flight is stored.
		return
	}
	w.holding, w.lastHold = true, s.now
	h := Hold{To: w.Address, Token: s.tokenFor(w), AckedEnd: w.ackEnd(false, s.now)}
	if w.fenced && w.unansweredSince.IsZero() && w.recordedIn == 0 {
		// An unanswered hold may still be carried out and extend the leases, so a silent worker is
		// only polled without a deadline; otherwise the leases on a dead worker would never expire.
		h.Deadline = s.leaseDeadline(w)
		w.extendDeadline(h.Deadline)
		h.Wait = s.holdWait(w)
	}
	s.emit(h)
}

// idle reports whether a worker has no leases to renew, nothing to read and no ends to forget.
func (w *worker) idle() bool {
	return w.fenced && len(w.tasks) == 0 && len(w.untracked) == 0 && len(w.lostRuns) == 0 && w.lastEndAcked >= w.lastEndStored && w.unansweredSince.IsZero()
}

// isWatched reports whether a start to the worker may still arrive, of this leader or a former one. If
// the worker may restart under its ID, the next incarnation would carry it out until the leader has
// read it, and only a hold in flight shows a restart at once.
func (s *Sched) isWatched(w *worker) bool {
	return w.name.HasBorn && w.listed && (len(w.unlisted) > 0 || s.now.Sub(s.termStart) < maxOrderDelay)
}

// holdWait returns how long a hold may wait on the worker for a run to end. If the worker has only
// untracked runs, they may not exist and no end may come, so the hold returns when the first of
// them can no longer begin and its capacity can be released.
func (s *Sched) holdWait(w *worker) time.Duration {
	switch {
	case len(w.tasks) == 0 && len(w.untracked) == 0 && !s.isWatched(w):
		return 0
	case len(w.tasks) == 0 && w.firstUntrackedEnd().After(s.now):
		return min(s.limits.HoldWait, max(w.firstUntrackedEnd().Sub(s.now), s.limits.BatchInterval))
	case w.bestEffortCPU > 0 && w.runsServing():
		return speedUpInterval / 2
	default:
		return s.limits.HoldWait
	}
}

// probe reads the worker's lists at once, without waiting for a hold that may be in flight.
func (s *Sched) probe(w *worker) {
	if w.probing {
		w.probeAgain = true
		return
	}
	if w.dead || !w.Addr.IsValid() {
		return
	}
	w.probing = true
	s.emit(Hold{To: w.Address, Token: s.tokenFor(w), AckedEnd: w.ackEnd(true, s.now), Probe: true})
}

func (s *Sched) holdReplied(ev HoldReply) {
	w, ok := s.workers[ev.Worker]
	if !ok || w.dead {
		return
	}
	w.ackAnswered(ev.Probe, ev.Outcome != Unanswered)
	if ev.Outcome == OtherIncarnation && ev.AnsweredBy != "" && !incarnation.Parse(ev.AnsweredBy).Replaces(w.name) {
		// An earlier incarnation can't answer after a later one was known.
		ev.Outcome = Unanswered
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
		s.otherAnswered(w, ev.AnsweredBy)
		return
	case Fenced:
		s.emit(StepDown{Worker: w.Incarnation})
		return
	default:
		if w.unansweredSince.IsZero() {
			// A single reply may have been lost, so the worker is asked again at once: until it
			// answers, ends of its runs are not known.
			w.unansweredSince = s.now
			s.recordOutage(w)
			s.emit(Note{ID: w.Incarnation, What: "worker does not answer", Worker: w.Incarnation, Detail: ev.Outcome.String(), Left: s.leaseBound(w).Sub(s.now)})
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

// applyHoldReply processes the lists in a worker's reply to a hold.
func (s *Sched) applyHoldReply(w *worker, ev HoldReply) {
	if !w.unansweredSince.IsZero() {
		w.backSince = s.now
		s.clearOutage(w)
		s.emit(Note{ID: w.Incarnation, What: "worker answers again", Worker: w.Incarnation})
	}
	w.unansweredSince = time.Time{}
	s.boundsDue = s.boundsDue || w.recordedIn > 0 && !s.clearing
	if ev.Received.After(w.readAt) {
		w.clock, w.readAt = ev.Clock, ev.Received
	}
	s.clearLostRuns(w, ev.Sent)
	first := !w.fenced
	w.fenced = true
	if first {
		s.endStrays(w)
		w.extendDeadline(ev.Clock.Add(s.longestFormerLease()))
	}
	w.lastEndAcked = max(w.lastEndAcked, ev.AckedEnd)
	// A list may arrive after a newer one, with runs whose ends were read since.
	outdated := ev.Sent.Before(w.endReadAt)
	for _, e := range ev.Ended {
		s.seen(w, runKey{e.Task, e.Run})
		if k := (runKey{e.Task, e.Run}); w.isUntracked(k) {
			// A run that has ended never begins again.
			s.dropUntracked(w, k, "ended as "+e.How.String())
		}
		if e.Number > w.lastEndRead {
			w.lastEndRead, w.endReadAt = e.Number, s.now
			s.runEnded(w, e, ev.Clock)
		}
	}
	if w.lastEndRead > w.lastEndStored {
		s.nextBatch.ackedEnds[w] = w.lastEndRead
	}
	// A worker may list several runs of one task.
	listed := make(map[runKey]bool, len(ev.Running))
	for _, l := range ev.Running {
		listed[runKey{l.Task, l.Run}] = true
		s.seen(w, runKey{l.Task, l.Run})
		if !outdated || w.knows(runKey{l.Task, l.Run}) {
			s.runListed(w, l, ev.Clock)
		}
	}
	notListed := w.tasksNotListed(listed)
	s.noteMoreEnds(w, ev.MoreEnds, len(notListed))
	if !ev.MoreEnds {
		for _, t := range notListed {
			s.runMissing(t, ev.Sent)
		}
	}
	s.checkSpeed(w, ev.Clock)
	s.releaseUntracked(w, listed, ev.Sent, ev.Clock)
	s.adjustPace(w, ev.Running)
}

// noteMoreEnds notes when a worker begins or stops to list only a part of its ends. Until all of them
// are read, a task that it does not list may have ended.
func (s *Sched) noteMoreEnds(w *worker, more bool, notListed int) {
	if w.moreEnds == more {
		return
	}
	w.moreEnds = more
	what := "all ends of the worker are read"
	if more {
		what = "worker has more ends"
	}
	s.emit(Note{ID: w.Incarnation, What: what, Worker: w.Incarnation, Detail: strconv.Itoa(notListed) + " tasks are not listed"})
}

// tasksNotListed returns the worker's tasks whose run is not listed, sorted by name. Nearly always
// there is none.
func (w *worker) tasksNotListed(listed map[runKey]bool) []*flow.Task {
	var all []*flow.Task
	for _, t := range w.tasks {
		if !listed[runKey{t.Name, t.Run}] {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *flow.Task) int { return compareNames(a.Name, b.Name) })
	return all
}
