package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/queue"
	"pollencroft/internal/spans"
)

// refreshPeers passes the free slots of the peers to the queue when a peer has announced
// its load again. No announcement is used twice, because the slots that it lists are taken
// by then.
func (x *Relay) refreshPeers() {
	live, beats := x.Members()
	now := x.Clock()
	x.mu.Lock()
	defer x.mu.Unlock()
	fresh := false
	var all []queue.Peer
	for _, b := range beats {
		if b.Domain != x.Domain {
			continue
		}
		fresh = fresh || x.lastLoad[b.Name] != b.ReceivedAt
		x.lastLoad[b.Name] = b.ReceivedAt
		if x.canLend(now, b) {
			all = append(all, queue.Peer{Name: b.Name, Free: b.FreeSlots})
		}
	}
	if fresh || len(live) <= 1 {
		x.stepQueue(queue.Peers{All: all})
	}
}

// canLend reports whether a peer's announcement counts: it has to be recent, and newer than
// the last request that the peer did not answer.
func (x *Relay) canLend(now time.Time, b member.Heartbeat) bool {
	return !b.Leaving && b.ReceivedAt.After(x.lastFailure[b.Name]) && now.Sub(b.ReceivedAt) <= member.SilenceTimeout
}

// sendToPeer runs a request on a peer's slot. The second result reports whether the peer
// returned the request without running it, or could not be asked, so that the request has
// to wait again.
func (x *Relay) sendToPeer(ctx context.Context, a queue.Lend, req call.Request) (try, bool) {
	ctx, end := spans.Start(ctx, "peer", req.ID)
	defer end()
	req.Trace = spans.TraceParent(ctx)
	metrics.GetOrRegisterCounter("relay.lent", x.Metrics).Inc(1)
	reply, err := x.askPeer(ctx, a.Peer, req)
	var unreachedPeer *peer.UnreachableError
	switch {
	case err == nil && reply.Outcome == cell.Refused && reply.Reason == string(queue.Busy):
		return try{}, true
	case err == nil:
		x.step(queue.Ended{ID: req.ID})
		return classifyPeerReply(reply), false
	case errors.As(err, &unreachedPeer):
		x.markSilent(a.Peer)
		return try{}, true
	default:
		x.markSilent(a.Peer)
		x.step(queue.Ended{ID: req.ID, Failed: true})
		return try{reply: call.Unsure(http.StatusBadGateway, err.Error(), time.Second), retryClass: mayHaveRun}, false
	}
}

// markSilent treats a peer as silent until it announces its load again. Its last
// announcement would otherwise attract one request after another to a dead host.
func (x *Relay) markSilent(name string) {
	x.mu.Lock()
	x.lastFailure[name] = x.Clock()
	x.lastLoad[name] = time.Time{}
	x.mu.Unlock()
	x.refreshPeers()
}

// classifyPeerReply determines whether a request may be retried here after a peer's final
// reply. The peer itself does not retry.
func classifyPeerReply(reply call.Reply) try {
	t := try{reply: reply}
	switch {
	case reply.Outcome == cell.Unknown, reply.Outcome == cell.Done && reply.Status >= http.StatusInternalServerError:
		t.retryClass = mayHaveRun
	case reply.Outcome == cell.Refused && reply.Status == http.StatusServiceUnavailable:
		t.retryClass = notRun
	}
	return t
}
