// Package sched is the scheduler core of the leader: it decides which task runs on which worker,
// and when. Its decisions are stored before they are carried out, so that the next leader knows of
// every run that may be on a worker, and nothing runs twice.
package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/policy"
	"pollencroft/internal/quota"
	"pollencroft/internal/rate"
	"pollencroft/internal/speed"
)

// Sched is the scheduler of one term. It is not safe for concurrent use.
type Sched struct {
	limits    Limits
	term      int64
	tokens    tokens
	now       time.Time
	termStart time.Time
	// provedAt is when this term was last proved to go on. formerLease is how long the leases of former
	// leaders last after the last proof of their terms; zero if it is not known. olderLeaseEnd is when the
	// leases of older builds have expired.
	provedAt      time.Time
	formerLease   time.Duration
	olderLeaseEnd time.Time
	// boundsDue means that the bounds of leases have to be stored, boundsAt is when they were last, and
	// clearing means that an append with them is in flight.
	boundsDue, clearing bool
	boundsAt            time.Time
	// predecessorGone is when the previous leader had certainly stopped renewing leases, earlierGone
	// when all leaders before it have.
	predecessorGone, earlierGone time.Time
	actions                      []Action
	queues                       map[string]flow.Queue
	// top is the rank of the most urgent queues. A table may have more than a thousand queues, and
	// placement costs depend on it.
	top        int
	jobs       map[string]*flow.Job
	openJobs   map[string]*flow.Job
	lastNumber int64
	workers    map[string]*worker
	// latest holds the latest known incarnation of each worker ID, replaced those that ended because
	// a later one is known, until that is dealt with.
	latest   map[string]*worker
	replaced []*worker
	// forgotten holds the latest incarnations that were removed, by worker ID.
	forgotten map[string]formerOrders
	// sortedCache holds the workers sorted by incarnation; it is valid until one is added or
	// removed.
	sortedCache []*worker
	hosts       *policy.Hosts
	advice      map[*flow.Stage]*advice
	// queries are the steps with a query in flight, by name.
	queries    map[string]*flow.Stage
	allowRates map[string]float64
	stops      map[runKey]*pendingStop
	// suspects are tasks that crashed a worker, or may have.
	suspects map[*flow.Task]bool
	// outages are workers that stopped answering recently.
	outages []outage
	// waits are the waiting steps.
	waits map[*flow.Stage]*stepWait
	// obstaclesSeen is how many workers were looked at since obstaclesSince to describe what keeps steps
	// waiting.
	obstaclesSince time.Time
	obstaclesSeen  int
	// jobWaits is how long steps of a job waited that do not wait any more, by job.
	jobWaits map[string]WaitTimes
	// lastSummary is the time of the last load summary, summaryIdle whether it reported no load.
	lastSummary time.Time
	summaryIdle bool
	// preemptions is the capacity that other tasks were stopped for, by the step that it is for.
	preemptions map[*flow.Stage][]preemption
	// earlyCancels are the cancellations of jobs that are not known.
	earlyCancels earlyCancels
	// usage is what the organisations have running.
	usage *quota.Usage
	// rates mark the jobs that organisations send beyond their rates. ratesKnown means that the
	// table has been received in this term.
	rates      *rate.Meter
	ratesKnown bool
	// backlogs are the waiting tasks that are measured, loadAt is when they were counted last.
	backlogs map[backlogKey]*backlog
	loadAt   time.Time
	// wideHolds is when the steps of an organisation last began to wait for a wide gang.
	wideHolds map[string]time.Time
	// dirty are jobs whose changes are not in an append yet.
	dirty map[string]*flow.Job
	// unstoredStarts are runs that may start before they are stored.
	unstoredStarts []runKey
	// appendCount is the number of appends so far.
	appendCount int64
	// nextBatch is what the next append will complete, inFlight what the appends in flight will, in
	// their order.
	nextBatch *batch
	inFlight  []*batch
	// changed means for each kind of pass that something has changed since the last one.
	changed [passKinds]bool
	// lastPasses are the times of the last pass of each kind, passDurations how long these took.
	// lastKind is the kind of the last pass.
	lastPasses    [passKinds]time.Time
	passDurations [passKinds]time.Duration
	lastKind      passKind
	// lastAppend is the time of the last append.
	lastAppend time.Time
	lastSweep  time.Time
	// speeds is how long runs take on each worker, reportedSpeeds what was last reported of its kinds.
	speeds         *speed.Model
	reportedSpeeds map[string]float64
	// selection is which jobs are to be on time.
	selection selection
	times     *runTimes
	memory    memory
	// examined is the number of times that a worker was considered for a query to the policy service.
	examined int64
}

// batch is what may happen once an append is stored. Runs may start and states may be published at
// once, since each record holds everything about its job. Workers may forget ends only when all
// earlier appends are stored too, since those hold the jobs of earlier ends.
type batch struct {
	number int64
	stored bool
	// bounds means that the append has the bounds of leases.
	bounds    bool
	starts    []runKey
	states    map[*flow.Job]flow.State
	ackedEnds map[*worker]int64
	// ends are the ends of tracked runs among them.
	ends []WorkerEnd
	// unstoredSizes is what organisations have started before it is stored, with the append.
	unstoredSizes map[string]cell.Size
}

