// Package sched is the core of the lead: it decides which task runs on which
// worker, and when. What it decides is stored before it is carried out, so that
// the next lead knows of every run that may be at a worker, and nothing runs
// twice.
package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollencroft/internal/flow"
)

// Sched is the scheduler of one term. It is not safe for concurrent use.
type Sched struct {
	limits    Limits
	term      int64
	now       time.Time
	termStart time.Time
	// predecessorGone is when the predecessorGone lead was certain to hold nothing any more.
	predecessorGone time.Time
	actions         []Action
	queues          map[string]flow.Queue
	jobs            map[string]*flow.Job
	openJobs        map[string]*flow.Job
	lastNumber      int64
	workers         map[string]*worker
	// sortedCache are the workers in order of life, as long as none comes or goes.
	sortedCache []*worker
	hosts       map[string]*host
	advice      map[*flow.Stage]*advice
	allowRates  map[string]float64
	// urgentUsage is what the questions of the most urgentUsage queues take of the hosts.
	urgentUsage usage
	stops       map[runKey]*pendingStop
	// suspects are tasks under which lives of workers ended, or may have.
	suspects map[*flow.Task]bool
	// outages are workers that stopped answering lately.
	outages []outage
	// waits are steps that wait.
	waits map[*flow.Stage]*stepWait
	// preemptions are rooms that others were stopped for.
	preemptions map[*flow.Stage][]preemption
	// earlyCancels are when jobs that are not known yet were cancelled.
	earlyCancels map[string]time.Time
	// dirty are jobs whose progress is not in an append yet.
	dirty map[string]*flow.Job
	// unstoredStarts are runs that may start before they are stored.
	unstoredStarts []runKey
	// appendCount counts what was stored.
	appendCount int64
	// nextBatch is what the nextBatch append will make certain, flights what those under way
	// will, in their order.
	nextBatch *batch
	inFlight  []*batch
	// noFreeHost tells for the most urgent queues and for the others that no host can
	// take a question in this pass.
	noFreeHost [2]bool
	// changed tells that something changed since the last placement.
	changed bool
	// lastPass is when work was lastPass last, last when something was stored.
	lastPass   time.Time
	lastAppend time.Time
	lastSweep  time.Time
	// passDuration is how long the last pass passDuration the lead.
	passDuration time.Duration
}

// batch is what may happen once an append is stored: runs may start and states be
// told at once, since each record holds all that is known of its job. Workers may
// forget ends only when all appends before are stored too, which hold the jobs of
// earlier ends.
type batch struct {
	number    int64
	stored    bool
	starts    []runKey
	states    map[*flow.Job]flow.State
	ackedEnds map[*worker]int64
}

func newBatch() *batch {
	return &batch{states: map[*flow.Job]flow.State{}, ackedEnds: map[*worker]int64{}}
}

// runKey names one run of a task.
type runKey struct {
	task flow.Name
	run  int
}

// New returns the scheduler of a term that begins with these jobs.
func New(limits Limits, term int64, jobs []*flow.Job) *Sched {
	s := &Sched{
		limits: limits, term: term, queues: map[string]flow.Queue{}, jobs: map[string]*flow.Job{}, openJobs: map[string]*flow.Job{},
		workers: map[string]*worker{}, hosts: map[string]*host{}, advice: map[*flow.Stage]*advice{}, allowRates: map[string]float64{},
		stops: map[runKey]*pendingStop{}, suspects: map[*flow.Task]bool{}, preemptions: map[*flow.Stage][]preemption{}, waits: map[*flow.Stage]*stepWait{}, earlyCancels: map[string]time.Time{}, dirty: map[string]*flow.Job{}, nextBatch: newBatch(),
	}
	for _, j := range jobs {
		s.jobs[j.Spec.ID] = j
		s.lastNumber = max(s.lastNumber, j.Number)
		if !j.State.Final() || len(j.Rounds) > 0 {
			s.openJobs[j.Spec.ID] = j
			s.adoptJob(j)
		}
	}
	return s
}

// adoptJob books what a former lead's records say may run at workers. Nothing of
// it starts again before its worker was read under this term.
func (s *Sched) adoptJob(j *flow.Job) {
	j.Tasks(func(t *flow.Task) {
		s.adoptLostRuns(t)
		if t.State == flow.Inherited {
			s.incarnation(t.Worker).add(t)
		}
	})
}

// incarnation returns a life that a former lead's records name.
func (s *Sched) incarnation(life string) *worker {
	w, ok := s.workers[life]
	if !ok {
		w = newWorker(Worker{Address: Address{Incarnation: life}})
		s.workers[life] = w
		s.workersChanged()
	}
	return w
}

