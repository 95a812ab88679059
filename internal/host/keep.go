package host

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"pollencroft/internal/attempts"
	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/joblog"
	"pollencroft/internal/peer"
	"pollencroft/internal/platform"
)

// Settings of the job log.
const (
	// batchWindow is how long records are collected for one append.
	batchWindow = 10 * time.Millisecond
	// maxBatch limits the number of records in one append.
	maxBatch    = 200
	keepTimeout = time.Second
	// renewFraction is the divisor that gives the oldest part of the log. The record of an open
	// job in this part is written again before the log trims it.
	renewFraction = 4
	// submittedExpiry is how long a submission of a job with a key is remembered, maxSubmitted how
	// many are.
	submittedExpiry = 5 * time.Minute
	maxSubmitted    = 20_000
)

// pendingRecord is a record that waits for its append.
type pendingRecord struct {
	rec  joblog.Record
	done chan error
}

// jobStore holds the records of jobs that must survive this host, and the state of the jobs that
// are changing their leader.
type jobStore struct {
	log         *joblog.Log
	queue       chan pendingRecord
	appendSlots *semaphore.Weighted
	// accepting contains the jobs that this host is about to lead.
	accepting map[string]bool
	// transferMu is held while jobs move between the leader and outgoing. Without it, a reader
	// of both could find a job in neither, and conclude that nobody leads it.
	transferMu sync.RWMutex
	collectMu  sync.Mutex
	// submitted tracks the submissions of jobs with a key, by the job's id.
	submitted *attempts.Tracker
	// wasReady is the readiness of this host at the last call of repairJobs.
	wasReady bool
	// outgoing contains the jobs that are being handed over to another leader, by id.
	outgoing map[string]*outgoingJob
	// sendMu is held while jobs are offered to their next leaders.
	sendMu sync.Mutex
	// unwritten contains the records that are still to be written to the log, by id.
	unwritten map[string]joblog.Record
	// writtenEnds contains the jobs of this host whose end is in the log, sharedEnds those whose
	// end a second host remembers.
	writtenEnds, sharedEnds map[string]bool
}

func newJobStore(now func() time.Time) *jobStore {
	return &jobStore{
		submitted: attempts.New(submittedExpiry, maxSubmitted, now),
		log:       joblog.New(), queue: make(chan pendingRecord), appendSlots: semaphore.NewWeighted(4), accepting: map[string]bool{},
		outgoing: map[string]*outgoingJob{}, unwritten: map[string]joblog.Record{}, writtenEnds: map[string]bool{}, sharedEnds: map[string]bool{},
	}
}

// appendJobs appends records to the log in batches until the host ends.
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

// writeRecord appends one record. If the error is a platform.NotWrittenError, nothing was
// written; after any other error the record may be in the log.
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

// keepJob writes a job to the log. While the log is unavailable, a peer remembers the job
// instead, and it is written when the log is available again. After an error other than a
// platform.NotWrittenError the job may be stored.
func (h *Host) keepJob(ctx context.Context, spec job.Spec) (string, error) {
	rec := joblog.Record{ID: spec.ID, Spec: &spec}
	err := h.writeRecord(ctx, rec)
	if err == nil {
		h.rememberRecord(rec)
		return "log", nil
	}
	kept, silent := h.askPeerToKeep(ctx, rec)
	switch {
	case kept:
		h.addUnwritten(rec)
		return "peers", nil
	case silent != nil:
		// That peer may write the job to the log later. A job reported as not run would then
		// run.
		return "", &platform.UnsureError{Cause: silent}
	default:
		return "", err
	}
}

