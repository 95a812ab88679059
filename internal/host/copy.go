package host

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/table"
)

const (
	// copyTimeout limits the requests for peers' tables. After each copyAskInterval the next
	// peer is asked as well, because the peers that had read furthest may be unreachable by now.
	copyTimeout     = 2 * time.Second
	copyAskInterval = 150 * time.Millisecond
	// settleInterval is how often this host checks which quota shares of its failure domain are
	// settled.
	settleInterval = time.Second
	// settleSilence is how long a host must be silent before a quota move no longer waits for
	// it. By then the leases that it took under the old share have expired, and it takes no
	// others before it has read the log.
	settleSilence = 2 * time.Minute
)

// handlePeer answers messages from peers. A message whose answer a peer waits for counts as work
// in flight: if a planned stop cut it, a caller at another host would get "unknown".
func (h *Host) handlePeer(ctx context.Context, m peer.Message) (any, error) {
	if h.isImpersonation(ctx, claimedSender(m)) {
		return nil, &peer.RefusedError{Name: h.cfg.Name, Reason: "name is not the certificate's"}
	}
	switch m := m.(type) {
	case peer.Beat:
		return h.handleHeartbeat(m.Heartbeat)
	case peer.HostListChanged:
		metrics.GetOrRegisterCounter("list.told", h.metrics).Inc(1)
		h.requestRefresh()
		return nil, nil
	case peer.Leave:
		return h.handleMessage(ctx, m)
	}
	if !h.peerWork.enter() {
		return nil, &peer.RefusedError{Name: h.cfg.Name, Reason: "host has stopped taking work"}
	}
	defer h.peerWork.leave()
	if m, ok := m.(peer.AskTable); ok {
		return h.tableCopy(m.From)
	}
	return h.handleMessage(ctx, m)
}

// claimedSender returns the host that a message claims to come from. It is empty for messages
// that do not act on behalf of a host.
func claimedSender(m peer.Message) string {
	switch m := m.(type) {
	case peer.Beat:
		return m.Name
	case peer.Leave:
		return m.Name
	case peer.AnnounceSlots:
		return m.Name
	case peer.Inventory:
		return m.From
	case peer.AskToken:
		return m.From
	case peer.Handover:
		return m.From
	default:
		return ""
	}
}

// isImpersonation reports whether a message claims to come from another host than the peer's
// certificate names. Otherwise the peer could make a live host count as gone, or its slots as
// free.
func (h *Host) isImpersonation(ctx context.Context, name string) bool {
	sender, known := peer.Sender(ctx)
	if !known || name == "" || sender == name {
		return false
	}
	h.countKeys("lie")
	return true
}

func (h *Host) tableCopy(from int64) (peer.TableReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.NextOffset() <= from {
		return peer.TableReply{}, nil
	}
	parts, err := h.table.Snapshot(h.clock())
	return peer.TableReply{Parts: parts}, err
}

// compareTables reports when a peer's table differs from this host's at the same offset. That
// can only happen if the log returned different records to two hosts, and nothing else would
// detect that they work with different limits.
func (h *Host) compareTables(b member.Heartbeat) {
	h.mu.Lock()
	differs := b.Next == h.table.NextOffset() && b.Digest != uint32(h.table.Fingerprint())
	h.mu.Unlock()
	if differs {
		h.countTable("differs")
		h.log.Error("table: the peer's table differs at the same offset.", "peer", b.Name, "next", b.Next)
	}
}

// startTableCopy starts copying the table of a peer that has read further, unless a copy is
// already in progress. The log may be down for hours, trimmed or out of date meanwhile.
func (h *Host) startTableCopy() {
	if !h.copying.CompareAndSwap(false, true) {
		return
	}
	h.wg.Go(func() {
		defer h.copying.Store(false)
		h.copyTable()
	})
}

