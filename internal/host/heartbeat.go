package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
)

// sendTimeout limits the sending of a message that needs no reply, such as a heartbeat.
const sendTimeout = 250 * time.Millisecond

// startHeartbeats sends heartbeats to the peers of the same failure domain and, less often, to
// all others. The sends are spread over the period, to avoid a burst of dials and messages.
func (h *Host) startHeartbeats() {
	near, far := h.peersByDomain()
	for _, name := range near {
		h.wg.Go(func() { h.sendHeartbeat(name, member.NearPeriod(len(near))) })
	}
	h.heartbeatEach(near, member.NearPeriod(len(near)))
	h.heartbeatEach(far, member.FarPeriod(len(far)))
}

func (h *Host) peersByDomain() (near, far []string) {
	for _, p := range h.cfg.Peers {
		if p.Domain == h.cfg.Domain {
			near = append(near, p.Name)
		} else {
			far = append(far, p.Name)
		}
	}
	return near, far
}

// linkIdleTimeout is how long the link to a peer may be idle before it is probed. Links within
// the failure domain share two probes a second. All others, whose loss only costs a failed
// attempt, share one.
func (h *Host) linkIdleTimeout(name string) time.Duration {
	near, far := h.peersByDomain()
	if slices.Contains(near, name) {
		return time.Duration(len(near)) * 500 * time.Millisecond
	}
	return time.Duration(len(far)) * time.Second
}

func (h *Host) heartbeatEach(names []string, period time.Duration) {
	for i, name := range names {
		h.wg.Go(func() {
			h.pause(period * time.Duration(i) / time.Duration(len(names)))
			h.runEvery(period, func() { h.sendHeartbeat(name, period) })
		})
	}
}

// sendHeartbeat tells a peer that this host is alive and reports its load.
func (h *Host) sendHeartbeat(name string, period time.Duration) {
	free, waiting := h.relay.Load()
	now := h.clock()
	h.mu.Lock()
	h.heartbeatSeq++
	b := member.Heartbeat{
		Name: h.cfg.Name, Incarnation: h.incarnation, Seq: h.heartbeatSeq, Next: h.table.NextOffset(), Digest: uint32(h.table.Fingerprint()),
		FreeSlots: free, Queued: waiting, Leaving: !h.Ready(), Ack: h.members.HearsFrom(now, name), Period: cell.Duration{Duration: period},
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, sendTimeout)
	defer cancel()
	err := h.peers.Notify(ctx, name, peer.Beat{Heartbeat: b})
	if errors.As(err, new(*peer.UnreachableError)) {
		h.memberStep(member.SendFailed{Name: name})
	}
}

// handleHeartbeat processes a peer's heartbeat. Hosts that the settings don't name are refused.
func (h *Host) handleHeartbeat(b member.Heartbeat) (any, error) {
	for _, p := range h.cfg.Peers {
		if p.Name == b.Name {
			b.Domain = p.Domain
			h.compareTables(b)
			h.memberStep(member.HeartbeatReceived{Heartbeat: b})
			h.answerHeartbeat(b)
			return nil, nil
		}
	}
	h.countTable("strangers")
	return nil, &peer.RefusedError{Name: h.cfg.Name, Reason: "host " + b.Name + " is not in the settings"}
}

// answerHeartbeat replies at once to a peer that does not hear this host yet. Otherwise two
// hosts that have just started would need two heartbeat periods to see each other, and could
// hand jobs over to each other only then.
func (h *Host) answerHeartbeat(b member.Heartbeat) {
	if b.Ack || h.ctx.Err() != nil {
		return
	}
	near, far := h.peersByDomain()
	period := member.FarPeriod(len(far))
	if slices.Contains(near, b.Name) {
		period = member.NearPeriod(len(near))
	}
	h.wg.Go(func() { h.sendHeartbeat(b.Name, period) })
}

// announceLeaving tells all peers in parallel that this host is leaving, so that unreachable
// peers do not delay the stop one after the other.
func (h *Host) announceLeaving() {
	var all sync.WaitGroup
	for _, p := range h.cfg.Peers {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(h.ctx, sendTimeout)
			defer cancel()
			_ = h.peers.Notify(ctx, p.Name, peer.Leave{Name: h.cfg.Name})
		})
	}
	all.Wait()
}