// askPeerToKeep asks live peers of the failure domain in turn to remember a record. If no peer
// confirms it, silent is the error of a peer whose answer did not arrive and that may remember
// it.
func (h *Host) askPeerToKeep(ctx context.Context, rec joblog.Record) (kept bool, silent *peer.NoAnswerError) {
	for _, name := range h.domainPeers() {
		pctx, cancel := context.WithTimeout(ctx, keepTimeout)
		err := h.peers.Ask(pctx, name, peer.KeepRecord{Record: rec}, nil)
		cancel()
		if err == nil {
			return true, nil
		}
		h.log.Warn("host: peer did not confirm a job record.", "peer", name, "id", rec.ID, "err", err)
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

// addUnwritten remembers a record that must be written when the log is available again.
func (h *Host) addUnwritten(rec joblog.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs.log.Remember(rec)
	h.jobs.unwritten[rec.ID] = rec.Merge(h.jobs.unwritten[rec.ID])
}

// writeUnwritten writes the outstanding records. Writing a record twice does no harm, because
// applying it is idempotent.
func (h *Host) writeUnwritten() {
	h.mu.Lock()
	unwritten := make([]joblog.Record, 0, maxBatch)
	for _, rec := range h.jobs.unwritten {
		if len(unwritten) < maxBatch {
			unwritten = append(unwritten, rec)
		}
	}
	h.mu.Unlock()
	body, err := joblog.Encode(unwritten)
	if err != nil || len(unwritten) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, keepTimeout)
	defer cancel()
	if _, err := h.platform.Append(ctx, joblog.Stream, body); err != nil {
		h.log.Warn("host: cannot write job records to the log yet.", "records", len(unwritten), "err", err)
		return
	}
	for _, rec := range unwritten {
		h.recordWritten(rec)
	}
}

// recordWritten marks a record as written to the log.
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

// storeEnd stores the end of a job. Workers may forget the job's tasks once the end is in the
// log. Until then their task lists show the next leader that the tasks ran.
func (h *Host) storeEnd(end job.Ended, ran bool) {
	h.storeRecord(joblog.Record{ID: end.ID, State: end.State, Ran: ran, Reason: end.Reason}, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.jobs.sharedEnds[end.ID] = true
	})
}

// storeRecord writes a record in the background. If the log does not accept it but a peer
// remembers it, shared is called.
func (h *Host) storeRecord(rec joblog.Record, shared func()) {
	h.addUnwritten(rec)
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, 2*keepTimeout)
		defer cancel()
		if h.writeRecord(ctx, rec) == nil {
			h.recordWritten(rec)
			return
		}
		if kept, _ := h.askPeerToKeep(ctx, rec); kept {
			shared()
		}
	})
}

// endLogged reports whether a job's end is in the log.
func (h *Host) endLogged(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ended := h.jobs.log.End(id)
	_, unwritten := h.jobs.unwritten[id]
	return h.jobs.writtenEnds[id] || ended && !unwritten && h.jobs.log.Written(id)
}

// followJobs reads the job log until the host ends.
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

// jobLogWait returns the wait for the next read of the job log, which is short while an
// inventory depends on it.
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
			if unwritten, ok := h.jobs.unwritten[rec.ID]; ok && unwritten.State == rec.State {
				stored = append(stored, rec)
			}
		}
	}
	h.mu.Unlock()
	// An append that the log answers too late has been stored nevertheless. If it were not
	// recognised here, its record would be written again and again and remain unwritten for
	// ever, and callers would get "unknown" for jobs that did not run.
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

// dropWrittenEnds drops entries on ended jobs that the copy of the log contains as well.
func (k *jobStore) dropWrittenEnds() {
	for _, marks := range []map[string]bool{k.writtenEnds, k.sharedEnds} {
		for id := range marks {
			_, ended := k.log.End(id)
			_, unwritten := k.unwritten[id]
			if ended && !unwritten && k.log.Written(id) {
				delete(marks, id)
			}
		}
	}
}

// leaderOf returns the live host that leads a job's rack according to this host's view.
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
		// The row got a limit after the job was accepted: only the leader of that rack may start
		// the job.
		home.Rack = rack
	}
	return h.rackLeader(home)
}
