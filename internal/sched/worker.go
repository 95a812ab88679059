package sched

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/incarnation"
	"pollencroft/internal/quarantine"
	"pollencroft/internal/quota"
)

// worker is one incarnation of a worker, as this leader knows it.
type worker struct {
	Worker
	name incarnation.Name
	// listed means that the platform lists it now, draining that it is leaving; it certainly stays
	// until leavesAt.
	listed   bool
	draining bool
	leavesAt time.Time
	// sizedAt is when its current size was first listed.
	sizedAt time.Time
	tasks   map[flow.Name]*flow.Task
	// jobs counts the tasks by job.
	jobs map[*flow.Job]int
	// occupancy is what all runs take that may be on the worker.
	occupancy
	// earmarked is the capacity that earlier steps with queries in flight are likely to use, in
	// this pass.
	earmarked cell.Size
	// reserved is the capacity that is held free for wide tasks of earlier steps, in this pass.
	reserved cell.Size
	// untracked holds runs that are no longer tracked and may still be on the worker. What they take
	// is booked until they certainly are not there any more.
	untracked map[runKey]untrackedRun
	// lostRuns holds runs that were lost when the worker stopped answering.
	lostRuns map[flow.Name]lostRun
	// crashSuspects is how many crash suspects are on the worker, trialStep the step of one that
	// has to run alone, in this pass.
	crashSuspects int
	trialStep     *flow.Stage
	// lastEndRead is the last end that was read, lastEndStored the last one that is stored, and
	// lastEndAcked the last one that the worker knows to be stored.
	lastEndRead, lastEndStored, lastEndAcked int64
	// moreEnds means that the last reply that was read did not list all ends.
	moreEnds bool
	// endReadAt is when an end was last read.
	endReadAt time.Time
	// clock is the worker's time as of readAt. No lease lasts beyond leaseDeadline, and no start is
	// accepted after startDeadline.
	clock, readAt                time.Time
	leaseDeadline, startDeadline time.Time
	// fenced means that the worker was read under this term: nothing that a previous leader sent
	// can begin there any more.
	fenced bool
	// holding and probing mean that a hold or a probe is in flight. lastHold is when the last hold
	// was sent, nextHold when the next one may be sent, and unansweredSince is set while holds have
	// no answer.
	holding, probing   bool
	probeAgain         bool
	nextHold, lastHold time.Time
	unansweredSince    time.Time
	// backSince is when the worker last answered again after being silent.
	backSince time.Time
	dead      bool
	// judgeAt is when the runs on an ended incarnation are judged, firstSeen when the worker became
	// known.
	judgeAt, firstSeen time.Time
	unlistedSince      time.Time
	// refusedUntil is until when the worker gets no work because it rejected some.
	refusedUntil time.Time
	// predecessorLeaseEnd is when the previous leader's leases have expired, if that leader
	// reported it.
	predecessorLeaseEnd time.Time
	// recordedLeaseEnd is the same if it follows from what that leader has stored. recordedIn is the
	// number of the last append that names the worker among those that do not answer, until a later one
	// without it is stored; no leases are renewed there until then.
	recordedLeaseEnd time.Time
	recordedIn       int64
	health           quarantine.Record
	// speed is how fast its runs progress, relative to their estimates.
	speed float64
	pace  pacing
	// factor is how many times as long runs take on the worker as on the fastest kind, kindFactor the
	// same for its kind, as of factorVersion.
	factor, kindFactor float64
	factorVersion      int
	restart
	workerToken
}

func newWorker(w Worker, u *quota.Usage) *worker {
	return &worker{Worker: w, name: incarnation.Parse(w.Incarnation), restart: newRestart(), occupancy: newOccupancy(u), tasks: map[flow.Name]*flow.Task{}, jobs: map[*flow.Job]int{}, pace: newPacing(), speed: 1, untracked: map[runKey]untrackedRun{}, lostRuns: map[flow.Name]lostRun{}}
}

// add tracks a task on the worker, and reports whether more runs of its step are there than may be.
func (w *worker) add(t *flow.Task) (exceeded bool) {
	if _, ok := w.tasks[t.Name]; ok {
		return false
	}
	w.tasks[t.Name] = t
	w.jobs[t.Job]++
	return w.book(footprintOf(t.Job, t.Name))
}

func (w *worker) remove(t *flow.Task) {
	if _, ok := w.tasks[t.Name]; !ok {
		return
	}
	delete(w.tasks, t.Name)
	w.release(footprintOf(t.Job, t.Name))
	if w.jobs[t.Job]--; w.jobs[t.Job] == 0 {
		delete(w.jobs, t.Job)
	}
}

