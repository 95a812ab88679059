// Package takeover decides when the jobs of a former leader may resume. None of their tasks is
// started before an inventory of the failure domain is complete: every worker that the former
// leader could have held is held and read by this host, reported by the live host that holds it, or
// has been silent for longer than the longest lease.
package takeover

import (
	"maps"
	"slices"
	"time"
)

// Limits are the times of an inventory.
type Limits struct {
	// LongestLease is the longest lease of a task: a worker that was silent for that long runs
	// nothing that a former leader started.
	LongestLease time.Duration
	// AskInterval is how often the peers are asked while an inventory is incomplete or a worker is
	// watched.
	AskInterval time.Duration
}

type worker struct {
	held bool
	// listIncomplete is set while the last list of a held worker may lack starts of this host.
	listIncomplete bool
	// lastContact is when the worker was last heard of, or when it was first known.
	lastContact time.Time
	// reportedAt is when the request was sent to which the live host that holds the worker
	// answered.
	reportedAt time.Time
}

// Takeover is the takeover state machine of one host.
type Takeover struct {
	limits  Limits
	self    string
	workers map[string]*worker
	// peers holds when the last request that each live peer answered was sent.
	peers map[string]time.Time
	// jobs holds since when each found job waits. Only what was learned later counts for it.
	jobs map[string]time.Time
	// keys holds the same for the keys.
	keys      map[string]time.Time
	watched   map[string]time.Time
	logRead   time.Time
	lastAsked time.Time
}

// New returns the state machine of the host with the name self. It knows no worker.
func New(self string, limits Limits) *Takeover {
	return &Takeover{
		limits: limits, self: self, workers: map[string]*worker{}, peers: map[string]time.Time{},
		jobs: map[string]time.Time{}, keys: map[string]time.Time{}, watched: map[string]time.Time{},
	}
}

// Step applies one event and returns the jobs and keys that may proceed and the requests to send.
func (t *Takeover) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case SetWorkers:
		t.setWorkers(now, ev.Names)
	case SetPeers:
		t.setPeers(now, ev.Names)
	case FoundJob, GoneJob, AddKey, RemoveKey:
		t.updateWaiting(now, ev)
	case WatchWorkers:
		t.setWatch(now, ev.Workers)
	case WorkerHeld:
		t.recordContact(now, ev.Worker, true)
	case WorkerLost:
		t.workerLost(now, ev.Worker)
	case ListIncomplete:
		t.setListIncomplete(ev.Worker, true)
	case ListComplete:
		t.setListIncomplete(ev.Worker, false)
	case WorkerContact:
		t.recordContact(now, ev.Worker, false)
	case LogRead:
		t.logRead = later(t.logRead, ev.Asked)
	case PeerAnswer:
		t.answer(now, ev)
	case PeerAsked:
		t.yield(now, ev.Host, ev.Jobs)
	case Tick:
	}
	return append(t.releaseComplete(now), t.due(now)...)
}

