package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pollencroft/internal/access"
	"pollencroft/internal/admission"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
)

// cancelJob stores the cancellation of a job, also if the leader does not know the job: its submission
// may be under way at another host, and nobody would know then that it was cancelled. The leader keeps
// the cancellation until the job comes, or for as long as a submission may take. It ignores the
// cancellation of another organisation's job.
func (h *Host) cancelJob(ctx context.Context, w http.ResponseWriter, k requestKey) {
	id := k.id
	st, known, err := h.finalOrLeaderStatus(ctx, id)
	known = known && err == nil
	switch {
	case known && !access.Owns(k.organisation, st.Organisation), h.ownedByOther(id, k.organisation):
		h.refuse(w, http.StatusGone, id, "no such job")
		return
	case known && st.State.Final():
		reply(w, http.StatusOK, []byte("{}"))
		return
	}
	if !known && !h.acceptedRecently(id) {
		if wait, full := h.early.full(h.now(), h.maxEarlyCancels(), k); full {
			h.incCounter("caller.cancel.full")
			h.refuseFor(w, http.StatusTooManyRequests, id, "too many cancellations of unknown jobs", wait)
			return
		}
	}
	stored := h.inbox.append(ctx, store.Record{Key: k.String(), Value: cancelValue(h.now())})
	missing := !known && !h.acceptedRecently(id)
	if missing && !store.NotDone(stored) {
		h.early.add(h.now(), k)
	}
	h.replyCancelled(w, k, missing && err == nil && !h.submissionUnsure(k), stored)
}

// replyCancelled answers the cancellation of a job, given whether there certainly is no such job yet and
// the result of storing the cancellation.
func (h *Host) replyCancelled(w http.ResponseWriter, k requestKey, missing bool, stored error) {
	switch {
	case store.NotDone(stored):
		h.refuseUnstored(w, k.id, stored)
	case stored != nil:
		h.refuseUnsure(w, k.id, stored)
	case missing:
		h.incCounter("caller.cancel.early")
		h.log.Info("caller: cancelled a job that is not known.", "id", k.id, "organisation", k.organisation, "term", h.currentTerm())
		h.refuse(w, http.StatusGone, k.id, "no such job")
	default:
		h.log.Info("caller: cancelled.", "id", k.id)
		reply(w, http.StatusOK, []byte("{}"))
	}
}

// maxLateAppend is how long the store may take to carry out an append that had no answer.
const maxLateAppend = 15 * time.Second

// submissionUnsure reports whether this host got a submission of the job of which it is not known
// whether it is stored or may still be.
func (h *Host) submissionUnsure(k requestKey) bool {
	k.cancels = false
	return h.inbox.sent.Unresolved(k.String(), maxLateAppend)
}

// cancelValue returns the value of the record of a cancellation: when the caller asked for it.
func cancelValue(at time.Time) []byte { return strconv.AppendInt(nil, at.UnixMilli(), 10) }

// cancelEvent returns the event of a stored cancellation. Older builds did not store its time.
func cancelEvent(k requestKey, value []byte) sched.Cancel {
	c := sched.Cancel{ID: k.id, Organisation: k.organisation}
	if ms, err := strconv.ParseInt(string(value), 10, 64); err == nil && ms > 1 {
		c.At = time.UnixMilli(ms)
	}
	return c
}

// maxEarlyCancels is how many cancellations of unknown jobs the leader and the store hold at most. Each
// host stores its share of them.
const maxEarlyCancels = 20_000

func (h *Host) maxEarlyCancels() int {
	_, hosts := h.rank()
	return max(maxEarlyCancels/hosts, 1)
}

// earlyCancels lists the cancellations of unknown jobs that this host has stored and that the leader
// may still keep. It is safe for concurrent use.
type earlyCancels struct {
	// keep is how long the leader keeps one.
	keep time.Duration

	mu    sync.Mutex
	keys  map[requestKey]bool
	order []storedCancel
}

type storedCancel struct {
	key requestKey
	at  time.Time
}

func newEarlyCancels(keep time.Duration) *earlyCancels {
	return &earlyCancels{keep: keep, keys: map[requestKey]bool{}}
}

// full reports whether another cancellation would exceed a limit, and when there is room again.
func (e *earlyCancels) full(now time.Time, limit int, k requestKey) (wait time.Duration, full bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	if len(e.order) < limit || e.keys[k] {
		return 0, false
	}
	return max(e.order[len(e.order)-limit].at.Add(e.keep).Sub(now), admission.MinRetry), true
}

// add notes that a cancellation is stored, or may be.
func (e *earlyCancels) add(now time.Time, k requestKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.keys[k] {
		e.keys[k] = true
		e.order = append(e.order, storedCancel{k, now})
	}
}

// expire drops what the leader no longer keeps. mu is held.
func (e *earlyCancels) expire(now time.Time) {
	n := 0
	for n < len(e.order) && now.Sub(e.order[n].at) > e.keep {
		delete(e.keys, e.order[n].key)
		n++
	}
	e.order = e.order[n:]
}

// forgetCancel deletes a cancellation of a job that never came from the store.
func (t *term) forgetCancel(c sched.ForgetCancel) {
	key := requestKey{id: c.ID, organisation: c.Organisation, cancels: true}.String()
	t.mu.Lock()
	var parts []int
	keys := t.requestKeys[c.ID]
	for k := range keys {
		if k.key == key {
			parts = append(parts, k.part)
			delete(keys, k)
		}
	}
	if len(keys) == 0 {
		delete(t.requestKeys, c.ID)
	}
	t.mu.Unlock()
	for _, part := range parts {
		call := store.Call{Op: store.Append, Topic: jobsTopic, Part: part, Keyed: true, Records: []store.Record{{Key: key}}}
		if _, err := t.h.store.Do(t.ctx, call); err != nil {
			t.h.log.Warn("lead: cancellation cannot be deleted.", "id", c.ID, "part", part, "err", err)
		}
	}
}
