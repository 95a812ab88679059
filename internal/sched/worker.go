package sched

import (
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
	leaves   time.Time
	tasks    map[flow.Name]*flow.Task
	// used is the room that tasks take, filled the processors of filling ones.
	used   cell.Size
	filled int64
	// loose are runs that are not followed any more and may still be there; they
	// take room until the worker certainly does not have them.
	loose map[runKey]looseRun
	// seen is the last end that was read, noted the last that is stored, told
	// the last that the worker knows to be stored.
	seen, noted, told int64
	// clock is the worker's time as of read; no lease is longer than deadline.
	clock, read time.Time
	deadline    time.Time
	// fenced tells that it was read under this term: nothing that a former lead
	// sent can begin there any more.
	fenced bool
	// holding and looking tell of questions under way; asked when the last one
	// was sent, again when the next may be, doubt since when none has an answer.
	holding, looking bool
	lookAgain        bool
	again, asked     time.Time
	doubt            time.Time
	dead             bool
	unlisted         time.Time
	// full is until when it gets no work because it refused some.
	full time.Time
	// until is when the former lead's leases have lapsed, if that one told.
	until  time.Time
	missed int
	health health
	// speed is how fast its runs go, relative to their estimates.
	speed float64
	pace  pacing
}

func newWorker(w Worker) *worker {
	return &worker{Worker: w, tasks: map[flow.Name]*flow.Task{}, pace: newPacing(), speed: 1, loose: map[runKey]looseRun{}}
}

func (w *worker) put(t *flow.Task) {
	if _, ok := w.tasks[t.Name]; ok {
		return
	}
	w.tasks[t.Name] = t
	w.used = w.used.Add(t.Spec().Room())
	if t.Spec().Fills {
		w.filled += t.Spec().Size.CPU
	}
}

func (w *worker) drop(t *flow.Task) {
	if _, ok := w.tasks[t.Name]; !ok {
		return
	}
	delete(w.tasks, t.Name)
	w.used = w.used.Sub(t.Spec().Room())
	if t.Spec().Fills {
		w.filled -= t.Spec().Size.CPU
	}
}

// looseRun is the room of a run that is not followed, which may begin as late
// as until.
type looseRun struct {
	room  cell.Size
	until time.Time
}

// loosen goes on booking the room of a run that is not followed any more.
func (w *worker) loosen(k runKey, room cell.Size, now time.Time) {
	if _, ok := w.loose[k]; !ok {
		w.used = w.used.Add(room)
	}
	w.loose[k] = looseRun{room: room, until: now.Add(startLease + onItsWay)}
}

// settleLoose frees the room of loose runs that are listed no longer and can
// begin no longer.
func (w *worker) settleLoose(listed map[flow.Name]int, now time.Time) {
	for k, l := range w.loose {
		if listed[k.task] == k.run || now.Before(l.until) {
			continue
		}
		w.used = w.used.Sub(l.room)
		delete(w.loose, k)
	}
}

func (w *worker) free() cell.Size { return w.Size.Sub(w.used) }

// silent tells whether the worker leaves calls without an answer.
func (w *worker) silent(now time.Time) bool {
	return !w.doubt.IsZero() && now.Sub(w.doubt) > silentAfter
}

// usable tells whether the worker may get work at all.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.fenced && !w.dead && !w.draining && w.doubt.IsZero()
}

// clockAt is the worker's time now, or later than that if its clock is slow.
func (w *worker) clockAt(now time.Time) time.Time { return w.clock.Add(now.Sub(w.read)) }

func (w *worker) promise(deadline time.Time) {
	if deadline.After(w.deadline) {
		w.deadline = deadline
	}
}

// lapsed is when, by this host's clock, no lease on the worker can last any
// more. Its clock may be slow, so a lease takes longer than it says.
func (w *worker) lapsed() time.Time {
	if !w.deadline.After(w.clock) {
		return w.read
	}
	return w.read.Add(time.Duration(float64(w.deadline.Sub(w.clock)) / (1 - drift)))
}

