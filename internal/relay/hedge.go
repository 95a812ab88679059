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

// maxHedgeDelay bounds how long an idempotent request waits for one backend
// server before another is asked too.
const maxHedgeDelay = time.Second

// hedgeSuffix tells the second try of a request from its first by its id.
const hedgeSuffix = ".2"

// sendHedged sends a request and, when its row is idempotent and nothing has come
// for a while, sends it to another backend server too: the connection may have
// gone silent, and its caller would wait until the deadline. The first try
// keeps its slot and may still win, so that a server which is merely slow
// loses nothing. The second comes out of the row's retry budget.
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
	// The server that is waited for may end, too.
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

// sendSecond sends a request on a slot that is free now, or not at all: waiting in
// the queue a sendSecond time would take the place of others.
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

// betterReply is what the caller is told of two tries. One that may have run goes
// before one that was refused, which alone would claim that nothing ran.
func betterReply(a, b try) try {
	rank := map[cell.Outcome]int{cell.Done: 2, cell.Unknown: 1, cell.Refused: 0}
	lost := append(a.reply.Lost, b.reply.Lost...)
	if rank[b.reply.Outcome] > rank[a.reply.Outcome] {
		a = b
	}
	a.reply.Lost = lost
	return a
}
