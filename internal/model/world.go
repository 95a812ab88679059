// Package model checks the state machines of the packages lease, takeover and job
// together: it tries every order of events up to a depth on two entry hosts and
// their workers, and reports an order that violates an invariant. It is only a
// check; the scheduler does not use it.
package model

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/takeover"
)

// Rules selects the rules of the design to leave out, to show that the checker
// finds the faults that these rules prevent.
type Rules struct {
	// NoDeadline makes hosts send starts without a deadline.
	NoDeadline bool
	// NoInventory makes hosts continue inherited jobs at once, without waiting for the
	// inventory of running tasks.
	NoInventory bool
	// NoTerm makes a replaced host use the same holder name at the workers as its
	// predecessor.
	NoTerm bool
}

// Durations of the modelled cell. One step of time is half an anchor lease.
const (
	step    = 2 * time.Second
	ttl     = 2 * step
	taskTTL = 3 * step
	// never disables the rule that a worker counts as empty after a long silence. A
	// host cannot distinguish a late message from a lost worker, so that rule relies
	// on no other host reaching the worker either, which is not modelled.
	never = 1000 * time.Hour
)

const (
	former = "a"
	next   = "b"
	old    = "d.r.old"
)

func jobOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// message is a request to a worker or, once the worker has carried it out, the answer.
type message struct {
	kind, host, holder, worker, task, lease string
	inc                                     int
	attempt                                 int64
	ttl, taskTTL                            time.Duration
	deadline                                time.Time
	sent                                    time.Time
	reading                                 lease.Reading
	done, refused, late                     bool
	// lost is set once the sender no longer waits for the answer.
	lost bool
}

type host struct {
	name   string
	inc    int
	paused bool
	leases *lease.Leases
	jobs   *job.Jobs
	over   *takeover.Takeover
	// occupants holds the tasks that occupy each held worker, as far as the host knows.
	occupants map[string]map[string]bool
	queue     []string
	spec      map[string]job.Spec
}

// World is one state of the modelled cell.
type World struct {
	rules     Rules
	now       time.Time
	machines  []*machine
	hosts     map[string]*host
	messages  []message
	takenOver bool
	restarts  int
	// rankings counts how often the former leader lost or regained its racks.
	rankings int
}

// Start describes the state in which every order of events begins.
type Start struct {
	Workers int
	// Running reports whether the task runs already; otherwise its start is in flight.
	Running bool
	// Lapsed reports whether the leader is paused and the anchors have expired.
	Lapsed bool
}

// NewWorld returns a cell in which one host leads all workers and has just sent
// the start of a task, or has received its confirmation.
func NewWorld(rules Rules, s Start) *World {
	w := &World{rules: rules, now: time.Unix(1_700_000_000, 0), hosts: map[string]*host{}}
	for i := range s.Workers {
		w.machines = append(w.machines, &machine{name: fmt.Sprintf("w%d", i), tasks: map[string]time.Time{}})
	}
	w.hosts[former], w.hosts[next] = w.newHost(former, 1), w.newHost(next, 1)
	a := w.hosts[former]
	w.lead(a)
	w.deliverAll()
	w.submit(a, old)
	if s.Running {
		w.deliverAll()
		w.machines[0].tasks[old+".0"] = w.now.Add(taskTTL)
	}
	if s.Lapsed {
		w.now = w.now.Add(ttl)
		a.paused = true
	}
	return w
}

func (w *World) deliverAll() {
	for len(w.messages) > 0 {
		w.deliver(0)
	}
}

func (w *World) newHost(name string, inc int) *host {
	h := &host{
		name: name, inc: inc, leases: lease.New(lease.Limits{TTL: ttl, TaskTTL: taskTTL, RetryInterval: step / 2}), jobs: job.New(),
		over:      takeover.New(name, takeover.Limits{LongestLease: never, AskInterval: never}),
		occupants: map[string]map[string]bool{}, spec: map[string]job.Spec{},
	}
	w.stepTakeover(h, takeover.SetWorkers{Names: w.names()})
	return h
}

func (w *World) names() []string {
	var names []string
	for _, m := range w.machines {
		names = append(names, m.name)
	}
	return names
}

func specOf(id string) job.Spec {
	return job.Spec{ID: id, Tasks: 1, Size: cell.Size{CPU: 1, Mem: 1}, Tries: 9}
}

func (w *World) lead(h *host) { w.lease(h, lease.Wanted{Workers: w.names()}) }

func (w *World) submit(h *host, id string) { w.job(h, job.Submit{Spec: specOf(id)}) }

// inherit makes a host take over the workers and the job of a leader that it
// considers dead.
func (w *World) inherit(h *host) {
	w.lead(h)
	w.job(h, job.Inherit{Spec: specOf(old)})
	w.stepTakeover(h, takeover.FoundJob{Job: old})
	if w.rules.NoInventory {
		w.job(h, job.Release{ID: old})
	}
	w.submit(h, "d.r.of-"+h.name)
}

