package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/admission"
	"pollencroft/internal/agent"
	"pollencroft/internal/cell"
	"pollencroft/internal/finals"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
)

// termID is the number of a term, which is its epoch in the store, and the first fencing token of its
// orders.
type termID struct{ number, token int64 }

// newTermID returns the ID of a term whose claim had that answer in the first partition. Former leaders
// may have used higher tokens than the term's number, up to the end that their last append there has
// reached, and all of those came before the claim.
func newTermID(number int64, first store.Answer) termID {
	return termID{number, max(first.End, number)}
}

// term is the period in which this host leads. It executes the scheduler core's actions on the
// store and the workers, and feeds their answers back to the core.
type term struct {
	h *Host
	termID
	// claim is the value of the term's claim in the store.
	claim string
	// readAt is when the reading of the previous leader's state started, beganAt when it was
	// finished.
	readAt, beganAt time.Time
	// jobs is the number of jobs that were taken over, open the number of those that have not
	// ended.
	jobs, open int
	ctx        context.Context
	cancel     context.CancelFunc
	kick       chan struct{}

	mu         sync.Mutex
	core       *sched.Sched
	ended      bool
	journal    *journal
	orders     *orders
	dispatcher *agent.Dispatcher
	// nextOffset is, by partition, the first offset of jobsTopic that has not been read.
	nextOffset []int64
	// lastPoll is the uptime at which the last successful poll of all partitions started.
	lastPoll time.Duration
	// requestKeys holds, by job, the partitions and keys of the job's requests in the store.
	requestKeys map[string]map[partKey]bool
	workers     entries
	// finalStates are the final states of the term's jobs.
	finalStates finals.Log
	// unreadable are stored jobs that cannot be decoded. The scheduler core does not know them,
	// but they exist.
	unreadable map[string]bool
	// pendingCounts are the counts that pending returned last, as of pendingAt.
	pendingCounts map[string]int
	pendingAt     time.Time
	// snapshot is the load that was reported last, made at snapshotAt.
	snapshot   *admission.Snapshot
	snapshotAt time.Time
	// provedAt is the uptime at which the term was last proved to go on.
	provedAt time.Duration
	// maxTickDelay is the longest delay of a tick since it was last logged.
	maxTickDelay time.Duration
}

const (
	// pollInterval is how often the leader polls all partitions, maxConcurrentPolls at a time,
	// for jobs of which it was not notified. A host that stored a job may have died before it
	// could notify the leader.
	pollInterval       = 1800 * time.Millisecond
	maxConcurrentPolls = 4
	// firstPollDelay is when a new leader polls first: after its own first placement.
	firstPollDelay = 300 * time.Millisecond
	// maxPollAge is how old the last poll may be for a job that it did not find to be reported as
	// missing. A job has to be known three seconds after its acceptance.
	maxPollAge = 2900 * time.Millisecond
	// workersInterval is how often the worker entries are read. A worker that is being drained
	// must not get new work after two seconds.
	workersInterval = 400 * time.Millisecond
	// pendingInterval is how old the counts of waiting jobs may be when the leader reports them.
	pendingInterval = 100 * time.Millisecond
	// appendRetry is the pause before an append is repeated.
	appendRetry = 100 * time.Millisecond
)

// newTerm starts a term with the state that the store contained when it was read.
func (h *Host) newTerm(id termID, mine string, previous claim, states []store.Record, requests [][]store.Record, next []int64, read moment) *term {
	began := h.now()
	r := h.restore(states, requests)
	t := &term{
		h: h, termID: id, claim: mine, provedAt: read.uptime, readAt: read.at, beganAt: began, lastPoll: read.uptime, jobs: len(r.jobs) + len(r.notStarted), open: len(r.notStarted),
		kick: make(chan struct{}, 1), nextOffset: next, requestKeys: map[string]map[partKey]bool{}, workers: newEntries(), unreadable: map[string]bool{},
		core: sched.New(h.limits(), id.number, r.jobs), journal: newJournal(h.store, h.log, &h.wg, id.number, h.stateParts()),
	}
	for _, id := range r.unreadable {
		t.unreadable[id] = true
	}
	for _, j := range r.jobs {
		if !j.State.Final() {
			t.open++
			continue
		}
		st := finals.Status{State: j.State, Organisation: j.Spec.Organisation}
		h.states.add(j.Spec.ID, st)
		t.finalStates.Add(j.Spec.ID, st, began)
	}
	t.ctx, t.cancel = context.WithCancel(h.ctx)
	t.orders, t.dispatcher = newOrders(h, t.ctx), t.newDispatcher()
	for part, all := range requests {
		for _, a := range all {
			t.noteRequest(part, a)
		}
	}
	t.dispatcher.SetHosts(h.possibleAgents())
	h.mu.Lock()
	h.ownTerm = t
	table := h.table
	unstored, speeds := h.unstoredEnds, h.kindSpeeds
	names := slices.Sorted(maps.Keys(h.hosts))
	h.mu.Unlock()
	if l, ok := h.formerLeases(previous, states); ok {
		t.step(l)
	}
	t.step(sched.Tokens{First: id.token, Last: id.token})
	if table != nil {
		t.step(queuesOf(table))
	}
	t.step(sched.Hosts{Names: names})
	// The host may have led before.
	t.step(sched.PreviousEnds{All: unstored})
	t.step(sched.KnownSpeeds{Kinds: speeds})
	for _, spec := range r.notStarted {
		t.step(sched.Submit{Spec: spec})
	}
	for _, c := range r.cancels {
		t.step(c)
	}
	h.wg.Go(func() { t.awaitPreviousLeader(previous) })
	h.wg.Go(t.proveClaim)
	h.wg.Go(t.followWorkers)
	h.wg.Go(t.pollPeriodically)
	h.wg.Go(t.tickPeriodically)
	h.wg.Go(t.reportLoad)
	h.wg.Go(t.dispatcher.Run)
	h.wg.Go(t.followAgents)
	return t
}

