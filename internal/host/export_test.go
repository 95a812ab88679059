package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"

	"pollencroft/internal/job"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/platform"
)

// FollowTable makes a host that is not started read the table's log through rt.
func (h *Host) FollowTable(rt http.RoundTripper) {
	h.platform = platform.New(netip.MustParseAddrPort("10.0.0.0:1"), rt)
	h.wg.Go(h.followTable)
}

// ConnectPeers makes a host answer its peers on ln and reach them through dial.
func (h *Host) ConnectPeers(ln net.Listener, dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) {
	h.peers.SetDialer(dial)
	h.wg.Go(func() { peer.NewServer(h.handlePeer).Serve(h.ctx, ln) })
}

// Heartbeat returns the heartbeat that this host sends to its peers.
func (h *Host) Heartbeat() member.Heartbeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	return member.Heartbeat{Name: h.cfg.Name, Incarnation: h.incarnation, Next: h.table.NextOffset(), Digest: uint32(h.table.Fingerprint()), Ack: true}
}

// HandleHeartbeat processes a peer's heartbeat.
func (h *Host) HandleHeartbeat(b member.Heartbeat) { _, _ = h.handleHeartbeat(b) }

// KeepJobs makes a host that is not started write jobs to the log through rt.
func (h *Host) KeepJobs(rt http.RoundTripper) {
	h.platform = platform.New(netip.MustParseAddrPort("10.0.0.0:1"), rt)
	h.wg.Go(h.appendJobs)
}

// KeepJob stores a job where a second host can find it.
func (h *Host) KeepJob(ctx context.Context, id string) error {
	_, err := h.keepJob(ctx, job.Spec{ID: id})
	return err
}

// HandJobTo stops leading a job and offers it to a peer, as happens when the job's rack gets
// another leader.
func (h *Host) HandJobTo(to, id string) {
	h.stopLeading(to, []string{id})
	h.sendOutgoing()
}

// ReportsLeading reports whether this host's answer to an inventory request names a job as led.
func (h *Host) ReportsLeading(id string) bool {
	return slices.Contains(h.handleInventory(peer.Inventory{From: "h9", Jobs: []string{id}}).Leads, id)
}

// Freeze keeps the host from answering any request until the returned function is called.
func (h *Host) Freeze() func() {
	h.mu.Lock()
	return h.mu.Unlock
}

// HasLoggedEnd reports whether the host's copy of the log contains a job's end.
func (h *Host) HasLoggedEnd(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ended := h.jobs.log.End(id)
	return ended && h.jobs.log.Written(id)
}
