package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"pollencroft/internal/peer"
)

const (
	// strongerFactor is by how much more power another host has when the lead leaves it
	// to that one. A change of the lead costs a tenth of a second, a lead that is
	// short of power every start.
	strongerFactor = 1.5
	// cedeMinTermAge is how old a term is when that is looked at: the hosts are known.
	cedeMinTermAge = 2500 * time.Millisecond
	// delegateInterval is how often a host asks another one to lead in its place.
	delegateInterval = 15 * time.Second
)

// handleSucceed takes over from a lead that leaves, or lets its successor do so.
func (h *Host) handleSucceed(m peer.Succeed) {
	if m.Successor != h.cfg.Name {
		h.followLeader(m.Successor, m.Term)
		return
	}
	bounds := make(map[string]time.Duration, len(m.Bounds))
	for incarnation, d := range m.Bounds {
		bounds[incarnation] = d.Duration
	}
	h.mu.Lock()
	h.handoverBounds, h.handoverBoundsAt = bounds, h.now()
	h.mu.Unlock()
	h.wg.Go(func() { h.claim("the lead leaves") })
}

// stepDown gives up the host's place among the others and has one lead. All are
// told which: the group may name another one, and two that claim at a slow store
// cost each other seconds.
func (h *Host) stepDown(t *term) {
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	if t != nil {
		// It leads on while a successor is looked for.
		successor := h.firstAvailable(ctx, h.successors())
		t.end("planned stop")
		h.announceSuccessor(ctx, successor, t.successionMessage())
	}
	h.leaveGroup(candidateGroup)
}

// announceSuccessor tells all hosts, the successor first, who is to lead now. The others
// are told at once: one in a failure domain that is cut off would use up the time of
// all.
func (h *Host) announceSuccessor(ctx context.Context, successor string, succeed peer.Succeed) {
	succeed.Successor = successor
	h.mu.Lock()
	h.successor = successor
	h.mu.Unlock()
	if successor != "" {
		h.sendSucceed(ctx, successor, succeed)
	}
	var wg sync.WaitGroup
	for _, p := range h.otherHosts() {
		if p != successor {
			wg.Go(func() { h.sendSucceed(ctx, p, succeed) })
		}
	}
	wg.Wait()
}

func (h *Host) sendSucceed(ctx context.Context, p string, succeed peer.Succeed) {
	if err := h.peers.Tell(ctx, p, succeed); err != nil {
		h.log.Warn("entry: peer was not told of the successor.", "peer", p, "err", err)
	}
}

// successorTimeout bounds the question whether a host can lead.
const successorTimeout = 150 * time.Millisecond

// firstAvailable is the first of the hosts that answers, is served by the store and does not
// leave; empty if there is none.
func (h *Host) firstAvailable(ctx context.Context, hosts []string) string {
	return firstAccepting(ctx, hosts, func(ctx context.Context, p string) bool {
		var r peer.SyncReply
		err := h.peers.Ask(ctx, p, h.syncMessage(), &r)
		return err == nil && r.Served && !r.Leaving
	})
}

// firstAccepting is the first of the hosts that says yes, mostAsked of them asked at a time: the
// best may lie together in a failure domain that is cut off, and one after the other they
// would use up the time that a lead has to leave.
func firstAccepting(ctx context.Context, hosts []string, ask func(ctx context.Context, name string) bool) string {
	for some := range slices.Chunk(hosts, maxConcurrentAsks) {
		if p := firstAcceptingOf(ctx, some, ask); p != "" {
			return p
		}
	}
	return ""
}

func firstAcceptingOf(ctx context.Context, hosts []string, ask func(ctx context.Context, name string) bool) string {
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	said := make([]chan bool, len(hosts))
	for i, p := range hosts {
		said[i] = make(chan bool, 1)
		go func() { said[i] <- ask(ctx, p) }()
	}
	for i, p := range hosts {
		if <-said[i] {
			return p
		}
	}
	return ""
}

// successors lists the other hosts that were heard of lately, the best successor first.
func (h *Host) successors() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	lately := map[string]hostInfo{}
	for n, s := range h.peersSeen {
		if n != h.cfg.Name && h.now().Sub(s.at) < hostExpiry {
			lately[n] = s
		}
	}
	return byPower(lately)
}

// byPower orders hosts by how well they would lead. The strongest go first: a weak
// host with a narrow link takes a second or two to read what it takes over, with
// all starts at rest, and leaves the lead to a stronger one soon after. Among
// equals the one that began last: when hosts are stopped in turn, it has been
// already.
func byPower(seen map[string]hostInfo) []string {
	return slices.SortedFunc(maps.Keys(seen), func(a, b string) int {
		return cmp.Or(cmp.Compare(seen[b].power, seen[a].power), seen[b].began.Compare(seen[a].began), cmp.Compare(a, b))
	})
}

// cedeToStronger leaves the lead to a host with much more power, if there is one.
func (h *Host) cedeToStronger() {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	if t == nil || h.now().Sub(t.beganAt) < cedeMinTermAge {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	best := h.firstAvailable(ctx, h.strongerHosts())
	if best == "" {
		return
	}
	t.end("a stronger host leads")
	h.announceSuccessor(ctx, best, t.successionMessage())
}

// strongerHosts lists the hosts that should lead in place of this one.
func (h *Host) strongerHosts() []string {
	all := h.successors()
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(all, func(n string) bool { return h.peersSeen[n].power < h.cfg.Power*strongerFactor })
}

// delegateToStronger asks a host with much more power to lead; false if there is none, or
// if one was asked lately: it may be gone and still be listed, and nothing would
// be led for as long as it is asked again.
func (h *Host) delegateToStronger() bool {
	h.readHosts()
	h.mu.Lock()
	lately := h.now().Sub(h.lastDelegation) < delegateInterval
	term := h.term
	h.mu.Unlock()
	if lately {
		return false
	}
	ctx, cancel := context.WithTimeout(h.ctx, askTimeout)
	defer cancel()
	best := h.firstAvailable(ctx, h.strongerHosts())
	if best == "" {
		return false
	}
	h.mu.Lock()
	h.lastDelegation = h.now()
	h.mu.Unlock()
	h.log.Info("lead: left to a stronger host.", "host", best)
	h.announceSuccessor(ctx, best, peer.Succeed{Term: term})
	h.followLeader(best, term)
	return true
}