func (s *Sched) setWorkers(ev Workers) {
	listed := make(map[string]bool, len(ev.All))
	for _, l := range ev.All {
		listed[l.Life] = true
		w, ok := s.workers[l.Life]
		if !ok {
			w = newWorker(l)
			s.workers[l.Life] = w
			s.do(Note{ID: l.Life, What: "worker listed", Worker: l.Life, Detail: l.Domain})
		}
		if !w.Addr.IsValid() {
			w.know(l)
		}
		w.listed, w.unlisted = true, time.Time{}
		if l.Draining && !w.draining {
			s.drain(w, l.Left)
		}
		s.keepHolding(w)
	}
	for _, w := range s.lives() {
		life := w.Life
		if !listed[life] && w.listed {
			w.listed, w.unlisted = false, s.now
			s.do(Note{ID: life, What: "worker not listed", Worker: life})
		}
	}
}

// know takes over what the platform says of a worker of which only the life was
// known, from a former lead's records.
func (w *worker) know(l Worker) {
	w.Worker = l
}

// drain moves what would not end in time; nothing more starts there.
func (s *Sched) drain(w *worker, left time.Duration) {
	w.draining = true
	w.leaves = s.now.Add(left)
	s.do(Note{ID: w.Life, What: "worker leaves", Worker: w.Life, Detail: left.String()})
}

// evacuate stops tasks on workers that leave: lasting ones at once, others
// when they would not end before the worker goes.
func (s *Sched) evacuate(w *worker) {
	for _, t := range w.inOrder() {
		if t.State != flow.Running {
			continue
		}
		st := t.Spec()
		switch {
		case st.Lasts:
			s.stop(t, "worker leaves")
		case st.Saves && s.now.Add(s.limits.StopGrace).After(w.leaves):
			s.stop(t, "worker leaves")
		}
	}
}

// keepHolding keeps one hold under way on a worker that has anything to hold,
// to read or to forget.
func (s *Sched) keepHolding(w *worker) {
	if w.holding || w.dead || !w.Addr.IsValid() || s.now.Before(w.again) {
		return
	}
	if w.fenced && len(w.tasks) == 0 && len(w.loose) == 0 && w.told >= w.noted && w.doubt.IsZero() {
		return
	}
	if w.fenced && w.seen > w.noted && s.now.Sub(w.asked) < unnotedEvery {
		// Ends that are not noted make every hold answer at once. The append that
		// is under way lets the worker be asked again.
		return
	}
	w.holding, w.asked = true, s.now
	h := Hold{To: w.Address, Term: s.term, Seen: w.noted}
	if w.fenced && w.doubt.IsZero() {
		// A worker that does not answer is only asked: a hold that is carried out
		// unanswered would lengthen leases, and a dead worker's never ran out.
		h.Deadline = w.clockAt(s.now).Add(s.limits.Lease)
		w.promise(h.Deadline)
		if len(w.tasks) > 0 {
			h.Wait = s.limits.Wait
			if w.filled > 0 && w.serves() {
				h.Wait = stepEvery / 2
			}
		}
	}
	s.do(h)
}

// look reads the worker's list beside the hold that may be waiting there.
func (s *Sched) look(w *worker) {
	if w.looking {
		w.lookAgain = true
		return
	}
	if w.dead || !w.Addr.IsValid() {
		return
	}
	w.looking = true
	s.do(Hold{To: w.Address, Term: s.term, Seen: w.noted, Look: true})
}

func (s *Sched) held(ev Held) {
	w, ok := s.workers[ev.Worker]
	if !ok || w.dead {
		return
	}
	if ev.Look {
		w.looking = false
		if w.lookAgain {
			w.lookAgain = false
			defer s.look(w)
		}
	} else {
		w.holding = false
	}
	switch ev.Outcome {
	case Taken:
		s.read(w, ev)
	case OtherLife:
		s.died(w.Life)
		return
	case Fenced:
		s.do(Depose{Worker: w.Life})
		return
	default:
		if w.doubt.IsZero() {
			w.doubt = s.now
			s.do(Note{ID: w.Life, What: "worker does not answer", Worker: w.Life, Detail: ev.Outcome.String()})
		}
		w.again = s.now.Add(retryAfter)
		return
	}
	s.keepHolding(w)
}

