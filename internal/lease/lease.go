// Package lease decides which workers this host may start tasks on. The right
// to a worker is a lease on its anchor, which the worker itself keeps; this
// core only knows how long it surely still has it.
package lease

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/chart"
)

// driftDivisor is the part of a lease that this host leaves unused, so that a clock
// that runs 1 % too slow cannot make it believe in a lease that has lapsed.
const driftDivisor = 50

var leaseChart = chart.MustLoad("lease")

type worker struct {
	state  chart.State
	wanted bool
	// led tells that this host was told that it leads the worker.
	led          bool
	validUntil   time.Time
	nextExchange time.Time
	// reading is the last answer, with all tasks that the worker lists.
	reading Reading
	tasks   map[string]Task
	// inFlight counts by task the starts without an answer. risk is when the last start whose
	// answer was lost is surely dead.
	inFlight        map[string]int
	lostStartsUntil time.Time
	lapsesBy        time.Time
	// lastStartAnswer is when the last start was answered: an older list may not show its task.
	lastStartAnswer time.Time
	// expectedEnds are the times at which started tasks are expected to end.
	expectedEnds map[string]time.Time
	// incarnation is the worker's incarnation as it was last told. former is when the starts that other hosts
	// sent to an earlier one are surely dead.
	incarnation      string
	staleStartsUntil time.Time
	// awaitedIncarnation is the life for which it was told that the worker is waited for.
	awaitedIncarnation string
	// inDomain tells that the worker is one of the failure domain, meet is when to ask for its life.
	inDomain             bool
	nextIncarnationQuery time.Time
}

// Leases is the lease core of one host.
type Leases struct {
	limits  Limits
	workers map[string]*worker
}

// New returns a core that holds nothing.
func New(limits Limits) *Leases { return &Leases{limits: limits, workers: map[string]*worker{}} }

// Step takes one event and returns what to ask of workers and what changed.
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

// publish tells what a wanted worker runs. A worker that this host led before is led again only
// with a list that shows all of its former starts: one that lands later would overfill it.
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

// applyReading takes over an answer. The lease is counted from when the question was
// sent: the worker may have begun to count as early as that.
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

// fullReading is the last answer with every task that the worker lists, also those
// that did not change.
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
		// The grant arrived after it had lapsed: a paused host would start
		// tasks on a worker that another host leads by now.
		w.transition("lapse")
		return nil
	}
	w.transition("read")
	w.expectedEnds = map[string]time.Time{}
	w.nextExchange = now.Add(l.renewInterval())
	return l.publish(now, ev.Worker, w)
}

// renewed drops an answer to a question that was sent before the one whose
// answer is known already. It tells an older state; taken for the newer one,
// it would hide a task that was started in between.
//
// An answer from another life tells what changed since a mark of the former one, which says
// nothing of what runs. The worker is taken anew, with its whole list.
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

// scheduleEndPolls reads the worker again soon after a task is expected to end, so that
// its room is not left empty until the next renewal. A task that takes longer
// than declared is looked for less and less often.
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

// endPollDelay is how long after its expected end a task is looked for.
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

// release returns an anchor once no start is under way. A start that arrived at
// the worker after its next holder had read the list would fill it beyond its
// size, so with one of them unsure the anchor is left to lapse.
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

// Deadline returns the latest time, in the worker's own clock, at which a
// start that is sent now may still begin; false if the worker is not held.
func (l *Leases) Deadline(now time.Time, name string) (time.Time, bool) {
	w, ok := l.workers[name]
	if !ok || !w.led || w.state != "held" || !l.startsAllowedUntil(w).After(now) {
		return time.Time{}, false
	}
	left := min(w.reading.Remaining, l.limits.startWindow())
	return w.reading.Clock.Add(left - left/driftDivisor), true
}

// startsAllowedUntil is until when starts may be sent after the last answer.
func (l *Leases) startsAllowedUntil(w *worker) time.Time {
	left := l.limits.startWindow()
	return slices.MinFunc([]time.Time{w.validUntil, w.reading.Sent.Add(left - left/driftDivisor)}, time.Time.Compare)
}

// DeadlineWith is the Deadline of a start that may begin only as long as another worker is held
// too: both have to be, and it ends with the lease of either.
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

// TTL is how long the lease of a task runs from its start; renewals lengthen
// it to the long one.
func (l *Leases) TTL() time.Duration { return l.limits.ttl(l.wantedCount()) }

// TaskTTL is how long any task may go on without its holder.
func (l *Leases) TaskTTL() time.Duration { return l.limits.TaskTTL }

// Held lists the workers that this host leads, in order of name.
func (l *Leases) Held() []string {
	var held []string
	for _, name := range slices.Sorted(maps.Keys(l.workers)) {
		if w := l.workers[name]; w.state == "held" && w.led {
			held = append(held, name)
		}
	}
	return held
}

// LastReading returns the last answer of a held worker with all its tasks; false if
// the worker is not held.
func (l *Leases) LastReading(name string) (Reading, bool) {
	w, ok := l.workers[name]
	if !ok || w.state != "held" {
		return Reading{}, false
	}
	return w.fullReading(), true
}
