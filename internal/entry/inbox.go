package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

// jobsTopic holds what callers asked for: specs of jobs under their ids, and
// cancellations under the id with cancelMark. Each host appends to a partition
// of its own as far as there are enough: a partition takes one append at a time,
// and when the store is slow the hosts would wait for each other.
const (
	jobsTopic  = "jobs"
	cancelMark = "!"
)

// inbox stores what callers hand in, many in one append while one is under way.
type inbox struct {
	h *Host
	// parts are where it may append, its own partition first.
	parts []int
	queue chan appendRequest
}

type appendRequest struct {
	ctx    context.Context
	record store.Record
	done   chan error
}

const (
	// maxQueuedRequests is how many may wait for the next append; more are turned away.
	maxQueuedRequests = 512
	// maxAppendBytes keeps one append below the store's bound on a call.
	maxAppendBytes = 1 << 20
	// storeFreshness is how long ago the store may have answered when a job is sent to
	// it: two of the host's own calls have failed by then.
	storeFreshness = 900 * time.Millisecond
	// unansweredRetry is the pause before an append without an answer is repeated.
	unansweredRetry = 60 * time.Millisecond
)

func newInbox(h *Host) *inbox {
	own := int(xxhash.Sum64String(h.cfg.Name) % uint64(h.cfg.Parts))
	return &inbox{h: h, parts: partsFrom(own, h.cfg.Parts), queue: make(chan appendRequest, maxQueuedRequests)}
}

// append stores a record. After a store.RefusedError it is certain that it is not
// stored and never will be; after another error nobody knows.
func (b *inbox) append(ctx context.Context, r store.Record) error {
	if !b.h.store.Fresh(storeFreshness) {
		// What is sent into a cut has no answer, and its caller could only be told
		// that nobody knows. What is not sent is certainly not stored.
		return &store.RefusedError{Op: store.Append, Reason: "the store has not answered for a while"}
	}
	a := appendRequest{ctx: ctx, record: r, done: make(chan error, 1)}
	select {
	case b.queue <- a:
	default:
		return &store.RefusedError{Op: store.Append, Reason: "too many wait"}
	}
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return &store.UnansweredError{Op: store.Append, Cause: ctx.Err()}
	}
}

func (b *inbox) run() {
	for {
		select {
		case <-b.h.ctx.Done():
			return
		case a := <-b.queue:
			b.appendBatch(b.batch(a))
		}
	}
}

func (b *inbox) batch(first appendRequest) []appendRequest {
	all := []appendRequest{first}
	size := len(first.record.Value)
	for size < maxAppendBytes {
		select {
		case a := <-b.queue:
			all = append(all, a)
			size += len(a.record.Value)
		default:
			return all
		}
	}
	return all
}

// appendBatch appends until there is an answer or nobody waits any more, at another
// partition if the host's own one is down. An append that is repeated says the same
// under the same keys.
func (b *inbox) appendBatch(all []appendRequest) {
	records := make([]store.Record, len(all))
	for i, a := range all {
		records[i] = a.record
	}
	parts := slices.Clone(b.parts)
	unsure := false
	for {
		first, _, got, err := spread(b.h.ctx, &b.h.wg, len(parts), b.h.appendTimeout(), func(i int) (store.Answer, error) {
			return b.h.store.Do(b.h.ctx, store.Call{Op: store.Append, Topic: jobsTopic, Part: parts[i], Keyed: true, Records: records})
		})
		if err == nil {
			b.h.notifyLeader(parts[first], got.Offset, records)
			b.parts[0], b.parts[first] = b.parts[first], b.parts[0]
			finish(all, nil)
			return
		}
		if store.NotDone(err) && !unsure {
			finish(all, err)
			return
		}
		unsure = true
		if b.h.ctx.Err() != nil || !anyWaiting(all) {
			finish(all, &store.UnansweredError{Op: store.Append, Cause: err})
			return
		}
		sleep(b.h.ctx, unansweredRetry)
	}
}

func finish(all []appendRequest, err error) {
	for _, a := range all {
		a.done <- err
	}
}

func anyWaiting(all []appendRequest) bool {
	for _, a := range all {
		if a.ctx.Err() == nil {
			return true
		}
	}
	return false
}

const (
	// notifyTries is how often a lead is told of what is stored, handAgain the pause
	// between: until another one has taken over and looks for itself.
	notifyTries    = 12
	notifyInterval = 150 * time.Millisecond
)

// notifyLeader tells the lead what is stored, so that it need not look. Whoever leads next
// is told if it is not the lead any more: a job that is stored while the lead
// changes would wait for the new one's next look through all partitions.
func (h *Host) notifyLeader(part int, first int64, records []store.Record) {
	h.wg.Go(func() {
		for range notifyTries {
			if h.notifyCurrentLeader(part, first, records) || !sleep(h.ctx, notifyInterval) {
				return
			}
		}
		h.log.Warn("inbox: no lead was told.", "part", part, "first", first, "records", len(records))
	})
}

// notifyCurrentLeader tells whoever leads now; false if that host did not take it as the lead.
func (h *Host) notifyCurrentLeader(part int, first int64, records []store.Record) bool {
	h.mu.Lock()
	leader, t := h.leader, h.ownTerm
	h.mu.Unlock()
	if t != nil {
		t.acceptRecords(part, first, records)
		return true
	}
	if leader == "" || leader == h.cfg.Name {
		return false
	}
	ctx, cancel := context.WithTimeout(h.ctx, askTimeout)
	defer cancel()
	var r peer.HandReply
	err := h.peers.Ask(ctx, leader, peer.Hand{Part: part, First: first, Records: records}, &r)
	return err == nil && r.Taken
}
