package entry

import (
	"context"
	"sync"
	"time"

	"pollencroft/internal/peer"
)

// A lead whose process dies says nothing more, and the group at the store notices it only
// when the lead's place has lapsed. But the connections of a dead process are closed by
// its host, and new ones are refused: whoever was connected knows within a millisecond
// that it gives no orders any more. So a lead tells all hosts who is to lead after it, its
// heir, and that one claims at once. It says who tries; the store still says who may.

const (
	// goneTimeout bounds the question whether a process is gone, goneAgain is the pause before
	// it is asked again. A refusal takes one way to the host and back.
	goneTimeout = 100 * time.Millisecond
	goneRetry   = 15 * time.Millisecond
	// followsTimeout bounds the question whom other hosts follow, a few ways to a host and
	// back: after a loss of all power nobody answers it, and nothing is led meanwhile.
	followsTimeout = 50 * time.Millisecond
	// maxConcurrentAsks is how many hosts are asked at once.
	maxConcurrentAsks = 3
)

// onPeerLost is called when a connection to a host has ended. A host that leaves begins nothing.
func (h *Host) onPeerLost(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ownTerm == nil && !h.leaving && name == h.leader && h.standby == h.cfg.Name {
		h.wg.Go(func() { h.takeOver(name) })
	}
}

// isProcessGone tells whether a host's process is gone. A process that dies closes its connections
// and its port one by one. Asked once, the port may still be open, the heir would take the lead
// for alive, and nothing would be started until the group notices.
func (h *Host) isProcessGone(leader string) bool {
	ctx, cancel := context.WithTimeout(h.ctx, goneTimeout)
	defer cancel()
	for h.peers.Reach(ctx, leader) != peer.Refused {
		if !sleep(ctx, goneRetry) {
			return false
		}
	}
	return true
}

// takeOver claims if the lead's process is gone.
func (h *Host) takeOver(leader string) {
	if !h.isProcessGone(leader) {
		return
	}
	term := h.currentTerm()
	h.log.Info("lead: its process is gone.", "host", leader, "term", term)
	// Others would claim beside this one, above all the dead one's next life.
	succeed := peer.Succeed{Term: term, Successor: h.cfg.Name}
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

// chooseStandby is whom the lead wants to lead after it: the strongest host, of equals the one
// that began last.
func (h *Host) chooseStandby() string {
	if all := h.successors(); len(all) > 0 {
		return all[0]
	}
	return ""
}

// leaderOfOthers is the host that others follow instead of this one, if that one leads or is
// about to; empty if there is none. A lead that comes back at once would otherwise claim
// beside its heir, and at a slow store two claims cost each other seconds.
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

// spacedSample picks n hosts that lie far from each other in the list: those of a failure domain
// often stand together in it, and may all be cut off.
func spacedSample(all []string, n int) []string {
	n = min(n, len(all))
	some := make([]string, n)
	for i := range some {
		some[i] = all[i*len(all)/n]
	}
	return some
}
