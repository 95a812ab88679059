package entry

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
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
		clear(t.workers)
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

// applyWorkers applies changed worker entries. An entry that cannot be decoded is ignored. If an
// earlier entry of the worker was valid, the worker has no capacity until its entry is valid
// again, and what it runs continues.
func (t *term) applyWorkers(all []store.Record) {
	for _, r := range all {
		if len(r.Value) == 0 {
			delete(t.workers, r.Key)
			continue
		}
		w, err := platform.ParseWorker(r.Key, r.Value)
		if err != nil {
			t.h.log.Info("servers: entry passed over.", "id", r.Key, "offset", r.Offset, "err", err)
			if !w.Addr.IsValid() {
				w = t.workers[r.Key]
				w.Size = cell.Size{}
			}
		}
		if w.Addr.IsValid() {
			w.Version = r.Offset
			t.workers[r.Key] = w
		}
	}
	ev, domains := sched.Workers{}, make(map[string]string, len(t.workers))
	for _, id := range slices.Sorted(maps.Keys(t.workers)) {
		ev.All = append(ev.All, t.workers[id])
		domains[id] = t.workers[id].Domain
	}
	t.dispatcher.SetWorkers(domains)
	t.step(ev)
}
