package sched

import (
	"cmp"
	"time"

	"pollencroft/internal/flow"
	"pollencroft/internal/incarnation"
)

const (
	// maxOrderDelay bounds the time from sending an order until it is carried out or dropped,
	// including the orders that the platform delays by 2 to 12 s.
	maxOrderDelay = 12 * time.Second
	// longestLease is the longest lease that workers give, whatever deadline an order names. The
	// deadlines of orders to a former incarnation are times of its clock, and say nothing on the
	// clock of the next one, which starts again.
	longestLease = 10 * time.Second
	// maxAckAge is how long after a reply of a worker ends are acknowledged to it without asking again.
	maxAckAge = 200 * time.Millisecond
	// MaxClockSkew bounds the difference between the time of day of a worker's start and that of a
	// host: clocks may jump by 2 s either way.
	MaxClockSkew = 5 * time.Second
)

// restart is what the leader has to know about a worker that may restart, or has restarted, under
// its ID.
type restart struct {
	// unlisted holds the runs whose start was sent, by this leader or a former one, and that the
	// worker has never listed, with the time of the start; zero if a former leader sent it. If the
	// incarnation ends, such a run may begin in the next one.
	unlisted map[runKey]time.Time
	// carried holds the runs that may have begun here although their starts were sent to a former
	// incarnation, with that incarnation.
	carried map[runKey]string
	// openAcks are when the hold and the probe in flight were sent, if they acknowledge ends, and
	// lostAck is when the last one was sent that had no answer. The next incarnation may carry them
	// out and forget ends of its own that were never read, since its numbers start again.
	openAcks [2]time.Time
	lostAck  time.Time
	// startsFrom is when no acknowledgement for a former incarnation can arrive any more: nothing
	// starts before. strayUntil is the same for any order for a former one.
	startsFrom, strayUntil time.Time
}

func newRestart() restart {
	return restart{unlisted: map[runKey]time.Time{}, carried: map[runKey]string{}}
}

func ackIndex(probe bool) int {
	if probe {
		return 1
	}
	return 0
}

// ackEnd returns the last end that a hold or a probe sent now acknowledges, and notes that it does. A
// worker that may have restarted is told only what it needs to know, and nothing while it does not
// answer or has not done so recently: the next incarnation would forget ends of its own with the same
// numbers.
func (w *worker) ackEnd(probe bool, now time.Time) int64 {
	if w.name.HasBorn && (w.lastEndAcked >= w.lastEndStored || !w.unansweredSince.IsZero() || now.Sub(w.readAt) > maxAckAge) {
		return 0
	}
	if w.lastEndStored > 0 {
		w.openAcks[ackIndex(probe)] = now
	}
	return w.lastEndStored
}

// ackAnswered notes the answer to a hold or a probe, or that it has none.
func (w *worker) ackAnswered(probe, answered bool) {
	i := ackIndex(probe)
	if !answered {
		w.lostAck = latest(w.lostAck, w.openAcks[i])
	}
	w.openAcks[i] = time.Time{}
}

// latest returns the latest of several times.
func latest(at time.Time, others ...time.Time) time.Time {
	for _, o := range others {
		if o.After(at) {
			at = o
		}
	}
	return at
}

// pruneUnlisted forgets runs that are not booked and whose starts can't be carried out any more.
func (s *Sched) pruneUnlisted(w *worker) {
	for k := range w.unlisted {
		if !w.knows(k) && !s.startMayArrive(w, k) {
			delete(w.unlisted, k)
			delete(w.carried, k)
		}
	}
}

// startMayArrive reports whether the start of a run that the worker has not listed may still be
// carried out. Those of a former leader were sent before this term.
func (s *Sched) startMayArrive(w *worker, k runKey) bool {
	return s.now.Sub(latest(s.termStart, w.unlisted[k])) < maxOrderDelay
}

// strayLeaseEnd returns when leases that orders for a former incarnation have given have certainly
// expired; zero if there was none.
func (w *worker) strayLeaseEnd() time.Time {
	if w.strayUntil.IsZero() {
		return time.Time{}
	}
	return w.strayUntil.Add(maxLeaseDuration(longestLease))
}

