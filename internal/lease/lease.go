// Package lease decides on which workers this host may start tasks. The right to a worker is a
// lease on its anchor, which the worker itself stores. This core only tracks until when the host
// certainly still holds it.
package lease

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/chart"
)

// driftDivisor is the inverse of the fraction of a lease that this host leaves unused, so that it
// does not rely on a lapsed lease if its clock runs 1 % too slow.
const driftDivisor = 50

var leaseChart = chart.MustLoad("lease")

type worker struct {
	state  chart.State
	wanted bool
	// led is set between Up and Down: this host was notified that it leads the worker.
	led          bool
	validUntil   time.Time
	nextExchange time.Time
	// reading is the last answer of the worker. tasks are all tasks that it lists, also those that
	// did not change in the last answer.
	reading Reading
	tasks   map[string]Task
	// inFlight counts, by task, the starts that have no answer yet. After lostStartsUntil, no start
	// whose answer was lost can be carried out any more.
	inFlight        map[string]int
	lostStartsUntil time.Time
	// lapsesBy is the latest time at which the lease can lapse at the worker.
	lapsesBy time.Time
	// lastStartAnswer is when the last start was answered. A task list that was requested earlier
	// may not show its task.
	lastStartAnswer time.Time
	// expectedEnds are the times, by task, at which started tasks are expected to end.
	expectedEnds map[string]time.Time
	// incarnation is the last known incarnation of the worker. After staleStartsUntil, no start
	// that other hosts sent to an earlier incarnation can be carried out any more.
	incarnation      string
	staleStartsUntil time.Time
	// awaitedIncarnation is the incarnation for which AwaitStarts was issued.
	awaitedIncarnation string
	// inDomain is set if the worker belongs to the failure domain. nextIncarnationQuery is when to
	// ask for its incarnation.
	inDomain             bool
	nextIncarnationQuery time.Time
}

// Leases is the lease core of one host. It does no I/O.
type Leases struct {
	limits  Limits
	workers map[string]*worker
}

// New returns a core that holds no lease.
func New(limits Limits) *Leases { return &Leases{limits: limits, workers: map[string]*worker{}} }

// Step applies one event and returns what to ask of workers and what changed.
func (l *Leases) Step(now time.Time, ev Event) []Action {
	var acts []Action
	switch ev := ev.(type) {
	case Wanted:
		acts = l.setWanted(now, ev.Workers)
	case Granted:
		acts = l.granted(now, ev)
	case Renewed:
		acts = l.renewed(now, ev)
	case Refused:
		acts = l.refused(now, ev)
	case Unanswered:
		l.unanswered(now, ev.Worker)
	case DomainWorkers:
		l.setDomainWorkers(now, ev.Workers)
	case IncarnationLearned:
		l.incarnationLearned(now, ev)
	case IncarnationConfirmed:
		l.incarnationConfirmed(now, ev)
	case StartSent:
		l.startSent(ev)
	case StartAnswered:
		l.startAnswered(now, ev)
	case Poll:
		l.poll(now, ev)
	case ReleaseAll:
		acts = l.setWanted(now, nil)
	case Tick:
	}
	return append(acts, l.dueActions(now)...)
}

func (l *Leases) setWanted(now time.Time, names []string) []Action {
	for _, name := range names {
		l.add(name)
	}
	var acts []Action
	for _, name := range slices.Sorted(maps.Keys(l.workers)) {
		w := l.workers[name]
		had := w.wanted
		w.wanted = slices.Contains(names, name)
		switch {
		case w.state != "held":
		case had && !w.wanted:
			acts = append(acts, w.markDown(name)...)
		case !had && w.wanted:
			w.nextExchange = now
		}
	}
	return acts
}

func (l *Leases) add(name string) *worker {
	if _, ok := l.workers[name]; !ok {
		l.workers[name] = &worker{state: leaseChart.Start(), inFlight: map[string]int{}}
	}
	return l.workers[name]
}

func (w *worker) markDown(name string) []Action {
	if !w.led {
		return nil
	}
	w.led = false
	return []Action{Down{Worker: name}}
}

// publish reports what a wanted worker runs. A worker that this host led before is led again only
// with a task list that includes all earlier starts, since a start that arrives later would
// overfill the worker.
func (l *Leases) publish(now time.Time, name string, w *worker) []Action {
	switch {
	case !w.wanted:
		return nil
	case w.led:
		return []Action{Updated{Worker: name, Reading: w.fullReading()}}
	case len(w.inFlight) > 0 || w.lostStartsUntil.After(now) || !w.reading.Sent.After(w.lastStartAnswer):
		w.nextExchange = now.Add(l.limits.RetryInterval)
		return nil
	case !w.reading.Sent.After(w.staleStartsUntil):
		return w.awaitStaleStarts(name)
	default:
		w.led = true
		return []Action{Up{Worker: name, Reading: w.fullReading()}}
	}
}

func (w *worker) transition(ev chart.Event) bool {
	next, err := leaseChart.Next(w.state, ev)
	w.state = next
	return err == nil
}

