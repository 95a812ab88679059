package entry

import (
	"context"
	"net/netip"
	"time"

	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

const (
	// claimGrace is how long a host that should lead waits for another one's claim:
	// twice what a claim takes.
	claimGrace = 150 * time.Millisecond
	// syncInterval is how often a host asks the lead; what it tells callers may be
	// two seconds old.
	syncInterval = time.Second
	// askTimeout bounds a question to a peer: ten times what a busy one takes.
	askTimeout = 400 * time.Millisecond
	// leaderTimeout is how long a lead may take to say that it leads: a hundred times what
	// an idle one takes, twice what one takes whose processor's share is used up for a
	// period. The group names another host only if it heard nothing for joinTTL.
	leaderTimeout = 250 * time.Millisecond
	// unresponsivePeriod is for how long a host that left that question without an answer is not
	// asked again: about what a claim takes, after which another one is asked.
	unresponsivePeriod = 700 * time.Millisecond
	// newTermPeriod is for how long a new lead is busy with what it took over, and
	// youngWait how long its answer may take then. Taken for dead it would be fenced
	// off, and so would the next one.
	newTermPeriod    = 3 * time.Second
	newLeaderTimeout = time.Second
	// leaderlessTimeout is how long a host is without a lead before it tries whoever the
	// group names: twice what a change of the lead takes. orphanStep parts the
	// hosts by what a claim takes.
	leaderlessTimeout = 5 * time.Second
	leaderlessStep    = time.Second
	// hostExpiry is how long a host that the lead hears nothing of counts as there:
	// three of its questions.
	hostExpiry = 3500 * time.Millisecond
)

// resumeTerm takes up the term of this host's own former life, unless its heir has done so.
func (h *Host) resumeTerm() {
	listed := make(chan struct{})
	h.wg.Go(func() {
		defer close(listed)
		h.readHosts()
	})
	all, _, err := store.Table(h.ctx, h.store, leaderTopic, 0)
	if err != nil {
		return
	}
	h.applyLeader(all)
	switch name, _ := h.currentLeader(); name {
	case h.cfg.Name:
		<-listed
		if standby := h.leaderOfOthers(); standby != "" {
			h.log.Info("lead: another host leads in place of this one's former life.", "host", standby)
			h.followLeader(standby, h.currentTerm())
			return
		}
		h.claim("a former life of this host led")
	case "":
	default:
		h.syncWithLeader(name)
	}
}

// considerClaim is called while the group says that this host leads. A lead that works
// is left alone: the group deals its partitions anew without a reason at times.
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
	// Another host may lead since, or be about to: a lead that leaves asks one to
	// succeed it, and the group names another.
	if leader != "" && !sleep(h.ctx, claimGrace-h.now().Sub(began)) {
		return
	}
	if all, _, err := store.Table(h.ctx, h.store, leaderTopic, 0); err == nil {
		h.applyLeader(all)
	}
	if newer, _ := h.currentLeader(); h.isLeaderOrClaiming(newer) || newer != "" && h.isLeaderAlive(before) {
		return
	}
	if !h.delegateToStronger() {
		h.claim("the group names this host")
	}
}

// followLeader takes a host for the lead until another term is announced.
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

// isLeaderOrClaiming asks a host whether it isLeaderOrClaiming and is served by the store, or is about to;
// of one that left, whether its successor does.
func (h *Host) isLeaderOrClaiming(name string) bool {
	r, err := h.askWhetherLeads(name)
	if err == nil && r.Successor != "" {
		r, err = h.askWhetherLeads(r.Successor)
	}
	return err == nil && (r.Lead || r.Claiming)
}

// askWhetherLeads asks a host whether it leads. One that left the question without an answer
// just now is not asked again: on the way to a claim it would be waited for three
// times, with all starts at rest.
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

// leaderReplyTimeout is how long the lead may take to answer.
func (h *Host) leaderReplyTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now().Sub(h.leaderSince) < newTermPeriod {
		return newLeaderTimeout
	}
	return leaderTimeout
}

// syncPeriodically keeps what callers are told, and the list of hosts, as the lead has them.
func (h *Host) syncPeriodically() {
	for sleep(h.ctx, syncInterval) {
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

// isLeaderless tells whether no lead has worked for so long that this host should
// try, whoever the group names: that one may be unable to. One notices hosts that
// wait for a lead that never comes. The hosts try one after the other.
func (h *Host) isLeaderless() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ownTerm != nil || h.leaving {
		h.lastSync = h.now()
		return false
	}
	rank := 0
	for n := range h.hosts {
		if n < h.cfg.Name {
			rank++
		}
	}
	return h.now().Sub(h.lastSync) > leaderlessTimeout+time.Duration(rank)*leaderlessStep
}

func (h *Host) syncWithLeader(leader string) {
	r, err := h.requestSync(leader, askTimeout)
	if err != nil || !r.Lead {
		h.log.Warn("lead: does not answer.", "host", leader, "err", err)
		h.readHosts()
		return
	}
	h.mu.Lock()
	h.pending, h.pendingAt = r.Pending, h.now()
	h.lastSync, h.strongPower, h.standby = h.now(), r.Enough, r.Heir
	h.mu.Unlock()
	all := make(map[string]netip.AddrPort, len(r.Hosts))
	for n, a := range r.Hosts {
		if addr, err := netip.ParseAddrPort(a); err == nil {
			all[n] = addr
		}
	}
	h.setHosts(all)
}

// refreshPending asks the lead, or takes what this host knows as the lead.
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
	return peer.Sync{From: h.cfg.Name, Addr: h.cfg.Listen.Peer, Power: h.cfg.Power, Began: h.startedAt, Term: term, Endings: next}
}

// hostInfo is a host that was heard of at some time; began is when its life did.
type hostInfo struct {
	addr  netip.AddrPort
	power float64
	began time.Time
	at    time.Time
}

// noteHost takes note of a host. A lead that did not know it has work for it at once: after
// a loss of all power it knows no host but itself, and the questions of all who waited
// would go through that one until its next round.
func (h *Host) noteHost(m peer.Sync) {
	if !m.Addr.IsValid() {
		return
	}
	h.mu.Lock()
	h.peersSeen[m.From] = hostInfo{addr: m.Addr, power: m.Power, began: m.Began, at: h.now()}
	_, known := h.hosts[m.From]
	leading := h.ownTerm != nil
	h.mu.Unlock()
	if leading && !known {
		h.setHosts(h.recentHosts())
	}
}

// recentHosts lists the hosts that asked this one lately.
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
		// Not all have asked the new lead yet.
		for n, a := range h.hosts {
			if _, ok := all[n]; !ok {
				all[n] = a
			}
		}
	}
	return all
}

// acceptedExpiry is longer than a job may take to be known to the lead.
const acceptedExpiry = 10 * time.Second

func (h *Host) dropAccepted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, at := range h.accepted {
		if h.now().Sub(at) > acceptedExpiry {
			delete(h.accepted, id)
		}
	}
}
