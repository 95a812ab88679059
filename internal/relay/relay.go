// Package relay carries callers' requests through one entry host. It asks the key ledger,
// waits for a slot, sends the request to a backend server or to a peer with free capacity,
// retries what may be retried, and reports how the request ended.
package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/backend"
	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/ledger"
	"pollencroft/internal/member"
	"pollencroft/internal/outlier"
	"pollencroft/internal/peer"
	"pollencroft/internal/queue"
	"pollencroft/internal/retry"
	"pollencroft/internal/spans"
	"pollencroft/internal/table"
)

// Deps are the dependencies of a Relay.
type Deps struct {
	Name, Domain string
	Queue        *queue.Queue
	Outliers     *outlier.Detector
	Retries      *retry.Budget
	Ledger       *ledger.Ledger
	// Plan chooses the homes of keys. Incarnation is the incarnation of this host.
	Plan        ledger.Plan
	Incarnation int64
	Backends    *backend.Client
	Peers       *peer.Clients
	// Row returns a row and its version, which is zero if there is no such row.
	Row func(name string) (table.Row, int64)
	// LimitShare returns this host's share of a limit that applies to the whole cell.
	LimitShare func(row string, limit int64) int64
	// Members returns the live hosts of this domain and their heartbeats.
	Members func() ([]string, []member.Heartbeat)
	Clock   func() time.Time
	// MaxPause is how long this host may be paused and still use its slots. Zero means that
	// there is no limit.
	MaxPause time.Duration
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Relay handles the callers' requests of one entry host. It is safe for concurrent use.
type Relay struct {
	Deps
	mu       sync.Mutex
	waiting  map[string]chan queue.Action
	servers  map[string]Server
	versions map[string]int64
	// waitTimers measure how long requests of each class wait for a slot.
	waitTimers map[cell.Class]metrics.Timer
	lastStep   time.Time
	home       homeState
	ends       keyEnds
	// lastLoad is when each peer last announced its load, and lastFailure is when it last
	// failed to answer.
	lastLoad, lastFailure map[string]time.Time
}

// New returns a relay without backend servers.
func New(d Deps) *Relay {
	waits := map[cell.Class]metrics.Timer{}
	for _, c := range cell.Classes {
		waits[c] = metrics.GetOrRegisterTimer("queue.wait."+c.String(), d.Metrics)
	}
	return &Relay{
		Deps: d, waitTimers: waits, waiting: map[string]chan queue.Action{}, servers: map[string]Server{}, versions: map[string]int64{},
		lastLoad: map[string]time.Time{}, lastFailure: map[string]time.Time{},
	}
}

// Server is a backend server with this host's share of its slots.
type Server struct {
	Name    string
	Address netip.AddrPort
	Slots   int
}

// SetServers replaces the backend servers that may receive new requests.
func (x *Relay) SetServers(all []Server) {
	servers := map[string]Server{}
	names := make([]string, 0, len(all))
	for _, s := range all {
		servers[s.Name] = s
		names = append(names, s.Name)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastStep = x.Clock()
	x.servers = servers
	x.Outliers.Step(x.Clock(), outlier.ServersListed{Backends: names})
	x.updateShares()
}

// updateShares tells the queue how many requests each backend server may receive. x.mu must
// be held.
func (x *Relay) updateShares() {
	all := make([]queue.Share, 0, len(x.servers))
	for _, s := range x.servers {
		all = append(all, queue.Share{Backend: s.Name, Slots: x.Outliers.MaxSlots(s.Name, s.Slots)})
	}
	x.stepQueue(queue.Shares{All: all})
}

// stepOutliers passes an event about backend servers to the outlier detection. x.mu must be
// held.
func (x *Relay) stepOutliers(ev outlier.Event) {
	acts := x.Outliers.Step(x.Clock(), ev)
	for _, a := range acts {
		switch a := a.(type) {
		case outlier.StateChanged:
			x.Log.Info("relay: backend server changed its state.", "minion", a.Backend, "state", a.State, "reason", a.Reason)
		}
	}
	if len(acts) > 0 {
		metrics.GetOrRegisterGauge("relay.aside", x.Metrics).Update(int64(len(x.Outliers.UntrustedStates())))
		x.updateShares()
	}
}

// Leaving lists the backend servers that have told this host that they are leaving.
func (x *Relay) Leaving() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Outliers.LeavingServers(x.Clock())
}

// Quarantined lists the backend servers that are not trusted at present, with their states.
func (x *Relay) Quarantined() map[string]outlier.State {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Outliers.UntrustedStates()
}

// MarkLeaving handles a peer's announcement that backend servers are leaving.
func (x *Relay) MarkLeaving(leaving []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stepOutliers(outlier.LeavingReported{Leaving: leaving})
}

// Tick advances the time of the state machines and applies changed rows.
func (x *Relay) Tick() {
	x.refreshRows()
	x.refreshPeers()
	x.tickHome()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stepOutliers(outlier.Tick{})
	x.stepQueue(queue.Tick{})
	free, waiting := x.Queue.Load()
	metrics.GetOrRegisterGauge("queue.free", x.Metrics).Update(int64(free))
	metrics.GetOrRegisterGauge("queue.waiting", x.Metrics).Update(int64(waiting))
}

// refreshRows applies edits of the table to requests that are already waiting.
func (x *Relay) refreshRows() {
	x.mu.Lock()
	names := x.Queue.WaitingRows()
	x.mu.Unlock()
	for _, name := range names {
		row, version := x.Row(name)
		x.mu.Lock()
		if version != 0 && x.versions[name] != version {
			x.versions[name] = version
			x.stepQueue(queue.RowChanged{Row: x.queueRow(row)})
		}
		x.mu.Unlock()
	}
}

func (x *Relay) queueRow(row table.Row) queue.Row {
	return queue.Row{
		Name: row.Name, Class: row.Urgency(), Weight: row.Weight,
		Slots: x.localLimit(row.Name, row.Limits.Slots, queue.NoSlots), MaxQueued: x.localLimit(row.Name, row.Limits.Queue, 1),
	}
}

// localLimit returns this host's share of a limit, or least if its share is zero. Without a
// limit it returns zero.
func (x *Relay) localLimit(row string, limit, least int64) int64 {
	if limit == 0 {
		return 0
	}
	if n := x.LimitShare(row, limit); n > 0 {
		return n
	}
	return least
}

// Drained reports whether no backend server has more requests of this host than its present
// share allows.
func (x *Relay) Drained() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.Queue.Overcommitted()
}