// applyReading records an answer. The lease is counted from when the request was sent, because the
// worker may have started to count as early as that.
func (w *worker) applyReading(now time.Time, r Reading) {
	w.validUntil = r.Sent.Add(r.Remaining - r.Remaining/driftDivisor)
	w.lapsesBy = now.Add(r.Remaining)
	if r.Full {
		w.tasks = map[string]Task{}
	}
	for _, t := range r.Tasks {
		w.tasks[t.ID] = t
	}
	for _, id := range r.Removed {
		delete(w.tasks, id)
	}
	w.reading = r
}

// fullReading returns the last answer with every task that the worker lists, including those that
// did not change.
func (w *worker) fullReading() Reading {
	r := w.reading
	r.Tasks = nil
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		r.Tasks = append(r.Tasks, w.tasks[id])
	}
	return r
}

func (l *Leases) granted(now time.Time, ev Granted) []Action {
	w, ok := l.workers[ev.Worker]
	if !ok || !w.transition("granted") {
		return nil
	}
	l.noteIncarnation(now, w, ev.Incarnation)
	ev.Full = true
	w.applyReading(now, ev.Reading)
	if !w.validUntil.After(now) {
		// The grant arrived after it had lapsed. If a paused host used it, it would start tasks on
		// a worker that another host leads by now.
		w.transition("lapse")
		return nil
	}
	w.transition("read")
	w.expectedEnds = map[string]time.Time{}
	w.nextExchange = now.Add(l.renewInterval())
	return l.publish(now, ev.Worker, w)
}

// renewed ignores an answer to a request that was sent before the one whose answer is already
// known. Such an answer contains an older state and would hide a task that was started in between.
//
// An answer from another incarnation lists the changes since a cursor of the previous incarnation,
// which says nothing about what runs now. The worker is acquired again, with its full list.
func (l *Leases) renewed(now time.Time, ev Renewed) []Action {
	w, ok := l.workers[ev.Worker]
	if !ok || w.state != "held" || !ev.Sent.After(w.reading.Sent) {
		return nil
	}
	if ev.Incarnation != w.reading.Incarnation {
		l.noteIncarnation(now, w, ev.Incarnation)
		w.transition("lapse")
		w.nextExchange = now
		return w.markDown(ev.Worker)
	}
	w.applyReading(now, ev.Reading)
	w.nextExchange = now.Add(l.renewInterval())
	w.scheduleEndPolls(now, l.limits.RetryInterval)
	return l.publish(now, ev.Worker, w)
}

func (l *Leases) refused(now time.Time, ev Refused) []Action {
	w, ok := l.workers[ev.Worker]
	if !ok {
		return nil
	}
	w.nextExchange = now.Add(max(l.limits.RetryInterval, ev.Remaining))
	if w.state == "held" {
		if !ev.Sent.After(w.reading.Sent) {
			return nil
		}
		l.noteIncarnation(now, w, ev.Incarnation)
		w.transition("lapse")
		return w.markDown(ev.Worker)
	}
	l.noteIncarnation(now, w, ev.Incarnation)
	w.transition("refused")
	return nil
}

func (l *Leases) unanswered(now time.Time, name string) {
	w, ok := l.workers[name]
	if !ok {
		return
	}
	w.nextExchange = now.Add(l.limits.RetryInterval)
	if w.state == "taking" {
		w.transition("lost")
	}
}

func (l *Leases) startSent(ev StartSent) {
	if w, ok := l.workers[ev.Worker]; ok {
		w.inFlight[ev.Task]++
	}
}

func (l *Leases) startAnswered(now time.Time, ev StartAnswered) {
	w, ok := l.workers[ev.Worker]
	if !ok {
		return
	}
	if w.inFlight[ev.Task]--; w.inFlight[ev.Task] <= 0 {
		delete(w.inFlight, ev.Task)
	}
	w.lastStartAnswer = now
	if !w.led {
		w.nextExchange = now
	}
	if !ev.OutcomeKnown && w.lapsesBy.After(w.lostStartsUntil) {
		w.lostStartsUntil = w.lapsesBy
	}
	if ev.OutcomeKnown && ev.RunTime > 0 && w.expectedEnds != nil {
		w.expectedEnds[ev.Task] = now.Add(ev.RunTime)
		w.scheduleEndPolls(now, l.limits.RetryInterval)
	}
}

// scheduleEndPolls reads the worker again soon after a task is expected to end, so that its
// capacity does not stay unused until the next renewal. A task that runs longer than declared is
// polled less and less often.
func (w *worker) scheduleEndPolls(now time.Time, least time.Duration) {
	for id, ends := range w.expectedEnds {
		if t, listed := w.tasks[id]; listed && t.State != "running" {
			delete(w.expectedEnds, id)
			continue
		}
		if !ends.After(now) {
			ends = now.Add(max(least, now.Sub(ends)))
		}
		if at := ends.Add(endPollDelay); at.Before(w.nextExchange) {
			w.nextExchange = at
		}
	}
}

// endPollDelay is how long after the expected end of a task the worker is polled.
const endPollDelay = 20 * time.Millisecond