// read takes over a worker's lists.
func (s *Sched) read(w *worker, ev Held) {
	if !w.doubt.IsZero() {
		s.do(Note{ID: w.Life, What: "worker answers again", Worker: w.Life})
	}
	w.doubt = time.Time{}
	if ev.Received.After(w.read) {
		w.clock, w.read = ev.Clock, ev.Received
	}
	first := !w.fenced
	w.fenced = true
	if first {
		w.promise(ev.Clock.Add(s.limits.Lease))
	}
	w.told = max(w.told, ev.Seen)
	for _, e := range ev.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			s.ended(w, e, ev.Clock)
		}
	}
	if w.seen > w.noted {
		s.next.seen[w] = w.seen
	}
	listed := make(map[flow.Name]int, len(ev.Running))
	for _, l := range ev.Running {
		listed[l.Task] = l.Run
		s.listed(w, l, ev.Clock)
	}
	for _, t := range w.inOrder() {
		if listed[t.Name] != t.Run {
			s.absent(t, ev.Sent, first)
		}
	}
	s.judgePace(w, ev.Clock)
	w.settleLoose(listed, s.now)
	s.repace(w, ev.Running)
}

// listed takes note of a run that is at the worker.
func (s *Sched) listed(w *worker, l Listed, clock time.Time) {
	t := s.task(runKey{l.Task, l.Run})
	if t == nil || t.Worker != w.Life {
		if !s.adoptCopy(w, l) {
			s.stray(w, l)
		}
		return
	}
	if t.State == flow.Starting || t.State == flow.Inherited {
		s.confirm(t)
	}
	if l.Saved != "" {
		t.Saved = l.Saved
	}
	if t.State == flow.Running && t.Job.State.Final() {
		s.stop(t, "job is over")
		return
	}
	s.progress(w, t, l, clock)
}

// adoptCopy takes over a copy that a former lead started and could not store
// any more.
func (s *Sched) adoptCopy(w *worker, l Listed) bool {
	j, ok := s.jobs[l.Task.Job]
	if !ok || j.State.Final() {
		return false
	}
	t := j.Task(l.Task)
	if t == nil || !t.Spec().Copies || t.State != flow.Waiting || l.Run < t.Run {
		return false
	}
	t.Worker, t.Run = w.Life, l.Run
	t.Move(flow.Assign, s.now)
	t.Move(flow.Send, s.now)
	w.put(t)
	s.confirm(t)
	s.touch(j)
	return true
}

// stray stops a run that no record names. It can only be one that was given up
// for lapsed by a clock that was wrong; it must not work on unseen.
func (s *Sched) stray(w *worker, l Listed) {
	if j, ok := s.jobs[l.Task.Job]; ok && l.Task.Step < len(j.Spec.Steps) {
		w.loosen(runKey{l.Task, l.Run}, j.Spec.Steps[l.Task.Step].Room(), s.now)
	}
	s.do(Note{ID: l.Task.String(), What: "stray run", Worker: w.Life, Run: l.Run})
	s.do(Stop{To: w.Address, Term: s.term, Task: l.Task, Run: l.Run})
}

// absent judges a task that the worker does not list. Only a list that was
// asked for after the run was certain to be there, or certain never to begin,
// tells anything.
func (s *Sched) absent(t *flow.Task, sent time.Time, first bool) {
	switch t.State {
	case flow.Inherited:
		// Read under this term, so nothing older can begin there any more.
		s.gone(t, "not at its worker")
	case flow.Running:
		if sent.After(t.Since) {
			s.gone(t, "no longer at its worker")
		}
	case flow.Stopping:
		st, ok := s.stops[runKey{t.Name, t.Run}]
		if ok && !st.sure.IsZero() && !sent.Before(st.sure) {
			s.gone(t, "stopped")
		}
	}
}

// ended takes note of a run's end. An end as done counts whatever became of the
// leases since: taking it for lapsed and running the task again would run it
// twice if it had not.
func (s *Sched) ended(w *worker, e End, clock time.Time) {
	t := s.task(runKey{e.Task, e.Run})
	if t == nil || t.Worker != w.Life || !t.Out() {
		s.endedCopy(e)
		return
	}
	if e.Saved != "" {
		t.Saved = e.Saved
	}
	switch {
	case e.How == EndDone:
		w.health.good()
		w.measure(t, clock)
		s.finish(t)
	case e.How == EndFailed && t.State != flow.Stopping:
		s.blame(w, t)
		s.failed(t)
	case e.How == EndFailed:
		s.failed(t)
	default:
		s.gone(t, "ended as "+e.How.String())
	}
}

