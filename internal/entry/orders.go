package entry

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"pollencroft/internal/agent"
	"pollencroft/internal/latency"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
)

const (
	// agentsInterval is how often a leader checks which hosts may send its orders.
	agentsInterval = 250 * time.Millisecond
	// agentsValidity is how long a host remembers which agents the previous leader had. A leader that
	// is cut off is replaced after several seconds. An agent that has gone meanwhile is soon replaced.
	agentsValidity = 15 * time.Second
)

// orders sends orders to workers and waits for their answers until ctx ends. It implements
// agent.Orders.
type orders struct {
	h     *Host
	ctx   context.Context
	times *latency.Times
}

func newOrders(h *Host, ctx context.Context) *orders {
	return &orders{h: h, ctx: ctx, times: latency.New()}
}

// Start asks a worker to start a run.
func (o *orders) Start(a sched.Start) sched.Outcome {
	return o.send(a.To, func(ctx context.Context) sched.Outcome { return o.h.workers.Start(ctx, a) })
}

// Stop asks a worker to stop a run.
func (o *orders) Stop(a sched.Stop) sched.Outcome {
	return o.send(a.To, func(ctx context.Context) sched.Outcome { return o.h.workers.Stop(ctx, a) })
}

// Pace limits the processor time of a run.
func (o *orders) Pace(a sched.Pace) sched.Outcome {
	ctx, cancel := context.WithTimeout(o.ctx, latency.MaxTimeout)
	defer cancel()
	return o.h.workers.Pace(ctx, a)
}

// Hold renews leases and reads a worker's lists.
func (o *orders) Hold(a sched.Hold) sched.HoldReply {
	return latency.Call(o.times, o.h.now, a.To.Incarnation, a.Wait, func() sched.HoldReply {
		ctx, cancel := context.WithTimeout(o.ctx, a.Wait+latency.MaxTimeout)
		defer cancel()
		return o.h.workers.Hold(ctx, a)
	}, func(r sched.HoldReply) bool { return r.Outcome != sched.Unanswered }, sched.HoldReply{Worker: a.To.Incarnation, Outcome: sched.Unanswered, Probe: a.Probe, AckedEnd: a.AckedEnd})
}

func (o *orders) send(to sched.Address, order func(ctx context.Context) sched.Outcome) sched.Outcome {
	return latency.Call(o.times, o.h.now, to.Incarnation, 0, func() sched.Outcome {
		ctx, cancel := context.WithTimeout(o.ctx, latency.MaxTimeout)
		defer cancel()
		return order(ctx)
	}, func(got sched.Outcome) bool { return got != sched.Unanswered }, sched.Unanswered)
}

// sendDirectly sends an order from this host.
func (t *term) sendDirectly(a sched.Action) {
	t.h.wg.Go(func() {
		switch a := a.(type) {
		case sched.Hold:
			sent := t.h.now()
			got := t.orders.Hold(a)
			got.Sent, got.Received = sent, t.h.now()
			t.apply(got)
		case sched.Start:
			t.apply(sched.StartReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: t.orders.Start(a)})
		case sched.Stop:
			t.apply(sched.StopReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: t.orders.Stop(a)})
		case sched.Pace:
			t.h.incCounter("pace." + t.orders.Pace(a).String())
		}
	})
}

// apply counts the results of orders and passes them to the scheduler core.
func (t *term) apply(all ...sched.Event) {
	for _, ev := range all {
		switch ev := ev.(type) {
		case sched.HoldReply:
			t.h.incCounter(holdCounter(ev))
		case sched.StartReply:
			t.h.incCounter("start." + ev.Outcome.String())
		case sched.StopReply:
			t.h.incCounter("stop." + ev.Outcome.String())
		}
	}
	t.step(all...)
}

// holdCounter returns the name of the counter for the result of a hold.
func holdCounter(r sched.HoldReply) string {
	switch {
	case r.Outcome != sched.Accepted:
		return "hold." + r.Outcome.String()
	case r.Probe:
		return "hold.look"
	case len(r.Ended) == 0:
		return "hold.nothing"
	default:
		return "hold.ends"
	}
}

// newDispatcher returns the dispatcher of the term's orders.
func (t *term) newDispatcher() *agent.Dispatcher {
	h := t.h
	return agent.NewDispatcher(t.ctx, agent.Leader{
		Name: h.cfg.Name, Power: h.cfg.Power, WorkersPerCore: cmp.Or(h.cfg.Agents.Workers, agent.DefaultWorkersPerCore), Timeout: latency.MaxTimeout, Direct: t.sendDirectly, Apply: t.apply, Count: h.incCounter, Now: h.now, Log: h.log,
		Orders: func() peer.Orders { return peer.Orders{From: h.cfg.Name, Addr: h.cfg.peerAddr(), Term: t.number} },
		Ask:    func(ctx context.Context, name string, m peer.Orders) error { return h.peers.Ask(ctx, name, m, nil) },
	}, &h.wg)
}

// followAgents keeps the dispatcher informed of the hosts that may be agents.
func (t *term) followAgents() {
	for ok := true; ok; ok = sleep(t.ctx, agentsInterval) {
		t.dispatcher.SetHosts(t.h.possibleAgents())
	}
}

// possibleAgents lists the hosts that may send orders for this one: those that it has heard of
// recently, and those that the previous leader used.
func (h *Host) possibleAgents() []agent.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []agent.Host
	for name, s := range h.peersSeen {
		if h.now().Sub(s.at) < hostExpiry && s.domain != "" {
			all = append(all, agent.Host{Name: name, Domain: s.domain, Power: s.power})
		}
	}
	if h.now().Sub(h.agentsAt) >= agentsValidity {
		return all
	}
	for _, a := range h.agents {
		if _, seen := h.peersSeen[a.Name]; !seen {
			all = append(all, a)
		}
	}
	return all
}

// agentHosts returns the hosts that send the term's orders.
func (t *term) agentHosts() []peer.AgentHost {
	var all []peer.AgentHost
	for _, a := range t.dispatcher.Agents() {
		all = append(all, peer.AgentHost(a))
	}
	return all
}

// LeavingError is returned if a host that is stopping is asked to send orders.
type LeavingError struct{}

func (*LeavingError) Error() string { return "host is stopping" }

// acceptOrders begins to send a leader's orders to workers.
func (h *Host) acceptOrders(m peer.Orders) error {
	if h.isLeaving() {
		return &LeavingError{}
	}
	h.agent.Accept(m)
	return nil
}

// sendResults sends the results of orders to the leader.
func (h *Host) sendResults(ctx context.Context, leader string, addr netip.AddrPort, m peer.OrderResults) error {
	h.peers.SetAddr(leader, addr)
	return h.peers.Notify(ctx, leader, m)
}

// applyResults applies the results of orders of this host's term.
func (h *Host) applyResults(m peer.OrderResults) {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	if t != nil && t.number == m.Term {
		t.dispatcher.Results(m)
	}
}
