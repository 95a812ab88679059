package sched_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// simCell simulates a leader with in-memory workers, on a clock that the test advances. Workers
// start whatever they are asked to, and record violations of the rules.
type simCell struct {
	t   *testing.T
	now time.Time
	// storeEnd is the offset at which the partition of the store ends that decides who leads. While
	// it is down, the leader hears of no higher one.
	storeEnd     int64
	storeEndDown bool
	// skew is how much the leader's time of day differs from the true time.
	skew time.Duration
	core *sched.Sched
	term int64
	// lastTerm is the number of the last term that has begun.
	lastTerm int64
	workers  map[string]*fakeWorker
	events   eventHeap
	seq      int
	// stored is the progress of jobs in the store.
	stored map[string][]byte
	specs  map[string]flow.Spec
	// storedCancels are the cancellations in the store, cancelledAt is when each arrived, by sequence
	// number of the simulation's events: a start that was sent before may still be carried out.
	storedCancels []string
	cancelledAt   map[string]int
	// storeDown leaves appends unanswered. Unless readsServed is set, the store does not prove the claim
	// either.
	storeDown, readsServed bool
	// endsPerReply is how many ends workers list in one reply; zero means all.
	endsPerReply int
	// storeTime is how long the store takes for an append; nil is 3 ms.
	storeTime func() time.Duration
	// copies means that several runs of one task may exist at the same time, if its step allows it.
	copies bool
	// allows reports which workers may run a step; nil allows all.
	allows func(step, worker string) bool
	// queryTime is how long the policy service takes for a query; nil is 30 ms.
	queryTime   func(sched.QueryPolicy) time.Duration
	queries     []sched.QueryPolicy
	paces       []sched.Pace
	steppedDown bool
	// leaderless means that no host leads; formers are former leaders that go on, by term.
	leaderless bool
	formers    map[int64]*formerLeader
	// olderLeaders means that former leaders are of older builds, whose leases do not end with the
	// proofs of their terms. provedAt is when the leader's term was proved last.
	olderLeaders bool
	provedAt     time.Time
	// stepWaits, jobStarts and longWaits are the waiting times that the core reported.
	stepWaits []sched.StepWaited
	jobStarts []sched.JobStarted
	longWaits []sched.Note
	// restarts are the reports of tasks that run again.
	restarts []sched.Restarted
	// pageNotes are the notes about workers that list their ends in pages.
	pageNotes []sched.Note
	// resizeNotes are the notes about size changes.
	resizeNotes []sched.Note
	// appendedRecords and appendedBytes count what was appended to the store.
	appendedRecords, appendedBytes int
	// holds counts the holds sent to workers.
	holds int
	// passes counts placement passes, passTook is how long one takes.
	passes   int
	passTook time.Duration
	// urgentPassTook is the same for a pass over the most urgent steps only, if it is set.
	urgentPassTook time.Duration
	// passTime is the real time spent in steps with a pass; with measurePasses the core is told of
	// it instead of passTook.
	passTime      time.Duration
	measurePasses bool
	// coreTime is the real time spent in the core.
	coreTime time.Duration
	queues   []flow.Queue
	// quotas and weights are those of the organisations, organisation is that of the jobs submitted
	// next.
	quotas       map[string]cell.Size
	weights      map[string]float64
	formerQuotas []formerQuotas
	// named holds the runs that a stored record has named, each with the sequence number of the
	// simulation's events at which one first did; nil if the test does not need it.
	named        map[flow.UntrackedRun]int
	organisation string
	// alter changes the jobs that are submitted; nil means none.
	alter func(*flow.Spec)
	// labels are the labels of workers added next.
	labels     []string
	violations []string
	// done are tasks that ended as done and whose end was acknowledged.
	done map[flow.Name]bool
	// doneSeq is, by task, the sequence number of the simulation's events a second after its end as done
	// was acknowledged first: no start that is sent from then on may be carried out, copies or not.
	doneSeq map[flow.Name]int
	// order counts the starts and ends of runs, lastStart is when each task was started last by that
	// count.
	order     int
	lastStart map[flow.Name]int
	// starts counts starts by task, gangs holds the members that have begun in each run of a gang.
	starts map[flow.Name]int
	gangs  map[gangRun]map[int]bool
	// crashesWorker reports which tasks crash the workers that start them. crashed counts the
	// incarnations that ended that way by task, lateStarts the starts after the third crash, and
	// endedIncarnations all incarnations that ended.
	crashesWorker     func(flow.Name) bool
	crashed           map[flow.Name]int
	lateStarts        map[flow.Name]int
	endedIncarnations int
	// restartExtra is the extra time until the next incarnation of a worker.
	restartExtra time.Duration
	// reports are the load summaries and the reports of queued and ended jobs.
	reports []sched.Action
	// crashNotes are the notes about runs under which a worker may have crashed.
	crashNotes []sched.Note
	// carriedNotes are the notes about runs whose start was sent to a former incarnation.
	carriedNotes []sched.Note
	// failedNotes are the notes about jobs that failed because of crashes.
	failedNotes []sched.Note
	// reportsBorn means that workers report when they began, and restart under the ID that they had.
	reportsBorn bool
	// lateStartsOfStopped means that starts are carried out late by the next incarnation also if the
	// former one has answered a stop of the run.
	lateStartsOfStopped bool
}

