package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
)

// Orders carries out single orders to workers. Its calls wait for the worker's answer, within the
// time that an order may take.
type Orders interface {
	Start(a sched.Start) sched.Outcome
	Stop(a sched.Stop) sched.Outcome
	Hold(a sched.Hold) sched.HoldReply
	Pace(a sched.Pace) sched.Outcome
}

// resultDelay is how long a result waits for others to be sent with it. Each message costs the
// leader about as much as ten results.
const resultDelay = 10 * time.Millisecond

// resultTimeout limits the sending of results; the leader gives up its orders at about that time.
const resultTimeout = time.Second

// Agent sends the orders of leaders to workers. It is safe for concurrent use.
type Agent struct {
	ctx    context.Context
	orders Orders
	// send sends results to the leader at an address.
	send func(ctx context.Context, leader string, addr netip.AddrPort, m peer.OrderResults) error
	log  *slog.Logger
	wg   *sync.WaitGroup

	mu sync.Mutex
	// results wait to be sent.
	results map[recipient][]peer.OrderResult
}

// recipient is a leader in one of its terms.
type recipient struct {
	name string
	addr netip.AddrPort
	term int64
}

// New returns an agent that works until ctx ends. Its goroutines are added to wg.
func New(ctx context.Context, orders Orders, send func(ctx context.Context, leader string, addr netip.AddrPort, m peer.OrderResults) error, log *slog.Logger, wg *sync.WaitGroup) *Agent {
	return &Agent{ctx: ctx, orders: orders, send: send, log: log, wg: wg, results: map[recipient][]peer.OrderResult{}}
}

// Accept begins to carry out orders. Orders that were sent on behalf of a former leader do no harm,
// because workers refuse them.
func (g *Agent) Accept(m peer.Orders) {
	to := recipient{m.From, m.Addr, m.Term}
	for _, o := range m.All {
		a, ok := decode(m, o)
		if !ok {
			g.log.Warn("agent: order cannot be read.", "kind", o.Kind, "id", o.Task, "worker", o.Worker, "from", m.From, "term", m.Term)
			g.addResult(to, peer.OrderResult{ID: o.ID, Outcome: int(sched.Rejected)})
			continue
		}
		g.wg.Go(func() { g.addResult(to, g.carryOut(o.ID, a)) })
	}
}

// carryOut sends one order to its worker.
func (g *Agent) carryOut(id int64, a sched.Action) peer.OrderResult {
	outcome := sched.Rejected
	switch a := a.(type) {
	case sched.Hold:
		return encodeHold(id, g.orders.Hold(a))
	case sched.Start:
		outcome = g.orders.Start(a)
	case sched.Stop:
		outcome = g.orders.Stop(a)
	case sched.Pace:
		outcome = g.orders.Pace(a)
	}
	return peer.OrderResult{ID: id, Outcome: int(outcome)}
}

// addResult queues a result. The first one in the queue starts the timer after which all are sent.
func (g *Agent) addResult(to recipient, r peer.OrderResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results[to] = append(g.results[to], r)
	if len(g.results[to]) == 1 {
		g.wg.Go(func() { g.sendResults(to) })
	}
}

func (g *Agent) sendResults(to recipient) {
	t := time.NewTimer(resultDelay)
	defer t.Stop()
	select {
	case <-g.ctx.Done():
		return
	case <-t.C:
	}
	g.mu.Lock()
	all := g.results[to]
	delete(g.results, to)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, resultTimeout)
	defer cancel()
	if err := g.send(ctx, to.name, to.addr, peer.OrderResults{Term: to.term, All: all}); err != nil {
		g.log.Warn("agent: results not delivered.", "to", to.name, "term", to.term, "results", len(all), "err", err)
	}
}
