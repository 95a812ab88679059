package entry

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollencroft/internal/attempts"
	"pollencroft/internal/http1"
	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

// jobsTopic holds the requests of callers under their requestKeys. Each host appends to a partition
// of its own as long as there are enough partitions. A partition handles one append at a time, so
// hosts that share one would wait for each other when the store is slow.
const jobsTopic = "jobs"

// requestKey identifies a caller's request in jobsTopic. Requests for the same job from callers of
// different organisations have different keys, so that neither replaces the other.
type requestKey struct {
	id string
	// organisation is the caller's; empty for public routes.
	organisation string
	cancels      bool
}

// submitMark and cancelMark separate the id from the organisation in the text of a key. A job of no
// organisation is stored under its id alone.
const (
	submitMark = "@"
	cancelMark = "!"
)

func (k requestKey) String() string {
	switch {
	case k.cancels:
		return k.id + cancelMark + k.organisation
	case k.organisation != "":
		return k.id + submitMark + k.organisation
	default:
		return k.id
	}
}

func parseRequestKey(key string) requestKey {
	i := strings.IndexAny(key, submitMark+cancelMark)
	if i < 0 {
		return requestKey{id: key}
	}
	return requestKey{id: key[:i], organisation: key[i+1:], cancels: key[i:i+1] == cancelMark}
}

// inbox stores the requests of callers. Requests that arrive while an append is in progress are
// stored together in the next one.
type inbox struct {
	h *Host
	// parts are the partitions that it may append to, its own one first.
	parts []int
	queue chan appendRequest
	// waiting is the size of the large records that are not stored yet, maxWaiting the most of it. A
	// record waits also if its caller has left.
	waiting    atomic.Int64
	maxWaiting int64
	// sent tracks what is known of the requests that this host got lately, by the key of their record.
	sent *attempts.Tracker
}

type appendRequest struct {
	ctx    context.Context
	record store.Record
	done   chan error
}

const (
	// maxQueuedRequests limits the requests that wait for the next append; further requests are
	// refused.
	maxQueuedRequests = 512
	// maxAppendBytes keeps an append below the store's size limit for a call.
	maxAppendBytes = 1 << 20
	// storeFreshness is how recently the store must have answered for a job to be sent to it. Two
	// of the host's own calls have failed after that time.
	storeFreshness = 900 * time.Millisecond
	// unansweredRetry is the pause before an append without an answer is repeated.
	unansweredRetry = 60 * time.Millisecond
	// sentExpiry is how long a request is remembered after its append has ended, maxSent how many are.
	sentExpiry = 5 * time.Minute
	maxSent    = 20_000
)

func newInbox(h *Host) *inbox {
	own := int(xxhash.Sum64String(h.cfg.Name) % uint64(h.cfg.Parts))
	return &inbox{h: h, parts: store.PartsFrom(own, h.cfg.Parts), queue: make(chan appendRequest, maxQueuedRequests), maxWaiting: h.cfg.callerLimits().Bytes, sent: attempts.New(sentExpiry, maxSent, h.now)}
}

// append stores a record. If it returns a store.RefusedError, the record is certainly not stored
// and never will be. After any other error it is unknown whether the record is stored. Callers send
// a request again if it had no answer, so the earlier requests with the same key count as well.
func (b *inbox) append(ctx context.Context, r store.Record) error {
	if !b.h.store.AnsweredWithin(storeFreshness) {
		// A request that is sent while the store is unreachable gets no answer, and its caller
		// could only be told that the outcome is unknown. A request that is not sent is certainly
		// not stored.
		return afterRefusal(b.sent.Known(r.Key), &store.RefusedError{Op: store.Append, Reason: "the store has not answered for a while"})
	}
	a := appendRequest{ctx: ctx, record: r, done: make(chan error, 1)}
	b.sent.Begin(r.Key)
	if !b.enqueue(a) {
		return afterRefusal(b.sent.End(r.Key, attempts.NotDone), &store.RefusedError{Op: store.Append, Reason: "too many wait"})
	}
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return &store.UnansweredError{Op: store.Append, Cause: ctx.Err()}
	}
}

