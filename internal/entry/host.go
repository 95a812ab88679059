// Package entry implements an entry host on the users' platform. An entry host accepts jobs from
// callers and stores them, and one of the entry hosts leads the workers. All entry hosts are
// alike and keep nothing on disk; everything that must persist is in the platform's store.
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

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/admission"
	"pollencroft/internal/agent"
	"pollencroft/internal/http1"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
	"pollencroft/platform"
)

// Host is an entry host.
type Host struct {
	cfg Settings
	log *slog.Logger
	now func() time.Time
	// uptime measures what others count on. suspended is how long the machine was suspended as far
	// as that is logged.
	uptime    *uptime.Clock
	suspended time.Duration
	// startedAt is when this process started. It identifies the incarnation of the host.
	startedAt time.Time
	store     *store.Routed
	workers   *platform.Workers
	policy    *platform.Policy
	peers     *peer.Clients
	metrics   metrics.Registry
	inbox     *inbox
	states    *stateCache
	agent     *agent.Agent
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	// servers serve callers, readiness checks and metrics. callers is the one of callers, and
	// closeCallers closes its listener.
	servers      []*http1.Server
	callers      *http1.Server
	closeCallers func() error
	// bodies decodes the bodies of submissions.
	bodies *bodies

	mu    sync.Mutex
	table *platform.Table
	// tableReadAt is when the store last answered a read of the table.
	tableReadAt time.Time
	// hosts holds the addresses of the entry hosts by name. leader is the current leader, and
	// term is its term.
	hosts map[string]netip.AddrPort
	// sentHosts is the list of hosts as it is sent to others, and sentHostList identifies it; both
	// are made when they are needed. leaderHostList identifies the leader's list that hosts is from.
	sentHosts      map[string]string
	sentHostList   string
	leaderHostList string
	leader         string
	term           int64
	// previousLeader is the last known leader before the current one. handoverBounds are the
	// lease bounds that the leader of handoverTerm sent when it stepped down, received at
	// handoverBoundsAt.
	previousLeader   string
	handoverTerm     int64
	handoverBounds   map[string]time.Duration
	handoverBoundsAt time.Time
	// pending is the number of waiting jobs by queue, as last reported by the leader.
	pending   map[string]int
	pendingAt time.Time
	// load is the load of the queues, as last reported by the leader.
	load admission.View
	// jobMemory is the memory that jobs take in the leader, as last reported by it, and sentMemory
	// that of the jobs that this host has sent to the store lately.
	jobMemory  int64
	sentMemory sentMemory
	// agents are the hosts that send the leader's orders to workers, as last reported by it at
	// agentsAt.
	agents   []agent.Host
	agentsAt time.Time
	// ownTerm is the term in which this host leads; nil if it does not lead.
	ownTerm *term
	// unstoredEnds are the ends that this host read in its last term and could not store.
	unstoredEnds []sched.WorkerEnd
	// kindSpeeds is what the last leader had learned of the kinds of workers.
	kindSpeeds map[string]float64
	// leaderSince is when this host learned of the leader. unansweredSince is when it sent the
	// leader the first request since the leader's last reply. lastLateReply is when a reply
	// arrived after its timeout, lastSync when one arrived in time. lastDelegation is when this
	// host last asked another one to lead.
	leaderSince, unansweredSince, lastLateReply, lastSync, lastDelegation time.Time
	// leaderChanges are the times of recent leader changes that were not announced beforehand,
	// except those that proved to be right.
	leaderChanges []time.Time
	// strongPower is the power that minStrongHosts hosts reach, as reported by the leader; see
	// minStrongPower.
	strongPower float64
	// unresponsive is the host that did not answer the last question whether it leads, asked at
	// unresponsiveAt.
	unresponsive   string
	unresponsiveAt time.Time
	// electionMu is held while the host checks whether it should lead, claimMu while it tries to
	// begin a term. claiming reports the latter to other hosts.
	electionMu, claimMu sync.Mutex
	claiming, leaving   bool
	// abortClaim ends the attempt to begin a term.
	abortClaim context.CancelFunc
	// successor is the host that this one asked to lead in its place.
	successor string
	// standby is the host that is to take over if the leader's process dies, as designated by the
	// leader.
	standby string
	// accepted holds the jobs that this host stored recently. peersSeen holds the hosts that
	// sent requests to this one.
	accepted  map[string]acceptance
	peersSeen map[string]hostInfo
	// early are the cancellations of unknown jobs that this host stored lately.
	early *earlyCancels
	// wasReady is the last readiness reported to the load balancer.
	wasReady bool
	// loadGauges are the gauges of the load that this host reports while it leads.
	loadGauges loadGauges
	// failedSince holds the topics whose last read failed, with the time of the first failure.
	failedSince map[string]time.Time
}

