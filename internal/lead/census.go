package lead

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/takeover"
)

// WorkerState is one held worker as this host last read it.
type WorkerState struct {
	Worker string
	Clock  time.Time
	// Age is how long ago the worker was asked.
	Age time.Duration
	// Incarnation names the worker's life.
	Incarnation string
	Tasks       []job.ListedTask
	// Counted are the running tasks of the keys that were asked for.
	Counted []CountedTask
}

// InventoryReply is what one host tells another of what it holds, and of the jobs that
// were asked for: those that it leads and those that it waits for itself.
type InventoryReply struct {
	Workers      []WorkerState
	Leads, Waits []string
	// Incarnations holds by worker the life in which no start to an earlier one is under way any more.
	Incarnations map[string]string
}

// InventoryRequest is what one host asks another: which of some jobs it leads, and what the workers that
// it holds run of those jobs and of some keys. Waits are the jobs that the asker wants to inherit.
// Asked is when it was put together: what is to be known since then is not in it.
type InventoryRequest struct {
	Asked       time.Time
	Jobs, Waits []string
	Keys        []string
}

// Inventory answers a peer's question.
func (l *Leader) Inventory(from string, q InventoryRequest) InventoryReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLeases(lease.Tick{})
	l.stepTakeover(takeover.PeerAsked{Host: from, Jobs: q.Waits})
	if len(q.Waits) > 0 {
		// The peer may go on with the jobs that are not led here. One of them that was sent here
		// before and arrives now would have two leads.
		clear(l.expectedHandovers)
	}
	c := InventoryReply{Incarnations: l.Leases.ConfirmedIncarnations(l.Clock())}
	for _, id := range q.Jobs {
		switch {
		case l.Jobs.AwaitsInventory(id):
			c.Waits = append(c.Waits, id)
		case l.hasJob(id):
			c.Leads = append(c.Leads, id)
		}
	}
	for _, name := range l.Leases.Held() {
		if r, ok := l.Leases.LastReading(name); ok && l.listIsComplete(name, r, q) {
			c.Workers = append(c.Workers, l.workerState(name, r, q))
		}
	}
	return c
}

// listIsComplete tells whether a worker's list listIsComplete all starts of jobs that were given up here, and of
// the keys that are asked for. The asker would take a task that is not listed for one that runs
// nowhere.
func (l *Leader) listIsComplete(name string, r lease.Reading, q InventoryRequest) bool {
	if len(q.Keys) > 0 && !r.Sent.After(l.lastLimitedStart[name]) {
		l.stepLeases(lease.Poll{Worker: name, After: rereadDelay})
		return false
	}
	for _, lo := range l.untracked {
		if lo.worker == name {
			return false
		}
	}
	return r.Sent.After(l.lastDropped[name])
}

func (l *Leader) workerState(name string, r lease.Reading, q InventoryRequest) WorkerState {
	v := WorkerState{Worker: name, Clock: r.Clock, Age: l.Clock().Sub(r.Sent), Incarnation: r.Incarnation}
	for _, t := range r.Tasks {
		if slices.Contains(q.Jobs, t.Job) {
			v.Tasks = append(v.Tasks, job.ListedTask{ID: t.ID, State: t.State, Lease: t.Lease})
		}
		if len(q.Keys) > 0 && t.State == "running" && slices.Contains(q.Keys, l.limitKeyOf(t.Row)) {
			v.Counted = append(v.Counted, CountedTask{Row: t.Row, Size: foundTaskSize(t)})
		}
	}
	return v
}

// InventoryRequest is what to ask peers for: the jobs that wait for a census and those with tasks on
// workers that this host does not hold, and what is counted here.
func (l *Leader) InventoryRequest() InventoryRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := InventoryRequest{Asked: l.Clock(), Waits: l.Takeover.Waiting(), Keys: slices.Sorted(maps.Keys(l.counts))}
	for _, s := range l.Jobs.Open() {
		q.Jobs = append(q.Jobs, s.ID)
	}
	return q
}

// incarnationPollInterval is how often peers are asked for the workers' lives while one is not settled.
const incarnationPollInterval = 250 * time.Millisecond

// askIncarnations asks the peers, one of which may have led a worker in its life of now, before this host
// waits for the starts to an earlier one.
func (l *Leader) askIncarnations() {
	now := l.Clock()
	if l.RequestInventory == nil || now.Sub(l.incarnationsAsked) < incarnationPollInterval || !l.Leases.HasUnconfirmed(now) {
		return
	}
	l.incarnationsAsked = now
	l.RequestInventory()
}

// HandleInventory takes a peer's answer to a question. A worker that this host holds, or held
// since it asked, is passed over: what the peer told of it is older than what this host
// knows. The peer lists tasks of the jobs that were asked for, and no others.
func (l *Leader) HandleInventory(host string, q InventoryRequest, c InventoryReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, life := range c.Incarnations {
		l.stepLeases(lease.IncarnationConfirmed{Worker: name, Life: life})
	}
	ev := takeover.PeerAnswer{Host: host, Asked: q.Asked, Leads: c.Leads, Waits: c.Waits}
	held := l.Leases.Held()
	for _, v := range c.Workers {
		if slices.Contains(held, v.Worker) || l.lastHeld[v.Worker].After(q.Asked) {
			continue
		}
		ev.Workers = append(ev.Workers, v.Worker)
		l.mergeElsewhere(v.Worker, q.Keys, v.Counted)
		l.stepJobs(job.WorkerList{Worker: v.Worker, Clock: v.Clock, Sent: q.Asked.Add(-v.Age), Tasks: v.Tasks, Jobs: q.Jobs, Incarnation: v.Incarnation})
	}
	l.stepTakeover(ev)
}