// limits returns the limits of this host's terms.
func (h *Host) limits() sched.Limits {
	l := sched.DefaultLimits
	l.Lease = min(l.Lease, time.Duration(h.cfg.Times.Lease)*95/100)
	l.StopGrace = time.Duration(h.cfg.Times.Stop)
	l.Disabled = h.cfg.Off
	l.Retention = h.retention()
	return l
}

// retention is how long this host's terms keep ended jobs, and cancellations of jobs that never come.
func (h *Host) retention() time.Duration { return time.Duration(h.cfg.Times.Keep) * 5 / 4 }

// successionMessage is the message that a leader that steps down sends to its successor.
func (t *term) successionMessage() peer.AnnounceSuccessor {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := peer.AnnounceSuccessor{Term: t.number, Bounds: map[string]cell.Duration{}}
	for incarnation, left := range t.core.LeaseBounds(t.h.now()) {
		m.Bounds[incarnation] = cell.Duration{Duration: left}
	}
	return m
}

// end ends the term. No more orders are sent in it.
func (t *term) end(why string) {
	t.mu.Lock()
	over := t.ended
	t.ended = true
	unstored, speeds := t.core.UnstoredEnds(), t.core.KindFactors()
	t.mu.Unlock()
	if over {
		return
	}
	t.cancel()
	t.h.mu.Lock()
	if t.h.ownTerm == t {
		t.h.ownTerm, t.h.unstoredEnds, t.h.kindSpeeds = nil, unstored, speeds
	}
	if t.h.leader == t.h.cfg.Name {
		t.h.leader = ""
	}
	t.h.mu.Unlock()
	t.h.loadGauges.clear()
	t.h.log.Info("lead: term ends.", "term", t.number, "why", why)
}

// step passes events to the scheduler core and executes the actions that the core returns.
func (t *term) step(events ...sched.Event) {
	if !t.mayGoOn() {
		return
	}
	for _, ev := range events {
		if !t.stepOne(ev) {
			return
		}
	}
	t.dispatcher.Flush()
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// stepOne passes one event to the core. It returns false if the term has ended.
func (t *term) stepOne(ev sched.Event) bool {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return false
	}
	placed, began := t.core.LastPass(), t.h.now()
	// The uptime counts suspensions, which the steady clock does not.
	t.core.SetProof(began.Add(t.provedAt - t.h.uptime.Now()))
	acts := t.core.Step(began, ev)
	if t.core.LastPass() != placed {
		t.core.RecordPassDuration(t.h.now().Sub(began))
	}
	t.mu.Unlock()
	for _, a := range acts {
		t.execute(a)
	}
	return true
}

func (t *term) execute(a sched.Action) {
	switch a := a.(type) {
	case sched.Append:
		t.h.wg.Go(func() { t.append(a) })
	case sched.Hold, sched.Start, sched.Stop, sched.Pace:
		if !t.dispatcher.Send(a) {
			t.sendDirectly(a)
		}
	case sched.QueryPolicy:
		t.h.wg.Go(func() { t.step(t.h.askPolicyVia(t.ctx, a)) })
	case sched.Forget:
		t.h.wg.Go(func() { t.forget(a.ID) })
	case sched.ForgetCancel:
		t.h.wg.Go(func() { t.forgetCancel(a) })
	case sched.StepDown:
		t.end("worker " + a.Worker + " obeys a later term")
	case sched.JobEnded:
		t.noteEnded(a)
	case sched.Note:
		t.note(a)
	default:
		t.observe(a)
	}
}

