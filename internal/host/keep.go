package host

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/joblog"
	"pollencroft/internal/peer"
	"pollencroft/internal/platform"
)

// Times of the log of jobs.
const (
	// batchWindow is how long records are gathered for one append.
	batchWindow = 10 * time.Millisecond
	// maxBatch bounds the records of one append.
	maxBatch    = 200
	keepTimeout = time.Second
	// renewFraction is the oldest part of the log in which an open job's record is
	// written again, before the log trims it.
	renewFraction = 4
)

// pendingRecord is one record that waits for its append.
type pendingRecord struct {
	rec  joblog.Record
	done chan error
}

// jobStore holds what this host's jobs need to outlive it.
type jobStore struct {
	log         *joblog.Log
	queue       chan pendingRecord
	appendSlots *semaphore.Weighted
	// accepting are jobs that this host is about to lead.
	accepting map[string]bool
	// transferMu is held while jobs go from the lead to handing or back. Whoever looks in both
	// without it may find a job in neither, and take it for one that nobody leads.
	transferMu sync.RWMutex
	collectMu  sync.Mutex
	// wasReady is what repair last saw of this host's readiness.
	wasReady bool
	// outgoing are jobs on their way to another lead, by id.
	outgoing map[string]*outgoingJob
	// sendMu is held while jobs are offered to their next leads.
	sendMu sync.Mutex
	// unwritten are records that the log could not take yet, by id.
	unwritten map[string]joblog.Record
	// writtenEnds are jobs of this host whose end is in the log, sharedEnds those whose
	// end a second host remembers.
	writtenEnds, sharedEnds map[string]bool
}

func newJobStore() *jobStore {
	return &jobStore{
		log: joblog.New(), queue: make(chan pendingRecord), appendSlots: semaphore.NewWeighted(4), accepting: map[string]bool{},
		outgoing: map[string]*outgoingJob{}, unwritten: map[string]joblog.Record{}, writtenEnds: map[string]bool{}, sharedEnds: map[string]bool{},
	}
}

// appendJobs gathers records and appends several at once until the host ends.
func (h *Host) appendJobs() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case first := <-h.jobs.queue:
			batch := h.gatherBatch(first)
			if h.jobs.appendSlots.Acquire(h.ctx, 1) != nil {
				return
			}
			h.wg.Go(func() {
				defer h.jobs.appendSlots.Release(1)
				h.appendBatch(batch)
			})
		}
	}
}

func (h *Host) gatherBatch(first pendingRecord) []pendingRecord {
	batch := []pendingRecord{first}
	end := time.After(batchWindow)
	for len(batch) < maxBatch {
		select {
		case p := <-h.jobs.queue:
			batch = append(batch, p)
		case <-end:
			return batch
		case <-h.ctx.Done():
			return batch
		}
	}
	return batch
}

func (h *Host) appendBatch(batch []pendingRecord) {
	recs := make([]joblog.Record, 0, len(batch))
	for _, p := range batch {
		recs = append(recs, p.rec)
	}
	body, err := joblog.Encode(recs)
	if err == nil {
		ctx, cancel := context.WithTimeout(h.ctx, keepTimeout)
		_, err = h.platform.Append(ctx, joblog.Stream, body)
		cancel()
	}
	for _, p := range batch {
		p.done <- err
	}
}

// writeRecord appends one record. The error is a platform.NotWrittenError if nothing
// was written, else the record may be in the log.
func (h *Host) writeRecord(ctx context.Context, rec joblog.Record) error {
	p := pendingRecord{rec: rec, done: make(chan error, 1)}
	select {
	case h.jobs.queue <- p:
	case <-ctx.Done():
		return &platform.NotWrittenError{}
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return &platform.UnsureError{Cause: ctx.Err()}
	}
}

// keepJob writes a job to the log; while the log is away a peer remembers it, and
// it is written when the log returns. An error that is not a
// platform.NotWrittenError tells that the job may be kept.
func (h *Host) keepJob(ctx context.Context, spec job.Spec) (string, error) {
	rec := joblog.Record{ID: spec.ID, Spec: &spec}
	err := h.writeRecord(ctx, rec)
	if err == nil {
		h.rememberRecord(rec)
		return "log", nil
	}
	told, silent := h.askPeerToKeep(ctx, rec)
	switch {
	case told:
		h.addUnwritten(rec)
		return "peers", nil
	case silent != nil:
		// That peer may write the job to the log later: told as not run, it would run.
		return "", &platform.UnsureError{Cause: silent}
	default:
		return "", err
	}
}

// askPeerToKeep asks live peers of the domain in turn to remember a record. If none said that it
// does, silent is of one that may all the same: its answer did not come.
func (h *Host) askPeerToKeep(ctx context.Context, rec joblog.Record) (kept bool, silent *peer.NoAnswerError) {
	for _, name := range h.domainPeers() {
		pctx, cancel := context.WithTimeout(ctx, keepTimeout)
		err := h.peers.Ask(pctx, name, peer.KeepRecord{Record: rec}, nil)
		cancel()
		if err == nil {
			return true, nil
		}
		h.log.Warn("host: peer was not told of a job.", "peer", name, "id", rec.ID, "err", err)
		errors.As(err, &silent)
	}
	return false, silent
}

func (h *Host) domainPeers() []string {
	live, _ := h.domainMembers()
	var peers []string
	for _, name := range live {
		if name != h.cfg.Name {
			peers = append(peers, name)
		}
	}
	return peers
}

func (h *Host) rememberRecord(rec joblog.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs.log.Remember(rec)
}

// addUnwritten notes a record that has to be written when the log returns.
func (h *Host) addUnwritten(rec joblog.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs.log.Remember(rec)
	h.jobs.unwritten[rec.ID] = rec.Merge(h.jobs.unwritten[rec.ID])
}