// Step takes one event and returns what to do.
func (s *Sched) Step(now time.Time, ev Event) []Action {
	s.now, s.actions = now, nil
	if s.termStart.IsZero() {
		s.termStart = now
	}
	s.handle(ev)
	if _, idle := ev.(Tick); !idle {
		s.changed = true
	}
	s.flush()
	return s.actions
}

func (s *Sched) handle(ev Event) {
	switch ev := ev.(type) {
	case Queues:
		s.setQueues(ev)
	case Workers:
		s.setWorkers(ev)
	case Hosts:
		s.setHosts(ev)
	case Submit:
		s.submit(ev.Spec)
	case Cancel:
		s.cancel(ev.ID)
	case Appended:
		s.appended(ev.Number)
	case HoldReply:
		s.holdReplied(ev)
	case StartReply:
		s.startReplied(ev)
	case StopReply:
		s.stopReplied(ev)
	case PolicyReply:
		s.policyReplied(ev)
	case PredecessorStopped:
		s.predecessorStopped(ev)
	case Tick:
		s.tick()
	}
}

// predecessorStopped takes what the former lead said when it left.
func (s *Sched) predecessorStopped(ev PredecessorStopped) {
	s.predecessorGone = s.now
	for life, left := range ev.LeaseBounds {
		if w, ok := s.workers[life]; ok {
			w.predecessorLeaseEnd = ev.Since.Add(left)
		}
	}
}

func (s *Sched) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Sched) noteTask(t *flow.Task, what, detail string) {
	s.emit(Note{ID: t.Name.String(), What: what, Worker: t.Worker, Run: t.Run, Detail: detail})
}

func (s *Sched) setQueues(ev Queues) {
	for _, q := range ev.All {
		s.queues[q.Name] = q
	}
}

// queue is the table's word on a job's queue, or what it was when the job was
// accepted if the row is gone.
func (s *Sched) queue(j *flow.Job) flow.Queue {
	if q, ok := s.queues[j.Spec.Queue.Name]; ok {
		return q
	}
	return j.Spec.Queue
}

// sweepInterval is how often slow matters are looked at.
const (
	sweepInterval = 100 * time.Millisecond
	// idleSweepInterval is the same while there is no job.
	idleSweepInterval = 500 * time.Millisecond
)

func (s *Sched) tick() {
	if s.now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = s.now
	// Time alone may have made a place: a rest is over, a ticket has run out.
	s.changed = len(s.openJobs) > 0
	s.beginRounds()
	s.checkWorkers()
	s.pruneSuspects()
	s.pruneOutages()
	s.retryStops()
	s.expireQueries()
	s.forgetEndedJobs()
}

// beginRounds opens the rounds that are due.
func (s *Sched) beginRounds() {
	for _, j := range s.sortedOpenJobs() {
		if len(j.Begin(s.now)) > 0 {
			s.markDirty(j)
		}
	}
}

func (s *Sched) markDirty(j *flow.Job) { s.dirty[j.Spec.ID] = j }

// flush places what waits and stores what changed, one append at a time.
func (s *Sched) flush() {
	if s.now.Sub(s.lastPass) < s.limits.BatchInterval {
		return
	}
	if s.changed && !s.now.Before(s.nextPassAt()) {
		s.changed, s.lastPass = false, s.now
		s.placeSteps()
		s.sendUnstored()
	}
	if !s.canAppend() || s.now.Before(s.nextAppendAt()) {
		return
	}
	s.appendCount++
	b := s.nextBatch
	b.number = s.appendCount
	s.nextBatch = newBatch()
	s.inFlight = append(s.inFlight, b)
	s.lastAppend = s.now
	version := flow.Version{Term: s.term, Append: b.number}
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(s.dirty)) {
		j := s.dirty[id]
		changes = append(changes, Change{Key: id, Value: j.Record(version)})
		b.states[j] = j.State
	}
	clear(s.dirty)
	if len(changes) == 0 {
		s.appended(b.number)
		return
	}
	s.emit(Append{Number: b.number, Changes: changes})
}

const (
	// maxPassShare is how much of the lead's time passes over what waits may take. Without a bound
	// a backlog holds itself up: passes take longer the more waits, and the processor that
	// they take is missing for starts and answers, so that still more waits.
	maxPassShare = 0.25
	// maxPassDelay is the most that a pass is put off for that.
	maxPassDelay = 250 * time.Millisecond
)

// nextPassAt is when the next pass may be made.
func (s *Sched) nextPassAt() time.Time {
	if !s.enabled(LimitPassTime) {
		return s.lastPass.Add(s.limits.BatchInterval)
	}
	return s.lastPass.Add(max(s.limits.BatchInterval, time.Duration(float64(s.passDuration)/maxPassShare)))
}