// observe logs and counts what the core reports.
func (t *term) observe(a sched.Action) {
	switch a := a.(type) {
	case sched.StepWaited:
		t.h.observeWait(a)
	case sched.JobStarted:
		t.h.observe(fmt.Sprintf("job.start.rank%d", a.Rank), a.After)
	case sched.Restarted:
		t.observeRestart(a)
	case sched.JobQueued:
		t.h.log.Info("sched: queued.", "id", a.ID, "term", t.number, "detail", a.Queue, "queue", a.Queue, "organisation", a.Organisation, "rank", a.Rank)
	case sched.Selected:
		t.h.observeSelection(a)
	case sched.KindSpeed:
		metrics.GetOrRegisterGaugeFloat64("speed.kind."+a.Kind, t.h.metrics).Update(a.Factor)
		t.h.log.Info("sched: kind of workers measured.", "kind", a.Kind, "factor", a.Factor, "term", t.number)
	case sched.QueueTimes:
		t.h.observeTimes(a, t.number)
	case sched.LoadSummary:
		t.noteLoad(a)
	case sched.LimitExceeded:
		t.h.incCounter("apart.exceeded")
		t.h.log.Warn("sched: more runs of a step on a worker than it allows.", "id", a.Task.String(), "worker", a.Worker, "term", t.number, "limit", a.Limit, "detail", a.Runs)
	}
}

// noteEnded records a final state, for this host and for those that sync with it.
func (t *term) noteEnded(a sched.JobEnded) {
	t.logEnded(a)
	st := finals.Status{State: a.State, Organisation: a.Organisation}
	t.h.states.add(a.ID, st)
	now := t.h.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finalStates.Add(a.ID, st, now)
	t.finalStates.Drop(now.Add(-time.Duration(t.h.cfg.Times.Keep)))
}

// finalStatesFrom returns final states starting at sequence number n, and the number to continue
// with.
func (t *term) finalStatesFrom(n int) (map[finals.Status][]string, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.finalStates.From(n)
}

// append stores changes under the term's fence.
func (t *term) append(a sched.Append) {
	records := make([]store.Record, len(a.Changes))
	for i, ch := range a.Changes {
		records[i] = store.Record{Key: ch.Key, Value: ch.Value}
	}
	began, from := t.h.now(), t.h.uptime.Now()
	err := t.journal.append(t.ctx, a.Number, records, t.h.store.SpreadTimeout())
	t.h.observe("lead.append", t.h.now().Sub(began))
	switch {
	case err == nil:
		t.noteProof(from)
		t.step(sched.Appended{Number: a.Number}, sched.Tokens{Last: t.journal.firstEnd()})
	case t.ctx.Err() == nil:
		t.end("append: " + err.Error())
	}
}

// forget deletes an ended job from the store: first its spec, and after that its progress. In the
// opposite order, a leader that takes over in between would find a job without progress and run
// it again.
func (t *term) forget(id string) {
	t.mu.Lock()
	parts := map[int][]store.Record{}
	for k := range t.requestKeys[id] {
		parts[k.part] = append(parts[k.part], store.Record{Key: k.key})
	}
	delete(t.requestKeys, id)
	t.mu.Unlock()
	for part, records := range parts {
		c := store.Call{Op: store.Append, Topic: jobsTopic, Part: part, Keyed: true, Records: records}
		if _, err := t.h.store.Do(t.ctx, c); err != nil {
			t.h.log.Warn("lead: ended job cannot be deleted.", "id", id, "part", part, "err", err)
			return
		}
	}
	t.journal.drop(t.ctx, id)
}

// mayGoOn ends the term if it was not proved to go on for StoreTimeout: a successor may have
// started by then, and relies on it that this host renews no leases. It counts suspensions of the
// machine, and orders that were sent before one name deadlines from before it.
func (t *term) mayGoOn() bool {
	if t.sinceProof() <= sched.StoreTimeout {
		return true
	}
	t.h.logSuspension()
	t.end("the store does not confirm the claim")
	return false
}

// tickPeriodically steps the core when it is due.
func (t *term) tickPeriodically() {
	for t.ctx.Err() == nil {
		t.mu.Lock()
		due := t.core.Due()
		t.mu.Unlock()
		set := t.h.now()
		pause := max(due.Sub(set), time.Millisecond)
		timer := time.NewTimer(pause)
		select {
		case <-t.ctx.Done():
		case <-t.kick:
			timer.Stop()
			continue
		case <-timer.C:
			t.mu.Lock()
			t.maxTickDelay = max(t.maxTickDelay, t.h.now().Sub(set)-pause)
			t.mu.Unlock()
		}
		t.step(sched.Tick{})
	}
}

// status returns a job's status. It is sure that a job does not exist only if the term has read,
// within maxPollAge, everything that was stored. Otherwise a caller could be told that an
// accepted job does not exist.
func (t *term) status(id string) (st finals.Status, known, sure bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st.State, known = t.core.State(id)
	st.Organisation = t.core.Organisation(id)
	return st, known, known || !t.unreadable[id] && t.h.uptime.Now()-t.lastPoll < maxPollAge
}

// kindFactors returns what the term has learned of the kinds of workers.
func (t *term) kindFactors() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.KindFactors()
}

// pending returns the number of jobs of which no task has started, by queue, as of at most
// pendingInterval ago: every host asks for it, and counting checks each open job.
func (t *term) pending() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.h.now(); now.Sub(t.pendingAt) >= pendingInterval {
		t.pendingCounts, t.pendingAt = t.core.Pending(), now
	}
	return t.pendingCounts
}