// copyTable asks the peers that have read further, one more after each copyAskInterval without
// waiting for the answers before, and uses the first table that it gets. Peers that get ahead
// meanwhile are asked too.
func (h *Host) copyTable() {
	ctx, cancel := context.WithTimeout(h.ctx, copyTimeout)
	defer cancel()
	from := h.nextOffset()
	replies := make(chan peer.TableReply)
	open, asked := 0, map[string]bool{}
	for {
		if name := h.nextPeerAhead(from, asked); name != "" {
			asked[name] = true
			open++
			h.wg.Go(func() {
				select {
				case replies <- h.requestCopy(ctx, name, from):
				case <-ctx.Done():
				}
			})
		}
		if open == 0 {
			return
		}
		select {
		case r := <-replies:
			open--
			if h.applyCopy(r, from) {
				return
			}
		case <-time.After(copyAskInterval):
		case <-ctx.Done():
			return
		}
	}
}

// requestCopy asks one peer for its table. The reply is empty if the peer has not read further
// or does not answer.
func (h *Host) requestCopy(ctx context.Context, name string, from int64) peer.TableReply {
	var r peer.TableReply
	if err := h.peers.Ask(ctx, name, peer.AskTable{From: from}, &r); err != nil && ctx.Err() == nil {
		h.log.Warn("table: cannot get a copy from the peer.", "peer", name, "err", err)
	}
	return r
}

// applyCopy loads a peer's table and reports whether it was further ahead.
func (h *Host) applyCopy(r peer.TableReply, from int64) bool {
	if len(r.Parts) == 0 {
		return false
	}
	if err := h.foldTable(table.PeerCopy{Parts: r.Parts}); err != nil {
		h.log.Warn("table: cannot apply the peer's copy.", "err", err)
	}
	if h.nextOffset() <= from {
		return false
	}
	h.countTable("copied")
	h.transition("table")
	return true
}

// nextPeerAhead returns the peer to ask next for the records after an offset: live peers before
// silent ones, and among these the one that has read furthest. It is empty if there is none.
func (h *Host) nextPeerAhead(from int64, asked map[string]bool) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.DeleteFunc(h.members.Heartbeats(), func(b member.Heartbeat) bool { return b.Next <= from || asked[b.Name] })
	if len(all) == 0 {
		return ""
	}
	live := h.members.Live()
	silent := func(b member.Heartbeat) int {
		if slices.Contains(live, b.Name) {
			return 0
		}
		return 1
	}
	return slices.MinFunc(all, func(a, b member.Heartbeat) int {
		return cmp.Or(cmp.Compare(silent(a), silent(b)), cmp.Compare(b.Next, a.Next))
	}).Name
}

// settleQuotas writes to the log which reduced quota shares this failure domain complies with.
// All its hosts must have read the edit first, because each of them uses a part of the share.
func (h *Host) settleQuotas() {
	h.mu.Lock()
	due := h.table.UnconfirmedShares(h.cfg.Domain)
	read := h.domainReadOffset()
	first := h.members.LiveIn(h.cfg.Domain)[0] == h.cfg.Name
	h.mu.Unlock()
	if !first {
		return
	}
	for _, s := range due {
		if read <= s.Version {
			continue
		}
		body, err := table.Encode(s)
		if err != nil {
			continue
		}
		if err := h.appendTable(body); err != nil {
			h.log.Warn("table: cannot write the settled share.", "team", s.Organisation, "err", err)
		}
	}
}

// domainReadOffset returns the lowest offset that a host of this failure domain waits for. A
// host that was never heard counts as zero until it has been silent for settleSilence.
func (h *Host) domainReadOffset() int64 {
	now := h.clock()
	lowest := h.table.NextOffset()
	beats := map[string]member.Heartbeat{}
	for _, b := range h.members.Heartbeats() {
		beats[b.Name] = b
	}
	for _, p := range h.cfg.Peers {
		if p.Domain != h.cfg.Domain {
			continue
		}
		b, heard := beats[p.Name]
		since := h.startedAt
		if heard {
			since = b.ReceivedAt
		}
		if now.Sub(since) < settleSilence {
			lowest = min(lowest, b.Next)
		}
	}
	return lowest
}
