package relay

import (
	"context"

	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/peer"
	"pollencroft/internal/spans"
)

// askPeer asks a peer to run a request. The request runs on if the caller hangs up
// meanwhile, because the end of a request that was sent has to be recorded under its key.
func (x *Relay) askPeer(ctx context.Context, name string, req call.Request) (call.Reply, error) {
	left := req.Deadline.Sub(x.Clock())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left+openTimeout)
	defer cancel()
	var reply call.Reply
	err := x.Peers.Ask(ctx, name, peer.Relay{Request: req, Remaining: cell.Duration{Duration: left}}, &reply)
	return reply, err
}

// RunForPeer runs a request that a peer received from its caller, on a slot that is free
// now.
func (x *Relay) RunForPeer(ctx context.Context, m peer.Relay) call.Reply {
	req := m.Request
	req.Deadline = x.Clock().Add(m.Remaining.Duration)
	ctx, end := spans.Start(spans.ContinueTrace(ctx, req.Trace), "host", req.ID)
	defer end()
	return x.RunOnFreeSlot(ctx, req)
}
