package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/queue"
)

// maxHedgeDelay bounds how long an idempotent request waits for one backend server before
// it is also sent to another.
const maxHedgeDelay = time.Second

// hedgeSuffix distinguishes the ID of a request's second try from the ID of its first.
const hedgeSuffix = ".2"

// sendHedged sends a request. If its row is idempotent and no answer arrives for a while,
// it also sends the request to another backend server: the connection may have gone silent,
// and the caller would wait until the deadline. The first try keeps its slot and may still
// answer first, so that a server that is only slow loses nothing. The second try counts
// against the row's retry budget.
func (x *Relay) sendHedged(ctx context.Context, ask queue.Enqueue, a queue.Send, req call.Request) try {
	row, _ := x.Row(req.Row)
	if !row.Idempotent {
		return x.send(ctx, a, req)
	}
	ends := make(chan try, 2)
	go func() { ends <- x.send(ctx, a, req) }()
	hedgeTimer := time.NewTimer(min(maxHedgeDelay, req.Deadline.Sub(x.Clock())/2))
	defer hedgeTimer.Stop()
	select {
	case t := <-ends:
		return t
	case <-hedgeTimer.C:
	}
	// The connection to the first server may still break and then counts as well.
	if len(req.Lost)+1 >= maxLostServers || !x.mayRetry(row, mayHaveRun) {
		return <-ends
	}
	metrics.GetOrRegisterCounter("relay.hedged", x.Metrics).Inc(1)
	go func() { ends <- x.sendSecond(ctx, ask, a, req) }()
	t := <-ends
	if t.reply.Outcome == cell.Done {
		return t
	}
	return betterReply(t, <-ends)
}

// sendSecond sends a request on a slot that is free now, or not at all. If it waited in the
// queue a second time, it would take the place of other requests.
func (x *Relay) sendSecond(ctx context.Context, ask queue.Enqueue, a queue.Send, req call.Request) try {
	req.ID += hedgeSuffix
	ask.ID += hedgeSuffix
	ask.FromPeer = true
	ask.Avoid = append([]string{a.Backend}, ask.Avoid...)
	if next, ok := x.awaitSlot(ctx, ask.ID, ask).(queue.Send); ok && next.Backend != a.Backend {
		return x.send(ctx, next, req)
	} else if ok {
		x.step(queue.Ended{ID: ask.ID, Failed: true})
	}
	return try{reply: call.Refuse(http.StatusServiceUnavailable, string(queue.Busy), 0)}
}

// betterReply selects which of two tries the caller is told about. A try that may have run
// takes precedence over one that was refused, which alone would claim that nothing ran.
func betterReply(a, b try) try {
	rank := map[cell.Outcome]int{cell.Done: 2, cell.Unknown: 1, cell.Refused: 0}
	lost := append(a.reply.Lost, b.reply.Lost...)
	if rank[b.reply.Outcome] > rank[a.reply.Outcome] {
		a = b
	}
	a.reply.Lost = lost
	return a
}