type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

func newSimCell(t *testing.T, workers int) *simCell {
	b := &simCell{
		t: t, now: time.Unix(1_000_000, 0), term: 1, lastTerm: 1, storeEnd: 1, workers: map[string]*fakeWorker{}, stored: map[string][]byte{},
		specs: map[string]flow.Spec{}, done: map[flow.Name]bool{}, doneSeq: map[flow.Name]int{}, cancelledAt: map[string]int{}, starts: map[flow.Name]int{}, lastStart: map[flow.Name]int{}, gangs: map[gangRun]map[int]bool{},
		crashed: map[flow.Name]int{}, lateStarts: map[flow.Name]int{},
		queues: []flow.Queue{{Name: "scan", Service: "pass", Rank: 0, Attempts: 3}, {Name: "print", Service: "pass", Rank: 2, Attempts: 4}},
	}
	limits := sched.DefaultLimits
	limits.Disabled = disabledMechanisms()
	b.core = sched.New(limits, b.term, nil)
	for i := range workers {
		b.addWorker(fmt.Sprintf("w%02d", i), i)
	}
	b.step(sched.Queues{Version: 1, All: b.queues})
	b.step(sched.Hosts{Names: []string{"h1", "h2", "h3", "h4"}})
	b.list()
	return b
}

func (b *simCell) addWorker(incarnation string, i int) *fakeWorker {
	incarnation = b.nameOf(incarnation)
	w := &fakeWorker{b: b, slowdown: 1, endOrder: map[int64]int{}, runs: map[flow.Name]*fakeRun{}, tombstones: map[flow.Name]int{}, info: sched.Worker{
		Address: sched.Address{Incarnation: incarnation, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)},
		Service: "pass", Domain: fmt.Sprintf("d%d", i%3), Rack: fmt.Sprintf("r%d", i%3), Labels: b.labels, Size: cell.Size{CPU: 64_000, Mem: 256 << 30},
	}}
	b.workers[incarnation] = w
	return w
}

// disabledMechanisms reads from POLLENCROFT_OFF which mechanisms to switch off: for each of them a
// test fails without it.
func disabledMechanisms() []sched.Mechanism {
	var all []sched.Mechanism
	for name := range strings.FieldsSeq(os.Getenv("POLLENCROFT_OFF")) {
		all = append(all, sched.Mechanism(name))
	}
	return all
}

// list sends the core a list of all live workers.
func (b *simCell) list() {
	var ev sched.Workers
	for _, n := range slices.Sorted(maps.Keys(b.workers)) {
		if w := b.workers[n]; w.isListed() {
			ev.All = append(ev.All, w.info)
		}
	}
	b.step(ev)
}