// youngLeaseEnd returns the same for an incarnation that was never read under this term. A former
// leader may have sent orders to the one before it until it learned of this one, which it does at
// least once before it has to give up its term.
func (w *worker) youngLeaseEnd() time.Time {
	if !w.name.HasBorn {
		return time.Time{}
	}
	return time.UnixMilli(w.name.Born).Add(MaxClockSkew + StoreTimeout + maxOrderDelay + maxLeaseDuration(longestLease))
}

// addWorker adds a worker, and notes which incarnation of its ID has ended if it is not the only one.
func (s *Sched) addWorker(w *worker) {
	s.workers[w.Incarnation] = w
	s.workersChanged()
	other, ok := s.latest[w.name.ID]
	switch {
	case !ok:
		s.recallToken(w)
	case w.name.Replaces(other.name):
		s.raiseToken(w, other.workerToken)
		s.replaced = append(s.replaced, other)
	default:
		s.replaced = append(s.replaced, w)
		return
	}
	s.latest[w.name.ID] = w
}

func (s *Sched) removeWorker(w *worker) {
	delete(s.workers, w.Incarnation)
	if s.latest[w.name.ID] == w {
		delete(s.latest, w.name.ID)
		if w.name.HasBorn {
			s.forgotten[w.name.ID] = formerOrders{w.name, w.workerToken}
		}
	}
	s.workersChanged()
}

// endStrays notes that a worker has answered for the first time: from now on it refuses all orders to
// earlier incarnations, if its token is greater than theirs.
func (s *Sched) endStrays(w *worker) {
	if w.exposed {
		return
	}
	w.startsFrom = time.Time{}
	if w.strayUntil.After(s.now) {
		w.strayUntil = s.now
	}
}

// isOutdated reports whether a later incarnation under the same ID is known.
func (s *Sched) isOutdated(name string) bool {
	n := incarnation.Parse(name)
	w, ok := s.latest[n.ID]
	return ok && w.name.Replaces(n)
}

// otherAnswered handles that another incarnation answered a hold. If it has the same ID, it is known
// from then on, even if the store's list names it later.
func (s *Sched) otherAnswered(w *worker, name string) {
	if name == "" {
		s.incarnationEnded(w.Incarnation)
		return
	}
	next, ok := s.workers[name]
	if !ok {
		next = newWorker(Worker{Address: Address{Incarnation: name, Addr: w.Addr}}, s.usage)
		next.firstSeen, next.unlistedSince = s.now, s.now
		s.addWorker(next)
	}
	if !next.Addr.IsValid() {
		next.Addr = w.Addr
	}
	s.endReplaced()
	s.ensureHold(next)
}

// endReplaced ends the incarnations of which a later one is known.
func (s *Sched) endReplaced() {
	all := s.replaced
	s.replaced = nil
	for _, w := range all {
		if next := s.latest[w.name.ID]; next != nil && s.workers[w.Incarnation] == w {
			s.restarted(w, next)
		}
	}
}

// restarted ends an incarnation that another one under the same ID has replaced. A run that it has
// listed ended with it. Any other run whose start was sent to it may begin in the next one, since
// orders name only the ID: it is stopped there before its task starts anywhere else.
func (s *Sched) restarted(old, next *worker) {
	s.emit(Note{ID: next.Incarnation, What: "worker restarted under its id", Worker: old.Incarnation, Detail: old.describeRuns()})
	if !next.refusesFormerOrders() {
		next.startsFrom = latest(next.startsFrom, old.startsFrom)
		if ack := latest(old.lostAck, old.openAcks[:]...); !ack.IsZero() {
			next.startsFrom = latest(next.startsFrom, ack.Add(maxOrderDelay))
		}
		next.strayUntil = latest(next.strayUntil, s.lastStray())
	}
	for _, k := range sortedRuns(old.untracked) {
		if l := old.untracked[k]; s.mayMove(old, k) {
			s.dropUntracked(old, k, "worker restarted")
			s.untrackStray(old, next, k, l.footprint, l.sizeUnknown)
		}
	}
	if !old.dead {
		s.markEnded(old)
	}
	for _, t := range old.sortedTasks() {
		if t.MayBeRunning() && t.State != flow.Assigned && s.mayMove(old, runKey{t.Name, t.Run}) {
			s.carry(t, old, next)
		}
	}
	s.requeueEnded(old)
	s.repeatStops(old, next)
	if !old.name.HasBorn {
		// It may be the same incarnation: records of older builds name only the ID.
		for _, l := range old.takeLostRuns(s.now.Add(time.Nanosecond)) {
			s.clearSuspicion(l.task, old)
		}
	}
}

