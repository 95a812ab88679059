// Package entry is one entry host on the users' platform: it takes jobs from
// callers, stores them, and with luck leads the workers. Every host is the same
// and keeps nothing; what must last lies in the platform's store.
package entry

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
	"pollencroft/platform"
)

// Host is one entry host.
type Host struct {
	cfg Settings
	log *slog.Logger
	now func() time.Time
	// startedAt is when this life of the host did; it names the life.
	startedAt time.Time
	store     *store.Routed
	workers   *platform.Workers
	policy    *platform.Policy
	peers     *peer.Clients
	metrics   metrics.Registry
	inbox     *inbox
	states    *stateCache
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	servers   []*http.Server

	mu    sync.Mutex
	table *platform.Table
	// hosts are the entry hosts by name; lead is the one that leads, in term.
	hosts  map[string]netip.AddrPort
	leader string
	term   int64
	// previousLeader is the host that led before, as far as is known. bounds are what it
	// told at its stop, at boundsAt.
	previousLeader   string
	handoverBounds   map[string]time.Duration
	handoverBoundsAt time.Time
	// pending is how many jobs of each queue wait, as the lead said last.
	pending   map[string]int
	pendingAt time.Time
	// ownTerm is the term that this host leads; nil when it does not.
	ownTerm *term
	// leaderSince is when this host heard of the lead first, unansweredSince when it asked that one
	// first since the last answer, lastLateReply when an answer came too late, lastSync when one
	// came in time, lastDelegation when this host asked another one to lead.
	leaderSince, unansweredSince, lastLateReply, lastSync, lastDelegation time.Time
	// leaderChanges are when the lead changed of late and nobody had told that it would, without
	// those that turned out right.
	leaderChanges []time.Time
	// strongPower is the power of which, as the lead says, there are strongPower hosts to lead.
	strongPower float64
	// unresponsive is the host that left the last question about who leads without an answer,
	// at muteAt.
	unresponsive   string
	unresponsiveAt time.Time
	// electionMu is held while the host asks whether it should lead, claimMu while it
	// tries to; claiming tells of the latter.
	electionMu, claimMu sync.Mutex
	claiming, leaving   bool
	// successor is the host that this one asked to lead in its place.
	successor string
	// standby is the host that the lead wants to lead if it dies.
	standby string
	// accepted are the jobs that this host accepted lately, seen the hosts that asked
	// it.
	accepted  map[string]time.Time
	peersSeen map[string]hostInfo
	// wasReady is what the balancer was told last.
	wasReady bool
	// failedSince are the topics whose last read failed, and since when.
	failedSince map[string]time.Time
}

// New returns a host that is not started.
func New(cfg Settings, log *slog.Logger, now func() time.Time) (*Host, error) {
	c := platform.New()
	h := &Host{
		cfg: cfg, log: log, now: now, startedAt: now(), workers: platform.NewWorkers(c),
		peers: peer.NewClients(map[string]netip.AddrPort{}), metrics: metrics.NewRegistry(),
		hosts: map[string]netip.AddrPort{cfg.Name: cfg.Listen.Peer}, pending: map[string]int{},
		accepted: map[string]time.Time{}, peersSeen: map[string]hostInfo{}, failedSince: map[string]time.Time{},
	}
	if cfg.Policy != "" {
		addr, err := netip.ParseAddrPort(cfg.Policy)
		if err != nil {
			return nil, errors.Wrap(err, "read address of the policy service")
		}
		h.policy = platform.NewPolicy(c, addr)
	}
	h.peers.OnDisconnect(h.onPeerLost)
	h.lastSync = now()
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.store = store.NewRouted(platform.NewStore(platform.New(), cfg.Store), relay{h}, now, h.storeChanged)
	h.inbox = newInbox(h)
	h.states = newStates(h)
	return h, nil
}

func (h *Host) incarnation() string {
	return strconv.FormatInt(h.startedAt.UnixNano(), incarnationBase)
}

func (h *Host) incCounter(name string) { metrics.GetOrRegisterCounter(name, h.metrics).Inc(1) }

// observe adds to a histogram.
func (h *Host) observe(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, h.metrics).Update(d)
}

// observeWait adds to the histograms of what steps wait for, by the rank of their queue: queues
// come and go with the table, and ranks are few.
func (h *Host) observeWait(w sched.StepWaited) {
	h.observe(fmt.Sprintf("step.wait.rank%d", w.Rank), w.Times.Total())
	for r, d := range w.Times {
		if d > 0 {
			h.observe(fmt.Sprintf("step.wait.rank%d.%s", w.Rank, sched.WaitReason(r)), d)
		}
	}
}

func (h *Host) storeChanged(c store.Call, ok bool, err error) {
	what := slog.String("what", c.Topic+c.Group)
	if ok {
		h.log.Info("store: answers this host again.", what, "part", c.Part)
		return
	}
	h.incCounter("store.lost")
	h.log.Warn("store: does not serve this host.", what, "part", c.Part, "err", err)
}