func newBatch() *batch {
	return &batch{states: map[*flow.Job]flow.State{}, ackedEnds: map[*worker]int64{}, unstoredSizes: map[string]cell.Size{}}
}

// runKey identifies one run of a task.
type runKey struct {
	task flow.Name
	run  int
}

// New returns the scheduler of a term that begins with the given jobs.
func New(limits Limits, term int64, jobs []*flow.Job) *Sched {
	s := &Sched{
		limits: limits, term: term, tokens: tokens{first: term, last: term}, queues: map[string]flow.Queue{}, top: math.MaxInt, jobs: map[string]*flow.Job{}, openJobs: map[string]*flow.Job{},
		workers: map[string]*worker{}, latest: map[string]*worker{}, forgotten: map[string]formerOrders{}, hosts: policy.New(!slices.Contains(limits.Disabled, AdaptUrgentHosts)),
		advice: map[*flow.Stage]*advice{}, queries: map[string]*flow.Stage{}, allowRates: map[string]float64{},
		stops: map[runKey]*pendingStop{}, suspects: map[*flow.Task]bool{}, waits: map[*flow.Stage]*stepWait{}, jobWaits: map[string]WaitTimes{},
		preemptions: map[*flow.Stage][]preemption{}, earlyCancels: newEarlyCancels(),
		usage: quota.New(), rates: rate.New(), backlogs: map[backlogKey]*backlog{}, wideHolds: map[string]time.Time{},
		dirty: map[string]*flow.Job{}, nextBatch: newBatch(),
		speeds: speed.New(nil), reportedSpeeds: map[string]float64{}, times: newRunTimes(),
		selection: newSelection(),
	}
	for _, j := range jobs {
		s.jobs[j.Spec.ID] = j
		s.lastNumber = max(s.lastNumber, j.Number)
		if !j.State.Final() || len(j.Rounds) > 0 {
			s.openJobs[j.Spec.ID] = j
			s.adoptJob(j)
		}
		s.adoptUntracked(j)
	}
	return s
}

// adoptJob books the runs that may be on workers according to a previous leader's records. Such a
// task starts again only after its worker was read under this term.
func (s *Sched) adoptJob(j *flow.Job) {
	j.Tasks(func(t *flow.Task) {
		s.adoptLostRuns(t)
		if t.State == flow.Inherited {
			w := s.ensureWorker(t.Worker)
			w.add(t)
			w.adoptPace(t)
			w.unlisted[runKey{t.Name, t.Run}] = time.Time{}
		}
	})
}

// ensureWorker returns the worker of an incarnation that a previous leader's records name, and adds
// it if it is unknown.
func (s *Sched) ensureWorker(incarnation string) *worker {
	w, ok := s.workers[incarnation]
	if !ok {
		w = newWorker(Worker{Address: Address{Incarnation: incarnation}}, s.usage)
		s.addWorker(w)
	}
	return w
}

// Step processes one event and returns the actions to carry out.
func (s *Sched) Step(now time.Time, ev Event) []Action {
	s.now, s.actions = now, nil
	if s.termStart.IsZero() {
		s.termStart = now
		if s.provedAt.IsZero() {
			s.provedAt = now
		}
		s.noteInherited()
	}
	s.handle(ev)
	if _, idle := ev.(Tick); !idle {
		s.noteChange()
	}
	s.flush()
	s.summarizeLoad()
	return s.actions
}

