package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/platform"
	"pollencroft/internal/table"
)

// Times of the table's log.
const (
	readLongPoll   = 1500 * time.Millisecond
	readRetryPause = 200 * time.Millisecond
)

// Row returns a row in force and its version, zero for none.
func (h *Host) Row(name string) (table.Row, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Row(name)
}

// TeamShare returns what a team may use in this host's failure domain now;
// false for a team without a quota.
func (h *Host) TeamShare(team string) (table.Share, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.TeamShare(team, h.cfg.Domain)
}

func (h *Host) countTable(name string) { metrics.GetOrRegisterCounter("table."+name, h.metrics).Inc(1) }

// Count returns one of this host's counters.
func (h *Host) Count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.metrics).Count()
}

// followTable folds the log until the host ends.
func (h *Host) followTable() {
	wait := time.Duration(0)
	for h.ctx.Err() == nil {
		if err := h.readTable(wait); err != nil {
			h.countTable("unread")
			h.log.Warn("table: log cannot be read.", "err", err)
			h.startTableCopy()
			h.pause(readRetryPause)
			continue
		}
		wait = readLongPoll
	}
}

func (h *Host) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-h.ctx.Done():
	}
}

// readTable reads and folds one page. A page that ends before what this host
// has seen is out of date; the peers' copy helps if they are further on.
func (h *Host) readTable(wait time.Duration) error {
	from := h.nextOffset()
	page, err := h.readPage(from, wait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return h.readTrimmedLog(trimmed.Oldest)
	}
	if err != nil {
		return err
	}
	if page.Next < from {
		h.countTable("stale")
		h.log.Warn("table: log answer is out of date.", "next", page.Next, "wanted", from)
		h.pause(readRetryPause)
	}
	if err := h.foldTable(table.Records{Entries: tableEntries(page)}); err != nil {
		return err
	}
	if len(page.Entries) == 0 {
		h.startTableCopy()
	}
	h.transition("table")
	h.saveSnapshot(page.Oldest)
	return nil
}

func (h *Host) nextOffset() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.NextOffset()
}

// readTrimmedLog reads all that a trimmed log still has.
func (h *Host) readTrimmedLog(oldest int64) error {
	h.countTable("behind")
	h.log.Warn("table: log is trimmed, a snapshot is needed.", "wanted", h.nextOffset(), "oldest", oldest)
	var all []table.Entry
	for from := oldest; ; {
		page, err := h.readPage(from, 0)
		if err != nil {
			return err
		}
		all = append(all, tableEntries(page)...)
		if len(page.Entries) == 0 {
			break
		}
		from = all[len(all)-1].Offset + 1
	}
	if err := h.foldTable(table.TrimmedLog{Entries: all}); err != nil {
		return err
	}
	h.transition("table")
	return nil
}

func tableEntries(p platform.Page) []table.Entry {
	all := make([]table.Entry, 0, len(p.Entries))
	for _, e := range p.Entries {
		all = append(all, table.Entry{Offset: e.Offset, Body: e.Body})
	}
	return all
}

// MissingError tells that records are missing before what was found.
type MissingError struct{ Want int64 }

func (e *MissingError) Error() string { return "records are missing" }

// foldTable steps the table and wakes those who wait for a verdict.
func (h *Host) foldTable(ev table.Event) error {
	h.mu.Lock()
	acts := h.table.Step(h.clock(), ev)
	close(h.tableChanged)
	h.tableChanged = make(chan struct{})
	h.mu.Unlock()
	var err error
	for _, a := range acts {
		switch a := a.(type) {
		case table.Gap:
			h.countTable("gap")
			err = &MissingError{Want: a.Want}
		case table.SnapshotMissing:
			h.countTable("lost")
			err = &MissingError{Want: a.Want}
		case table.Restored:
			h.countTable("restored")
			h.log.Info("table: started from a snapshot.", "next", a.Next)
		case table.RowChanged:
			h.log.Info("table: row is in force.", "row", a.Row.Name, "version", a.Version, "gone", a.Gone)
		}
	}
	return err
}

// saveSnapshot writes a snapshot when the table finds one due. The log may take its
// time: nobody waits for it.
func (h *Host) saveSnapshot(oldest int64) {
	live, rank := h.liveRank()
	h.mu.Lock()
	acts := h.table.Step(h.clock(), table.Tick{Oldest: oldest, Rank: rank})
	h.mu.Unlock()
	if len(acts) == 0 {
		return
	}
	h.log.Info("table: writing a snapshot.", "parts", len(acts), "live", live)
	h.wg.Go(func() {
		for _, a := range acts {
			if err := h.appendTable(a.(table.Append).Body); err != nil {
				h.log.Warn("table: snapshot is not written.", "err", err)
				return
			}
		}
		h.countTable("snapshots")
	})
}

func (h *Host) appendTable(body []byte) error {
	ctx, cancel := context.WithTimeout(h.ctx, appendTimeout)
	defer cancel()
	_, err := h.platform.Append(ctx, table.Stream, body)
	return err
}

// liveRank is this host's place among the live hosts.
func (h *Host) liveRank() (live, rank int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := h.members.Live()
	for i, name := range names {
		if name == h.cfg.Name {
			rank = i
		}
	}
	return len(names), rank
}
