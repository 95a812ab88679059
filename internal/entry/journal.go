package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"pollencroft/internal/store"
)

// journal writes the progress of jobs to the store, protected by a term's fence.
//
// The store may be down for some partitions and serve the others. If the progress were in a
// single partition, nothing would start or be shown as completed while that partition is down,
// and every job would be late for its caller. Therefore a partition that does not answer is
// replaced by the next one. A record may then be stored in several partitions. It carries a
// version, and the newest version counts. A candidate fences all partitions before it reads any,
// so nothing can be stored after they have been read.
type journal struct {
	log    store.Log
	logger *slog.Logger
	wg     *sync.WaitGroup
	term   int64
	// parts is the number of partitions. It is readable without mu, because the order of writers
	// changes while appends are in progress.
	parts int
	// first is the partition that decides who leads.
	first int

	mu sync.Mutex
	// writers are the partitions, the most recently served one first.
	writers []*partWriter
	// end is the end of the first partition, as the store last answered.
	end int64
}

// partWriter is a partition as this term writes to it.
type partWriter struct {
	part int
	// seq is the sequence number of the term's next append to the partition. busy reports that an
	// append has no answer yet. It has to be repeated until it has one, because the store accepts
	// the sequence numbers only in order.
	seq  int64
	busy bool
	// stored is, by job, the number of the newest append in the partition that contains the job's
	// record.
	stored map[string]int64
	// drops are the jobs whose record is deleted with the next append.
	drops []string
}

const (
	// maxPendingDrops limits the deletions that wait for a partition that is not being written
	// to.
	maxPendingDrops = 256
	// busyPause is the pause while no partition can be appended to.
	busyPause = 50 * time.Millisecond
)

func newJournal(log store.Log, lines *slog.Logger, wg *sync.WaitGroup, term int64, parts []int) *journal {
	j := &journal{log: log, logger: lines, wg: wg, term: term, parts: len(parts), first: parts[0]}
	for _, p := range parts {
		// The claim was the first append.
		j.writers = append(j.writers, &partWriter{part: p, seq: 1, stored: map[string]int64{}})
	}
	return j
}

// append stores the records of the append with that number in one partition. It uses the first
// partition that has no append in progress. It moves on to the next one at once after a refusal,
// and after timeout while there is no answer. It returns an error only if the term cannot
// continue or ctx has ended.
func (j *journal) append(ctx context.Context, number int64, records []store.Record, timeout time.Duration) error {
	type result struct {
		w   *partWriter
		err error
	}
	results := make(chan result, j.parts)
	inFlight, failed := 0, map[*partWriter]bool{}
	for {
		w := j.reserve(failed)
		pause := timeout
		switch {
		case w != nil:
			inFlight++
			j.wg.Go(func() { results <- result{w, j.write(ctx, w, number, records)} })
		case inFlight == 0:
			clear(failed)
			pause = busyPause
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
			continue
		case r := <-results:
			timer.Stop()
			inFlight--
			switch {
			case r.err == nil:
				j.prefer(r.w, failed)
				return nil
			case !store.IsUnavailable(r.err):
				return r.err
			}
			failed[r.w] = true
		}
	}
}

// reserve reserves the first partition without an append in progress, except those that failed.
// It returns nil if there is none.
func (j *journal) reserve(failed map[*partWriter]bool) *partWriter {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, w := range j.writers {
		if !w.busy && !failed[w] {
			w.busy = true
			return w
		}
	}
	return nil
}

// noteEnd notes the end of a partition after an append of this term.
func (j *journal) noteEnd(w *partWriter, end int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if w.part == j.first {
		j.end = max(j.end, end)
	}
}

// firstEnd returns the end of the first partition as far as it is known. All later terms have greater
// numbers.
func (j *journal) firstEnd() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.end
}

func (j *journal) release(w *partWriter) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w.busy = false
}

