// Package lead runs jobs on the workers whose leases this host holds. It connects the state
// machines for leases, placement, jobs and takeover, and carries out their actions on the workers.
package lead

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/estimate"
	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/place"
	"pollencroft/internal/table"
	"pollencroft/internal/takeover"
	"pollencroft/internal/trail"
	"pollencroft/internal/worker"
)

// Deps are the dependencies of a Leader.
type Deps struct {
	Leases   *lease.Leases
	Placer   *place.Placer
	Jobs     *job.Jobs
	Takeover *takeover.Takeover
	Workers  *worker.Client
	// RequestInventory asks the peers for their inventories. It must not block.
	RequestInventory func()
	// EndLogged reports whether the end of a job is stored in the job log.
	EndLogged func(id string) bool
	// StoreEnd stores how a job ended. It must not block.
	StoreEnd func(end job.Ended, ran bool)
	// StoreCrashes stores the number of worker incarnations that ended while the task ran, and then
	// calls AckCrashes. It must not block. If it is nil, nothing is stored.
	StoreCrashes func(spec job.Spec, task string, crashes int64)
	// CrashCounts returns the stored crash counts of a job's tasks. If it is nil, there are none.
	CrashCounts func(id string) map[string]int64
	Row         func(name string) (table.Row, int64)
	// LimitKey returns the key under which the tasks of a row are counted. If it is nil or returns
	// an empty string, any host may start the row. Arbiters lists the workers of a key in order of
	// precedence: the holder of the first usable one may start tasks of the key.
	LimitKey func(row table.Row) string
	Arbiters func(key string) []string
	// Shares returns what a row and its organisation may use in this failure domain. If it is nil, the
	// limits of the row apply.
	Shares func(row table.Row) (own, organisation table.Share)
	// Estimates correct declared sizes and run times.
	Estimates *estimate.Estimates
	// Count adds one to a metric. If it is nil, nothing is counted.
	Count   func(name string)
	History *trail.Trail
	Clock   func() time.Time
	// Go runs an exchange with a worker asynchronously; tests set it to control the order on a
	// simulated clock. If it is nil, each exchange runs in its own goroutine.
	Go  func(f func())
	Log *slog.Logger
}

// Leader leads the jobs of one entry host. It is safe for concurrent use.
type Leader struct {
	Deps
	ctx      context.Context
	mu       sync.Mutex
	machines map[string]Machine
	// toForget holds, by worker, the leases of ended starts that the worker may drop from its list.
	toForget map[string][]string
	// taskWorkers holds, by task, the held worker on which the task is listed as running.
	taskWorkers map[string]string
	// untracked holds, by task, runs and starts in flight of jobs that this host has dropped, until a
	// list of the worker tells what came of them.
	untracked map[string]untrackedRun
	// expectedHandovers holds, by peer, the handover that the peer may send next.
	expectedHandovers map[string]expectedHandover
	// counts holds the keys that this host counts. countedElsewhere holds, by worker, the running
	// tasks of counted keys on workers that other hosts hold.
	counts           map[string]*keyCount
	countedElsewhere map[string][]CountedTask
	// limitedStarts counts, by worker, the starts of counted rows that have no answer yet, and
	// lastLimitedStart holds the time of the last answer to one.
	limitedStarts    map[string]int
	lastLimitedStart map[string]time.Time
	// lastHeld holds, by worker, the time at which this host last gave it up.
	lastHeld map[string]time.Time
	// incarnationsAsked is when the peers were last asked which worker incarnations they have seen.
	incarnationsAsked time.Time
	// incarnations holds the worker incarnations that this host last saw.
	incarnations map[string]*incarnation
	// appliedRules holds, by row, the rule last passed to the placer. rulesRefreshed is when the
	// rules were last checked.
	appliedRules   map[string]place.Rule
	rulesRefreshed time.Time
	// waitLogged is when the longest waiting job was last logged.
	waitLogged time.Time
	epoch      int64
	leaving    bool
	wg         sync.WaitGroup
}