func (s *Sched) handle(ev Event) {
	switch ev := ev.(type) {
	case Queues:
		s.setQueues(ev)
	case Workers:
		s.setWorkers(ev)
	case Hosts:
		s.hosts.Set(ev.Names)
	case Submit:
		s.submit(ev.Spec)
	case Cancel:
		s.cancel(ev)
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
	case Tick:
		s.tick()
	default:
		s.handleTerm(ev)
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
	s.top = math.MaxInt
	for _, q := range s.queues {
		s.top = min(s.top, q.Rank)
	}
	s.usage.SetQuotas(ev.Quotas)
	s.setRates(ev.Weights)
	s.recallAboveQuota()
}

// queue returns a job's queue as the table has it now, or as it was when the job was accepted if
// its row is gone.
func (s *Sched) queue(j *flow.Job) flow.Queue {
	if q, ok := s.queues[j.Spec.Queue.Name]; ok {
		return q
	}
	return j.Spec.Queue
}

// sweepInterval is the time between the periodic checks.
const (
	sweepInterval = 100 * time.Millisecond
	// idleSweepInterval is the same while there is no open job.
	idleSweepInterval = 500 * time.Millisecond
)

func (s *Sched) tick() {
	if s.now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = s.now
	// Time alone may allow a placement: a quarantine has ended or a ticket has expired.
	if len(s.openJobs) > 0 {
		s.noteChange()
	} else {
		s.changed = [passKinds]bool{}
	}
	s.beginRounds()
	s.checkWorkers()
	s.checkBounds()
	s.pruneSuspects()
	s.pruneOutages()
	s.retryStops()
	s.expireQueries()
	s.settleRunTimes()
	s.forgetEndedJobs()
}

// beginRounds opens the rounds that are due.
func (s *Sched) beginRounds() {
	for _, j := range s.sortedOpenJobs() {
		if len(j.BeginRounds(s.now)) > 0 {
			s.markDirty(j)
		}
	}
}

func (s *Sched) markDirty(j *flow.Job) { s.dirty[j.Spec.ID] = j }

func (s *Sched) noteChange() { s.changed = [passKinds]bool{true, true} }

// flush runs a placement pass if one is due, and appends the changes if an append may be sent.
func (s *Sched) flush() {
	if s.now.Sub(s.LastPass()) < s.limits.BatchInterval {
		return
	}
	for kind := range passKinds {
		if s.changed[kind] && !s.now.Before(s.nextPassAt(kind)) {
			s.pass(kind)
			break
		}
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
		j.Tasks(func(t *flow.Task) { t.DropExpired(s.now) })
		changes = append(changes, Change{Key: id, Value: j.Record(version)})
		b.states[j] = j.State
	}
	clear(s.dirty)
	if c := s.takeBounds(version); c != nil {
		changes, b.bounds = append(changes, *c), true
	}
	if len(changes) == 0 {
		s.appended(b.number)
		return
	}
	s.emit(Append{Number: b.number, Changes: changes})
}

// canAppend reports whether there is anything to store and a partition to store it in.
func (s *Sched) canAppend() bool {
	return len(s.inFlight) < maxAppendsInFlight && (len(s.dirty) > 0 || len(s.nextBatch.ackedEnds) > 0 || s.boundsDue)
}

// nextAppendAt returns when the next append may be sent. If an append has no answer for long, the
// store is slow; new changes are then stored beside it instead of waiting for the rest of its time
// as well. The number of partitions to store in limits the number of appends.
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

// nextFlushAt returns when the changes are stored: with a pass, or between two passes that are far
// apart.
func (s *Sched) nextFlushAt() time.Time {
	at := s.LastPass().Add(s.limits.BatchInterval)
	if next := s.nextAppendAt(); next.After(at) {
		return next
	}
	return at
}

// earliest returns the earlier of two times; zero means that a is not set.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// sendUnstored starts runs that don't have to wait for the store.
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
	if b.bounds {
		s.boundsStored(b.number)
	}
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

// publishState publishes a job's state from a stored record, unless a later record has been
// published already.
func (s *Sched) publishState(j *flow.Job, b *batch) {
	if b.number < j.PublishedAppend {
		return
	}
	repeated := j.Published.Final()
	j.Published, j.PublishedAppend = b.states[j], b.number
	if j.Published.Final() {
		s.emit(s.jobEnded(j, repeated))
	}
}

// ackEnds lets workers forget the ends that are stored with their jobs.
func (s *Sched) ackEnds(b *batch) {
	for _, w := range s.sortedWorkers() {
		if n, ok := b.ackedEnds[w]; ok {
			w.lastEndStored = max(w.lastEndStored, n)
			s.ensureHold(w)
		}
	}
}

// forgetEndedJobs deletes jobs whose final state has been available for long enough. The spec is
// deleted first and the progress after it: a spec without progress looks like a new job to the next
// leader, which would run it again. A job with untracked runs is kept, because a successor needs its
// record to count them.
func (s *Sched) forgetEndedJobs() {
	for _, c := range s.earlyCancels.expire(s.now, s.limits.Retention) {
		s.emit(ForgetCancel{ID: c.ID, Organisation: c.Organisation})
	}
	var expired []string
	for id, j := range s.jobs {
		if j.State.Final() && j.Published.Final() && s.now.Sub(j.Ended) > s.limits.Retention && s.settled(j) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		delete(s.jobs, id)
		delete(s.openJobs, id)
		delete(s.jobWaits, id)
		s.emit(Forget{ID: id})
	}
}

// Due returns the latest time at which the core has to be stepped again.
func (s *Sched) Due() time.Time {
	due, ok := s.nextChangeAt()
	switch {
	case ok:
		return due
	case len(s.openJobs) > 0:
		return s.lastSweep.Add(sweepInterval)
	default:
		return s.lastSweep.Add(idleSweepInterval)
	}
}

// nextChangeAt returns when a pass or an append is due, or false if nothing has changed.
func (s *Sched) nextChangeAt() (due time.Time, ok bool) {
	for kind := range passKinds {
		if s.changed[kind] {
			at := s.nextPassAt(kind)
			if first := s.LastPass().Add(s.limits.BatchInterval); first.After(at) {
				at = first
			}
			due, ok = earliest(due, at), true
		}
	}
	if s.canAppend() {
		due, ok = earliest(due, s.nextFlushAt()), true
	}
	return due, ok
}
