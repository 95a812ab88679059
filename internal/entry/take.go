package entry

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
)

// acceptRecords takes what callers asked for, as it is stored from offset first on. What
// was taken before is known to the core by its id; what lies between is read by
// poll.
func (t *term) acceptRecords(part int, first int64, records []store.Record) {
	t.mu.Lock()
	if part < len(t.nextOffset) && first <= t.nextOffset[part] {
		t.nextOffset[part] = max(t.nextOffset[part], first+int64(len(records)))
	}
	for _, r := range records {
		t.notePart(part, r)
	}
	t.mu.Unlock()
	for _, r := range records {
		t.acceptRecord(r)
	}
}

// notePart notes where a record lies, so that it can be dropped one day; mu is
// held, or nobody else knows t yet.
func (t *term) notePart(part int, r store.Record) {
	if len(r.Value) == 0 {
		return
	}
	id, _ := strings.CutSuffix(r.Key, cancelMark)
	if t.jobParts[id] == nil {
		t.jobParts[id] = map[int]bool{}
	}
	t.jobParts[id][part] = true
}

func (t *term) acceptRecord(r store.Record) {
	if id, ok := strings.CutSuffix(r.Key, cancelMark); ok {
		if len(r.Value) > 0 {
			t.step(sched.Cancel{ID: id})
		}
		return
	}
	if len(r.Value) == 0 {
		return
	}
	var spec flow.Spec
	if err := json.Unmarshal(r.Value, &spec); err != nil {
		t.h.log.Error("lead: job cannot be read.", "id", r.Key, "err", err)
		t.mu.Lock()
		t.unreadable[r.Key] = true
		t.mu.Unlock()
		return
	}
	t.step(sched.Submit{Spec: spec})
}

// pollPeriodically reads what no host told of, all partitions every pollAll, and the first time
// soon: hosts went on storing while this one took over.
func (t *term) pollPeriodically() {
	for pause := firstPollDelay; sleep(t.ctx, pause); pause = pollInterval {
		began := t.h.now()
		g, ctx := errgroup.WithContext(t.ctx)
		g.SetLimit(maxConcurrentPolls)
		for part := range t.nextOffset {
			g.Go(func() error { return t.pollPart(ctx, part) })
		}
		if err := g.Wait(); err != nil {
			t.h.log.Warn("lead: jobs cannot be read.", "err", err)
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

// reread takes all jobs of a partition again after old records were deleted.
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
