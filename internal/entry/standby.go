package entry

import (
	"context"
	"sync"
	"time"

	"pollencroft/internal/peer"
)

// A leader whose process dies sends nothing more, and the candidate group at the store notices it
// only when the leader's membership has expired. But the operating system closes the connections
// of a dead process and refuses new ones, so every connected host knows within a millisecond that
// the leader sends no more orders. The leader therefore tells all hosts which of them is its
// standby, and the standby claims leadership at once. This only decides who tries to lead; the
// store still decides who may.

const (
	// processCheckTimeout limits the check whether a process has ended, processCheckInterval is
	// the pause before it is repeated. A refused connection takes one round trip.
	processCheckTimeout  = 100 * time.Millisecond
	processCheckInterval = 15 * time.Millisecond
	// followsTimeout limits the question which leader other hosts follow, and allows for a few
	// round trips. After a power failure of all hosts nobody answers it, and nothing is scheduled
	// in the meantime.
	followsTimeout = 50 * time.Millisecond
	// maxConcurrentAsks is how many hosts are asked at the same time.
	maxConcurrentAsks = 3
)

// onPeerLost is called when a connection to a host has ended. A host that is stopping does not
// start a claim.
func (h *Host) onPeerLost(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ownTerm == nil && !h.leaving && name == h.leader && h.standby == h.cfg.Name {
		h.wg.Go(func() { h.takeOver(name) })
	}
}

// isProcessGone reports whether a host's process has ended. A process that dies closes its
// connections and its listener one by one. If the standby checked only once, the listener could
// still be open, the standby would take the leader for alive, and nothing would be started until
// the candidate group notices.
func (h *Host) isProcessGone(leader string) bool {
	ctx, cancel := context.WithTimeout(h.ctx, processCheckTimeout)
	defer cancel()
	for h.peers.CheckReach(ctx, leader) != peer.ConnRefused {
		if !sleep(ctx, processCheckInterval) {
			return false
		}
	}
	return true
}

// takeOver claims leadership if the leader's process has ended.
func (h *Host) takeOver(leader string) {
	if !h.isProcessGone(leader) {
		return
	}
	term := h.currentTerm()
	h.log.Info("lead: the leader's process has ended.", "host", leader, "term", term)
	// Other hosts would claim at the same time, especially the next incarnation of the dead host.
	succeed := peer.AnnounceSuccessor{Term: term, Successor: h.cfg.Name}
	for _, p := range h.otherHosts() {
		if p == leader {
			continue
		}
		h.wg.Go(func() {
			ctx, cancel := context.WithTimeout(h.ctx, askTimeout)
			defer cancel()
			h.sendSucceed(ctx, p, succeed)
		})
	}
	h.claim("the lead's process is gone")
}

// chooseStandby returns the host that is to take over if this leader dies: the strongest host,
// and among equally strong ones the one that started last. Each host asks for it every second or more
// often.
func (h *Host) chooseStandby() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, best := h.now(), ""
	for n, s := range h.peersSeen {
		if n != h.cfg.Name && now.Sub(s.at) < hostExpiry && (best == "" || compareHosts(n, s, best, h.peersSeen[best]) < 0) {
			best = n
		}
	}
	return best
}

// leaderOfOthers returns the host that other hosts follow instead of this one, if that host leads
// or is about to. It returns "" if there is none. Without this check a leader that restarts at
// once would claim at the same time as its standby, and at a slow store two concurrent claims
// cost each other seconds.
func (h *Host) leaderOfOthers() string {
	ctx, cancel := context.WithTimeout(h.ctx, followsTimeout)
	defer cancel()
	all := spacedSample(h.otherHosts(), maxConcurrentAsks)
	names := make([]string, len(all))
	var wg sync.WaitGroup
	for i := range names {
		wg.Go(func() {
			var r peer.SyncReply
			if err := h.peers.Ask(ctx, all[i], h.syncMessage(), &r); err == nil {
				names[i] = r.Follows
			}
		})
	}
	wg.Wait()
	for _, name := range names {
		if name != "" && name != h.cfg.Name && h.isLeaderOrClaiming(name) {
			return name
		}
	}
	return ""
}

// spacedSample picks n hosts at equal distances in the list. Hosts of one failure domain are
// often next to each other in the list, and all of them may be cut off.
func spacedSample(all []string, n int) []string {
	n = min(n, len(all))
	some := make([]string, n)
	for i := range some {
		some[i] = all[i*len(all)/n]
	}
	return some
}
