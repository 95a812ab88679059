// Package host implements one entry host. It connects the state machines to the network, serves
// callers, operators and peers, and stops without interrupting work in flight.
package host

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/attempts"
	"pollencroft/internal/backend"
	"pollencroft/internal/chart"
	"pollencroft/internal/dial"
	"pollencroft/internal/job"
	"pollencroft/internal/keys"
	"pollencroft/internal/lead"
	"pollencroft/internal/lease"
	"pollencroft/internal/ledger"
	"pollencroft/internal/member"
	"pollencroft/internal/outlier"
	"pollencroft/internal/peer"
	"pollencroft/internal/place"
	"pollencroft/internal/platform"
	"pollencroft/internal/queue"
	"pollencroft/internal/relay"
	"pollencroft/internal/retry"
	"pollencroft/internal/settings"
	"pollencroft/internal/share"
	"pollencroft/internal/table"
	"pollencroft/internal/takeover"
	"pollencroft/internal/trail"
	"pollencroft/internal/worker"
)

// Interval of the periodic work, and the size of the history of decisions.
const (
	tickInterval    = 20 * time.Millisecond
	maxHistoryNotes = 20_000
)

// Host is one entry host.
type Host struct {
	cfg          settings.Settings
	log          *slog.Logger
	clock        func() time.Time
	incarnation  int64
	startedAt    time.Time
	metrics      metrics.Registry
	state        atomic.Value
	controlBytes *atomic.Int64
	peerBytes    atomic.Int64

	platform *platform.Client
	peers    *peer.Clients
	relay    *relay.Relay
	leader   *lead.Leader
	history  *trail.Trail

	mu      sync.Mutex
	members *member.Members
	// heartbeatSeq counts the heartbeats of this incarnation.
	heartbeatSeq int64
	table        *table.Table
	tableChanged chan struct{}
	// lastAnnouncement, announcedLeaving and announcedLive are what announceShares last
	// announced, at announcedAt.
	lastAnnouncement share.Announcement
	announcedLeaving []string
	announcedLive    []string
	announcedAt      time.Time
	// copying reports whether peers are being asked for their table.
	copying  atomic.Bool
	machines []platform.HostEntry
	shares   *share.Shares
	// shareMu is held from a decision on slots until the queue has applied it. Otherwise an
	// older decision could overtake a newer one and restore slots that another host has been
	// told are free.
	shareMu sync.Mutex
	// listTag is used by followList only. listChanged and listNotified make it read the list
	// sooner.
	listTag      string
	listChanged  chan struct{}
	listNotified atomic.Bool
	jobs         *jobStore
	// edits tracks the operators' edits, by id.
	edits *attempts.Tracker

	ctx      context.Context
	cancel   context.CancelFunc
	servers  []*server
	keys     *keys.Keys
	peerWork *gate
	budget   *budget
	wg       sync.WaitGroup
	stopped  chan struct{}
	killOnce sync.Once
}

var lifecycle = chart.MustLoad("host")

// New returns a host that does not serve anything yet.
func New(cfg settings.Settings, log *slog.Logger, clock func() time.Time) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	now := clock()
	control := new(atomic.Int64)
	h := &Host{
		cfg: cfg, controlBytes: control, log: log, clock: clock, incarnation: now.UnixMilli(), startedAt: now, metrics: metrics.NewRegistry(),
		platform: platform.New(cfg.Platform, newTransport(control)), peers: peer.NewClients(peerAddresses(cfg)),
		history: trail.New(maxHistoryNotes), table: table.New(), tableChanged: make(chan struct{}), jobs: newJobStore(clock), edits: attempts.New(editExpiry, maxEdits, clock), listChanged: make(chan struct{}, 1), peerWork: newGate(), budget: &budget{limit: orDefault(cfg.Limits.Memory, settings.DefaultMemory)},
		ctx: ctx, cancel: cancel, stopped: make(chan struct{}),
		shares:  newShares(cfg, now),
		members: member.New(member.Heartbeat{Name: cfg.Name, Domain: cfg.Domain, Incarnation: now.UnixMilli()}),
	}
	h.state.Store(lifecycle.Start())
	h.peers.SetDialer(h.dialPeer)
	h.peers.SetIdleTime(h.linkIdleTimeout)
	h.relay = relay.New(relay.Deps{
		Name: cfg.Name, Domain: cfg.Domain, Queue: queue.New(queue.Limits{Length: int(cfg.Limits.Queue), Reserve: queue.DefaultLimits.Reserve}),
		Ledger: ledger.New(ledger.DefaultLimits, now), Backends: backend.New(backend.NewTransport(dial.New().DialContext), cfg.Limits.Body),
		Outliers: outlier.New(outlier.DefaultLimits), Retries: retry.New(retry.DefaultLimits), LimitShare: h.rowLimitPart, MaxPause: cfg.Limits.Deadline / 2, Metrics: h.metrics,
		Plan: keyPlan(cfg), Incarnation: now.UnixMilli(), Peers: h.peers, Row: h.Row, Members: h.domainMembers, Clock: clock, Log: log,
	})
	h.leader = lead.New(ctx, lead.Deps{
		Leases: lease.New(lease.DefaultLimits), Placer: place.New(place.DefaultLimits), Jobs: job.New(),
		Takeover:         takeover.New(cfg.Name, takeover.Limits{LongestLease: lease.DefaultLimits.TaskTTL, AskInterval: repairInterval}),
		RequestInventory: h.requestInventories, EndLogged: h.endLogged, StoreEnd: h.storeEnd, StoreCrashes: h.storeCrashes, CrashCounts: h.crashCounts,
		Workers: worker.New(cfg.Name, now.UnixMilli(), newTransport(control), clock), Row: h.Row, History: h.history, Clock: clock, Log: log,
		LimitKey: h.limitKey, Arbiters: h.arbiterWorkers, Shares: h.rowShares, Count: func(name string) { metrics.GetOrRegisterCounter(name, h.metrics).Inc(1) },
	})
	return h
}