// untrackedRun is a run of a dropped job, or a start of it that may still reach the worker.
type untrackedRun struct {
	worker string
	// deadline is when a start in flight expires, by the worker's clock; zero if it has arrived.
	deadline time.Time
	// since is when the job was dropped.
	since time.Time
}

// settledBy reports whether a list tells what came of the run. A list from before the drop may lack
// the task's last start and show an earlier one instead; so may a later list, until the start has
// arrived or expired. A task that has ended is not started again.
func (u untrackedRun) settledBy(r lease.Reading, state string) bool {
	switch {
	case state == "ended":
		return true
	case !r.Sent.After(u.since):
		return false
	default:
		return state == "running" || r.Clock.After(u.deadline)
	}
}

// askTimeout limits one exchange with a worker.
const askTimeout = time.Second

// New returns a Leader without workers. Its exchanges end when ctx is cancelled.
func New(ctx context.Context, d Deps) *Leader {
	if d.Estimates == nil {
		d.Estimates = estimate.New()
	}
	if d.Count == nil {
		d.Count = func(string) {}
	}
	return &Leader{
		Deps: d, ctx: ctx, machines: map[string]Machine{}, toForget: map[string][]string{}, taskWorkers: map[string]string{},
		counts: map[string]*keyCount{}, countedElsewhere: map[string][]CountedTask{}, limitedStarts: map[string]int{}, lastLimitedStart: map[string]time.Time{}, untracked: map[string]untrackedRun{}, expectedHandovers: map[string]expectedHandover{}, lastHeld: map[string]time.Time{}, incarnations: map[string]*incarnation{}, appliedRules: map[string]place.Rule{}, epoch: 1,
	}
}

// Tick advances the state machines to the current time.
func (l *Leader) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLeases(lease.Tick{})
	l.askIncarnations()
	l.refreshRules()
	l.stepPlacement(place.Tick{})
	l.logLongestWait()
	l.watchUnheld()
	l.stepTakeover(takeover.Tick{})
}

// Held lists the workers whose leases this host holds.
func (l *Leader) Held() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Leases.Held()
}

// Release gives up all leases and waits for the exchanges in flight.
func (l *Leader) Release() {
	l.mu.Lock()
	l.stepLeases(lease.ReleaseAll{})
	l.mu.Unlock()
	l.wg.Wait()
	l.mu.Lock()
	l.stepLeases(lease.Tick{})
	l.mu.Unlock()
	l.wg.Wait()
}

// InfeasibleError reports that a job can never run here. Reason names the limit that the job
// exceeds.
type InfeasibleError struct{ Reason string }

func (e *InfeasibleError) Error() string { return "job can never run: " + e.Reason }

// Check reports whether this host may accept a job. It returns an InfeasibleError if the job can
// never run here, and a NoWorkerError or LeavingError if another host should be asked. The returned
// epoch must be passed to Submit.
func (l *Leader) Check(spec job.Spec) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch := l.currentEpoch()
	switch {
	case l.leaving:
		return 0, &LeavingError{}
	case epoch == 0:
		return 0, &NoWorkerError{}
	}
	return epoch, l.checkFeasible(spec)
}

// Submit accepts a job that was checked in that epoch and has been stored since. It returns a
// NoWorkerError if all workers were lost in between, because another host may lead the job already.
func (l *Leader) Submit(spec job.Spec, epoch int64) (job.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.currentEpoch() != epoch:
		return job.Status{}, &NoWorkerError{}
	case l.leaving:
		return job.Status{}, &LeavingError{}
	}
	l.addNote(spec.ID, "accepted")
	l.stepJobs(job.Submit{Spec: spec})
	return l.Jobs.Status(spec.ID)
}

// Status returns the state of a job, or a job.UnknownError.
func (l *Leader) Status(id string) (job.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Jobs.Status(id)
}

