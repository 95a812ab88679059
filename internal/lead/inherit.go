package lead

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/place"
	"pollencroft/internal/takeover"
)

// NoWorkerError tells that this host holds no worker, or lost all of them
// meanwhile, so that it may decide nothing about a job.
type NoWorkerError struct{}

func (e *NoWorkerError) Error() string { return "no worker is held here" }

// LeavingError tells that this host hands its jobs over and takes none.
type LeavingError struct{}

func (e *LeavingError) Error() string { return "host is leaving" }

// Epoch numbers the time since this host last held no worker at all. While it
// stays the same no other host can have completed a census without asking this
// one, so what this host knows of its jobs is true. Zero: it holds none.
func (l *Leader) Epoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentEpoch()
}

// currentEpoch notices leases that lapsed during a pause before it answers.
func (l *Leader) currentEpoch() int64 {
	l.stepLeases(lease.Tick{})
	if len(l.Leases.Held()) == 0 {
		return 0
	}
	return l.epoch
}

// SetDomain tells the workers of the failure domain and its live peers.
func (l *Leader) SetDomain(workers, peers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLeases(lease.DomainWorkers{Workers: workers})
	l.stepTakeover(takeover.SetWorkers{Names: workers})
	l.stepTakeover(takeover.SetPeers{Names: peers})
}

// Inherit takes over jobs whose lead is gone. They go on as far as their tasks
// are found, and start nothing new before their census is complete.
func (l *Leader) Inherit(specs []job.Spec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := false
	for _, s := range specs {
		if l.leaving || l.hasJob(s.ID) {
			continue
		}
		fresh = true
		l.Count("lead.inherited")
		l.addNote(s.ID, "inherited, waits for the census")
		l.stepJobs(job.Inherit{Spec: s})
		l.stepTakeover(takeover.FoundJob{Job: s.ID})
	}
	if fresh {
		l.replayReadings()
	}
}

// replayReadings shows the job core the lists of all held workers again: tasks of a
// job that is new here may be among them.
func (l *Leader) replayReadings() {
	for _, name := range l.Leases.Held() {
		if r, ok := l.Leases.LastReading(name); ok {
			l.handleReading(name, r)
		}
	}
}

func (l *Leader) hasJob(id string) bool {
	_, err := l.Jobs.Status(id)
	return err == nil
}

// HasJob tells whether a job is led here, waits here for its census or ended here.
func (l *Leader) HasJob(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasJob(id)
}

// EndState tells how a job ended that was led here; false if it did not.
func (l *Leader) EndState(id string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Jobs.Ended(id)
}

// ForgetInherited forgets an inherited job that another host leads or that has ended.
func (l *Leader) ForgetInherited(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.Jobs.AwaitsInventory(id) {
		return
	}
	l.stepTakeover(takeover.GoneJob{Job: id})
	l.dropJob(id, false)
}

// AwaitingInventory lists the inherited jobs that wait for their census.
func (l *Leader) AwaitingInventory() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Takeover.Waiting()
}

// LogRead tells that the log of jobs was read to its end by a question that
// was sent at asked.
func (l *Leader) LogRead(asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepTakeover(takeover.LogRead{Asked: asked})
}

func (l *Leader) handleEnd(a job.Ended) {
	l.stepTakeover(takeover.GoneJob{Job: a.ID})
	if l.StoreEnd == nil {
		return
	}
	s, err := l.Jobs.Status(a.ID)
	if err == nil {
		l.StoreEnd(a, s.Ran)
	}
}

// AckEnd tells that a job's end is in the log, so that its tasks may be forgotten.
func (l *Leader) AckEnd(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepJobs(job.EndStored{ID: id})
}

// Leave makes this host take no job any more, before it hands over what it has.
func (l *Leader) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// OpenJobs lists the jobs that are led here and have not ended, without those that
// wait for their census.
func (l *Leader) OpenJobs() []job.Spec {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(l.Jobs.Open(), func(s job.Spec) bool { return l.Jobs.AwaitsInventory(s.ID) })
}

// rereadDelay is how long after a job was given up its workers are read. A list that was asked for
// at the same time may not show what was started last.
const rereadDelay = time.Millisecond

