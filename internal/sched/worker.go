package sched

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// worker is one life of a worker, as this lead knows it.
type worker struct {
	Worker
	// listed tells that the platform lists it now, draining that it leaves, and
	// until when it surely stays.
	listed   bool
	draining bool
	leavesAt time.Time
	// sizedAt is when its size was first listed.
	sizedAt time.Time
	tasks   map[flow.Name]*flow.Task
	// used is the room that tasks take, filled the processors of filling ones.
	used    cell.Size
	fillCPU int64
	// earmarked is the room that questions under way of steps before are likely to
	// take, in this pass.
	earmarked cell.Size
	// reserved is the room that is held free for wide tasks of steps before, in this pass.
	reserved cell.Size
	// untracked are runs that are not followed any more and may still be there; they
	// take room until the worker certainly does not have them.
	untracked map[runKey]untrackedRun
	// lostRuns are runs that were lostRuns here in silence.
	lostRuns map[flow.Name]lostRun
	// crashSuspects is how many tasks under which lives ended are here, trial the step of one
	// that is to run alone, in this pass.
	crashSuspects int
	trialStep     *flow.Stage
	// lastEndRead is the last end that was read, lastEndStored the last that is stored, lastEndAcked
	// the last that the worker knows to be stored.
	lastEndRead, lastEndStored, lastEndAcked int64
	// clock is the worker's time as of readAt; no lease is longer than deadline.
	clock, readAt time.Time
	leaseDeadline time.Time
	// fenced tells that it was read under this term: nothing that a former lead
	// sent can begin there any more.
	fenced bool
	// holding and probing tell of questions under way; asked when the last one
	// was sent, again when the next may be, doubt since when none has an answer.
	holding, probing   bool
	probeAgain         bool
	nextHold, lastHold time.Time
	unansweredSince    time.Time
	// backSince is when it answered again after that.
	backSince time.Time
	dead      bool
	// judgeAt is when what was at a life that ended is judgeAt, firstSeen when it was known first.
	judgeAt, firstSeen time.Time
	unlistedSince      time.Time
	// refusedUntil is until when it gets no work because it refused some.
	refusedUntil time.Time
	// predecessorLeaseEnd is when the former lead's leases have lapsed, if that one told.
	predecessorLeaseEnd time.Time
	health              health
	// speed is how fast its runs go, relative to their estimates.
	speed float64
	pace  pacing
}

func newWorker(w Worker) *worker {
	return &worker{Worker: w, tasks: map[flow.Name]*flow.Task{}, pace: newPacing(), speed: 1, untracked: map[runKey]untrackedRun{}, lostRuns: map[flow.Name]lostRun{}}
}

func (w *worker) add(t *flow.Task) {
	if _, ok := w.tasks[t.Name]; ok {
		return
	}
	w.tasks[t.Name] = t
	w.used = w.used.Add(t.Spec().Room())
	if t.Spec().Fills {
		w.fillCPU += t.Spec().Size.CPU
	}
}

func (w *worker) remove(t *flow.Task) {
	if _, ok := w.tasks[t.Name]; !ok {
		return
	}
	delete(w.tasks, t.Name)
	w.used = w.used.Sub(t.Spec().Room())
	if t.Spec().Fills {
		w.fillCPU -= t.Spec().Size.CPU
	}
}

// free is the room that nothing takes; parts of it are negative while a worker is smaller
// than what runs there.
func (w *worker) free() cell.Size {
	free := w.Size.Sub(w.used)
	for _, l := range w.untracked {
		if l.sizeUnknown {
			return cell.Size{CPU: min(free.CPU, 0), Mem: min(free.Mem, 0), Accel: min(free.Accel, 0)}
		}
	}
	return free
}

// available is what is free and not held for a wide task.
func (w *worker) available() cell.Size { return w.free().Sub(w.reserved) }

// silent tells whether the worker leaves calls without an answer.
func (w *worker) silent(now time.Time) bool {
	return !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) > silentAfter
}

// usable tells whether the worker may get work at all. Entries lapse while the platform's
// store is away, and are back up to two seconds after it; a worker that answers although
// it is not listed has not left. Without work until it is listed again, all workers would
// stand idle in the moment when everybody has waited for the store.
func (w *worker) usable(now time.Time) bool {
	since := w.unlistedSince
	if w.backSince.After(since) {
		since = w.backSince
	}
	listed := w.listed || now.Sub(since) < unlistedGrace && w.readAt.After(w.unlistedSince)
	return listed && w.fenced && !w.dead && !w.draining && w.unansweredSince.IsZero() && w.Size != (cell.Size{})
}

