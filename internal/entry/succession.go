package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
)

const (
	// strongerFactor is how many times as powerful another host has to be for the leader to hand
	// over leadership to it. A leader change costs a tenth of a second, a leader that is short of
	// CPU time delays every start.
	strongerFactor = 1.5
	// cedeMinTermAge is the age of a term at which the leader looks for a stronger host. The
	// hosts are known by then.
	cedeMinTermAge = 2500 * time.Millisecond
	// delegateInterval is the minimum time between two requests of a host to another one to lead
	// in its place.
	delegateInterval = 15 * time.Second
)

// handleSucceed takes over from a leader that steps down, or follows the named successor.
func (h *Host) handleSucceed(m peer.AnnounceSuccessor) {
	if m.Successor != h.cfg.Name {
		h.followLeader(m.Successor, m.Term)
		return
	}
	// Without bounds the sender does not lead itself, and the previous leader may still renew leases.
	var bounds map[string]time.Duration
	if m.Bounds != nil {
		bounds = make(map[string]time.Duration, len(m.Bounds))
	}
	for incarnation, d := range m.Bounds {
		bounds[incarnation] = d.Duration
	}
	h.mu.Lock()
	h.handoverTerm, h.handoverBounds, h.handoverBoundsAt = m.Term, bounds, h.now()
	h.mu.Unlock()
	h.wg.Go(func() { h.claim("the lead leaves") })
}

// maxReportedEnds limits the ends in one reply, so that it arrives within askTimeout on a narrow link
// as well. The next leader does without the others.
const maxReportedEnds = 1000

// encodeUnstoredEnds returns the ends that this host read in its last term and could not store. Their
// workers may have left; the next leader would wait until their leases have expired, and run tasks
// again that are done.
func (h *Host) encodeUnstoredEnds() []peer.WorkerEnd {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []peer.WorkerEnd
	for _, e := range h.unstoredEnds[:min(len(h.unstoredEnds), maxReportedEnds)] {
		all = append(all, peer.WorkerEnd{Worker: e.Worker, EndedRun: peer.EndedRun{Number: e.Number, Task: e.Task.String(), Run: e.Run, How: int(e.How), Checkpoint: e.Checkpoint}})
	}
	return all
}

// decodeUnstoredEnds returns the ends that the previous leader reported.
func decodeUnstoredEnds(all []peer.WorkerEnd) sched.PreviousEnds {
	var ev sched.PreviousEnds
	for _, e := range all {
		if task, ok := flow.ParseName(e.Task); ok {
			ev.All = append(ev.All, sched.WorkerEnd{Worker: e.Worker, RunEnd: sched.RunEnd{Number: e.Number, Task: task, Run: e.Run, How: sched.Ending(e.How), Checkpoint: e.Checkpoint}})
		}
	}
	return ev
}

// stepDown ends the host's membership in the candidate group and hands leadership over to another
// host. All hosts are told which one, because the candidate group may name a different host, and
// two hosts that claim concurrently at a slow store cost each other seconds.
func (h *Host) stepDown(t *term) {
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	if t != nil {
		// This host continues to lead while it looks for a successor.
		successor := h.firstAvailable(ctx, h.successors())
		t.end("planned stop")
		h.announceSuccessor(ctx, successor, t.successionMessage())
	}
	h.leaveGroup(candidateGroup)
}

// passOnClaim aborts an attempt to begin a term when this host is to stop, and asks another host to
// lead. Otherwise nobody leads for as long as the others leave the leadership to this host, or its
// term ends with its process a moment after it has begun.
func (h *Host) passOnClaim() {
	h.mu.Lock()
	claiming, abort := h.claiming, h.abortClaim
	h.mu.Unlock()
	if !claiming {
		return
	}
	if abort != nil {
		abort()
	}
	h.claimMu.Lock()
	defer h.claimMu.Unlock()
	h.mu.Lock()
	began, succeed := h.ownTerm != nil, peer.AnnounceSuccessor{Term: h.term}
	if h.handoverBounds != nil {
		succeed.Bounds = map[string]cell.Duration{}
	}
	since := h.now().Sub(h.handoverBoundsAt)
	for incarnation, left := range h.handoverBounds {
		succeed.Bounds[incarnation] = cell.Duration{Duration: max(left-since, 0)}
	}
	h.mu.Unlock()
	if began {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	successor := h.firstAvailable(ctx, h.successors())
	h.log.Info("lead: claim passed on.", "host", successor, "term", succeed.Term)
	h.announceSuccessor(ctx, successor, succeed)
}

// announceSuccessor tells all hosts, the successor first, which host is to lead next. The other
// hosts are told concurrently; otherwise one in a failure domain that is cut off would use up the
// time for all.
func (h *Host) announceSuccessor(ctx context.Context, successor string, succeed peer.AnnounceSuccessor) {
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

func (h *Host) sendSucceed(ctx context.Context, p string, succeed peer.AnnounceSuccessor) {
	if err := h.peers.Notify(ctx, p, succeed); err != nil {
		h.log.Warn("entry: peer could not be told the successor.", "peer", p, "err", err)
	}
}

// successorTimeout limits the question whether a host can lead.
const successorTimeout = 150 * time.Millisecond

// firstAvailable returns the first of the hosts that answers, is served by the store and is not
// stopping. It returns "" if there is none.
func (h *Host) firstAvailable(ctx context.Context, hosts []string) string {
	return firstAccepting(ctx, hosts, func(ctx context.Context, p string) bool {
		var r peer.SyncReply
		err := h.peers.Ask(ctx, p, h.syncMessage(), &r)
		return err == nil && r.Served && !r.Leaving
	})
}

// firstAccepting returns the first of the hosts for which ask returns true. It asks
// maxConcurrentAsks hosts at a time: the best hosts may be in one failure domain that is cut off,
// and asking them one after the other would use up the time that a leader has to step down.
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

// successors lists the other hosts that were heard from recently, the best successor first.
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

// byPower orders hosts by how suitable they are to lead.
func byPower(seen map[string]hostInfo) []string {
	return slices.SortedFunc(maps.Keys(seen), func(a, b string) int { return compareHosts(a, seen[a], b, seen[b]) })
}

// compareHosts orders two hosts by how suitable they are to lead. The stronger one comes first: a weak
// host with a narrow link takes a second or two to read the state that it takes over, no task starts
// in that time, and it hands over leadership to a stronger host soon after. Among equally strong
// hosts the one that started last comes first: when hosts are restarted one after the other, it
// has already been restarted.
func compareHosts(a string, infoA hostInfo, b string, infoB hostInfo) int {
	return cmp.Or(cmp.Compare(infoB.power, infoA.power), infoB.began.Compare(infoA.began), cmp.Compare(a, b))
}

// cedeToStronger hands leadership over to a host with much more power, if there is one.
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

// delegateToStronger asks a host with much more power to lead. It returns false if there is none
// or if one was asked recently. That host may be gone and still be listed, and nothing would be
// scheduled for as long as it is asked again.
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
	h.log.Info("lead: stronger host asked to lead.", "host", best)
	h.announceSuccessor(ctx, best, peer.AnnounceSuccessor{Term: term})
	h.followLeader(best, term)
	return true
}
