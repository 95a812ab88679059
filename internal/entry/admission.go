package entry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/admission"
	"pollencroft/internal/attempts"
	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

// snapshotInterval is how old the snapshot of the load may be that the leader reports: counting what
// waits checks each open job, and every host asks for it once a second.
const snapshotInterval = 500 * time.Millisecond

// load returns the load because of which hosts may reject jobs; nil if no organisation has a rate.
func (t *term) load() *admission.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.h.now()
	if now.Sub(t.snapshotAt) >= snapshotInterval {
		t.snapshot, t.snapshotAt = t.core.Load(now), now
		if t.snapshot != nil {
			t.h.observeLoad(t.snapshot)
		}
	}
	if t.snapshot == nil {
		return nil
	}
	s := *t.snapshot
	s.Age = cell.Duration{Duration: now.Sub(t.snapshotAt)}
	return &s
}

// observeLoad updates the histograms of expected waits, which are kept by rank like those of steps.
func (h *Host) observeLoad(s *admission.Snapshot) {
	for _, q := range s.Queues {
		h.observe(fmt.Sprintf("queue.expected.rank%d", q.Rank), q.Wait)
	}
}

// noteLoad keeps the leader's load from the reply to a sync that was sent at the given time. mu is
// held.
func (h *Host) noteLoad(r peer.SyncReply, sent time.Time) {
	h.jobMemory = r.Memory
	h.load = admission.View{Snapshot: r.Load}
	if r.Load != nil {
		h.load.At = sent.Add(-r.Load.Age.Duration)
	}
}

// memory estimates the memory that the jobs take.
func (t *term) memory() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Memory(t.h.now())
}

// sentMemory is the memory of the jobs that a host has sent to the store lately: in the current period,
// and in the one before.
type sentMemory struct {
	current, previous int64
	since             time.Time
}

// sentPeriod is longer than the leader takes to count a job and to report it.
const sentPeriod = 1500 * time.Millisecond

// recent returns the memory of the jobs that were sent in the last period or two.
func (m *sentMemory) recent(now time.Time) int64 {
	switch age := now.Sub(m.since); {
	case age >= 2*sentPeriod:
		*m = sentMemory{since: now}
	case age >= sentPeriod:
		*m = sentMemory{previous: m.current, since: now}
	}
	return m.current + m.previous
}

// reserveMemory returns an admission.MemoryError if the leader has no memory for a job. Hosts learn once a
// second how much is taken, and assume that all of them have sent as many jobs since as this one.
func (h *Host) reserveMemory(spec flow.Spec) error {
	held := int64(0)
	now := h.now()
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	if t != nil {
		held = t.memory()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	recent := h.sentMemory.recent(now)
	if t == nil {
		held, recent = h.jobMemory, recent*int64(max(len(h.hosts), 1))
	}
	err := admission.CheckMemory(spec, held+recent, h.cfg.jobMemory())
	if err == nil {
		h.sentMemory.current += spec.Memory()
	}
	return err
}

// mayBeStored reports whether this host knows that a job is stored, or does not know it of an earlier
// request for it.
func (h *Host) mayBeStored(k requestKey) bool {
	return h.acceptedRecently(k.id) || h.inbox.sent.Known(k.String()) != attempts.NotDone
}

// checkLoad returns an admission.OverloadError if a job certainly cannot end in time, or an
// admission.MemoryError if the leader has no memory for it, and it is certainly not there yet: an
// earlier request for it may have been stored without an answer, and the job may have run. While the store does not answer, callers are rejected for that reason, and return
// by the age of the outage.
func (h *Host) checkLoad(ctx context.Context, k requestKey, spec flow.Spec) error {
	if h.mayBeStored(k) || !h.store.AnsweredWithin(storeFreshness) {
		return nil
	}
	full := h.reserveMemory(spec)
	err := cmp.Or(full, h.loadView().Check(h.now(), spec))
	if err == nil {
		return nil
	}
	_, known, failed := h.finalOrLeaderStatus(ctx, spec.ID)
	switch {
	case known:
		return nil
	case failed != nil && full != nil:
		return &store.UnansweredError{Op: store.Append, Cause: failed}
	case failed != nil:
		return nil
	}
	return err
}

// loadView returns the newest load that this host knows of.
func (h *Host) loadView() admission.View {
	h.mu.Lock()
	view, t := h.load, h.ownTerm
	view.Term, view.Hosts = h.term, len(h.hosts)
	h.mu.Unlock()
	if t == nil {
		return view
	}
	if view.Snapshot, view.Term = t.load(), t.number; view.Snapshot != nil {
		view.At = h.now().Add(-view.Age.Duration)
	}
	return view
}

// refuseOverload answers a request for a job that checkLoad rejected. Nothing of it was stored.
func (h *Host) refuseOverload(w http.ResponseWriter, id string, err error) {
	var over *admission.OverloadError
	var full *admission.MemoryError
	switch {
	case errors.As(err, &over):
		h.incCounter("caller.rejected.overload")
		h.refuseFor(w, http.StatusTooManyRequests, id, err.Error(), over.RetryAfter,
			"expected", over.Expected, "age", over.Age, "term", over.Term)
	case errors.As(err, &full):
		h.incCounter("caller.rejected.memory")
		h.refuseFor(w, http.StatusTooManyRequests, id, err.Error(), admission.MinRetry,
			"needed", full.Needed, "held", full.Held, "limit", full.Limit, "term", h.currentTerm())
	default:
		h.refuseUnsure(w, id, err)
	}
}

// refuseUnstored answers a request that was not stored.
func (h *Host) refuseUnstored(w http.ResponseWriter, id string, err error) {
	h.incCounter("caller.rejected.store")
	age := h.storeSilence()
	h.refuseFor(w, http.StatusServiceUnavailable, id, "not stored: "+err.Error(), admission.OutageRetry(age, id),
		"outage", age)
}

// refuseUnsure answers a request of which it is not known whether it is stored.
func (h *Host) refuseUnsure(w http.ResponseWriter, id string, err error) {
	h.refuseFor(w, http.StatusGatewayTimeout, id, "not known whether it is stored", admission.OutageRetry(h.storeSilence(), id), "err", err)
}

// storeSilence returns for how long the store has not answered this host; zero if it never has.
func (h *Host) storeSilence() time.Duration {
	last := h.store.LastAnswer()
	if last.IsZero() {
		return 0
	}
	return h.now().Sub(last)
}
