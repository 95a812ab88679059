package lead

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/takeover"
)

// WorkerState is the state of a held worker as this host last read it.
type WorkerState struct {
	Worker string
	Clock  time.Time
	// Age is the time since the worker was asked.
	Age time.Duration
	// Incarnation identifies the worker process; it changes when the worker restarts.
	Incarnation string
	Tasks       []job.ListedTask
	// Counted are the running tasks of the requested keys.
	Counted []CountedTask
}

// InventoryReply lists the workers that a host holds and, of the requested jobs, those that it
// leads and those that it has inherited and that still wait for an inventory.
type InventoryReply struct {
	Workers      []WorkerState
	Leads, Waits []string
	// Incarnations holds, by worker, the incarnation for which no start to an earlier one can still
	// be in flight.
	Incarnations map[string]string
}

// InventoryRequest asks a peer which of the jobs it leads, and which tasks of those jobs and keys
// run on the workers that it holds. Waits are the jobs that the sender wants to inherit. Asked is
// when the request was built: the answer proves nothing about jobs and keys that were added later.
type InventoryRequest struct {
	Asked       time.Time
	Jobs, Waits []string
	Keys        []string
}

// Inventory answers a peer's request.
func (l *Leader) Inventory(from string, q InventoryRequest) InventoryReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLeases(lease.Tick{})
	l.stepTakeover(takeover.PeerAsked{Host: from, Jobs: q.Waits})
	if len(q.Waits) > 0 {
		// The peer may go on with jobs that are not led here. If one of them was handed over to
		// this host earlier and arrived only now, it would have two leaders.
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
		if r, ok := l.Leases.LastReading(name); ok && l.mayReport(name, r, q) {
			c.Workers = append(c.Workers, l.workerState(name, r, q))
		}
	}
	return c
}

// mayReport reports whether a peer may be told a worker's list: it shows all starts of the jobs
// that were dropped here and, if keys are requested, of counted rows. The peer would conclude that
// a task missing from the list runs nowhere.
func (l *Leader) mayReport(name string, r lease.Reading, q InventoryRequest) bool {
	if len(q.Keys) > 0 && (l.limitedStarts[name] > 0 || !r.Sent.After(l.lastLimitedStart[name])) {
		l.stepLeases(lease.Poll{Worker: name, After: rereadDelay})
		return false
	}
	return l.listIsComplete(name)
}

// listIsComplete reports whether a worker's last list shows all starts of the jobs that were
// dropped here.
func (l *Leader) listIsComplete(name string) bool {
	for _, run := range l.untracked {
		if run.worker == name {
			return false
		}
	}
	return true
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

// InventoryRequest returns the request to send to the peers. It contains all open jobs, the jobs
// that wait for an inventory and the keys that this host counts.
func (l *Leader) InventoryRequest() InventoryRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := InventoryRequest{Asked: l.Clock(), Waits: l.Takeover.Waiting(), Keys: slices.Sorted(maps.Keys(l.counts))}
	for _, s := range l.Jobs.Open() {
		q.Jobs = append(q.Jobs, s.ID)
	}
	return q
}

// incarnationPollInterval is how often peers are asked about worker incarnations while at least one
// worker still waits for starts to an earlier incarnation.
const incarnationPollInterval = 250 * time.Millisecond

// askIncarnations asks the peers about worker incarnations. A peer that has led a worker in its
// current incarnation can confirm it, which saves the wait for starts to an earlier one.
func (l *Leader) askIncarnations() {
	now := l.Clock()
	if l.RequestInventory == nil || now.Sub(l.incarnationsAsked) < incarnationPollInterval || !l.Leases.HasUnconfirmed(now) {
		return
	}
	l.incarnationsAsked = now
	l.RequestInventory()
}

// HandleInventory processes a peer's answer. It skips workers that this host holds or has held
// since it asked, because its own information on them is newer. The peer lists only tasks of the
// requested jobs.
func (l *Leader) HandleInventory(host string, q InventoryRequest, c InventoryReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, incarnation := range c.Incarnations {
		l.stepLeases(lease.IncarnationConfirmed{Worker: name, Incarnation: incarnation})
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