func (b *simCell) after(d time.Duration, f func()) {
	b.seq++
	heap.Push(&b.events, timedEvent{at: b.now.Add(d), seq: b.seq, run: f})
}

func (t timedEvent) compare(o timedEvent) int { return cmp.Or(t.at.Compare(o.at), t.seq-o.seq) }

// eventHeap holds the future events as a heap.
type eventHeap []timedEvent

func (a eventHeap) Len() int           { return len(a) }
func (a eventHeap) Less(i, j int) bool { return a[i].compare(a[j]) < 0 }
func (a eventHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventHeap) Push(x any)        { *a = append(*a, x.(timedEvent)) }

func (a *eventHeap) Pop() any {
	last := len(*a) - 1
	ev := (*a)[last]
	(*a)[last] = timedEvent{}
	*a = (*a)[:last]
	return ev
}

// proofDelay is how old the last proof of the term is, slowProofDelay the same while the store is slow.
const (
	proofDelay     = 100 * time.Millisecond
	slowProofDelay = 700 * time.Millisecond
)

// networkDelay is the one-way delay to a worker or to the store.
const networkDelay = 500 * time.Microsecond

// advance lets time pass.
func (b *simCell) advance(d time.Duration) {
	until := b.now.Add(d)
	for {
		next := b.core.Due().Add(-b.skew)
		if b.leaderless {
			next = until.Add(time.Nanosecond)
		}
		if len(b.events) > 0 && !b.events[0].at.After(next) {
			ev := b.events[0]
			if ev.at.After(until) {
				break
			}
			heap.Pop(&b.events)
			if ev.at.After(b.now) {
				b.now = ev.at
			}
			ev.run()
			continue
		}
		if next.After(until) {
			break
		}
		if next.After(b.now) {
			b.now = next
		} else {
			b.now = b.now.Add(time.Millisecond)
		}
		b.step(sched.Tick{})
	}
	b.now = until
}

func (b *simCell) step(ev sched.Event) {
	if b.leaderless {
		return
	}
	term := b.term
	began := time.Now()
	placed := b.core.LastPass()
	if r, ok := ev.(sched.HoldReply); ok {
		r.Sent, r.Received = r.Sent.Add(b.skew), r.Received.Add(b.skew)
		ev = r
	}
	b.prove()
	acts := b.core.Step(b.now.Add(b.skew), ev)
	took := time.Since(began)
	b.coreTime += took
	if b.core.LastPass() != placed {
		b.passes++
		b.passTime += took
		switch {
		case b.measurePasses:
		case b.core.LastPassUrgent() && b.urgentPassTook > 0:
			took = b.urgentPassTook
		default:
			took = b.passTook
		}
		b.core.RecordPassDuration(took)
	}
	for _, a := range acts {
		b.execute(term, a)
	}
}

// deliver passes a reply to the core, unless the term that asked has ended.
func (b *simCell) deliver(term int64, ev sched.Event) {
	if f, ok := b.formers[term]; ok {
		b.stepFormer(f, ev)
	} else if term == b.term {
		b.step(ev)
	}
}

func (b *simCell) execute(term int64, a sched.Action) {
	switch a := a.(type) {
	case sched.Append:
		for _, c := range a.Changes {
			b.appendedBytes += len(c.Value)
		}
		b.appendedRecords += len(a.Changes)
		took := 3 * time.Millisecond
		if b.storeTime != nil {
			took = b.storeTime()
		}
		b.after(took, func() { b.store(term, a) })
	case sched.Hold:
		b.holds++
		b.after(networkDelay, func() { b.workers[a.To.Incarnation].current().hold(term, a, b.now.Add(-networkDelay)) })
	case sched.Start:
		sent := b.seq
		b.after(networkDelay, func() { b.workers[a.To.Incarnation].current().start(term, a, sent) })
	case sched.Stop:
		b.after(networkDelay, func() { b.workers[a.To.Incarnation].current().stop(term, a) })
	case sched.Pace:
		b.paces = append(b.paces, a)
	case sched.QueryPolicy:
		b.queries = append(b.queries, a)
		took := 30 * time.Millisecond
		if b.queryTime != nil {
			took = b.queryTime(a)
		}
		b.after(took, func() { b.answerQuery(term, a) })
	case sched.StepDown:
		b.steppedDown = b.steppedDown || term == b.term
		delete(b.formers, term)
	default:
		b.recordReport(a)
	}
}