// Start listens and begins to follow the platform.
func (h *Host) Start() error {
	h.log.Info("entry: start.", "host", h.cfg.Name, "life", h.incarnation(), "domain", h.cfg.Domain)
	var lc net.ListenConfig
	open := func(addr netip.AddrPort) (net.Listener, error) {
		ln, err := lc.Listen(h.ctx, "tcp", addr.String())
		return ln, errors.Wrapf(err, "listen on %s", addr)
	}
	lnPeer, err := open(h.cfg.Listen.Peer)
	if err != nil {
		return err
	}
	srv := peer.NewServer(h.handleMessage)
	h.wg.Go(func() { srv.Serve(h.ctx, lnPeer) })
	if err := h.listen(open); err != nil {
		return err
	}
	h.wg.Go(func() { h.follow(platform.TableTopic, h.applyTable) })
	h.wg.Go(func() { h.follow(leaderTopic, h.applyLeader) })
	h.wg.Go(h.maintainMembership)
	h.wg.Go(h.syncPeriodically)
	h.wg.Go(h.inbox.run)
	return nil
}

func (h *Host) listen(open func(netip.AddrPort) (net.Listener, error)) error {
	type listener struct {
		addr    netip.AddrPort
		handler http.Handler
	}
	all := []listener{{h.cfg.Listen.Caller, h.callerHandler()}, {h.cfg.Listen.Ready, h.readyHandler()}}
	if h.cfg.Listen.Metrics.IsValid() {
		all = append(all, listener{h.cfg.Listen.Metrics, h.metricsHandler()})
	}
	for _, l := range all {
		ln, err := open(l.addr)
		if err != nil {
			return err
		}
		s := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
		}
		h.servers = append(h.servers, s)
		h.wg.Go(func() { _ = s.Serve(ln) })
	}
	return nil
}

// Bounds of a caller's connection.
const (
	// headerTimeout is as long as the table's limits allow a head to take.
	headerTimeout = 3 * time.Second
	// idleTimeout is longer than callers keep connections open between requests.
	idleTimeout = 30 * time.Second
)

// Reload takes note of changed settings. Addresses hold until the next start.
func (h *Host) Reload(cfg Settings, err error) {
	if err != nil {
		h.log.Error("entry: changed settings cannot be used.", "err", err)
		return
	}
	h.log.Info("entry: reload.", "host", cfg.Name)
}

const (
	// drainWait is how long a stopping host goes on serving after it has turned
	// not ready: two looks of the balancer, a second apart, and what was on its
	// way then.
	drainWait = 2500 * time.Millisecond
	// shutdownTimeout is how long requests under way have after that; a stop in all has
	// to fit the platform's grace.
	shutdownTimeout = 1500 * time.Millisecond
)

// Stop ends the host in good order: another one leads, callers go elsewhere,
// what is under way is answered.
func (h *Host) Stop() {
	h.log.Info("entry: planned stop.", "host", h.cfg.Name, "peak-mib", peakMemory())
	h.mu.Lock()
	h.leaving = true
	t := h.ownTerm
	h.mu.Unlock()
	h.stepDown(t)
	grace := time.Duration(h.cfg.Times.Grace)
	sleep(h.ctx, min(drainWait, max(grace-shutdownTimeout-time.Second, 0)))
	ctx, cancel := context.WithTimeout(h.ctx, shutdownTimeout)
	for _, s := range h.servers {
		if err := s.Shutdown(ctx); err != nil {
			h.log.Warn("entry: connections were still open.", "err", err)
		}
	}
	cancel()
	h.cancel()
	h.peers.Close()
	h.log.Info("entry: stopped.", "host", h.cfg.Name)
}

// sleep sleeps; false when ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// otherHosts lists the other hosts' names, the lead first: it is the one that the store most
// likely serves. The rest follow in order of name from this host's on, so that hosts that
// the store turns away do not all ask the same ones.
func (h *Host) otherHosts() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var before, after []string
	for _, n := range slices.Sorted(maps.Keys(h.hosts)) {
		switch {
		case n == h.leader:
		case n < h.cfg.Name:
			before = append(before, n)
		case n > h.cfg.Name:
			after = append(after, n)
		}
	}
	all := slices.Concat(after, before)
	if _, ok := h.hosts[h.leader]; ok && h.leader != h.cfg.Name {
		all = slices.Insert(all, 0, h.leader)
	}
	return all
}

// setHosts replaces the entry hosts.
func (h *Host) setHosts(all map[string]netip.AddrPort) {
	all[h.cfg.Name] = h.cfg.Listen.Peer
	h.mu.Lock()
	// It is added to when another lead is learned, while this one is walked below.
	h.hosts = maps.Clone(all)
	t := h.ownTerm
	h.mu.Unlock()
	for n, a := range all {
		if n != h.cfg.Name {
			h.peers.SetAddr(n, a)
		}
	}
	if t != nil {
		t.step(sched.Hosts{Names: slices.Sorted(maps.Keys(all))})
	}
}