// size is what a request counts towards maxWaiting.
func (a appendRequest) size() int64 {
	if n := len(a.record.Value); n > http1.FreeBytes {
		return int64(n)
	}
	return 0
}

// enqueue reports whether a request was added to the queue.
func (b *inbox) enqueue(a appendRequest) bool {
	n := a.size()
	if n > 0 && b.waiting.Add(n) > b.maxWaiting {
		b.waiting.Add(-n)
		return false
	}
	select {
	case b.queue <- a:
		return true
	default:
		b.waiting.Add(-n)
		return false
	}
}

// afterRefusal returns the result of a request that was refused, given what is known of all requests
// with its key.
func afterRefusal(known attempts.Outcome, refused error) error {
	switch known {
	case attempts.Done:
		return nil
	case attempts.Unknown:
		return &store.UnansweredError{Op: store.Append, Cause: refused}
	default:
		return refused
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

// appendBatch appends until the store answers or no request waits any more. If the host's own
// partition is down, it uses another one. A repeated append has the same records under the same
// keys.
func (b *inbox) appendBatch(all []appendRequest) {
	records := make([]store.Record, len(all))
	for i, a := range all {
		records[i] = a.record
	}
	parts := slices.Clone(b.parts)
	unsure := false
	for {
		first, _, got, err := store.Spread(b.h.ctx, &b.h.wg, len(parts), b.h.store.SpreadTimeout(), func(i int) (store.Answer, error) {
			return b.h.store.Do(b.h.ctx, store.Call{Op: store.Append, Topic: jobsTopic, Part: parts[i], Keyed: true, Records: records})
		})
		if err == nil {
			b.h.notifyLeader(parts[first], got.Offset, records)
			b.parts[0], b.parts[first] = b.parts[first], b.parts[0]
			b.finish(all, attempts.Done, nil)
			return
		}
		if store.NotDone(err) && !unsure {
			b.finish(all, attempts.NotDone, err)
			return
		}
		unsure = true
		if b.h.ctx.Err() != nil || !anyWaiting(all) {
			b.finish(all, attempts.Unknown, &store.UnansweredError{Op: store.Append, Cause: err})
			return
		}
		sleep(b.h.ctx, unansweredRetry)
	}
}

func (b *inbox) finish(all []appendRequest, o attempts.Outcome, err error) {
	for _, a := range all {
		b.waiting.Add(-a.size())
		if k := parseRequestKey(a.record.Key); o == attempts.Done && !k.cancels {
			b.h.noteStored(k)
		}
		known := b.sent.End(a.record.Key, o)
		if o == attempts.NotDone {
			a.done <- afterRefusal(known, err)
			continue
		}
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
	// notifyTries is how often a leader is notified of stored records, notifyInterval the pause
	// between the tries. Together they last until another host has taken over and reads the
	// records itself.
	notifyTries    = 12
	notifyInterval = 150 * time.Millisecond
)

// notifyLeader notifies the leader of stored records, so that it does not have to poll for them.
// If that host no longer leads, the next leader is notified. Without that, a job that is stored
// while the leader changes would wait for the new leader's next poll of all partitions.
func (h *Host) notifyLeader(part int, first int64, records []store.Record) {
	h.wg.Go(func() {
		for range notifyTries {
			if h.notifyCurrentLeader(part, first, records) || !sleep(h.ctx, notifyInterval) {
				return
			}
		}
		h.log.Warn("inbox: no leader could be notified.", "part", part, "first", first, "records", len(records))
	})
}

// notifyCurrentLeader notifies the current leader. It returns false if that host did not accept
// the records as the leader.
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
	var r peer.ForwardReply
	err := h.peers.Ask(ctx, leader, peer.ForwardRecords{Part: part, First: first, Records: records}, &r)
	return err == nil && r.Accepted
}