// clockAt is the worker's time now, or later than that if its clock is slow.
func (w *worker) clockAt(now time.Time) time.Time { return w.clock.Add(now.Sub(w.readAt)) }

func (w *worker) extendDeadline(deadline time.Time) {
	if deadline.After(w.leaseDeadline) {
		w.leaseDeadline = deadline
	}
}

// leaseEnd is when, by this host's clock, no lease on the worker can last any
// more. Its clock may be slow, so a lease takes longer than it says.
func (w *worker) leaseEnd() time.Time {
	if !w.leaseDeadline.After(w.clock) {
		return w.readAt
	}
	return w.readAt.Add(time.Duration(float64(w.leaseDeadline.Sub(w.clock)) / (1 - maxClockDrift)))
}

// evacuate stops tasks on workers that leave: lasting ones at once, others
// when they would not end before the worker goes.
func (s *Sched) evacuate(w *worker) {
	for _, t := range w.sortedTasks() {
		if t.State != flow.Running {
			continue
		}
		st := t.Spec()
		switch {
		case st.Lasts:
			s.stopRun(t, "worker leaves")
		case st.Saves && s.now.Add(s.limits.StopGrace).After(w.leavesAt):
			s.stopRun(t, "worker leaves")
		}
	}
}

// incarnationEnded gives up a life that has ended: nothing runs there.
func (s *Sched) incarnationEnded(life string) {
	w, ok := s.workers[life]
	if !ok || w.dead {
		return
	}
	w.dead, w.judgeAt = true, s.now.Add(crashJudgeDelay)
	s.recordOutage(w)
	s.emit(Note{ID: life, What: "worker has begun another life", Worker: life, Detail: w.describeRuns()})
	for _, t := range w.sortedTasks() {
		// The answer to a start that is under way tells whether the life ended before it.
		if t.State != flow.Starting {
			s.markLost(t, w)
			s.requeueTask(t, "worker died")
		}
	}
}

// loseTasks puts back all tasks of a silent worker on which nothing can run any more.
func (s *Sched) loseTasks(w *worker) {
	for _, t := range w.sortedTasks() {
		s.markLost(t, w)
		s.requeueTask(t, "lapsed at a silent worker")
	}
}

// checkWorkers notices leases that have surely lapsed and goes on asking.
func (s *Sched) checkWorkers() {
	for _, w := range s.sortedWorkers() {
		life := w.Incarnation
		if w.draining && !w.dead {
			s.evacuate(w)
		}
		if !w.dead && w.silent(s.now) {
			s.copySilentTasks(w)
		}
		if !w.dead && s.leasesLapsed(w) {
			s.emit(Note{ID: life, What: "leases have lapsed", Worker: life})
			s.loseTasks(w)
		}
		if w.dead && !s.now.Before(w.judgeAt) {
			s.countLostRuns(w)
		}
		if w.listed || len(w.tasks) > 0 {
			s.ensureHold(w)
			continue
		}
		switch {
		case s.canForget(w):
			s.emit(Note{ID: life, What: "worker forgotten", Worker: life, Detail: w.describeEnd()})
			s.resolveForgotten(w)
			delete(s.workers, life)
			s.workersChanged()
		case len(w.lostRuns) > 0:
			s.ensureHold(w)
		}
	}
}

// canForget tells whether a worker that is not listed may be forgotten.
func (s *Sched) canForget(w *worker) bool {
	if w.dead {
		return len(w.lostRuns) == 0
	}
	since := w.unlistedSince
	if since.IsZero() && len(w.lostRuns) > 0 {
		since = s.termStart
	}
	return s.now.Sub(since) > forgetWorkerAfter
}

// maxLoggedRuns is how many runs one line names.
const maxLoggedRuns = 12

// describeRuns names what may run on the worker, for the log.
func (w *worker) describeRuns() string {
	keys := sortedRuns(w.untracked)
	for _, t := range w.sortedTasks() {
		keys = append(keys, runKey{t.Name, t.Run})
	}
	slices.SortFunc(keys, compareRuns)
	var all []string
	for _, k := range slices.Compact(keys) {
		all = append(all, k.task.String()+" run "+strconv.Itoa(k.run))
	}
	if more := len(all) - maxLoggedRuns; more > 0 {
		all = append(all[:maxLoggedRuns], strconv.Itoa(more)+" more")
	}
	return strings.Join(all, ", ")
}

// describeEnd is what is known of how a life ended, for the log.
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
