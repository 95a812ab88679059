package relay

import (
	"context"
	"net/http"
	"time"

	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/ledger"
	"pollencroft/internal/peer"
)

// Times for requests with a key.
const (
	// openTimeout bounds one Open to a home. A home that takes longer counts as silent, and
	// the next one is asked.
	openTimeout = 250 * time.Millisecond
	// keyRetryAfter is how long a caller whose outcome is unknown should wait before it
	// asks again.
	keyRetryAfter = time.Second
)

// runKeyed runs a request under its key, so that it is sent only once, whichever hosts its
// repeats reach.
func (x *Relay) runKeyed(ctx context.Context, req call.Request) call.Reply {
	lookupCtx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(x.Clock()))
	defer cancel()
	run := ledger.NewTry(x.newOpen(req), x.Plan.Groups(req.Key, req.Attempt, x.liveHosts()))
	var ev ledger.TryEvent = ledger.Begin{}
	for {
		for _, a := range run.Step(ev) {
			switch a := a.(type) {
			case ledger.RecordEnd:
				x.queueEnd(a)
			case ledger.AskHome:
				ev = x.askHome(lookupCtx, a)
			case ledger.AwaitHome:
				ev = x.awaitHome(lookupCtx, a, req.Deadline)
			case ledger.Send:
				ev = ledger.RequestEnded{Answer: toAnswer(x.runWithRetries(ctx, req))}
			case ledger.Reply:
				return toReply(a.Answer)
			}
		}
	}
}

func (x *Relay) newOpen(req call.Request) ledger.Open {
	return ledger.Open{
		Key: req.Key, Digest: req.Digest(), Attempt: req.Attempt, Try: req.ID, Host: x.Name, Incarnation: x.Incarnation,
		Remaining: cell.Duration{Duration: req.Deadline.Sub(x.Clock())},
	}
}

func toAnswer(r call.Reply) ledger.Answer {
	return ledger.Answer{Outcome: r.Outcome, Status: r.Status, Header: r.Header, Body: r.Body, Reason: r.Reason, RetryAfter: r.RetryAfter}
}

func toReply(a ledger.Answer) call.Reply {
	r := call.Reply{Outcome: a.Outcome, Status: a.Status, Header: a.Header, Body: a.Body, Reason: a.Reason, RetryAfter: a.RetryAfter}
	if r.Status == 0 {
		r.Status = http.StatusServiceUnavailable
	}
	if r.Outcome == cell.Unknown && r.RetryAfter.Duration == 0 {
		r.RetryAfter.Duration = keyRetryAfter
	}
	return r
}

func (x *Relay) askHome(ctx context.Context, a ledger.AskHome) ledger.TryEvent {
	if a.Home == x.Name {
		return ledger.HomeAnswered{Home: a.Home, Verdict: x.OpenKey(a.Open)}
	}
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var v ledger.Verdict
	err := x.Peers.Ask(openCtx, a.Home, peer.OpenKey{Open: a.Open}, &v)
	return toTryEvent(ctx, a.Home, v, err)
}

func (x *Relay) awaitHome(ctx context.Context, a ledger.AwaitHome, deadline time.Time) ledger.TryEvent {
	m := peer.AwaitKey{Key: a.Key, Remaining: cell.Duration{Duration: deadline.Sub(x.Clock())}}
	if a.Home == x.Name {
		return toTryEvent(ctx, a.Home, x.AwaitKey(ctx, m), nil)
	}
	var v ledger.Verdict
	err := x.Peers.Ask(ctx, a.Home, m, &v)
	return toTryEvent(ctx, a.Home, v, err)
}

func toTryEvent(ctx context.Context, home string, v ledger.Verdict, err error) ledger.TryEvent {
	switch {
	case err == nil:
		return ledger.HomeAnswered{Home: home, Verdict: v}
	case ctx.Err() != nil:
		return ledger.Canceled{}
	default:
		return ledger.HomeSilent{Home: home}
	}
}
