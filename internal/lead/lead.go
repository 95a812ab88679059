// Package lead runs jobs on the workers that this host leads. It joins the
// lease, placement and job cores and carries their actions to the workers.
package lead

import (
	"context"
	"log/slog"
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

// Deps are what a Lead works with.
type Deps struct {
	Leases   *lease.Leases
	Placer   *place.Placer
	Jobs     *job.Jobs
	Takeover *takeover.Takeover
	Workers  *worker.Client
	// RequestInventory sends the census question to the peers and must not wait.
	RequestInventory func()
	// EndLogged tells whether a job's end is in the log.
	EndLogged func(id string) bool
	// StoreEnd is told how a job ended, to keep it, and must not wait.
	StoreEnd func(end job.Ended, ran bool)
	// StoreCrashes is told to store how many lives of workers ended under a task and then to call
	// Noted; it must not wait. Nil stores nothing.
	StoreCrashes func(spec job.Spec, task string, lives int64)
	// CrashCounts tells how many are stored of a job's tasks; nil: none.
	CrashCounts func(id string) map[string]int64
	Row         func(name string) (table.Row, int64)
	// LimitKey returns what a row is counted by; nil or an empty name: it may be started anywhere.
	// KeyWorkers lists the workers of a key in the order in which they allow to start it.
	LimitKey func(row table.Row) string
	Arbiters func(key string) []string
	// Shares returns what a row and its team may use here; nil: the row's limits.
	Shares func(row table.Row) (own, team table.Share)
	// Estimates correct declared sizes and times.
	Estimates *estimate.Estimates
	// Count adds one to a metric; nil counts nothing.
	Count   func(name string)
	History *trail.Trail
	Clock   func() time.Time
	// Go runs an exchange with a worker later, for measuring on a passed-in
	// clock; nil runs each in a goroutine of its own.
	Go  func(f func())
	Log *slog.Logger
}

// Leader is the jobs' part of one entry host. It is safe for concurrent use.
type Leader struct {
	Deps
	ctx      context.Context
	mu       sync.Mutex
	machines map[string]Machine
	// toForget holds by worker the leases of ended starts that it may drop.
	toForget map[string][]string
	// taskWorkers holds on which held worker each listed task runs.
	taskWorkers map[string]string
	untracked   map[string]untrackedRun
	// lastDropped is when a job that had tasks on a worker was last given up.
	lastDropped map[string]time.Time
	// expectedHandovers holds by peer the hand-over that it may send next.
	expectedHandovers map[string]expectedHandover
	// counts holds by key what is counted here, elsewhere by worker what is counted and runs on
	// workers of other hosts.
	counts           map[string]*keyCount
	countedElsewhere map[string][]CountedTask
	// lastLimitedStart is when a start of a counted row to a worker was last answered.
	lastLimitedStart map[string]time.Time
	// lastHeld is when each worker was last lastHeld.
	lastHeld map[string]time.Time
	// incarnationsAsked is when the peers were last asked for what they know of the workers' lives.
	incarnationsAsked time.Time
	// incarnations are the workers' incarnations as this host last saw them.
	incarnations map[string]*incarnation
	// appliedRules hold what was last told to the placement, and ruled is when.
	appliedRules   map[string]place.Rule
	rulesRefreshed time.Time
	epoch          int64
	leaving        bool
	wg             sync.WaitGroup
}

// untrackedRun is a start of a job that is led here no longer, which may still land.
type untrackedRun struct {
	worker   string
	deadline time.Time
	// since is when the job was given up.
	since time.Time
}

// askTimeout bounds one exchange with a worker.
const askTimeout = time.Second

// New returns a lead without workers; its exchanges end with ctx.
func New(ctx context.Context, d Deps) *Leader {
	if d.Estimates == nil {
		d.Estimates = estimate.New()
	}
	if d.Count == nil {
		d.Count = func(string) {}
	}
	return &Leader{
		Deps: d, ctx: ctx, machines: map[string]Machine{}, toForget: map[string][]string{}, taskWorkers: map[string]string{},
		counts: map[string]*keyCount{}, countedElsewhere: map[string][]CountedTask{}, lastLimitedStart: map[string]time.Time{}, untracked: map[string]untrackedRun{}, lastDropped: map[string]time.Time{}, expectedHandovers: map[string]expectedHandover{}, lastHeld: map[string]time.Time{}, incarnations: map[string]*incarnation{}, appliedRules: map[string]place.Rule{}, epoch: 1,
	}
}

// Tick lets time pass.
func (l *Leader) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLeases(lease.Tick{})
	l.askIncarnations()
	l.refreshRules()
	l.stepPlacement(place.Tick{})
	l.watchUnheld()
	l.stepTakeover(takeover.Tick{})
}

