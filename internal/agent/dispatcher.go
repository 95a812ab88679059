package agent

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
)

const (
	// orderDelay is how long an order other than a start waits for others to be sent with it.
	orderDelay = 10 * time.Millisecond
	// maxBatch is how many orders one message carries, so that it stays far below the size limit
	// of messages even if each is the start of another job.
	maxBatch = 200
	// ackTimeout is how long an agent may take to confirm that it has orders: as long as a host
	// may stand still whose processor quota is used up, and a few round trips. The leader's own
	// delay is added to it.
	ackTimeout = 250 * time.Millisecond
	// lateTimer is the delay of this host's own timers from which its timeouts prove nothing.
	lateTimer = 50 * time.Millisecond
	// maxAckWait is when a message counts as lost in any case.
	maxAckWait = 2 * time.Second
	// resultMargin is the time for an order's way to the worker and back, on top of the time that
	// the order itself may take.
	resultMargin = 300 * time.Millisecond
	// minSuspension is how long an agent that failed gets no orders. It doubles up to
	// maxSuspension while the agent goes on failing.
	minSuspension = time.Second
	maxSuspension = 8 * time.Second
	// checkInterval is the time between two checks for orders without a result.
	checkInterval = 50 * time.Millisecond
)

// Leader is what a Dispatcher needs of the host that leads.
type Leader struct {
	Name string
	// Orders returns an empty message with the sender and its term.
	Orders func() peer.Orders
	// Ask sends orders to an agent and returns once the agent has confirmed them.
	Ask func(ctx context.Context, agent string, m peer.Orders) error
	// Direct sends an order to its worker without an agent.
	Direct func(a sched.Action)
	// Apply passes events to the scheduler core.
	Apply func(all ...sched.Event)
	// Timeout is how long an agent waits for the answer to an order, apart from the wait of a hold.
	Timeout time.Duration
	// Power is the number of cores of this host. WorkersPerCore is the number of workers to which a
	// host sends orders for each of its cores.
	Power, WorkersPerCore float64
	Count                 func(name string)
	Now                   func() time.Time
	Log                   *slog.Logger
}

// Dispatcher sends a leader's orders through agents. It is safe for concurrent use.
type Dispatcher struct {
	leader Leader
	ctx    context.Context
	wg     *sync.WaitGroup

	mu     sync.Mutex
	lastID int64
	sent   map[int64]sentOrder
	agents map[string]*agentState
	acks   acks
	hosts  []Host
	// domains holds the failure domain of each worker, workers the number of workers of each
	// domain, and chosen its agents. agentHosts holds the agents of all domains.
	domains    map[string]string
	workers    map[string]int
	chosen     map[string][]string
	agentHosts []Host
}

// sentOrder is an order that has no result yet.
type sentOrder struct {
	action   sched.Action
	agent    string
	at       time.Time
	deadline time.Time
}

// agentState is what the leader knows of one agent. queue holds orders that were not sent yet,
// urgent means that there is a start among them. batches counts how often the queue was emptied.
type agentState struct {
	queue          []queuedOrder
	urgent         bool
	batches        int64
	suspendedUntil time.Time
	suspension     time.Duration
}

type queuedOrder struct {
	id     int64
	action sched.Action
}

// NewDispatcher returns a dispatcher that works until ctx ends. Its goroutines are added to wg.
func NewDispatcher(ctx context.Context, leader Leader, wg *sync.WaitGroup) *Dispatcher {
	return &Dispatcher{
		leader: leader, ctx: ctx, wg: wg, sent: map[int64]sentOrder{}, agents: map[string]*agentState{},
		acks: newAcks(), domains: map[string]string{}, chosen: map[string][]string{},
	}
}

// SetWorkers sets the failure domains of all workers, by incarnation.
func (d *Dispatcher) SetWorkers(domains map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domains, d.workers = domains, map[string]int{}
	for _, domain := range domains {
		d.workers[domain]++
	}
	d.rechoose()
}

// SetHosts sets the hosts that may be agents.
func (d *Dispatcher) SetHosts(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
	d.rechoose()
}

// rechoose chooses the agents again. Workers keep their agent as long as it is chosen. The caller
// holds mu.
func (d *Dispatcher) rechoose() {
	now := d.leader.Now()
	usable := slices.DeleteFunc(slices.Clone(d.hosts), func(h Host) bool {
		g, ok := d.agents[h.Name]
		return h.Name == d.leader.Name || ok && now.Before(g.suspendedUntil)
	})
	chosen := choose(usable, d.workers, d.leader.Power, d.leader.WorkersPerCore)
	if maps.EqualFunc(chosen, d.chosen, slices.Equal[[]string]) {
		return
	}
	d.chosen = chosen
	d.agentHosts = slices.DeleteFunc(slices.Clone(d.hosts), func(h Host) bool { return !slices.Contains(chosen[h.Domain], h.Name) })
	var all []string
	for _, domain := range slices.Sorted(maps.Keys(d.workers)) {
		all = append(all, domain+": "+strings.Join(chosen[domain], " "))
	}
	d.leader.Log.Info("agent: chosen.", "term", d.leader.Orders().Term, "agents", strings.Join(all, ", "), "workers", len(d.domains), "hosts", len(d.hosts))
}