// knows reports whether a run is booked on the worker.
func (w *worker) knows(k runKey) bool {
	t, ok := w.tasks[k.task]
	return ok && t.Run == k.run || w.isUntracked(k)
}

// free is the unused capacity. Parts of it are negative while a worker is smaller than what runs
// there.
func (w *worker) free() cell.Size {
	free := w.Size.Sub(w.used)
	if len(w.untracked) == 0 {
		return free
	}
	for _, l := range w.untracked {
		if l.sizeUnknown {
			return cell.Size{CPU: min(free.CPU, 0), Mem: min(free.Mem, 0), Accel: min(free.Accel, 0)}
		}
	}
	return free
}

// available returns the capacity that is free and not reserved for a wide task.
func (w *worker) available() cell.Size { return w.free().Sub(w.reserved) }

// hasRoom reports whether the worker has capacity for a demand beside what is held free there.
func (w *worker) hasRoom(demand, held cell.Size) bool { return fitsBeside(demand, w.free(), held) }

// fitsBeside reports whether a demand fits into what is free beside what is held for others. Of that
// only the resources count that the demand takes: best-effort tasks take no processors.
func fitsBeside(demand, free, held cell.Size) bool {
	return demand.Fits(free) && demand.FitCount(free.Sub(held)) > 0
}

// unclaimedCPU is the unused processors that no best-effort task has asked for. It is negative where
// such tasks share what is unused.
func (w *worker) unclaimedCPU() int64 { return w.free().CPU - w.bestEffortCPU }

// shortage returns which share of the processors that a best-effort task asks for is not unclaimed.
func (w *worker) shortage(cpu int64) float64 {
	if cpu <= 0 {
		return 0
	}
	return 1 - float64(min(max(w.unclaimedCPU(), 0), cpu))/float64(cpu)
}

// silent reports whether the worker has left calls unanswered for longer than silentAfter.
func (w *worker) silent(now time.Time) bool {
	return !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) > silentAfter
}

// usable reports whether the worker may get work at all. Entries expire during an outage of the
// platform's store, and are back up to two seconds after it; a worker that answers although it is
// not listed has not left. If unlisted workers got no work, all of them would stand idle just when
// everybody has waited for the store.
func (w *worker) usable(now time.Time) bool {
	since := w.unlistedSince
	if w.backSince.After(since) {
		since = w.backSince
	}
	listed := w.listed || now.Sub(since) < unlistedGrace && w.readAt.After(w.unlistedSince)
	return listed && w.fenced && w.recordedIn == 0 && !w.dead && !w.draining && w.unansweredSince.IsZero() && !now.Before(w.startsFrom) && w.Size != (cell.Size{})
}

// mayReturn reports whether the worker gets no work only because it has just missed a reply.
func (w *worker) mayReturn(now time.Time) bool {
	return w.listed && w.fenced && !w.dead && !w.draining && !w.silent(now) && !now.Before(w.startsFrom) && w.Size != (cell.Size{})
}

// clockAt returns the worker's time now; if its clock is slow, the result is later than that.
func (w *worker) clockAt(now time.Time) time.Time { return w.clock.Add(now.Sub(w.readAt)) }

func (w *worker) extendDeadline(deadline time.Time) {
	if deadline.After(w.leaseDeadline) {
		w.leaseDeadline = deadline
	}
}

// leaseEnd returns when all leases on the worker have expired, by this host's clock. The worker's
// clock may be slow, so a lease takes longer than its nominal time.
func (w *worker) leaseEnd() time.Time {
	if !w.leaseDeadline.After(w.clock) {
		return w.readAt
	}
	return w.readAt.Add(onSlowClock(w.leaseDeadline.Sub(w.clock)))
}

// evacuate stops tasks on a draining worker: long-running ones at once, and others that save their
// progress just before the worker leaves.
func (s *Sched) evacuate(w *worker) {
	for _, t := range w.sortedTasks() {
		if t.State != flow.Running {
			continue
		}
		st := t.Spec()
		switch {
		case st.LongRunning:
			s.stopRun(t, "worker leaves")
		case st.Checkpoints && s.now.Add(s.limits.StopGrace).After(w.leavesAt):
			s.stopRun(t, "worker leaves")
		}
	}
}

// incarnationEnded handles the end of an incarnation: nothing runs there any more.
func (s *Sched) incarnationEnded(name string) {
	w, ok := s.workers[name]
	if ok && !w.dead {
		s.markEnded(w)
		s.requeueEnded(w)
	}
}

func (s *Sched) markEnded(w *worker) {
	w.dead, w.judgeAt = true, s.now.Add(crashJudgeDelay)
	s.speeds.ForgetWorker(w.Incarnation)
	s.dropAllUntracked(w, "worker died")
	s.recordOutage(w)
	s.emit(Note{ID: w.Incarnation, What: "worker has begun another incarnation", Worker: w.Incarnation, Detail: w.describeRuns()})
}

