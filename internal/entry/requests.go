package entry

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
)

// acceptRecords accepts the requests of callers that are stored in a partition from offset first
// on. The scheduler core recognises jobs that were accepted before by their ids. Records in
// between are read by pollPeriodically.
func (t *term) acceptRecords(part int, first int64, records []store.Record) {
	t.mu.Lock()
	if part < len(t.nextOffset) && first <= t.nextOffset[part] {
		t.nextOffset[part] = max(t.nextOffset[part], first+int64(len(records)))
	}
	for _, r := range records {
		t.noteRequest(part, r)
	}
	t.mu.Unlock()
	for _, r := range records {
		t.acceptRecord(r)
	}
}

// partKey is a key in a partition of jobsTopic.
type partKey struct {
	part int
	key  string
}

// noteRequest records where a record is stored, so that it can be deleted later. mu is held, or t is
// not shared yet.
func (t *term) noteRequest(part int, r store.Record) {
	if len(r.Value) == 0 {
		return
	}
	id := parseRequestKey(r.Key).id
	if t.requestKeys[id] == nil {
		t.requestKeys[id] = map[partKey]bool{}
	}
	t.requestKeys[id][partKey{part, r.Key}] = true
}

func (t *term) acceptRecord(r store.Record) {
	if len(r.Value) == 0 {
		return
	}
	if k := parseRequestKey(r.Key); k.cancels {
		t.step(cancelEvent(k, r.Value))
		return
	}
	var spec flow.Spec
	if err := json.Unmarshal(r.Value, &spec); err != nil {
		t.h.log.Error("lead: job cannot be decoded.", "id", r.Key, "err", err)
		t.mu.Lock()
		t.unreadable[r.Key] = true
		t.mu.Unlock()
		return
	}
	t.step(sched.Submit{Spec: spec})
}

// pollPeriodically reads the records that no host has notified the leader of, from all
// partitions, every pollInterval. The first poll comes soon, because hosts continued to store
// jobs while this one took over.
func (t *term) pollPeriodically() {
	for pause := firstPollDelay; sleep(t.ctx, pause); pause = pollInterval {
		began := t.h.uptime.Now()
		g, ctx := errgroup.WithContext(t.ctx)
		g.SetLimit(maxConcurrentPolls)
		for part := range t.nextOffset {
			g.Go(func() error { return t.pollPart(ctx, part) })
		}
		if err := g.Wait(); err != nil {
			t.h.log.Warn("lead: jobs cannot be read from the store.", "err", err)
			continue
		}
		t.mu.Lock()
		t.lastPoll = began
		t.mu.Unlock()
	}
}

func (t *term) pollPart(ctx context.Context, part int) error {
	t.mu.Lock()
	from := t.nextOffset[part]
	t.mu.Unlock()
	a, err := t.h.store.Do(ctx, store.Call{Op: store.Read, Topic: jobsTopic, Part: part, From: from})
	var trimmed *store.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return t.reread(ctx, part)
	case err != nil:
		return err
	}
	if len(a.Records) > 0 {
		t.acceptRecords(part, from, a.Records)
	}
	return nil
}

// reread reads all jobs of a partition again after old records were deleted.
func (t *term) reread(ctx context.Context, part int) error {
	all, from, err := store.ReadLatest(ctx, t.h.store, jobsTopic, part)
	if err != nil {
		return err
	}
	t.acceptRecords(part, from, all)
	t.mu.Lock()
	t.nextOffset[part] = max(t.nextOffset[part], from)
	t.mu.Unlock()
	return nil
}
