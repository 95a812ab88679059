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

// NoWorkerError reports that this host holds no worker, or lost all of them in the meantime, and
// therefore must not decide anything about a job.
type NoWorkerError struct{}

func (e *NoWorkerError) Error() string { return "no worker is held here" }

// LeavingError reports that this host is handing over its jobs and accepts none.
type LeavingError struct{}

func (e *LeavingError) Error() string { return "host is leaving" }

// Epoch returns a number that grows each time this host loses its last worker, or zero while it
// holds none. As long as the number stays the same, no other host can have completed an inventory
// without asking this one, so what this host knows of its jobs is valid.
func (l *Leader) Epoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentEpoch()
}

// currentEpoch first handles leases that expired during a pause.
func (l *Leader) currentEpoch() int64 {
	l.stepLeases(lease.Tick{})
	if len(l.Leases.Held()) == 0 {
		return 0
	}
	return l.epoch
}

// SetDomain sets the workers of the failure domain and its live peers.
func (l *Leader) SetDomain(workers, peers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLeases(lease.DomainWorkers{Workers: workers})
	l.stepTakeover(takeover.SetWorkers{Names: workers})
	l.stepTakeover(takeover.SetPeers{Names: peers})
}

// Inherit takes over jobs whose leader is gone. Tasks that are found running continue, but nothing
// new is started before the inventory for the job is complete.
func (l *Leader) Inherit(specs []job.Spec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := false
	for _, s := range specs {
		if l.leaving || l.hasJob(s.ID) {
			continue
		}
		added = true
		l.Count("lead.inherited")
		l.addNote(s.ID, "inherited, waits for the census")
		l.stepJobs(job.Inherit{Spec: s})
		l.stepTakeover(takeover.FoundJob{Job: s.ID})
	}
	if added {
		l.replayReadings()
	}
}

// replayReadings passes the last lists of all held workers to the job state machine again, because
// they may contain tasks of a job that was just added.
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

// HasJob reports whether a job is led here, waits here for its inventory, or ended here.
func (l *Leader) HasJob(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasJob(id)
}

// EndState returns how a job that was led here ended. It returns false if the job has not ended
// here.
func (l *Leader) EndState(id string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Jobs.Ended(id)
}

// ForgetInherited drops an inherited job that another host leads or that has ended.
func (l *Leader) ForgetInherited(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.Jobs.AwaitsInventory(id) {
		return
	}
	l.stepTakeover(takeover.GoneJob{Job: id})
	l.dropJob(id, false)
}

// AwaitingInventory lists the inherited jobs that wait for their inventory.
func (l *Leader) AwaitingInventory() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Takeover.Waiting()
}

// LogRead reports that the job log was read to its end by a request sent at asked.
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

// AckEnd reports that the end of a job is in the log, so that its tasks may be forgotten.
func (l *Leader) AckEnd(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepJobs(job.EndStored{ID: id})
}

// Leave makes this host refuse new jobs. It is called before its jobs are handed over.
func (l *Leader) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// OpenJobs lists the jobs that are led here and have not ended, except those that wait for their
// inventory.
func (l *Leader) OpenJobs() []job.Spec {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(l.Jobs.Open(), func(s job.Spec) bool { return l.Jobs.AwaitsInventory(s.ID) })
}

// rereadDelay is the delay between dropping a job and reading its workers again. A list requested
// at the same instant might not show the most recent start.
const rereadDelay = time.Millisecond

// dropJob stops leading a job. The capacity of its tasks stays taken until their workers show that
// they do not run.
func (l *Leader) dropJob(id string, rememberPlaces bool) {
	now, held := l.Clock(), l.Leases.Held()
	if c, ok := l.Jobs.Snapshot(id); ok {
		for i, t := range c.Tasks {
			if t.Worker == "" {
				continue
			}
			l.stepLeases(lease.Poll{Worker: t.Worker, After: rereadDelay})
			run := untrackedRun{worker: t.Worker, since: now}
			switch t.State {
			case "unsure", "stopping", "pausing":
				run.deadline = t.Deadline
			case "running":
				// A worker that is not held is read anew before it is led again.
				if !slices.Contains(held, t.Worker) {
					continue
				}
			default:
				continue
			}
			l.untracked[job.TaskID(id, i)] = run
			l.stepTakeover(takeover.ListIncomplete{Worker: t.Worker})
		}
	}
	l.stepJobs(job.Drop{ID: id, RememberPlaces: rememberPlaces})
}

// dropAllJobs drops all jobs when the last worker is lost. Another host may have considered this
// one dead and completed an inventory, so each job needs a new inventory before this host may lead
// it again.
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

// watchUnheld reports to the takeover state machine which workers have tasks of jobs led here, or
// counted tasks, but are not held here.
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

// reconcile frees the capacity of tasks on a held worker that are no longer running and that the
// job state machine does not track there, and lets the worker forget those whose jobs have ended.
func (l *Leader) reconcile(name string, r lease.Reading) {
	states := map[string]string{}
	for _, t := range r.Tasks {
		states[t.ID] = t.State
		switch {
		case t.State == "running":
			l.taskWorkers[t.ID] = name
		case !l.Jobs.HasTask(t.ID):
			if l.EndLogged != nil && l.EndLogged(t.Job) {
				l.forgetStart(name, t.Lease)
			}
		}
	}
	var gone []string
	for id, run := range l.untracked {
		if run.worker == name && run.settledBy(r, states[id]) {
			delete(l.untracked, id)
			gone = append(gone, id)
		}
	}
	gone = slices.AppendSeq(gone, maps.Keys(states))
	for id, worker := range l.taskWorkers {
		if worker == name {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range slices.Compact(gone) {
		if states[id] != "running" && l.untracked[id].worker != name {
			l.freeCapacity(id, name)
		}
	}
}

// freeCapacity releases the capacity that a task has on a worker, unless the job state machine
// tracks the task there and releases the capacity itself.
func (l *Leader) freeCapacity(id, name string) {
	if l.taskWorkers[id] == name {
		delete(l.taskWorkers, id)
	}
	if !l.Jobs.IsOn(id, name) {
		l.stepPlacement(place.Vacated{Task: id, Worker: name})
	}
}

func (l *Leader) forgetStart(name, start string) {
	if start != "" && !slices.Contains(l.toForget[name], start) {
		l.toForget[name] = append(l.toForget[name], start)
	}
}

// Leads reports whether a job is led here and does not wait for an inventory.
func (l *Leader) Leads(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasJob(id) && !l.Jobs.AwaitsInventory(id)
}