// Cancel requests that a job stops, and returns the resulting state. It first handles leases that
// expired during a pause, because another host may have led the job since then.
func (l *Leader) Cancel(id string) (job.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentEpoch()
	l.addNote(id, "cancelled by its caller")
	l.stepJobs(job.Cancel{ID: id})
	return l.Jobs.Status(id)
}

func (l *Leader) addNote(id, what string) {
	l.Log.Info("lead: job.", "id", id, "what", what)
	l.History.Add(trail.Note{At: l.Clock(), ID: id, Component: "lead", Message: what})
}

// stepLeases, stepPlacement, stepJobs and stepTakeover each pass an event to one state machine and
// carry out its actions. mu must be held. Exchanges with workers run asynchronously.
func (l *Leader) stepLeases(ev lease.Event) {
	for _, a := range l.Leases.Step(l.Clock(), ev) {
		switch a := a.(type) {
		case lease.Acquire:
			l.spawn(func(ctx context.Context) { l.acquireLease(ctx, a) })
		case lease.Renew:
			l.spawn(func(ctx context.Context) { l.renewLease(ctx, a) })
		case lease.Release:
			l.spawn(func(ctx context.Context) { l.releaseLease(ctx, a) })
		case lease.AskIncarnation:
			l.spawn(func(ctx context.Context) { l.askIncarnation(ctx, a) })
		case lease.AwaitStarts:
			l.Log.Info("lead: worker has a new incarnation; waiting for starts to the previous one to expire.", "worker", a.Worker, "life", a.Incarnation, "until", a.Until)
		case lease.Up:
			l.workerUp(a)
		case lease.Updated:
			l.handleReading(a.Worker, a.Reading)
		case lease.Down:
			l.workerDown(a.Worker)
		}
	}
}

// workerDown gives up a worker. Peers may have considered a host without workers dead and taken
// over its jobs, so a host that loses its last worker drops its jobs too.
func (l *Leader) workerDown(name string) {
	l.Log.Info("lead: worker is no longer led.", "worker", name)
	l.Count("lead.down")
	l.lastHeld[name] = l.Clock()
	for id, at := range l.taskWorkers {
		if at == name {
			delete(l.taskWorkers, id)
			l.Estimates.Forget(id)
		}
	}
	maps.DeleteFunc(l.untracked, func(_ string, run untrackedRun) bool {
		return run.worker == name && run.deadline.IsZero()
	})
	l.keepCounted(name)
	l.stepPlacement(place.Down{Worker: name})
	l.stepTakeover(takeover.WorkerLost{Worker: name})
	l.stopCountingOn(name)
	if len(l.Leases.Held()) == 0 && !l.leaving {
		l.dropAllJobs()
	}
}

func (l *Leader) spawn(f func(ctx context.Context)) {
	run := func() {
		ctx, cancel := context.WithTimeout(l.ctx, askTimeout)
		defer cancel()
		f(ctx)
	}
	if l.Go != nil {
		l.Go(run)
		return
	}
	l.wg.Go(run)
}

func (l *Leader) address(name string) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machines[name].Address
}

func (l *Leader) acquireLease(ctx context.Context, a lease.Acquire) {
	r, err := l.Workers.Acquire(ctx, l.address(a.Worker), a.TTL)
	l.reportLease(a.Worker, err, lease.Granted{Worker: a.Worker, Reading: r})
}

func (l *Leader) renewLease(ctx context.Context, a lease.Renew) {
	l.mu.Lock()
	forget := slices.Clone(l.toForget[a.Worker])
	l.mu.Unlock()
	r, err := l.Workers.Renew(ctx, l.address(a.Worker), a, forget)
	if err == nil && len(forget) > 0 {
		l.mu.Lock()
		l.toForget[a.Worker] = slices.DeleteFunc(l.toForget[a.Worker], func(s string) bool { return slices.Contains(forget, s) })
		l.mu.Unlock()
	}
	l.reportLease(a.Worker, err, lease.Renewed{Worker: a.Worker, Reading: r})
}

