package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"pollencroft/internal/store"
)

// book writes the progress of jobs to the store under a term's fence.
//
// The store may be down for some partitions and serve the others. With the progress
// in one partition, nothing would start or be shown as completed for as long as that
// one is down, and every caller would see his job late. So a partition that does not
// answer is left for the next one. A record may then lie in several; it carries a
// version, and the newest counts. A candidate fences all partitions before it reads
// any, so nothing can be stored behind its back.
type book struct {
	log   store.Log
	lines *slog.Logger
	wg    *sync.WaitGroup
	term  int64

	mu sync.Mutex
	// slots are the partitions, the one that was served last first.
	slots []*slot
}

// slot is one partition as this term writes to it.
type slot struct {
	part int
	// seq numbers the term's next append there; busy tells that one has no answer
	// yet. It has to be repeated until it has: the store takes no number before the
	// one that it follows.
	seq  int64
	busy bool
	// stored is by job the number of the newest append there that holds its record.
	stored map[string]int64
	// drops are jobs whose record goes with the next append.
	drops []string
}

const (
	// mostDrops is how many drops wait for a partition that is not written to.
	mostDrops = 256
	// busyWait is the pause while no partition can be appended to.
	busyWait = 50 * time.Millisecond
)

func newBook(log store.Log, lines *slog.Logger, wg *sync.WaitGroup, term int64, parts []int) *book {
	b := &book{log: log, lines: lines, wg: wg, term: term}
	for _, p := range parts {
		// The claim was the first append.
		b.slots = append(b.slots, &slot{part: p, seq: 1, stored: map[string]int64{}})
	}
	return b
}

// append stores the records of the append of that number in one partition: the first
// that has no append under way, the next one at once after a refusal, and after
// patience while there is no answer. It returns an error only if the term cannot go
// on, or ctx has ended.
func (b *book) append(ctx context.Context, number int64, records []store.Record, patience time.Duration) error {
	type result struct {
		s   *slot
		err error
	}
	results := make(chan result, len(b.slots))
	flying, failed := 0, map[*slot]bool{}
	for {
		s := b.take(failed)
		pause := patience
		switch {
		case s != nil:
			flying++
			b.wg.Go(func() { results <- result{s, b.write(ctx, s, number, records)} })
		case flying == 0:
			clear(failed)
			pause = busyWait
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
			flying--
			switch {
			case r.err == nil:
				b.prefer(r.s, failed)
				return nil
			case !store.Away(r.err):
				return r.err
			}
			failed[r.s] = true
		}
	}
}

// take reserves the first partition without an append under way; nil if there is
// none but those that failed.
func (b *book) take(failed map[*slot]bool) *slot {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.slots {
		if !s.busy && !failed[s] {
			s.busy = true
			return s
		}
	}
	return nil
}

func (b *book) release(s *slot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.busy = false
}

// prefer puts the partitions that refused behind the one that did not.
func (b *book) prefer(s *slot, failed map[*slot]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !failed[b.slots[0]] {
		return
	}
	b.lines.Info("lead: progress goes to another partition.", "part", s.part, "before", b.slots[0].part, "term", b.term)
	i := slices.Index(b.slots, s)
	b.slots = slices.Insert(slices.Delete(b.slots, i, i+1), 0, s)
}

// write appends to one partition and repeats what has no answer under the same
// number, which the store carries out once. The slot is free again after that.
func (b *book) write(ctx context.Context, s *slot, number int64, records []store.Record) error {
	c := store.Call{Op: store.Append, Topic: stateTopic, Part: s.part, Keyed: true, Epoch: b.term, Seq: s.seq, Records: s.missing(number, records)}
	drops := b.takeDrops(s)
	for _, id := range drops {
		c.Records = append(c.Records, store.Record{Key: id})
	}
	if len(c.Records) == 0 {
		b.release(s)
		return nil
	}
	unsure := false
	for {
		_, err := b.log.Do(ctx, c)
		switch {
		case err == nil:
			s.wrote(number, c.Records)
			b.release(s)
			return nil
		case store.NotDone(err) && !unsure:
			b.putDrops(s, drops)
			b.release(s)
			return err
		case !store.Away(err):
			b.lines.Warn("lead: partition takes nothing of this term any more.", "part", s.part, "term", b.term, "err", err)
			return err
		}
		unsure = true
		if !wait(ctx, appendAgain) {
			return err
		}
	}
}

// missing leaves out the records of which the partition holds a newer one. It keeps
// what was written last, not what has the newest version, and an append that was
// tried elsewhere in vain may come here after a later one. A successor would take a
// job that is told as completed for one that runs, and run it again.
func (s *slot) missing(number int64, records []store.Record) []store.Record {
	var all []store.Record
	for _, r := range records {
		if s.stored[r.Key] < number {
			all = append(all, r)
		}
	}
	return all
}

// wrote notes what the append of that number left in the partition.
func (s *slot) wrote(number int64, records []store.Record) {
	s.seq++
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(s.stored, r.Key)
			continue
		}
		s.stored[r.Key] = number
	}
}

func (b *book) takeDrops(s *slot) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	drops := s.drops
	s.drops = nil
	return drops
}

func (b *book) putDrops(s *slot, drops []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.drops = append(drops, s.drops...)
}

// drop forgets a job's progress in all partitions, with what is appended there next.
func (b *book) drop(ctx context.Context, id string) {
	b.mu.Lock()
	var full []*slot
	for _, s := range b.slots {
		s.drops = append(s.drops, id)
		if len(s.drops) > mostDrops && !s.busy {
			s.busy = true
			full = append(full, s)
		}
	}
	b.mu.Unlock()
	for _, s := range full {
		b.wg.Go(func() {
			if err := b.write(ctx, s, 0, nil); err != nil {
				// They stay for the next append there.
				b.lines.Warn("lead: ended jobs are not dropped.", "part", s.part, "err", err)
			}
		})
	}
}