// writeUnwritten writes what the log could not take. Records that were written
// already are harmless: the fold is idempotent.
func (h *Host) writeUnwritten() {
	h.mu.Lock()
	owed := make([]joblog.Record, 0, maxBatch)
	for _, rec := range h.jobs.unwritten {
		if len(owed) < maxBatch {
			owed = append(owed, rec)
		}
	}
	h.mu.Unlock()
	body, err := joblog.Encode(owed)
	if err != nil || len(owed) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, keepTimeout)
	defer cancel()
	if _, err := h.platform.Append(ctx, joblog.Stream, body); err != nil {
		h.log.Warn("host: job records wait for the log.", "records", len(owed), "err", err)
		return
	}
	for _, rec := range owed {
		h.recordWritten(rec)
	}
}

// recordWritten notes that a record is in the log.
func (h *Host) recordWritten(rec joblog.Record) {
	h.mu.Lock()
	if rec.Covers(h.jobs.unwritten[rec.ID]) {
		delete(h.jobs.unwritten, rec.ID)
	}
	if rec.State != "" {
		h.jobs.writtenEnds[rec.ID] = true
	}
	h.mu.Unlock()
	if rec.State != "" {
		h.leader.AckEnd(rec.ID)
	}
	h.ackCrashes(rec)
}

// storeEnd keeps the end of a job. Workers may forget its tasks when it is in the
// log; until then their lists tell a successor that they ran.
func (h *Host) storeEnd(end job.Ended, ran bool) {
	h.storeRecord(joblog.Record{ID: end.ID, State: end.State, Ran: ran, Reason: end.Reason}, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.jobs.sharedEnds[end.ID] = true
	})
}

// storeRecord writes a record without waiting for it. If the log does not take it but a peer remembers
// it, shared is called.
func (h *Host) storeRecord(rec joblog.Record, shared func()) {
	h.addUnwritten(rec)
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, 2*keepTimeout)
		defer cancel()
		if h.writeRecord(ctx, rec) == nil {
			h.recordWritten(rec)
			return
		}
		if told, _ := h.askPeerToKeep(ctx, rec); told {
			shared()
		}
	})
}

// endLogged tells whether a job's end is in the log.
func (h *Host) endLogged(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ended := h.jobs.log.End(id)
	_, owed := h.jobs.unwritten[id]
	return h.jobs.writtenEnds[id] || ended && !owed && h.jobs.log.Written(id)
}

// followJobs folds the log of jobs until the host ends.
func (h *Host) followJobs() {
	wait := time.Duration(0)
	for h.ctx.Err() == nil {
		h.mu.Lock()
		from := h.jobs.log.Next()
		h.mu.Unlock()
		asked := h.clock()
		ctx, cancel := context.WithTimeout(h.ctx, readLongPoll+time.Second)
		page, err := h.platform.Read(ctx, joblog.Stream, from, wait)
		cancel()
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			h.mu.Lock()
			h.jobs.log.SkipTo(trimmed.Oldest)
			h.mu.Unlock()
			continue
		case err != nil:
			h.pause(readRetryPause)
			continue
		}
		h.foldJobs(page, asked)
		wait = h.jobLogWait()
	}
}

// jobLogWait makes the log answer at once while a census waits for it.
func (h *Host) jobLogWait() time.Duration {
	if len(h.leader.AwaitingInventory()) > 0 {
		return readRetryPause
	}
	return readLongPoll
}

func (h *Host) foldJobs(page platform.Page, asked time.Time) {
	h.mu.Lock()
	var stored []joblog.Record
	for _, e := range page.Entries {
		for _, rec := range h.jobs.log.Fold(e.Offset, e.Body) {
			if owed, ok := h.jobs.unwritten[rec.ID]; ok && owed.State == rec.State {
				stored = append(stored, rec)
			}
		}
	}
	h.mu.Unlock()
	// A log that answers later than an append is waited for has stored it all the same. Written
	// again and again, it was owed for ever, and callers were told "unknown" of what did not run.
	for _, rec := range stored {
		h.recordWritten(rec)
	}
	h.mu.Lock()
	h.jobs.dropWrittenEnds()
	whole := h.jobs.log.Next() >= page.Next
	old := h.jobs.log.OpenBefore(page.Oldest + (page.Next-page.Oldest)/renewFraction)
	h.mu.Unlock()
	h.takeOver()
	if whole {
		h.leader.LogRead(asked)
	}
	if page.Oldest == 1 {
		return
	}
	for _, s := range old {
		if h.leader.HasJob(s.ID) {
			h.addUnwritten(joblog.Record{ID: s.ID, Spec: &s, Crashes: h.crashCounts(s.ID)})
		}
	}
}

// dropWrittenEnds forgets marks of ended jobs that the folded log tells as well.
func (k *jobStore) dropWrittenEnds() {
	for _, marks := range []map[string]bool{k.writtenEnds, k.sharedEnds} {
		for id := range marks {
			_, ended := k.log.End(id)
			_, owed := k.unwritten[id]
			if ended && !owed && k.log.Written(id) {
				delete(marks, id)
			}
		}
	}
}

// leaderOf is the live host that leads a job's rack, as this host sees it.
func (h *Host) leaderOf(id string) string {
	home, err := cell.ParseHome(id)
	if err != nil {
		return ""
	}
	h.mu.Lock()
	spec, known := h.jobs.log.Spec(id)
	row, _ := h.table.Row(spec.Row)
	h.mu.Unlock()
	if !known || home.Domain != h.cfg.Domain {
		return h.rackLeader(home)
	}
	if rack := h.limitRack(row); rack != "" {
		// Its row got a limit after the job: only the lead of that rack may start it.
		home.Rack = rack
	}
	return h.rackLeader(home)
}