// updateWaiting adds or removes a job or a key that waits for an inventory.
func (t *Takeover) updateWaiting(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case FoundJob:
		if _, ok := t.jobs[ev.Job]; !ok {
			t.jobs[ev.Job] = now
		}
	case GoneJob:
		delete(t.jobs, ev.Job)
	case AddKey:
		t.keys[ev.Key] = now
	case RemoveKey:
		delete(t.keys, ev.Key)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (t *Takeover) setWorkers(now time.Time, names []string) {
	for _, name := range names {
		if t.workers[name] == nil {
			t.workers[name] = &worker{lastContact: now}
		}
	}
	for name := range t.workers {
		if !slices.Contains(names, name) {
			delete(t.workers, name)
		}
	}
}

// setPeers replaces the live peers and restarts every inventory when a host is gone, since that
// host may have held workers and led jobs after it was last asked. A host that joins counts as not
// yet asked.
func (t *Takeover) setPeers(now time.Time, names []string) {
	for name := range t.peers {
		if !slices.Contains(names, name) {
			delete(t.peers, name)
			t.restartAll(now)
		}
	}
	for _, name := range names {
		if _, ok := t.peers[name]; !ok {
			t.peers[name] = time.Time{}
		}
	}
}

func (t *Takeover) restartAll(now time.Time) {
	for id := range t.jobs {
		t.jobs[id] = now
	}
	for key := range t.keys {
		t.keys[key] = now
	}
}

func (t *Takeover) setWatch(now time.Time, names []string) {
	for _, name := range names {
		if _, ok := t.watched[name]; !ok {
			t.watched[name] = now
		}
	}
	for name := range t.watched {
		if !slices.Contains(names, name) {
			delete(t.watched, name)
		}
	}
}

func (t *Takeover) recordContact(now time.Time, name string, held bool) {
	if w, ok := t.workers[name]; ok {
		w.lastContact = now
		w.held = w.held || held
	}
}

func (t *Takeover) setListIncomplete(name string, incomplete bool) {
	if w, ok := t.workers[name]; ok {
		w.listIncomplete = incomplete
	}
}

// workerLost restarts every inventory. A host that was paused for so long that it lost a worker
// must not go on with answers from before the pause: another host may have completed its own
// inventory and started the job since then.
func (t *Takeover) workerLost(now time.Time, name string) {
	if w, ok := t.workers[name]; ok && w.held {
		w.held, w.lastContact = false, now
		t.restartAll(now)
	}
}

func (t *Takeover) answer(now time.Time, ev PeerAnswer) {
	if _, ok := t.peers[ev.Host]; !ok {
		return
	}
	t.peers[ev.Host] = later(t.peers[ev.Host], ev.Asked)
	for _, name := range ev.Workers {
		if w, ok := t.workers[name]; ok {
			w.reportedAt = later(w.reportedAt, ev.Asked)
			w.lastContact = now
		}
	}
	t.restartJobs(now, ev.Leads)
	t.yield(now, ev.Host, ev.Waits)
}

// yield leaves jobs to a peer that is taking them over too and whose name sorts first. Two hosts
// that disagree about which hosts are live may both inherit a job; if both completed their
// inventory, its tasks would run twice. The host that yields needs another answer of that peer,
// which by then leads the job or has given it up.
func (t *Takeover) yield(now time.Time, host string, ids []string) {
	if host < t.self {
		t.restartJobs(now, ids)
	}
}

// restartJobs restarts the inventory of some jobs.
func (t *Takeover) restartJobs(now time.Time, ids []string) {
	for _, id := range ids {
		if _, ok := t.jobs[id]; ok {
			t.jobs[id] = now
		}
	}
}

// releaseComplete releases the jobs and keys whose inventory is complete. A host that holds no
// worker releases nothing, because it has no way to notice that others have declared it dead.
func (t *Takeover) releaseComplete(now time.Time) []Action {
	var acts []Action
	if !t.holdsAnyWorker() {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		if t.Missing(now, id) == "" {
			delete(t.jobs, id)
			acts = append(acts, ReleaseJob{Job: id})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(t.keys)) {
		if t.missingSince(now, t.keys[key]) == "" {
			delete(t.keys, key)
			acts = append(acts, ReleaseKey{Key: key})
		}
	}
	return acts
}

func (t *Takeover) holdsAnyWorker() bool {
	for _, w := range t.workers {
		if w.held {
			return true
		}
	}
	return false
}

// Missing returns what the inventory of a job still waits for: the log, or the name of a peer or
// worker. It returns an empty string if nothing is missing.
func (t *Takeover) Missing(now time.Time, id string) string {
	since := t.jobs[id]
	if !t.logRead.After(since) {
		return "log"
	}
	return t.missingSince(now, since)
}

// missingSince returns a peer or worker whose state after since is still unknown; empty if there is
// none.
func (t *Takeover) missingSince(now, since time.Time) string {
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		if !t.peers[name].After(since) {
			return name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.workers)) {
		w := t.workers[name]
		if w.held && w.listIncomplete {
			return name
		}
		if !w.held && !w.reportedAt.After(since) && now.Sub(later(w.lastContact, since)) <= t.limits.LongestLease {
			return name
		}
	}
	return ""
}

// Waiting lists the found jobs whose inventory is incomplete.
func (t *Takeover) Waiting() []string { return slices.Sorted(maps.Keys(t.jobs)) }

// LeasesExpired reports whether a worker was silent for longer than any lease, both to this host
// and to the peers that answered.
func (t *Takeover) LeasesExpired(now time.Time, name string) bool {
	w, ok := t.workers[name]
	return ok && !w.held && now.Sub(w.lastContact) > t.limits.LongestLease
}

func (t *Takeover) due(now time.Time) []Action {
	var acts []Action
	for _, name := range slices.Sorted(maps.Keys(t.watched)) {
		if t.isSilent(now, name) {
			t.watched[name] = now
			acts = append(acts, WorkerSilent{Worker: name})
		}
	}
	if len(t.jobs)+len(t.keys)+len(t.watched) > 0 && now.Sub(t.lastAsked) >= t.limits.AskInterval {
		t.lastAsked = now
		acts = append(acts, AskPeers{})
	}
	return acts
}

// isSilent reports whether a watched worker was silent for longer than any lease, both to this host
// and to the live peers that were asked since.
func (t *Takeover) isSilent(now time.Time, name string) bool {
	since := t.watched[name]
	if w, ok := t.workers[name]; ok {
		since = later(since, w.lastContact)
	}
	return now.Sub(since) > t.limits.LongestLease
}