func (h *host) holder(rules Rules) string {
	if rules.NoTerm {
		return h.name
	}
	return fmt.Sprintf("%s#%d", h.name, h.inc)
}

func (w *World) send(h *host, m message) {
	m.host, m.inc, m.holder, m.sent = h.name, h.inc, h.holder(w.rules), w.now
	w.messages = append(w.messages, m)
}

func (w *World) lease(h *host, ev lease.Event) {
	for _, a := range h.leases.Step(w.now, ev) {
		switch a := a.(type) {
		case lease.Acquire:
			w.send(h, message{kind: "take", worker: a.Worker, ttl: a.TTL})
		case lease.Renew:
			w.send(h, message{kind: "renew", worker: a.Worker, ttl: a.TTL, taskTTL: a.TaskTTL})
		case lease.Release:
			w.send(h, message{kind: "give", worker: a.Worker, lease: a.Lease})
		case lease.Up:
			h.occupants[a.Worker] = map[string]bool{}
			w.handleWorkerList(h, a.Worker, a.Reading)
			w.stepTakeover(h, takeover.WorkerHeld{Worker: a.Worker})
		case lease.Updated:
			w.handleWorkerList(h, a.Worker, a.Reading)
		case lease.Down:
			delete(h.occupants, a.Worker)
			w.stepTakeover(h, takeover.WorkerLost{Worker: a.Worker})
			w.demote(h)
		}
	}
	w.fill(h)
}

// demote makes a host drop its jobs once it holds no worker any more.
func (w *World) demote(h *host) {
	if len(h.leases.Held()) > 0 {
		return
	}
	for _, s := range h.jobs.Open() {
		w.stepTakeover(h, takeover.GoneJob{Job: s.ID})
		w.job(h, job.Drop{ID: s.ID})
	}
}

func (w *World) handleWorkerList(h *host, name string, r lease.Reading) {
	ev := job.WorkerList{Worker: name, Clock: r.Clock, Sent: r.Sent}
	listed := map[string]bool{}
	for _, t := range r.Tasks {
		listed[t.ID] = true
		ev.Tasks = append(ev.Tasks, job.ListedTask{ID: t.ID, State: t.State, Lease: t.Lease})
		h.occupants[name][t.ID] = true
	}
	w.job(h, ev)
	for id := range h.occupants[name] {
		if !listed[id] && !h.jobs.HasTask(id) {
			delete(h.occupants[name], id)
		}
	}
}

func (w *World) stepTakeover(h *host, ev takeover.Event) {
	for _, a := range h.over.Step(w.now, ev) {
		if a, ok := a.(takeover.ReleaseJob); ok {
			w.job(h, job.Release{ID: a.Job})
		}
	}
}

func (w *World) job(h *host, ev job.Event) {
	for _, a := range h.jobs.Step(w.now, ev) {
		switch a := a.(type) {
		case job.RequestPlacement:
			h.spec[a.Spec.ID] = a.Spec
			h.queue = append(h.queue, a.Tasks...)
		case job.Start:
			w.start(h, a)
		case job.Free:
			for _, tasks := range h.occupants {
				delete(tasks, a.Task)
			}
			h.queue = slices.DeleteFunc(h.queue, func(id string) bool { return id == a.Task })
		}
	}
	w.fill(h)
}

func (w *World) start(h *host, a job.Start) {
	deadline, ok := h.leases.Deadline(w.now, a.Worker)
	if !ok {
		w.job(h, job.NotStarted{Task: a.Task, Attempt: a.Attempt})
		return
	}
	w.job(h, job.StartSent{Task: a.Task, Deadline: deadline})
	w.lease(h, lease.StartSent{Worker: a.Worker, Task: a.Task})
	if w.rules.NoDeadline {
		deadline = time.Time{}
	}
	w.send(h, message{kind: "start", worker: a.Worker, task: a.Task, attempt: a.Attempt, ttl: ttl, deadline: deadline})
}

// fill places queued tasks on held workers that are empty as far as the host
// knows.
func (w *World) fill(h *host) {
	for _, name := range h.leases.Held() {
		occupants, up := h.occupants[name]
		if len(h.queue) == 0 || !up || len(occupants) > 0 {
			continue
		}
		task := h.queue[0]
		h.queue = h.queue[1:]
		occupants[task] = true
		w.job(h, job.Placed{Task: task, Worker: name})
	}
}

// Violation describes a violation of an invariant in this state; empty if there is none.
func (w *World) Violation() string {
	at := map[string]string{}
	for _, m := range w.machines {
		if m.violation != "" {
			return m.violation
		}
		m.dropExpired(w.now)
		for _, id := range slices.Sorted(maps.Keys(m.tasks)) {
			if other := at[id]; other != "" {
				return id + " runs on " + other + " and on " + m.name
			}
			at[id] = m.name
		}
	}
	return ""
}