// LastPass is when the last pass was made.
func (s *Sched) LastPass() time.Time { return s.lastPass }

// RecordPassDuration tells how long the step with the last pass took. The core has no clock of its own: the
// same work takes a host that is short of processor several times as long. One that was
// suspended in a pass for seconds says nothing of the next ones.
func (s *Sched) RecordPassDuration(d time.Duration) {
	s.passDuration = min(d, time.Duration(maxPassShare*float64(maxPassDelay)))
}

// canAppend tells whether there is anything to store and a partition to store it in.
func (s *Sched) canAppend() bool {
	return len(s.inFlight) < maxAppendsInFlight && (len(s.dirty) > 0 || len(s.nextBatch.ackedEnds) > 0)
}

// nextAppendAt is when the next append may be made. While one has no answer for long,
// the store is slow: what comes up meanwhile is stored beside it, and does not wait
// for the rest of its time as well. There are only so many partitions to store in.
func (s *Sched) nextAppendAt() time.Time {
	switch n := len(s.inFlight); {
	case n == 0:
		return s.lastAppend.Add(s.limits.BatchInterval)
	case n < maxAppendsInFlight:
		return s.lastAppend.Add(max(s.limits.BatchInterval, appendOverlapDelay))
	default:
		return s.now.Add(s.limits.BatchInterval)
	}
}

// nextFlushAt is when what changed is stored: with a pass, or between two that are far apart.
func (s *Sched) nextFlushAt() time.Time {
	at := s.lastPass.Add(s.limits.BatchInterval)
	if next := s.nextAppendAt(); next.After(at) {
		return next
	}
	return at
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// sendUnstored starts what need not wait for the store.
func (s *Sched) sendUnstored() {
	keys := s.unstoredStarts
	s.unstoredStarts = nil
	for _, k := range keys {
		s.sendStart(k)
	}
}

// appended carries out what waited for an append.
func (s *Sched) appended(number int64) {
	i := slices.IndexFunc(s.inFlight, func(b *batch) bool { return b.number == number })
	if i < 0 {
		return
	}
	b := s.inFlight[i]
	b.stored = true
	for _, j := range slices.SortedFunc(maps.Keys(b.states), func(x, y *flow.Job) int { return cmp.Compare(x.Spec.ID, y.Spec.ID) }) {
		s.publishState(j, b)
	}
	for _, k := range b.starts {
		s.sendStart(k)
	}
	for len(s.inFlight) > 0 && s.inFlight[0].stored {
		b := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.ackEnds(b)
	}
}

// publishState tells a job's state from a record, unless a later record told it.
func (s *Sched) publishState(j *flow.Job, b *batch) {
	if b.number < j.Recorded {
		return
	}
	j.Shown, j.Recorded = b.states[j], b.number
	if j.Shown.Final() {
		s.emit(JobEnded{ID: j.Spec.ID, State: j.Shown})
	}
}

// ackEnds lets workers forget the ends whose jobs are stored.
func (s *Sched) ackEnds(b *batch) {
	for _, w := range s.sortedWorkers() {
		if n, ok := b.ackedEnds[w]; ok {
			w.lastEndStored = max(w.lastEndStored, n)
			s.ensureHold(w)
		}
	}
}

// forgetEndedJobs drops jobs whose end was told for long enough, first where they were
// accepted and only then their progress: a spec without progress is a new job to
// the next lead, which would run it again.
func (s *Sched) forgetEndedJobs() {
	maps.DeleteFunc(s.earlyCancels, func(_ string, at time.Time) bool { return s.now.Sub(at) > s.limits.Retention })
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.State.Final() && j.Shown.Final() && s.now.Sub(j.Ended) > s.limits.Retention {
			delete(s.jobs, id)
			delete(s.openJobs, id)
			s.emit(Forget{ID: id})
		}
	}
}

// Due is when the core wants to be stepped again at the latest.
func (s *Sched) Due() time.Time {
	switch {
	case s.changed && s.canAppend():
		return earlier(s.nextPassAt(), s.nextFlushAt())
	case s.changed:
		return s.nextPassAt()
	case s.canAppend():
		return s.nextFlushAt()
	case len(s.openJobs) > 0:
		return s.lastSweep.Add(sweepInterval)
	default:
		return s.lastSweep.Add(idleSweepInterval)
	}
}

// State is what a caller is told of a job; false if it is not known.
func (s *Sched) State(id string) (flow.State, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return "", false
	}
	return j.Shown, true
}

// Pending counts by queue the jobs of which no task has started.
func (s *Sched) Pending() map[string]int {
	n := map[string]int{}
	for _, j := range s.openJobs {
		if j.State == flow.Queued {
			n[j.Spec.Queue.Name]++
		}
	}
	return n
}