// Agents returns the hosts that are agents now. The caller must not change the slice.
func (d *Dispatcher) Agents() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agentHosts
}

// Send queues an order for the agent of its worker. It returns false if the worker has none.
func (d *Dispatcher) Send(a sched.Action) bool {
	to, ok := worker(a)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	name := d.agentOf(to.Incarnation)
	if name == "" {
		return false
	}
	g := d.agent(name)
	d.lastID++
	now := d.leader.Now()
	d.sent[d.lastID] = sentOrder{action: a, agent: name, at: now, deadline: now.Add(d.timeout(a))}
	if _, start := a.(sched.Start); start {
		g.urgent = true
	}
	g.queue = append(g.queue, queuedOrder{d.lastID, a})
	if len(g.queue) == 1 {
		batch := g.batches
		d.wg.Go(func() { d.flushLater(name, batch) })
	}
	return true
}

// AgentOf returns the agent that sends the orders for a worker, or "" if the leader does.
func (d *Dispatcher) AgentOf(incarnation string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agentOf(incarnation)
}

// agentOf is AgentOf for callers that hold mu.
func (d *Dispatcher) agentOf(incarnation string) string {
	return pick(d.chosen[d.domains[incarnation]], incarnation)
}

// agent returns the state of an agent. The caller holds mu.
func (d *Dispatcher) agent(name string) *agentState {
	g, ok := d.agents[name]
	if !ok {
		g = &agentState{}
		d.agents[name] = g
	}
	return g
}

// timeout returns after which time an order counts as lost.
func (d *Dispatcher) timeout(a sched.Action) time.Duration {
	limit := d.leader.Timeout + resultMargin
	if h, ok := a.(sched.Hold); ok {
		limit += h.Wait
	}
	return limit
}

// flushLater sends a queue after orderDelay, unless that was done earlier.
func (d *Dispatcher) flushLater(name string, batch int64) {
	t := time.NewTimer(orderDelay)
	defer t.Stop()
	select {
	case <-d.ctx.Done():
		return
	case <-t.C:
	}
	var batches []peer.Orders
	d.mu.Lock()
	if d.agent(name).batches == batch {
		batches = d.takeQueue(name)
	}
	d.mu.Unlock()
	d.sendBatches(name, batches)
}

// Flush sends the queues that contain starts. It is called after each step of the scheduler core,
// so that the starts of one step travel together and don't wait for others.
func (d *Dispatcher) Flush() {
	d.mu.Lock()
	urgent := map[string][]peer.Orders{}
	for name, g := range d.agents {
		if g.urgent {
			urgent[name] = d.takeQueue(name)
		}
	}
	d.mu.Unlock()
	for name, batches := range urgent {
		d.sendBatches(name, batches)
	}
}

// takeQueue empties an agent's queue and returns its orders as messages. The caller holds mu.
func (d *Dispatcher) takeQueue(name string) []peer.Orders {
	g := d.agent(name)
	var batches []peer.Orders
	for all := range slices.Chunk(g.queue, maxBatch) {
		m := d.leader.Orders()
		m.Texts = map[string]string{}
		for _, q := range all {
			m.All = append(m.All, encode(q.id, m.Term, q.action))
			if s, ok := q.action.(sched.Start); ok {
				m.Texts[s.Task.Job] = s.Text
			}
		}
		batches = append(batches, m)
	}
	g.queue, g.urgent = nil, false
	g.batches++
	return batches
}

func (d *Dispatcher) sendBatches(name string, batches []peer.Orders) {
	for _, m := range batches {
		d.leader.Count("orders.sent")
		d.wg.Go(func() { d.sendBatch(name, m) })
	}
}

// LateAgentError is returned if an agent has not confirmed orders in time.
type LateAgentError struct {
	Agent string
	After time.Duration
}

func (e *LateAgentError) Error() string {
	return "agent " + e.Agent + " has not confirmed orders within " + e.After.String()
}

// sendBatch sends one message to an agent, and deals with its orders if that fails.
func (d *Dispatcher) sendBatch(name string, m peer.Orders) {
	ctx, cancel := context.WithTimeout(d.ctx, maxAckWait)
	got := make(chan error, 1)
	d.mu.Lock()
	sent := d.acks.send(name, d.leader.Now())
	d.mu.Unlock()
	d.wg.Go(func() {
		defer cancel()
		err := d.leader.Ask(ctx, name, m)
		d.answered(sent, err)
		got <- err
	})
	err := d.awaitAck(sent, got)
	if d.ctx.Err() != nil {
		return
	}
	if err == nil {
		d.confirmed(name)
		return
	}
	d.failed(name, m, err)
}

