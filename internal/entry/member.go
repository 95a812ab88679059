package entry

import (
	"context"
	"net/netip"
	"time"

	"pollencroft/internal/agent"
	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

const (
	// claimGrace is how long a host that should lead waits for another host's claim: twice the
	// duration of a claim.
	claimGrace = 150 * time.Millisecond
	// syncInterval is how often a host syncs with the leader. What it reports to callers may be
	// two seconds old.
	syncInterval = time.Second
	// askTimeout limits a request to a peer: ten times what a busy peer takes.
	askTimeout = 400 * time.Millisecond
	// leaderTimeout is how long a leader may take to answer that it leads. It is a hundred times
	// what an idle leader takes, and twice what one takes whose CPU quota is used up for a
	// period. The candidate group names another host only if it heard nothing for joinTTL.
	leaderTimeout = 250 * time.Millisecond
	// unresponsivePeriod is how long a host that did not answer that question is not asked again.
	// It is about the duration of a claim, after which another host is asked.
	unresponsivePeriod = 700 * time.Millisecond
	// newTermPeriod is how long a new leader is busy with what it took over, newLeaderTimeout how
	// long it may take to answer during that time. If it were taken for dead, it would be fenced
	// off, and so would the next one.
	newTermPeriod    = 3 * time.Second
	newLeaderTimeout = time.Second
	// leaderlessTimeout is how long a host is without a leader before it tries to lead itself,
	// whichever host the candidate group names. It is twice the duration of a leader change.
	// leaderlessStep separates the attempts of the hosts by the duration of a claim.
	leaderlessTimeout = 5 * time.Second
	leaderlessStep    = time.Second
	// hostExpiry is how long a host that the leader does not hear from counts as present: three
	// sync intervals.
	hostExpiry = 3500 * time.Millisecond
)

// resumeTerm claims leadership if a previous incarnation of this host led, unless its standby has
// taken over.
func (h *Host) resumeTerm() {
	listed := make(chan struct{})
	h.wg.Go(func() {
		defer close(listed)
		h.readHosts()
	})
	all, _, err := store.ReadLatest(h.ctx, h.store, leaderTopic, 0)
	if err != nil {
		return
	}
	h.applyLeader(all)
	switch name, _ := h.currentLeader(); name {
	case h.cfg.Name:
		<-listed
		if standby := h.leaderOfOthers(); standby != "" {
			h.log.Info("lead: another host took over from the previous incarnation of this host.", "host", standby)
			h.followLeader(standby, h.currentTerm())
			return
		}
		h.claim("a former life of this host led")
	case "":
	default:
		h.syncWithLeader(name)
	}
}

// considerClaim is called while the candidate group names this host as leader. It leaves a
// working leader alone, because the group sometimes reassigns its partitions without a reason.
func (h *Host) considerClaim() {
	if !h.electionMu.TryLock() {
		return
	}
	defer h.electionMu.Unlock()
	leader, leading := h.currentLeader()
	if leading {
		return
	}
	began := h.now()
	leads, before := h.checkLeader(leader)
	if leads {
		return
	}
	// Another host may lead by now or be about to: a leader that is stopping asks one host to
	// succeed it, and the candidate group may name a different one.
	if leader != "" && !sleep(h.ctx, claimGrace-h.now().Sub(began)) {
		return
	}
	if all, _, err := store.ReadLatest(h.ctx, h.store, leaderTopic, 0); err == nil {
		h.applyLeader(all)
	}
	if newer, _ := h.currentLeader(); h.isLeaderOrClaiming(newer) || newer != "" && h.isLeaderAlive(before) {
		return
	}
	if !h.delegateToStronger() {
		h.claim("the group names this host")
	}
}

// followLeader makes the host follow a leader until another term is announced.
func (h *Host) followLeader(leader string, term int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term >= h.term {
		h.leader, h.leaderSince = leader, h.now()
	}
}

func (h *Host) currentLeader() (name string, leading bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader, h.ownTerm != nil
}

func (h *Host) currentTerm() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term
}

// isLeaderOrClaiming asks a host whether it leads and is served by the store, or is about to. If
// the host has stepped down, its successor is asked instead.
func (h *Host) isLeaderOrClaiming(name string) bool {
	r, err := h.askWhetherLeads(name)
	if err == nil && r.Successor != "" {
		r, err = h.askWhetherLeads(r.Successor)
	}
	return err == nil && (r.Lead || r.Claiming)
}

// askWhetherLeads asks a host whether it leads. A host that recently left the question unanswered
// is not asked again. On the way to a claim this host would otherwise wait for it three times,
// and no task would start in the meantime.
func (h *Host) askWhetherLeads(name string) (peer.SyncReply, error) {
	if name == "" || name == h.cfg.Name || h.isUnresponsive(name) {
		return peer.SyncReply{}, &NoLeaderError{}
	}
	r, err := h.requestSync(name, h.leaderReplyTimeout())
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil:
		h.unresponsive, h.unresponsiveAt = name, h.now()
	case h.unresponsive == name:
		h.unresponsive = ""
	}
	return r, err
}

func (h *Host) isUnresponsive(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unresponsive == name && h.now().Sub(h.unresponsiveAt) < unresponsivePeriod
}