// recordReport records what the core reports.
func (b *simCell) recordReport(a sched.Action) {
	switch a := a.(type) {
	case sched.StepWaited:
		b.stepWaits = append(b.stepWaits, a)
	case sched.JobStarted:
		b.jobStarts = append(b.jobStarts, a)
	case sched.LoadSummary, sched.JobQueued, sched.JobEnded:
		b.reports = append(b.reports, a)
	case sched.Restarted:
		b.restarts = append(b.restarts, a)
	case sched.Note:
		b.recordNote(a)
	}
}

// recordNote records notes about some of the core's decisions.
func (b *simCell) recordNote(a sched.Note) {
	switch a.What {
	case "worker has more ends", "all ends of the worker are read":
		b.pageNotes = append(b.pageNotes, a)
	case "worker resized":
		b.resizeNotes = append(b.resizeNotes, a)
	case "step waits":
		b.longWaits = append(b.longWaits, a)
	case "run began in the next incarnation":
		b.carriedNotes = append(b.carriedNotes, a)
	case "worker crashed during run":
		b.crashNotes = append(b.crashNotes, a)
	case "failed after crashes":
		b.failedNotes = append(b.failedNotes, a)
	}
}

func (b *simCell) answerQuery(term int64, a sched.QueryPolicy) {
	good := map[string]string{}
	for _, w := range a.Workers {
		if b.allows == nil || b.allows(a.Step, w) {
			good[w] = "ticket"
		}
	}
	b.deliver(term, sched.PolicyReply{Step: a.Step, Host: a.Host, Tickets: good})
}

// submit submits a job whose steps run one after the other.
func (b *simCell) submit(id, queue string, steps ...flow.Step) {
	spec := flow.Spec{ID: id, Steps: steps, Organisation: b.organisation}
	for _, q := range b.queues {
		if q.Name == queue {
			spec.Queue = q
		}
	}
	for i := range steps {
		if i > 0 && steps[i].After == nil {
			spec.Steps[i].After = []int{i - 1}
		}
	}
	if b.alter != nil {
		b.alter(&spec)
	}
	require.NoError(b.t, spec.Check())
	b.specs[id] = spec
	b.step(sched.Submit{Spec: spec})
}

// cancel stores a cancellation and passes it to the leader.
func (b *simCell) cancel(id string) {
	b.storedCancels = append(b.storedCancels, id)
	b.cancelledAt[id] = b.seq
	b.step(sched.Cancel{ID: id, Organisation: b.specs[id].Organisation})
}

func (b *simCell) violation(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
}

func (b *simCell) state(id string) flow.State {
	s, ok := b.core.State(id)
	require.True(b.t, ok, "job %s is known", id)
	return s
}

// sortedWorkers lists the workers by name.
func (b *simCell) sortedWorkers() []*fakeWorker {
	var all []*fakeWorker
	for _, n := range slices.Sorted(maps.Keys(b.workers)) {
		all = append(all, b.workers[n])
	}
	return all
}

// scan returns a short step for the urgent queue, bulk a long one for the bulk queue.
func scan(tasks int) flow.Step {
	return flow.Step{Tasks: tasks, Size: cell.Size{CPU: 5_000, Mem: 16 << 30}, EstimatedTime: time.Second}
}

func bulk(tasks int) flow.Step {
	return flow.Step{Tasks: tasks, Size: cell.Size{CPU: 11_000, Mem: 32 << 30}, EstimatedTime: 6 * time.Second, Checkpoints: true}
}