// Held lists the workers that this host leads.
func (l *Leader) Held() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Leases.Held()
}

// Release gives all anchors back and waits for the exchanges under way.
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

// UnschedulableError tells that a job can never run here and names the nearest limit.
type UnschedulableError struct{ Reason string }

func (e *UnschedulableError) Error() string { return "job can never run: " + e.Reason }

// Check tells whether a job may be taken here: a NeverError if it can never
// run, a NoWorkerError or LeavingError if another host should be asked. The
// epoch is the one to submit it in.
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
	return epoch, l.checkSchedulable(spec)
}

// Submit takes a job that was checked in that epoch and is kept by now. A
// NoWorkerError tells that all workers were lost in between: another host may
// lead the job already.
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

// Status returns a job's state, or a job.UnknownError.
func (l *Leader) Status(id string) (job.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Jobs.Status(id)
}

// Cancel asks that a job stops and returns its state then. Leases that lapsed
// in a pause are noticed first: the job may have another lead since then.
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
	l.History.Add(trail.Note{At: l.Clock(), ID: id, Part: "lead", What: what})
}

// stepLeases, place and job step one core and carry out its actions. They are
// called with mu held; exchanges with workers run beside.
func (l *Leader) stepLeases(ev lease.Event) {
	for _, a := range l.Leases.Step(l.Clock(), ev) {
		switch a := a.(type) {
		case lease.Acquire:
			l.spawn(func(ctx context.Context) { l.takeLease(ctx, a) })
		case lease.Renew:
			l.spawn(func(ctx context.Context) { l.renewLease(ctx, a) })
		case lease.Release:
			l.spawn(func(ctx context.Context) { l.releaseLease(ctx, a) })
		case lease.AskIncarnation:
			l.spawn(func(ctx context.Context) { l.askIncarnation(ctx, a) })
		case lease.AwaitStarts:
			l.Log.Info("lead: worker is in a life that is new here; waiting for starts to the former one.", "worker", a.Worker, "life", a.Life, "until", a.Until)
		case lease.Up:
			l.workerUp(a)
		case lease.Updated:
			l.handleReading(a.Worker, a.Reading)
		case lease.Down:
			l.workerDown(a.Worker)
		}
	}
}

// workerDown gives up a worker. A host that loses its last worker may have been
// taken for dead, and gives up its jobs too.
func (l *Leader) workerDown(name string) {
	l.Log.Info("lead: worker is no longer led.", "worker", name)
	l.Count("lead.down")
	l.lastHeld[name] = l.Clock()
	for id, at := range l.taskWorkers {
		if at == name {
			delete(l.taskWorkers, id)
			l.Estimates.Drop(id)
		}
	}
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

func (l *Leader) takeLease(ctx context.Context, a lease.Acquire) {
	r, err := l.Workers.Take(ctx, l.address(a.Worker), a.TTL)
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
		l.stepLeases(lease.Refused{Worker: name, Holder: held.Holder, Remaining: held.Left, Sent: held.Sent, Incarnation: held.Life})
	default:
		l.stepLeases(lease.Unanswered{Worker: name})
	}
}

// askIncarnation asks a worker for its life. One that does not answer is asked again.
func (l *Leader) askIncarnation(ctx context.Context, a lease.AskIncarnation) {
	name, err := l.Workers.Life(ctx, l.address(a.Worker))
	if err != nil {
		l.Log.Debug("lead: life of a worker not told.", "worker", a.Worker, "err", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLeases(lease.IncarnationLearned{Worker: a.Worker, Life: name})
}

func (l *Leader) releaseLease(ctx context.Context, a lease.Release) {
	if err := l.Workers.Give(ctx, l.address(a.Worker), a.Lease); err != nil {
		l.Log.Warn("lead: anchor not given back.", "worker", a.Worker, "err", err)
	}
}

func (l *Leader) workerUp(a lease.Up) {
	m := l.machines[a.Worker]
	var used []place.Used
	for _, t := range a.Tasks {
		if t.State == "running" {
			row, _ := l.Row(t.Row)
			used = append(used, place.Used{Task: t.ID, Row: t.Row, Team: row.Team, Class: row.Urgency(), Size: foundTaskSize(t)})
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
		// What is listed runs, whatever became of the rest. A census may rest on it now.
		ev.Incarnation, ev.Jobs = "", []string{}
	}
	for _, t := range r.Tasks {
		ev.Tasks = append(ev.Tasks, job.ListedTask{ID: t.ID, State: t.State, Lease: t.Lease})
	}
	l.stepJobs(ev)
	l.reconcile(name, r)
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