func peerAddresses(cfg settings.Settings) map[string]netip.AddrPort {
	all := map[string]netip.AddrPort{}
	for _, p := range cfg.Peers {
		all[p.Name] = p.Address
	}
	return all
}

func keyPlan(cfg settings.Settings) ledger.Plan {
	var others []ledger.Host
	for _, p := range cfg.Peers {
		others = append(others, ledger.Host{Name: p.Name, Domain: p.Domain})
	}
	return ledger.NewPlan(ledger.Host{Name: cfg.Name, Domain: cfg.Domain}, others)
}

// Listeners are the sockets that a host serves.
type Listeners struct {
	Caller, Operator, Peer net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(l settings.Listen) (Listeners, error) {
	var ls Listeners
	for _, one := range []struct {
		into *net.Listener
		addr netip.AddrPort
	}{{&ls.Caller, l.Caller}, {&ls.Operator, l.Operator}, {&ls.Peer, l.Peer}} {
		ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", one.addr.String())
		if err != nil {
			return ls, errors.Wrapf(err, "listen on %s", one.addr)
		}
		*one.into = ln
	}
	return ls, nil
}

// Start serves on the listeners and starts the host's periodic work.
func (h *Host) Start(ls Listeners) {
	h.serve(h.limitConns(ls.Caller), h.callerRoutes())
	h.serve(h.operatorListener(h.limitConns(ls.Operator)), h.operatorRoutes())
	srv := peer.NewServer(h.handlePeer)
	srv.OnRejected(h.countKeys)
	h.wg.Go(func() { srv.Serve(h.ctx, h.peerListener(ls.Peer)) })
	h.wg.Go(h.followTable)
	h.wg.Go(h.followList)
	h.startHeartbeats()
	h.wg.Go(h.followJobs)
	h.wg.Go(h.appendJobs)
	h.runEvery(announceCheckInterval, h.announceShares)
	h.runEvery(repairInterval, h.repairJobs)
	h.runEvery(tickInterval, h.tick)
	h.runEvery(settleInterval, h.settleQuotas)
	h.log.Info("host: started.", "name", h.cfg.Name, "domain", h.cfg.Domain)
}

func (h *Host) runEvery(d time.Duration, f func()) {
	h.wg.Go(func() {
		t := time.NewTicker(d)
		defer t.Stop()
		f()
		for {
			select {
			case <-h.ctx.Done():
				return
			case <-t.C:
				f()
			}
		}
	})
}

func (h *Host) tick() {
	h.relay.Tick()
	h.leader.Tick()
	h.memberStep(member.Tick{})
	h.tickShares()
}

// transition applies an event to the host's life cycle and reports whether it was allowed.
func (h *Host) transition(ev chart.Event) bool {
	for {
		old := h.state.Load().(chart.State)
		next, err := lifecycle.Next(old, ev)
		if err != nil {
			return false
		}
		if h.state.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Ready reports whether this host accepts new work.
func (h *Host) Ready() bool { return h.ctx.Err() == nil && h.state.Load().(chart.State) == "ready" }

// Kill ends the host at once, as a crash would.
func (h *Host) Kill() {
	h.killOnce.Do(func() {
		h.cancel()
		for _, srv := range h.servers {
			_ = srv.Close()
		}
		h.peers.Close()
		close(h.stopped)
	})
	h.wg.Wait()
}

// Stopped returns a channel that is closed when the host has ended.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }
