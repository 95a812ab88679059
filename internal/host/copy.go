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
	// copyTimeout bounds the questions for peers' tables, copyBeside is when the next peer is asked
	// as well: those that had read furthest may be cut off by now.
	copyTimeout     = 2 * time.Second
	copyAskInterval = 150 * time.Millisecond
	// settleInterval is how often it is checked what this failure domain settles.
	settleInterval = time.Second
	// settleSilence is how long a host must be silent before a quota's move no
	// longer waits for it. By then the leases it took under the old share have
	// lapsed, and it takes no other before it has read the log.
	settleSilence = 2 * time.Minute
)

// handlePeer answers peers. What a peer waits for counts as work in flight: a
// planned stop that cut it would turn the answer of a caller at another host
// into "unknown".
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

// claimedSender is the host that a message says it comes from, empty for messages
// that act for nobody.
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

// isImpersonation tells whether a peer speaks for another host than its certificate names.
// It could otherwise have a live host taken for gone, or its slots for free.
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

// compareTables tells when a peer has folded other records up to the same offset.
// That cannot come about unless the log showed two hosts unlike records;
// nobody else would notice that they work by different limits.
func (h *Host) compareTables(b member.Heartbeat) {
	h.mu.Lock()
	differs := b.Next == h.table.NextOffset() && b.Digest != uint32(h.table.Fingerprint())
	h.mu.Unlock()
	if differs {
		h.countTable("differs")
		h.log.Error("table: peer differs at the same offset.", "peer", b.Name, "next", b.Next)
	}
}

// startTableCopy has the table of a peer that is further on taken, unless that is under way. The log
// may be down for hours, trimmed or out of date meanwhile.
func (h *Host) startTableCopy() {
	if !h.copying.CompareAndSwap(false, true) {
		return
	}
	h.wg.Go(func() {
		defer h.copying.Store(false)
		h.copyTable()
	})
}

// copyTable asks the peers that are further on, each a while after the one before and none
// waited for before the next is asked, and takes the first table that it gets. One that gets
// further on meanwhile is asked as well.
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

// requestCopy asks one peer; nothing comes of one that is not further on or does not answer.
func (h *Host) requestCopy(ctx context.Context, name string, from int64) peer.TableReply {
	var r peer.TableReply
	if err := h.peers.Ask(ctx, name, peer.AskTable{From: from}, &r); err != nil && ctx.Err() == nil {
		h.log.Warn("table: peer's copy cannot be had.", "peer", name, "err", err)
	}
	return r
}

// applyCopy tells whether a peer's table was further on.
func (h *Host) applyCopy(r peer.TableReply, from int64) bool {
	if len(r.Parts) == 0 {
		return false
	}
	if err := h.foldTable(table.PeerCopy{Parts: r.Parts}); err != nil {
		h.log.Warn("table: peer's copy is not taken.", "err", err)
	}
	if h.nextOffset() <= from {
		return false
	}
	h.countTable("copied")
	h.transition("table")
	return true
}

// nextPeerAhead is the peer to ask next for what comes from an offset on: one that is heard of before
// one that is not, the one that is furthest on before the others; empty if there is none.
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

// settleQuotas tells the log which smaller shares of quotas this failure domain works
// by. All its hosts must have read the edit: each takes part in using the share.
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
			h.log.Warn("table: settled share is not written.", "team", s.Team, "err", err)
		}
	}
}

// domainReadOffset is the lowest offset that a host of this failure domain waits
// for. One that was never heard counts with zero until it is silent long enough.
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