// leaderReplyTimeout is how long the leader may take to answer.
func (h *Host) leaderReplyTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now().Sub(h.leaderSince) < newTermPeriod {
		return newLeaderTimeout
	}
	return leaderTimeout
}

// syncPeriodically keeps the data reported to callers, and the list of hosts, in line with the
// leader's.
func (h *Host) syncPeriodically() {
	for sleep(h.ctx, syncInterval) {
		h.logSuspension()
		h.mu.Lock()
		leader, leading, alone := h.leader, h.ownTerm != nil, len(h.hosts) < 2
		h.mu.Unlock()
		switch {
		case leading:
			h.setHosts(h.recentHosts())
			h.cedeToStronger()
		case leader != "" && !alone:
			h.syncWithLeader(leader)
		default:
			h.readHosts()
		}
		h.dropAccepted()
		h.states.drop()
		if h.isLeaderless() {
			h.wg.Go(h.considerClaim)
		}
	}
}

// isLeaderless reports whether there has been no working leader for so long that this host should
// try to lead, whichever host the candidate group names: that host may be unable to lead. Without
// this check the hosts would wait for a leader that never comes. The hosts try one after the
// other.
func (h *Host) isLeaderless() bool {
	rank, _ := h.rank()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ownTerm != nil || h.leaving {
		h.lastSync = h.now()
		return false
	}
	return h.now().Sub(h.lastSync) > leaderlessTimeout+time.Duration(rank)*leaderlessStep
}

func (h *Host) syncWithLeader(leader string) {
	sent := h.now()
	r, err := h.requestSync(leader, askTimeout)
	if err != nil || !r.Lead {
		h.log.Warn("lead: does not answer.", "host", leader, "err", err)
		h.readHosts()
		return
	}
	h.mu.Lock()
	h.pending, h.pendingAt = r.Pending, h.now()
	h.noteLoad(r, sent)
	h.lastSync, h.strongPower, h.standby = h.now(), r.EnoughPower, r.Standby
	if len(r.Speeds) > 0 {
		h.kindSpeeds = r.Speeds
	}
	h.agents, h.agentsAt = nil, h.now()
	for _, a := range r.Agents {
		h.agents = append(h.agents, agent.Host(a))
	}
	h.mu.Unlock()
	if len(r.Hosts) == 0 {
		return
	}
	all := make(map[string]netip.AddrPort, len(r.Hosts))
	for n, a := range r.Hosts {
		if addr, err := netip.ParseAddrPort(a); err == nil {
			all[n] = addr
		}
	}
	h.setHosts(all)
	h.mu.Lock()
	h.leaderHostList = r.HostList
	h.mu.Unlock()
}

// refreshPending requests the pending jobs from the leader, or reads them directly if this host
// leads.
func (h *Host) refreshPending(ctx context.Context) {
	h.mu.Lock()
	t, leader := h.ownTerm, h.leader
	h.mu.Unlock()
	if t != nil {
		n := t.pending()
		h.mu.Lock()
		h.pending, h.pendingAt = n, h.now()
		h.mu.Unlock()
		return
	}
	if leader != "" && leader != h.cfg.Name && ctx.Err() == nil {
		h.syncWithLeader(leader)
	}
}

func (h *Host) syncMessage() peer.Sync {
	term, next := h.states.syncPosition()
	h.mu.Lock()
	list := h.leaderHostList
	h.mu.Unlock()
	return peer.Sync{HostList: list, From: h.cfg.Name, Addr: h.cfg.peerAddr(), Domain: h.cfg.Domain, Power: h.cfg.Power, Began: h.startedAt, Term: term, Endings: next}
}

// hostInfo describes a host that contacted this one. began is when its incarnation started, at
// when it was last heard from.
type hostInfo struct {
	addr   netip.AddrPort
	domain string
	power  float64
	began  time.Time
	at     time.Time
}

// noteHost records that a host was heard from. A leader uses a host that it did not know at once.
// After a power failure of all hosts the leader knows only itself, and until its next periodic
// sync all requests to the policy service would go through it alone.
func (h *Host) noteHost(m peer.Sync) {
	if !m.Addr.IsValid() {
		return
	}
	h.mu.Lock()
	h.peersSeen[m.From] = hostInfo{addr: m.Addr, domain: m.Domain, power: m.Power, began: m.Began, at: h.now()}
	_, known := h.hosts[m.From]
	leading := h.ownTerm != nil
	h.mu.Unlock()
	if leading && !known {
		h.setHosts(h.recentHosts())
	}
}

// recentHosts lists the hosts that contacted this one recently.
func (h *Host) recentHosts() map[string]netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string]netip.AddrPort{}
	fresh := h.ownTerm != nil && h.now().Sub(h.ownTerm.beganAt) < hostExpiry
	for n, s := range h.peersSeen {
		if h.now().Sub(s.at) < hostExpiry {
			all[n] = s.addr
		}
	}
	if fresh {
		// Not all hosts have contacted the new leader yet.
		for n, a := range h.hosts {
			if _, ok := all[n]; !ok {
				all[n] = a
			}
		}
	}
	return all
}

// acceptedExpiry is longer than a job takes to become known to the leader.
const acceptedExpiry = 10 * time.Second

func (h *Host) dropAccepted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, a := range h.accepted {
		if h.now().Sub(a.at) > acceptedExpiry {
			delete(h.accepted, id)
		}
	}
}