// Load returns the numbers of this host's free slots and waiting requests.
func (x *Relay) Load() (free, waiting int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Queue.Load()
}

func (x *Relay) step(ev queue.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stepQueue(ev)
}

// stepQueue passes an event to the queue and wakes the requests that it decided on. x.mu
// must be held.
func (x *Relay) stepQueue(ev queue.Event) {
	now := x.Clock()
	acts := x.checkPause(now)
	for _, a := range append(acts, x.Queue.Step(now, ev)...) {
		switch a := a.(type) {
		case queue.Send:
			x.wake(a.ID, a)
		case queue.Lend:
			x.wake(a.ID, a)
		case queue.Refuse:
			x.wake(a.ID, a)
		}
	}
}

// checkPause removes all slots after a long pause of this host. Other hosts may have taken
// the slots over meanwhile, and a request that wakes first would use them a second time.
// SetServers restores the slots that still belong to this host.
func (x *Relay) checkPause(now time.Time) []queue.Action {
	gap := now.Sub(x.lastStep)
	paused := !x.lastStep.IsZero() && x.MaxPause > 0 && gap > x.MaxPause
	x.lastStep = now
	if !paused {
		return nil
	}
	x.Log.Warn("relay: host was paused for too long, its slots are removed.", "for", gap)
	x.servers = map[string]Server{}
	return x.Queue.Step(now, queue.Shares{})
}

func (x *Relay) wake(id string, a queue.Action) {
	if c, ok := x.waiting[id]; ok {
		c <- a
		delete(x.waiting, id)
	}
}

// Do runs a caller's request. It always returns a final reply.
func (x *Relay) Do(ctx context.Context, req call.Request) call.Reply {
	ctx, end := spans.Start(ctx, "host", req.ID)
	defer end()
	req.Trace = spans.TraceParent(ctx)
	if req.Key == "" {
		return x.runWithRetries(ctx, req)
	}
	return x.runKeyed(ctx, req)
}