// New returns a host that has not been started.
func New(cfg Settings, log *slog.Logger, now func() time.Time, up *uptime.Clock) (*Host, error) {
	c := platform.New()
	h := &Host{
		cfg: cfg, log: log, now: now, uptime: up, startedAt: now(), workers: platform.NewWorkers(c),
		peers: peer.NewClients(map[string]netip.AddrPort{}), metrics: metrics.NewRegistry(),
		hosts: map[string]netip.AddrPort{cfg.Name: cfg.peerAddr()}, pending: map[string]int{},
		accepted: map[string]acceptance{}, peersSeen: map[string]hostInfo{}, failedSince: map[string]time.Time{},
		bodies: newBodies(),
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
	h.store = store.NewRouted(platform.NewStore(platform.New(), cfg.Store), relay{h}, now, up, h.storeChanged)
	h.loadGauges.registry = h.metrics
	h.inbox, h.early = newInbox(h), newEarlyCancels(h.retention())
	h.states = newStateCache(h)
	h.agent = agent.New(h.ctx, newOrders(h, h.ctx), h.sendResults, log, &h.wg)
	return h, nil
}

func (h *Host) incarnation() string {
	return strconv.FormatInt(h.startedAt.UnixNano(), incarnationBase)
}

func (h *Host) incCounter(name string) { metrics.GetOrRegisterCounter(name, h.metrics).Inc(1) }

// observe adds a duration to a histogram.
func (h *Host) observe(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, h.metrics).Update(d)
}

// observeWait updates the histograms of the reasons for which steps wait. They are kept by the
// rank of the queue, because queues come and go with the table and there are only a few ranks.
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
		h.log.Info("store: serves this host again.", what, "part", c.Part)
		return
	}
	h.incCounter("store.lost")
	h.log.Warn("store: does not serve this host.", what, "part", c.Part, "err", err)
}

// Start opens the listeners and starts to follow the platform's topics.
func (h *Host) Start() error {
	h.log.Info("entry: starting.", "host", h.cfg.Name, "life", h.incarnation())
	var lc net.ListenConfig
	lnPeer, err := lc.Listen(h.ctx, "tcp", h.cfg.Listen.Peer.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", h.cfg.Listen.Peer)
	}
	srv := peer.NewServer(h.handleMessage)
	h.wg.Go(func() { srv.Serve(h.ctx, lnPeer) })
	if err := h.listen(); err != nil {
		return err
	}
	h.wg.Go(func() { h.follow(platform.TableTopic, h.applyTable) })
	h.wg.Go(func() { h.follow(leaderTopic, h.applyLeader) })
	h.wg.Go(h.maintainMembership)
	h.wg.Go(h.syncPeriodically)
	h.wg.Go(h.inbox.run)
	return nil
}

func (h *Host) listen() error {
	type listener struct {
		addr    netip.AddrPort
		name    string
		handler http.Handler
		limits  http1.Limits
	}
	all := []listener{
		{h.cfg.Listen.Caller, "caller", h.callerHandler(), h.cfg.callerLimits()},
		{h.cfg.Listen.Ready, "ready", h.readyHandler(), checkLimits},
	}
	if h.cfg.Listen.Metrics.IsValid() {
		all = append(all, listener{h.cfg.Listen.Metrics, "scrape", h.metricsHandler(), checkLimits})
	}
	for _, l := range all {
		ln, err := http1.Listen(h.ctx, l.addr)
		if err != nil {
			return err
		}
		s := http1.New(l.limits, http1.Deps{Handler: l.handler, MaxHeader: h.maxHeader, Name: l.name, Metrics: h.metrics, Log: h.log, Now: time.Now})
		if l.addr == h.cfg.Listen.Caller {
			h.callers, h.closeCallers = s, ln.Close
		}
		h.servers = append(h.servers, s)
		h.wg.Go(func() { _ = s.Serve(ln) })
	}
	return nil
}