// requeueEnded requeues the tasks of an ended incarnation.
func (s *Sched) requeueEnded(w *worker) {
	for _, t := range w.sortedTasks() {
		// The reply to a start in flight shows whether the incarnation ended before it.
		if t.State != flow.Starting {
			s.markLost(t, w)
			s.requeueTask(t, "worker died")
		}
	}
}

// loseTasks requeues all tasks of a silent worker on which nothing can run any more.
func (s *Sched) loseTasks(w *worker) {
	for _, t := range w.sortedTasks() {
		s.markLost(t, w)
		if l, ok := w.lostRuns[t.Name]; ok && s.endedForOtherCause(w, l) {
			// Whether the worker has ended may never be known.
			s.clearSuspicion(t, w)
			delete(w.lostRuns, t.Name)
		}
		s.requeueTask(t, "lapsed at a silent worker")
	}
}

// checkWorkers handles leases that have certainly expired, and keeps polling workers.
func (s *Sched) checkWorkers() {
	for _, w := range s.sortedWorkers() {
		s.pruneUnlisted(w)
		if w.draining && !w.dead {
			s.evacuate(w)
		}
		switch {
		case !w.dead:
			s.checkLeases(w)
		case !s.now.Before(w.judgeAt):
			s.countLostRuns(w)
		}
		if w.listed || len(w.tasks) > 0 {
			s.ensureHold(w)
			continue
		}
		switch {
		case s.canForget(w):
			s.emit(Note{ID: w.Incarnation, What: "worker forgotten", Worker: w.Incarnation, Detail: w.describeEnd()})
			s.resolveForgotten(w)
			s.dropAllUntracked(w, "worker forgotten")
			s.speeds.ForgetWorker(w.Incarnation)
			s.removeWorker(w)
		case len(w.lostRuns)+len(w.untracked) > 0:
			s.ensureHold(w)
		}
	}
}

// checkLeases copies the tasks of a silent worker that allow copies, and gives up what was on it once
// all leases have certainly expired.
func (s *Sched) checkLeases(w *worker) {
	if w.silent(s.now) {
		s.copySilentTasks(w)
	}
	if s.leasesLapsed(w) {
		s.emit(Note{ID: w.Incarnation, What: "leases have lapsed", Worker: w.Incarnation, Detail: s.describeBound(w), Silent: s.silence(w)})
		s.loseTasks(w)
	}
	if (!w.fenced || w.silent(s.now)) && s.now.After(s.leaseBound(w)) {
		s.dropAllUntracked(w, "leases have lapsed")
	}
}

// canForget reports whether a worker that is not listed may be forgotten.
func (s *Sched) canForget(w *worker) bool {
	if w.dead {
		return len(w.lostRuns) == 0
	}
	if len(w.untracked) > 0 && !s.now.After(s.leaseBound(w)) {
		return false
	}
	since := w.unlistedSince
	if since.IsZero() && len(w.lostRuns) > 0 {
		since = s.termStart
	}
	return s.now.Sub(since) > forgetWorkerAfter
}

// maxLoggedRuns is how many runs one log line names.
const maxLoggedRuns = 12

// describeRuns lists the runs that may be on the worker, for the log.
func (w *worker) describeRuns() string { return describe(w.allRuns()) }

// describeRunsOf lists the runs of a step that may be on the worker, for the log.
func (w *worker) describeRunsOf(step stepKey) string {
	return describe(slices.DeleteFunc(w.allRuns(), func(k runKey) bool { return stepOf(k.task) != step }))
}

// allRuns lists the runs that may be on the worker, sorted.
func (w *worker) allRuns() []runKey {
	keys := sortedRuns(w.untracked)
	for _, t := range w.sortedTasks() {
		keys = append(keys, runKey{t.Name, t.Run})
	}
	slices.SortFunc(keys, compareRuns)
	return slices.Compact(keys)
}

func describe(keys []runKey) string {
	var all []string
	for _, k := range keys {
		all = append(all, k.task.String()+" run "+strconv.Itoa(k.run))
	}
	if more := len(all) - maxLoggedRuns; more > 0 {
		all = append(all[:maxLoggedRuns], strconv.Itoa(more)+" more")
	}
	return strings.Join(all, ", ")
}

// describeEnd returns what is known about how an incarnation ended, for the log.
func (w *worker) describeEnd() string {
	switch {
	case w.dead:
		return "another life began"
	case w.draining:
		return "left"
	case !w.unansweredSince.IsZero() || !w.fenced:
		return "does not answer"
	default:
		return "not listed"
	}
}