// dropJob keeps in mind the starts of a dropped job that may still land: their
// room stays taken until the worker shows that they did not.
func (l *Leader) dropJob(id string, recall bool) {
	now := l.Clock()
	if c, ok := l.Jobs.Snapshot(id); ok {
		for i, t := range c.Tasks {
			if t.Worker == "" {
				continue
			}
			l.lastDropped[t.Worker] = now
			l.stepLeases(lease.Poll{Worker: t.Worker, After: rereadDelay})
			if t.State == "unsure" || t.State == "stopping" || t.State == "pausing" {
				l.untracked[job.TaskID(id, i)] = untrackedRun{worker: t.Worker, deadline: t.Deadline, since: now}
			}
		}
	}
	l.stepJobs(job.Drop{ID: id, RememberPlaces: recall})
}

// dropAllJobs gives up all jobs when the last worker is lost. Another host may have
// taken this one for dead and completed a census, so every job needs one of
// its own again.
func (l *Leader) dropAllJobs() {
	l.epoch++
	for _, s := range l.Jobs.Open() {
		l.Count("lead.forfeited")
		l.addNote(s.ID, "its lead held no worker any more")
		l.stepTakeover(takeover.GoneJob{Job: s.ID})
		l.dropJob(s.ID, true)
	}
}

func (l *Leader) stepTakeover(ev takeover.Event) {
	for _, a := range l.Takeover.Step(l.Clock(), ev) {
		switch a := a.(type) {
		case takeover.AskPeers:
			if l.RequestInventory != nil {
				l.RequestInventory()
			}
		case takeover.ReleaseJob:
			l.Count("lead.released")
			l.addNote(a.Job, "census complete")
			l.stepJobs(job.Release{ID: a.Job, Crashes: l.crashCounts(a.Job)})
		case takeover.ReleaseKey:
			l.finishCounting(a.Key)
		case takeover.WorkerSilent:
			l.Log.Warn("lead: worker is silent for longer than any lease.", "worker", a.Worker)
			l.Count("lead.silent")
			delete(l.countedElsewhere, a.Worker)
			l.stepJobs(job.WorkerList{Worker: a.Worker, LeasesExpired: true})
		}
	}
}

// watchUnheld tells which workers have tasks of own jobs, or tasks that are counted here, but are not
// held here.
func (l *Leader) watchUnheld() {
	held := l.Leases.Held()
	names := l.Jobs.Workers()
	for name := range l.countedElsewhere {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	names = slices.DeleteFunc(names, func(n string) bool { return slices.Contains(held, n) })
	l.stepTakeover(takeover.WatchWorkers{Workers: names})
}

// reconcile frees the room of tasks that another host's job, or nobody's, took on
// a held worker, and lets the worker forget those whose job has ended.
func (l *Leader) reconcile(name string, r lease.Reading) {
	running := map[string]bool{}
	for _, t := range r.Tasks {
		if t.State == "running" {
			running[t.ID] = true
			l.taskWorkers[t.ID] = name
			continue
		}
		if l.Jobs.HasTask(t.ID) {
			continue
		}
		if l.EndLogged != nil && l.EndLogged(t.Job) {
			l.forgetStart(name, t.Lease)
		}
		l.freeCapacity(t.ID, name)
	}
	for _, id := range slices.Sorted(maps.Keys(l.taskWorkers)) {
		if l.taskWorkers[id] == name && !running[id] {
			l.freeCapacity(id, name)
		}
	}
	for id, lo := range l.untracked {
		if lo.worker == name && (running[id] || r.Sent.After(lo.since) && r.Clock.After(lo.deadline)) {
			delete(l.untracked, id)
			if !running[id] {
				l.freeCapacity(id, name)
			}
		}
	}
}

// freeCapacity gives the room of a task back unless the job core knows the task and
// does it itself, or the task runs on another worker by now.
func (l *Leader) freeCapacity(id, name string) {
	if at, ok := l.taskWorkers[id]; ok && at != name {
		return
	}
	delete(l.taskWorkers, id)
	if !l.Jobs.HasTask(id) {
		l.stepPlacement(place.Freed{Task: id})
	}
}

func (l *Leader) forgetStart(name, start string) {
	if start != "" && !slices.Contains(l.toForget[name], start) {
		l.toForget[name] = append(l.toForget[name], start)
	}
}

// Leads tells whether a job is led here and waits for no census.
func (l *Leader) Leads(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasJob(id) && !l.Jobs.AwaitsInventory(id)
}