// endedCopy takes the end of a copy that is not the one that is followed: the
// first that is done counts, and the other one is stopped.
func (s *Sched) endedCopy(e End) {
	j, ok := s.jobs[e.Task.Job]
	if !ok || e.How != EndDone || j.State.Final() {
		return
	}
	t := j.Task(e.Task)
	if t == nil || !t.Spec().Copies || t.State == flow.Done {
		return
	}
	if w, ok := s.workers[t.Worker]; ok && t.Out() && t.State != flow.Assigned {
		s.do(Stop{To: w.Address, Term: s.term, Task: t.Name, Run: t.Run})
		w.loosen(runKey{t.Name, t.Run}, t.Spec().Room(), s.now)
	}
	s.done(t)
}

// copySilent begins copies of what may run on a worker that does not answer.
func (s *Sched) copySilent(w *worker) {
	for _, t := range w.inOrder() {
		if t.Spec().Copies && !t.Spec().Gang && (t.State == flow.Running || t.State == flow.Starting) {
			w.loosen(runKey{t.Name, t.Run}, t.Spec().Room(), s.now)
			s.gone(t, "worker is silent, a copy may run")
		}
	}
}

// finish ends a task, and its gang with it: they end as done together.
func (s *Sched) finish(t *flow.Task) {
	if !t.Spec().Gang {
		s.done(t)
		return
	}
	run := t.Run
	for _, m := range t.Step.Tasks {
		if m.Run == run && m.State != flow.Done {
			s.done(m)
		}
	}
}

// died gives up a life that has ended: nothing runs there.
func (s *Sched) died(life string) {
	w, ok := s.workers[life]
	if !ok || w.dead {
		return
	}
	w.dead = true
	s.do(Note{ID: life, What: "worker has begun another life", Worker: life})
	s.abandon(w, "worker died")
}

// abandon puts back all tasks of a worker on which nothing can run any more.
func (s *Sched) abandon(w *worker, why string) {
	for _, t := range w.inOrder() {
		s.gone(t, why)
	}
}

// vacant tells whether the leases of all that may run on a silent worker have
// surely lapsed.
func (s *Sched) vacant(w *worker) bool {
	if len(w.tasks) == 0 || w.fenced && !w.silent(s.now) {
		return false
	}
	return s.now.After(s.bound(w))
}

// bound is when the leases on a worker that answers no more have surely lapsed.
// Of a worker that was never read under this term nobody knows how long the
// former lead's leases are: that lead gives up its term in time, and what it
// held last cannot last longer than one lease.
func (s *Sched) bound(w *worker) time.Time {
	if w.fenced {
		return w.lapsed()
	}
	at := s.began.Add(GiveUp + longest(s.limits.Lease))
	if !s.former.IsZero() {
		at = s.former.Add(longest(s.limits.Lease))
	}
	if !w.until.IsZero() && w.until.Before(at) {
		return w.until
	}
	return at
}

// Bounds returns how much longer anything may run on each worker that does not
// answer. A successor would wait for a whole lease again.
func (s *Sched) Bounds(now time.Time) map[string]time.Duration {
	all := map[string]time.Duration{}
	for life, w := range s.workers {
		if len(w.tasks) > 0 && (!w.fenced || w.silent(now)) {
			all[life] = max(s.bound(w).Sub(now), 0)
		}
	}
	return all
}

// longest is how long a lease may last from when it was asked for, on a slow
// clock and with what was on its way.
func longest(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-drift)) + onItsWay
}

// watchWorkers notices leases that have surely lapsed and goes on asking.
func (s *Sched) watchWorkers() {
	for _, w := range s.lives() {
		life := w.Life
		if w.draining && !w.dead {
			s.evacuate(w)
		}
		if w.silent(s.now) {
			s.copySilent(w)
		}
		if s.vacant(w) {
			s.do(Note{ID: life, What: "leases have lapsed", Worker: life})
			s.abandon(w, "lapsed at a silent worker")
		}
		if !w.listed && len(w.tasks) == 0 && (w.dead || s.now.Sub(w.unlisted) > retired) {
			delete(s.workers, life)
			continue
		}
		if !w.listed && len(w.tasks) == 0 {
			continue
		}
		s.keepHolding(w)
	}
}