// repeatStops stops the runs that are not booked any more and whose starts may still arrive: the former
// incarnation has answered a stop of them, or would have refused their starts as those of a former
// leader, and the next one knows of neither.
func (s *Sched) repeatStops(old, next *worker) {
	for _, k := range sortedRuns(old.unlisted) {
		j, ok := s.jobs[k.task.Job]
		if ok && k.task.Step < len(j.Spec.Steps) && !next.knows(k) && s.startMayArrive(old, k) {
			s.untrackStray(old, next, k, footprintOf(j, k.task), false)
		}
	}
}

// lastStray returns until when orders may be carried out that were sent to an incarnation before it
// was known to have ended.
func (s *Sched) lastStray() time.Time {
	last := s.now
	if s.predecessorGone.IsZero() {
		last = latest(last, s.termStart.Add(StoreTimeout))
	}
	return latest(last, s.earlierGone).Add(maxOrderDelay)
}

// mayMove reports whether a run of a former incarnation may be in the next one.
func (s *Sched) mayMove(old *worker, k runKey) bool {
	_, unlisted := old.unlisted[k]
	return unlisted || !old.name.HasBorn
}

// carry moves a task to the next incarnation of its worker, and stops its run there. The run of an
// inherited task needs no stop if the next incarnation was not read yet: once it is, it obeys no
// start of a former leader any more, and its list shows whether the run is there.
func (s *Sched) carry(t *flow.Task, old, next *worker) {
	k := runKey{t.Name, t.Run}
	s.markLost(t, old)
	old.remove(t)
	delete(s.stops, k)
	t.Worker = next.Incarnation
	s.track(next, t)
	s.noteCarried(old, next, k)
	s.markDirty(t.Job)
	s.noteTask(t, "may be in the next incarnation", old.Incarnation)
	if t.State == flow.Inherited && !next.fenced {
		return
	}
	t.Transition(flow.Stop, s.now)
	st := &pendingStop{task: t, worker: next.Incarnation}
	s.stops[k] = st
	s.sendStop(k, st)
	if t.Spec().Gang {
		s.breakGang(t)
	}
}

// untrackStray counts a run on the next incarnation that may begin there, and stops it.
func (s *Sched) untrackStray(old, next *worker, k runKey, f footprint, sizeUnknown bool) {
	s.noteCarried(old, next, k)
	s.untrack(next, k, f, "may be in the next incarnation", func(l *untrackedRun) {
		l.latestStart, l.sizeUnknown = latest(l.latestStart, s.now.Add(maxOrderDelay)), sizeUnknown
		l.stopping = next.Addr.IsValid()
	})
	if next.Addr.IsValid() {
		s.emit(Stop{To: next.Address, Token: s.tokenFor(next), Task: k.task, Run: k.run})
	}
}

// describeAge returns how long ago a start was sent, for the log.
func (s *Sched) describeAge(sent time.Time) string {
	if sent.IsZero() {
		return " by a former leader"
	}
	return " " + s.now.Sub(sent).String() + " ago"
}

func (s *Sched) noteCarried(old, next *worker, k runKey) {
	next.unlisted[k] = old.unlisted[k]
	next.carried[k] = cmp.Or(old.carried[k], old.Incarnation)
}

// carriedFrom returns the incarnation to which the start of a task's run was sent, if that is not the
// one on which the run is tracked.
func (s *Sched) carriedFrom(t *flow.Task) string {
	if w, ok := s.workers[t.Worker]; ok {
		return w.carried[runKey{t.Name, t.Run}]
	}
	return ""
}

// seen notes that a worker has listed a run. A run that began in the incarnation after the one to
// which its start was sent did not end the former one.
func (s *Sched) seen(w *worker, k runKey) {
	sent := w.unlisted[k]
	delete(w.unlisted, k)
	former, ok := w.carried[k]
	if !ok {
		return
	}
	delete(w.carried, k)
	s.emit(Note{ID: k.task.String(), What: "run began in the next incarnation", Worker: w.Incarnation, Run: k.run, Detail: "its start was sent to " + former + s.describeAge(sent)})
	old, ok := s.workers[former]
	if !ok {
		return
	}
	if l, lost := old.lostRuns[k.task]; lost && l.run == k.run {
		delete(old.lostRuns, k.task)
		s.clearSuspicion(l.task, old)
	}
}
