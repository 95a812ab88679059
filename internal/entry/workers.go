package entry

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/incarnation"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
	"pollencroft/platform"
)

// followWorkers follows the worker entries in the store.
func (t *term) followWorkers() {
	for t.ctx.Err() == nil {
		all, from, err := store.ReadLatest(t.ctx, t.h.store, platform.ServersTopic, 0)
		if err != nil {
			sleep(t.ctx, followRetry)
			continue
		}
		clear(t.workers.byID)
		t.applyWorkers(all)
		t.followWorkersFrom(from)
	}
}

func (t *term) followWorkersFrom(from int64) {
	for sleep(t.ctx, workersInterval) {
		a, err := t.h.store.Do(t.ctx, store.Call{Op: store.Read, Topic: platform.ServersTopic, From: from})
		var trimmed *store.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			return
		case err != nil:
			continue
		}
		from += int64(len(a.Records))
		if len(a.Records) > 0 {
			t.applyWorkers(a.Records)
		}
	}
}

// applyWorkers applies changed worker entries.
func (t *term) applyWorkers(all []store.Record) {
	t.h.mu.Lock()
	table := t.h.table
	t.h.mu.Unlock()
	for _, r := range all {
		err := t.workers.apply(r)
		if err == nil && table != nil {
			err = checkService(t.workers.byID[r.Key], table)
		}
		if err != nil && t.workers.mayLog(r) {
			t.h.log.Info("servers: entry passed over.", "id", r.Key, "offset", r.Offset, "term", t.number, "err", err)
		}
	}
	ev, domains := sched.Workers{}, make(map[string]string, len(t.workers.byID))
	for _, id := range slices.Sorted(maps.Keys(t.workers.byID)) {
		w := t.workers.byID[id]
		ev.All = append(ev.All, w)
		domains[w.Incarnation] = w.Domain
	}
	t.dispatcher.SetWorkers(domains)
	t.step(ev)
}

// UnknownServiceError means that an entry has a service of which the table has no queue. No task
// starts on its worker.
type UnknownServiceError struct{ ID, Service string }

func (e *UnknownServiceError) Error() string {
	return "worker " + e.ID + " has service " + strconv.Quote(e.Service) + ", which the table does not name"
}

func checkService(w sched.Worker, table *platform.Table) error {
	if !w.Addr.IsValid() || slices.ContainsFunc(table.Routes, func(r platform.Route) bool { return r.Queue.Service == w.Service }) {
		return nil
	}
	return &UnknownServiceError{ID: w.Incarnation, Service: w.Service}
}

// maxLoggedEntries bounds how many entries of other writers are logged in one term.
const maxLoggedEntries = 1000

// entries are the workers in the store's list.
type entries struct {
	byID map[string]sched.Worker
	// logged holds the offset of the last entry that was logged, by key. Entries are read again
	// after a failed call.
	logged map[string]int64
}

func newEntries() entries {
	return entries{byID: map[string]sched.Worker{}, logged: map[string]int64{}}
}

// OutdatedEntryError means that an entry is about an incarnation before the one that is known.
type OutdatedEntryError struct{ Incarnation, Known string }

func (e *OutdatedEntryError) Error() string {
	return "entry of " + e.Incarnation + " is older than that of " + e.Known
}

// apply applies one entry. An entry that does not name a usable worker is passed over and the reason
// returned. If an earlier entry of the worker was valid, the worker has no capacity until its entry
// is valid again, and what it runs continues.
func (e *entries) apply(r store.Record) error {
	if len(r.Value) == 0 {
		delete(e.byID, r.Key)
		return nil
	}
	w, err := platform.ParseWorker(r.Key, r.Value)
	known, ok := e.byID[r.Key]
	if ok && w.Addr.IsValid() {
		name, current := incarnation.Parse(w.Incarnation), incarnation.Parse(known.Incarnation)
		switch {
		case !current.Replaces(name):
		case name.HasBorn:
			return &OutdatedEntryError{Incarnation: w.Incarnation, Known: known.Incarnation}
		default:
			// Which incarnation the entry is about is not known.
			w, err = sched.Worker{}, &platform.EntryError{ID: r.Key, Reason: "no start of the worker, which an earlier entry had"}
		}
	}
	if !w.Addr.IsValid() {
		if !ok {
			return err
		}
		w = known
		w.Size = cell.Size{}
	}
	w.Version = r.Offset
	e.byID[r.Key] = w
	return err
}

// mayLog reports whether an entry that was passed over is to be logged: each change once.
func (e *entries) mayLog(r store.Record) bool {
	at, ok := e.logged[r.Key]
	if ok && at == r.Offset || !ok && len(e.logged) >= maxLoggedEntries {
		return false
	}
	e.logged[r.Key] = r.Offset
	return true
}