// Reload logs that the settings changed. Changed addresses take effect at the next start.
func (h *Host) Reload(cfg Settings, err error) {
	if err != nil {
		h.log.Error("entry: changed settings cannot be used.", "err", err)
		return
	}
	h.log.Info("entry: reload.", "host", cfg.Name)
}

const (
	// drainWait is how long a stopping host continues to serve after it has reported itself not
	// ready. It covers two checks of the load balancer, a second apart, and the requests that
	// were under way then.
	drainWait = 2500 * time.Millisecond
	// shutdownTimeout is how long requests in progress have after that. The whole stop has to fit
	// into the platform's grace period.
	shutdownTimeout = 1500 * time.Millisecond
)

// Stop shuts the host down gracefully: another host takes over leadership, callers are directed
// to other hosts, and requests in progress are answered.
func (h *Host) Stop() {
	h.log.Info("entry: planned stop.", "host", h.cfg.Name, "peak-mib", peakMemory())
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.passOnClaim()
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	h.stepDown(t)
	grace := time.Duration(h.cfg.Times.Grace)
	sleep(h.ctx, min(drainWait, max(grace-shutdownTimeout-time.Second, 0)))
	ctx, cancel := context.WithTimeout(h.ctx, shutdownTimeout)
	h.drainCallers(ctx)
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

// drainCallers accepts no more callers and waits until the requests of the others are answered.
func (h *Host) drainCallers(ctx context.Context) {
	if err := h.closeCallers(); err != nil {
		h.log.Warn("entry: listener cannot be closed.", "err", err)
	}
	if left := h.callers.Drain(ctx); left > 0 {
		h.log.Warn("entry: callers' requests were still open.", "connections", left)
	}
}

// sleep waits for d. It returns false if ctx has ended.
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

// otherHosts lists the names of the other hosts. The leader comes first because it is the host
// that the store most likely serves. The others follow in name order, starting after this host,
// so that hosts that the store does not serve do not all ask the same peers.
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

// hostList returns the hosts as they are sent to others, and what identifies the list. mu is held.
func (h *Host) hostList() (map[string]string, string) {
	if h.sentHosts != nil {
		return h.sentHosts, h.sentHostList
	}
	h.sentHosts = make(map[string]string, len(h.hosts))
	sum := xxhash.New()
	for _, n := range slices.Sorted(maps.Keys(h.hosts)) {
		addr := h.hosts[n].String()
		h.sentHosts[n] = addr
		_, _ = sum.WriteString(n + " " + addr + "\n")
	}
	h.sentHostList = strconv.FormatUint(sum.Sum64(), incarnationBase)
	return h.sentHosts, h.sentHostList
}

// knowsHosts reports whether a leader has told this host which hosts there are, or this host leads.
func (h *Host) knowsHosts() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ownTerm != nil || h.leaderHostList != ""
}

// rank returns how many hosts come before this one in name order, and the number of hosts.
func (h *Host) rank() (rank, hosts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := range h.hosts {
		if n < h.cfg.Name {
			rank++
		}
	}
	return rank, max(len(h.hosts), 1)
}

// setHosts replaces the set of entry hosts.
func (h *Host) setHosts(all map[string]netip.AddrPort) {
	all[h.cfg.Name] = h.cfg.peerAddr()
	h.mu.Lock()
	// Cloned because setLeader adds to h.hosts, while the loop below ranges over all without the
	// lock.
	h.hosts = maps.Clone(all)
	h.sentHosts, h.leaderHostList = nil, ""
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