// awaitAck waits for the confirmation of a message.
func (d *Dispatcher) awaitAck(m *message, got <-chan error) error {
	select {
	case err := <-got:
		return err
	case <-m.overdue:
	}
	select {
	case err := <-got:
		return err
	default:
		return &LateAgentError{Agent: m.agent, After: d.leader.Now().Sub(m.sent)}
	}
}

// answered records how a message to an agent ended.
func (d *Dispatcher) answered(m *message, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.acks.fail(m)
		return
	}
	d.acks.confirm(m, d.leader.Now())
}

func (d *Dispatcher) confirmed(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g := d.agent(name); !d.leader.Now().Before(g.suspendedUntil) {
		g.suspension = 0
	}
}

// failed suspends an agent that did not confirm a message, and deals with the orders in it. Orders
// that the agent certainly does not have are sent another way. Of the others, and of those that it
// confirmed before, nobody knows whether they are carried out, see unsure.
func (d *Dispatcher) failed(name string, m peer.Orders, err error) {
	var unreached *peer.UnreachableError
	var refused *peer.RefusedError
	leaving, unsent := errors.As(err, &refused), errors.As(err, &unreached)
	now := d.leader.Now()
	d.mu.Lock()
	lag, waiting := d.acks.currentLag(now), d.acks.waiting()
	d.acks.giveUp(name)
	g := d.agent(name)
	if !now.Before(g.suspendedUntil) {
		g.suspension = min(max(2*g.suspension, minSuspension), maxSuspension)
		g.suspendedUntil = now.Add(g.suspension)
		d.leader.Log.Warn("agent: suspended.", "host", name, "term", m.Term, "for", g.suspension, "orders", len(m.All), "lag", lag, "waiting", waiting, "err", err)
		d.rechoose()
	}
	var again []sched.Action
	if leaving || unsent {
		for _, o := range m.All {
			if s, ok := d.sent[o.ID]; ok {
				delete(d.sent, o.ID)
				again = append(again, s.action)
			}
		}
	}
	var direct []sched.Action
	var events []sched.Event
	if !leaving {
		direct, events = d.unsure(name, now)
	}
	d.mu.Unlock()
	d.leader.Count("orders.failed")
	for _, a := range again {
		if !d.Send(a) {
			d.leader.Direct(a)
		}
	}
	d.Flush()
	for _, a := range direct {
		d.leader.Direct(a)
	}
	d.leader.Apply(events...)
}

// unsure gives up the orders that an agent which is gone or silent may have, in the order in which
// they were sent. Those that may be carried out twice are returned to be sent directly. A start may
// not: if its task had ended in the meantime, the worker would refuse the second one as if nothing
// had run. The caller holds mu.
func (d *Dispatcher) unsure(name string, now time.Time) (direct []sched.Action, events []sched.Event) {
	for _, id := range slices.Sorted(maps.Keys(d.sent)) {
		s := d.sent[id]
		if s.agent != name || slices.ContainsFunc(d.agents[name].queue, func(q queuedOrder) bool { return q.id == id }) {
			continue
		}
		delete(d.sent, id)
		if _, start := s.action.(sched.Start); start {
			events = append(events, lost(s.action, s.at, now))
			continue
		}
		direct = append(direct, s.action)
	}
	return direct, events
}

// Results applies the results of orders. Results of orders that count as lost are ignored.
func (d *Dispatcher) Results(m peer.OrderResults) {
	now := d.leader.Now()
	var events []sched.Event
	d.mu.Lock()
	for _, r := range m.All {
		s, ok := d.sent[r.ID]
		if !ok {
			continue
		}
		delete(d.sent, r.ID)
		d.acks.heardFrom[s.agent] = now
		if ev := event(s.action, r, s.at, now); ev != nil {
			events = append(events, ev)
		}
	}
	d.mu.Unlock()
	d.leader.Apply(events...)
}

// Run reports orders without a result as lost until the dispatcher's context ends, gives up messages
// that agents don't confirm, and lets agents return after their suspension.
func (d *Dispatcher) Run() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	last := d.leader.Now()
	var resumed time.Time
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		now := d.leader.Now()
		// After a pause of this host, results may have arrived that it has not read yet.
		if now.Sub(last) < checkInterval+lateTimer {
			d.leader.Apply(d.expire(now)...)
		} else {
			resumed = now
		}
		if now.Sub(resumed) >= ackTimeout {
			d.mu.Lock()
			d.acks.markOverdue(now)
			d.mu.Unlock()
		}
		last = now
	}
}

// expire returns the events for orders without a result in time.
func (d *Dispatcher) expire(now time.Time) []sched.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rechoose()
	var events []sched.Event
	for id, s := range d.sent {
		if now.Before(s.deadline) || !d.acks.passed(s.deadline, "", now) {
			continue
		}
		delete(d.sent, id)
		d.leader.Count("orders.lost")
		if ev := lost(s.action, s.at, now); ev != nil {
			events = append(events, ev)
		}
	}
	return events
}
