package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/backend"
	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/outlier"
	"pollencroft/internal/queue"
	"pollencroft/internal/spans"
	"pollencroft/internal/table"
)

// retryClass is how a try ended, as far as it matters for a retry.
type retryClass int

const (
	// final means that the reply goes to the caller.
	final retryClass = iota
	// unreached means that no server received the request.
	unreached
	// notRun means that a server received the request and did not run it.
	notRun
	// mayHaveRun means that the request may have run.
	mayHaveRun
)

type try struct {
	reply      call.Reply
	retryClass retryClass
	backend    string
}

// runWithRetries runs a request on a slot of this host or of a peer. It retries the request
// on another backend server where that is safe and within the row's budget.
func (x *Relay) runWithRetries(ctx context.Context, req call.Request) call.Reply {
	row, _ := x.Row(req.Row)
	x.Retries.RecordRequest(req.Row)
	var sent *call.Reply
	ask := queue.Enqueue{ID: req.ID, Row: x.queueRow(row), Deadline: req.Deadline}
	for n := int64(1); ; n++ {
		t := x.runOnce(ctx, ask, req)
		req.Lost = append(req.Lost, t.reply.Lost...)
		if sent != nil && t.reply.Outcome == cell.Refused {
			// An earlier try may have run. From the refusal of this try the caller would
			// conclude that nothing ran, and would run the request again.
			return *sent
		}
		if t.retryClass == mayHaveRun {
			sent = &t.reply
		}
		if t.retryClass == mayHaveRun && len(req.Lost) >= maxLostServers {
			return x.giveUp(req)
		}
		if n >= row.Tries || ctx.Err() != nil || !x.mayRetry(row, t.retryClass) {
			return t.reply
		}
		metrics.GetOrRegisterCounter("relay.retries", x.Metrics).Inc(1)
		ask.Avoid = append(append(ask.Avoid, t.backend), t.reply.Lost...)
	}
}

// mayRetry reports whether a try may be retried. A request that no server received may be
// retried without counting, because it loaded no server. All other retries count against
// the row's budget; otherwise a fault of all servers would multiply the load by the number
// of tries.
func (x *Relay) mayRetry(row table.Row, v retryClass) bool {
	switch v {
	case unreached:
		return true
	case notRun:
		return x.Retries.TrySpend(row.Name)
	case mayHaveRun:
		return row.Idempotent && x.Retries.TrySpend(row.Name)
	case final:
	}
	return false
}

// RunOnFreeSlot runs a peer's request on a slot that is free now, or refuses it as Busy.
func (x *Relay) RunOnFreeSlot(ctx context.Context, req call.Request) call.Reply {
	row, _ := x.Row(req.Row)
	return x.runOnce(ctx, queue.Enqueue{ID: req.ID, Row: x.queueRow(row), Deadline: req.Deadline, FromPeer: true, Avoid: req.Lost}, req).reply
}

// runOnce waits for a slot and sends the request one time.
func (x *Relay) runOnce(ctx context.Context, ask queue.Enqueue, req call.Request) try {
	asked := x.Clock()
	act := x.awaitSlot(ctx, ask.ID, ask)
	x.waitTimers[ask.Row.Class].Update(x.Clock().Sub(asked))
	for {
		switch a := act.(type) {
		case queue.Send:
			return x.sendHedged(ctx, ask, a, req)
		case queue.Lend:
			t, bounced := x.sendToPeer(ctx, a, req)
			if !bounced {
				return t
			}
			act = x.awaitSlot(ctx, ask.ID, queue.LendRejected{ID: ask.ID})
		case queue.Refuse:
			metrics.GetOrRegisterCounter("queue.refused."+ask.Row.Class.String(), x.Metrics).Inc(1)
			return try{reply: refusal(a)}
		default:
			return try{reply: call.Refuse(http.StatusServiceUnavailable, string(queue.CallerGone), time.Second)}
		}
	}
}

// awaitSlot passes a request to the queue and waits for the queue's decision. It returns
// nil if the caller hung up first.
func (x *Relay) awaitSlot(ctx context.Context, id string, ev queue.Event) queue.Action {
	c := make(chan queue.Action, 1)
	x.mu.Lock()
	x.waiting[id] = c
	x.stepQueue(ev)
	x.mu.Unlock()
	select {
	case a := <-c:
		return a
	case <-ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case a := <-c:
		return a
	default:
		delete(x.waiting, id)
		x.stepQueue(queue.Cancelled{ID: id})
		return nil
	}
}

func refusal(a queue.Refuse) call.Reply {
	status := http.StatusServiceUnavailable
	switch a.Reason {
	case queue.Full:
		status = http.StatusTooManyRequests
	case queue.TooLate:
		status = http.StatusGatewayTimeout
	}
	return call.Refuse(status, string(a.Reason), a.RetryAfter)
}

// send sends a request to a backend server. It continues when the caller hangs up: a
// request that was sent keeps its slot until the server has answered or the deadline has
// passed.
func (x *Relay) send(ctx context.Context, a queue.Send, req call.Request) try {
	began := x.Clock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), req.Deadline.Sub(began))
	defer cancel()
	ctx, end := spans.Start(ctx, "minion", req.ID)
	defer end()
	req.Trace = spans.TraceParent(ctx)
	x.mu.Lock()
	addr := x.servers[a.Backend].Address
	x.stepOutliers(outlier.Sent{ID: req.ID, Backend: a.Backend, Row: req.Row})
	x.mu.Unlock()
	answer, err := x.Backends.Do(ctx, addr, req)
	t := classify(answer, err)
	t.backend = a.Backend
	if connectionBroke(err) {
		t.reply.Lost = []string{a.Backend}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stepOutliers(outlier.Ended{ID: req.ID, Result: outlierResult(t)})
	x.stepQueue(queue.Ended{ID: req.ID, Took: x.Clock().Sub(began), Failed: err != nil})
	return t
}

// classify turns a server's answer, or its absence, into a reply for the caller and
// determines whether a retry is safe.
func classify(answer backend.Answer, err error) try {
	var notSent *backend.NotSentError
	var leaving *backend.LeavingError
	switch {
	case err == nil:
		t := try{reply: call.Reply{Outcome: cell.Done, Status: answer.Status, Header: answer.Header, Body: answer.Body}}
		if answer.Status >= http.StatusInternalServerError {
			t.retryClass = mayHaveRun
		}
		return t
	case errors.As(err, &notSent):
		return try{reply: call.Refuse(http.StatusServiceUnavailable, err.Error(), time.Second), retryClass: unreached}
	case errors.As(err, &leaving):
		return try{reply: call.Refuse(http.StatusServiceUnavailable, err.Error(), time.Second), retryClass: notRun}
	case errors.Is(err, context.DeadlineExceeded):
		return try{reply: call.Unsure(http.StatusGatewayTimeout, err.Error(), time.Second)}
	default:
		return try{reply: call.Unsure(http.StatusBadGateway, err.Error(), time.Second), retryClass: mayHaveRun}
	}
}

// outlierResult returns what a try shows about the server itself.
func outlierResult(t try) outlier.Result {
	switch {
	case t.retryClass == unreached:
		return outlier.Unreachable
	case t.retryClass == notRun:
		return outlier.Leaving
	case t.retryClass == mayHaveRun, t.reply.Outcome == cell.Unknown:
		return outlier.Failed
	default:
		return outlier.Succeeded
	}
}