func (l *Leader) reportLease(name string, err error, good lease.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held *worker.HeldError
	switch {
	case err == nil:
		l.stepLeases(good)
	case errors.As(err, &held):
		l.stepTakeover(takeover.WorkerContact{Worker: name})
		l.stepLeases(lease.Refused{Worker: name, Holder: held.Holder, Remaining: held.Remaining, Sent: held.Sent, Incarnation: held.Incarnation})
	default:
		l.stepLeases(lease.Unanswered{Worker: name})
	}
}

// askIncarnation asks a worker for its incarnation. The lease state machine asks again if there is
// no answer.
func (l *Leader) askIncarnation(ctx context.Context, a lease.AskIncarnation) {
	name, err := l.Workers.Incarnation(ctx, l.address(a.Worker))
	if err != nil {
		l.Log.Debug("lead: incarnation of a worker not available.", "worker", a.Worker, "err", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLeases(lease.IncarnationLearned{Worker: a.Worker, Incarnation: name})
}

func (l *Leader) releaseLease(ctx context.Context, a lease.Release) {
	if err := l.Workers.Release(ctx, l.address(a.Worker), a.Lease); err != nil {
		l.Log.Warn("lead: lease not released.", "worker", a.Worker, "err", err)
	}
}

func (l *Leader) workerUp(a lease.Up) {
	m := l.machines[a.Worker]
	var used []place.Used
	for _, t := range a.Tasks {
		if t.State == "running" {
			row, _ := l.Row(t.Row)
			used = append(used, place.Used{Task: t.ID, Row: t.Row, Organisation: row.Organisation, Class: row.Urgency(), Size: foundTaskSize(t)})
		}
	}
	l.Count("lead.up")
	delete(l.countedElsewhere, a.Worker)
	l.Log.Info("lead: worker is led.", "worker", a.Worker, "tasks", len(used))
	l.stepPlacement(place.Up{Worker: m.Name, Rack: m.Rack, Size: m.Size, Used: used})
	l.handleReading(a.Worker, a.Reading)
	l.stepTakeover(takeover.WorkerHeld{Worker: a.Worker})
}

func (l *Leader) handleReading(name string, r lease.Reading) {
	ev := job.WorkerList{Worker: name, Clock: r.Clock, Sent: r.Sent, Incarnation: r.Incarnation}
	var wait bool
	if ev.RackLost, wait = l.wholeRackLost(name, r); wait {
		// The reading shows which tasks run, but not yet why the others are gone. Passing it on at
		// once lets an inventory rely on the running tasks.
		ev.Incarnation, ev.Jobs = "", []string{}
	}
	for _, t := range r.Tasks {
		ev.Tasks = append(ev.Tasks, job.ListedTask{ID: t.ID, State: t.State, Lease: t.Lease})
	}
	l.stepJobs(ev)
	l.reconcile(name, r)
	if l.listIsComplete(name) {
		l.stepTakeover(takeover.ListComplete{Worker: name})
	}
	l.recordUsage(r.Tasks)
}

func (l *Leader) stepJobs(ev job.Event) {
	for _, a := range l.Jobs.Step(l.Clock(), ev) {
		switch a := a.(type) {
		case job.RequestPlacement:
			l.requestPlacement(a)
		case job.Start:
			l.start(a)
		case job.Stop:
			l.spawn(func(ctx context.Context) { l.stop(ctx, a) })
		case job.Pause:
			l.spawn(func(ctx context.Context) { l.pause(ctx, a) })
		case job.Result:
			l.handleResult(a)
		case job.Free:
			l.stepPlacement(place.Freed{Task: a.Task})
		case job.Forget:
			l.forgetStart(a.Worker, a.Lease)
		case job.StoreCrashCount:
			l.handleCrash(a)
		case job.Ended:
			l.addNote(a.ID, "ended as "+a.State)
			l.handleEnd(a)
		}
	}
}