// prefer moves w, which did not refuse, to the front if the first partition has failed.
func (j *journal) prefer(w *partWriter, failed map[*partWriter]bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !failed[j.writers[0]] {
		return
	}
	j.logger.Info("lead: progress is written to another partition.", "part", w.part, "before", j.writers[0].part, "term", j.term)
	i := slices.Index(j.writers, w)
	j.writers = slices.Insert(slices.Delete(j.writers, i, i+1), 0, w)
}

// write writes records to one partition, in as many appends as the store needs. The partition is
// released after the last one, and after a refusal. If a part of the records is stored before a refusal,
// they are written to another partition as well, and their versions are the same in both.
func (j *journal) write(ctx context.Context, w *partWriter, number int64, records []store.Record) error {
	drops := j.takeDrops(w)
	all := w.notYetWritten(number, records)
	for _, id := range drops {
		all = append(all, store.Record{Key: id})
	}
	for len(all) > 0 {
		n := appendable(all)
		if err := j.writeOnce(ctx, w, number, all[:n]); err != nil {
			j.returnDrops(w, drops)
			return err
		}
		all = all[n:]
	}
	j.release(w)
	return nil
}

// appendable returns how many of the records one append may contain.
func appendable(all []store.Record) int {
	size := 0
	for i, r := range all {
		size += len(r.Key) + len(r.Value)
		if i > 0 && size > maxAppendBytes {
			return i
		}
	}
	return len(all)
}

// writeOnce appends to one partition. An append without an answer is repeated under the same sequence
// number, so that the store executes it only once. After a refusal the partition is released.
func (j *journal) writeOnce(ctx context.Context, w *partWriter, number int64, records []store.Record) error {
	c := store.Call{Op: store.Append, Topic: stateTopic, Part: w.part, Keyed: true, Epoch: j.term, Seq: w.seq, Records: records}
	unsure := false
	for {
		a, err := j.log.Do(ctx, c)
		switch {
		case err == nil:
			w.recordWritten(number, records)
			j.noteEnd(w, a.End)
			return nil
		case store.NotDone(err) && !unsure:
			j.release(w)
			return err
		case !store.IsUnavailable(err):
			j.logger.Warn("lead: partition no longer accepts appends of this term.", "part", w.part, "term", j.term, "err", err)
			return err
		}
		unsure = true
		if !sleep(ctx, appendRetry) {
			return err
		}
	}
}

// notYetWritten omits the records of which the partition holds a newer one. The partition keeps
// the record that was written last, not the one with the newest version, and an append that
// failed at another partition may arrive here after a later one. A successor would then take a
// job that was reported as completed for one that is running, and run it again.
func (w *partWriter) notYetWritten(number int64, records []store.Record) []store.Record {
	var all []store.Record
	for _, r := range records {
		if w.stored[r.Key] < number {
			all = append(all, r)
		}
	}
	return all
}

// recordWritten records what the append with that number stored in the partition.
func (w *partWriter) recordWritten(number int64, records []store.Record) {
	w.seq++
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(w.stored, r.Key)
			continue
		}
		w.stored[r.Key] = number
	}
}

func (j *journal) takeDrops(w *partWriter) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	drops := w.drops
	w.drops = nil
	return drops
}

func (j *journal) returnDrops(w *partWriter, drops []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w.drops = append(drops, w.drops...)
}

// drop deletes a job's progress in all partitions, with the next append to each of them.
func (j *journal) drop(ctx context.Context, id string) {
	j.mu.Lock()
	var full []*partWriter
	for _, w := range j.writers {
		w.drops = append(w.drops, id)
		if len(w.drops) > maxPendingDrops && !w.busy {
			w.busy = true
			full = append(full, w)
		}
	}
	j.mu.Unlock()
	for _, w := range full {
		j.wg.Go(func() {
			if err := j.write(ctx, w, 0, nil); err != nil {
				// The deletions remain queued for the next append to the partition.
				j.logger.Warn("lead: ended jobs cannot be deleted from a partition.", "part", w.part, "err", err)
			}
		})
	}
}