func (l *Leases) poll(now time.Time, ev Poll) {
	if w, ok := l.workers[ev.Worker]; ok && now.Add(ev.After).Before(w.nextExchange) {
		w.nextExchange = now.Add(ev.After)
	}
}

func (l *Leases) dueActions(now time.Time) []Action {
	var acts []Action
	for _, name := range slices.Sorted(maps.Keys(l.workers)) {
		acts = append(acts, l.dueWorker(now, name, l.workers[name])...)
	}
	return acts
}

func (l *Leases) dueWorker(now time.Time, name string, w *worker) []Action {
	switch {
	case w.state == "held" && !w.validUntil.After(now):
		w.transition("lapse")
		w.nextExchange = now
		return w.markDown(name)
	case w.state == "held" && !w.wanted:
		return l.release(now, name, w)
	case w.led && !l.startsAllowedUntil(w).After(now):
		return w.markDown(name)
	case !w.wanted && w.inDomain && !w.nextIncarnationQuery.After(now):
		w.nextIncarnationQuery = now.Add(incarnationRetryInterval)
		return []Action{AskIncarnation{Worker: name}}
	case !w.wanted || w.nextExchange.After(now):
		return nil
	case w.state == "free":
		w.transition("take")
		w.nextExchange = now.Add(l.limits.TTL)
		return []Action{Acquire{Worker: name, TTL: l.limits.ttl(l.wantedCount())}}
	case w.state == "held":
		w.nextExchange = now.Add(l.limits.RetryInterval)
		return []Action{Renew{Worker: name, TTL: l.limits.ttl(l.wantedCount()), TaskTTL: l.limits.TaskTTL, Since: w.reading.Cursor}}
	}
	return nil
}

// release returns an anchor once no start is in flight. A start that reached the worker after its
// next holder had read the task list would fill the worker beyond its size. If the outcome of a
// start is unknown, the anchor is therefore left to lapse.
func (l *Leases) release(now time.Time, name string, w *worker) []Action {
	if len(w.inFlight) > 0 || w.lostStartsUntil.After(now) {
		return nil
	}
	w.transition("give")
	return []Action{Release{Worker: name, Lease: w.reading.Lease}}
}

func (l *Leases) wantedCount() int {
	n := 0
	for _, w := range l.workers {
		if w.wanted {
			n++
		}
	}
	return n
}

func (l *Leases) renewInterval() time.Duration { return l.limits.renewInterval(l.wantedCount()) }

// Deadline returns the latest time, by the worker's own clock, at which a start that is sent now
// may still begin. It returns false if this host does not lead the worker.
func (l *Leases) Deadline(now time.Time, name string) (time.Time, bool) {
	w, ok := l.workers[name]
	if !ok || !w.led || w.state != "held" || !l.startsAllowedUntil(w).After(now) {
		return time.Time{}, false
	}
	left := min(w.reading.Remaining, l.limits.startWindow())
	return w.reading.Clock.Add(left - left/driftDivisor), true
}

// startsAllowedUntil returns until when starts may be sent after the last answer.
func (l *Leases) startsAllowedUntil(w *worker) time.Time {
	left := l.limits.startWindow()
	return slices.MinFunc([]time.Time{w.validUntil, w.reading.Sent.Add(left - left/driftDivisor)}, time.Time.Compare)
}

// DeadlineWith returns the Deadline of a start that requires another worker to be held too. Both
// must be held, and the deadline is not later than the end of either lease.
func (l *Leases) DeadlineWith(now time.Time, name, other string) (time.Time, bool) {
	deadline, ok := l.Deadline(now, name)
	if name == other || !ok {
		return deadline, ok
	}
	if _, ok := l.Deadline(now, other); !ok {
		return time.Time{}, false
	}
	w := l.workers[name]
	passed := now.Sub(w.lapsesBy.Add(-w.reading.Remaining))
	clock := w.reading.Clock.Add(passed - passed/driftDivisor)
	if end := clock.Add(l.workers[other].validUntil.Sub(now)); end.Before(deadline) {
		deadline = end
	}
	return deadline, true
}

// TTL returns how long the lease of a task runs from its start. Renewals extend it to TaskTTL.
func (l *Leases) TTL() time.Duration { return l.limits.ttl(l.wantedCount()) }

// TaskTTL returns the longest time that a task may go on running without its holder.
func (l *Leases) TaskTTL() time.Duration { return l.limits.TaskTTL }

// Held lists the workers that this host leads, sorted by name.
func (l *Leases) Held() []string {
	var held []string
	for _, name := range slices.Sorted(maps.Keys(l.workers)) {
		if w := l.workers[name]; w.state == "held" && w.led {
			held = append(held, name)
		}
	}
	return held
}

// LastReading returns the last answer of a held worker with all its tasks. It returns false if the
// worker is not held.
func (l *Leases) LastReading(name string) (Reading, bool) {
	w, ok := l.workers[name]
	if !ok || w.state != "held" {
		return Reading{}, false
	}
	return w.fullReading(), true
}
