package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/platform"
	"pollencroft/internal/table"
)

// Time limits for reading the table's log.
const (
	readLongPoll   = 1500 * time.Millisecond
	readRetryPause = 200 * time.Millisecond
)

// Row returns a row in force and its version, which is zero if there is no such row.
func (h *Host) Row(name string) (table.Row, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Row(name)
}

// OrganisationShare returns what an organisation may currently use in this host's failure domain, or false for a
// organisation without a quota.
func (h *Host) OrganisationShare(organisation string) (table.Share, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.OrganisationShare(organisation, h.cfg.Domain)
}

func (h *Host) countTable(name string) { metrics.GetOrRegisterCounter("table."+name, h.metrics).Inc(1) }

// Count returns one of this host's counters.
func (h *Host) Count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.metrics).Count()
}

// followTable reads the table's log until the host ends.
func (h *Host) followTable() {
	wait := time.Duration(0)
	for h.ctx.Err() == nil {
		if err := h.readTable(wait); err != nil {
			h.countTable("unread")
			h.log.Warn("table: cannot read the log.", "err", err)
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

// readTable reads and applies one page. A page that ends before the offset that this host has
// already reached is out of date; a peer's copy is used if a peer has read further.
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
		h.log.Warn("table: the log's answer is out of date.", "next", page.Next, "wanted", from)
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

// readTrimmedLog reads everything that a trimmed log still contains.
func (h *Host) readTrimmedLog(oldest int64) error {
	h.countTable("behind")
	h.log.Warn("table: the log is trimmed, reading a snapshot.", "wanted", h.nextOffset(), "oldest", oldest)
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

// MissingError reports that records are missing before those that were found.
type MissingError struct{ Wanted int64 }

func (e *MissingError) Error() string { return "records are missing" }

// foldTable applies an event to the table and wakes those who wait for a verdict.
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
			err = &MissingError{Wanted: a.Want}
		case table.SnapshotMissing:
			h.countTable("lost")
			err = &MissingError{Wanted: a.Want}
		case table.Restored:
			h.countTable("restored")
			h.log.Info("table: loaded a snapshot.", "next", a.Next)
		case table.RowChanged:
			h.log.Info("table: row came into force.", "row", a.Row.Name, "version", a.Version, "gone", a.Gone)
		}
	}
	return err
}

// saveSnapshot writes a snapshot if one is due. The write runs in the background, since the log
// may be slow.
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
				h.log.Warn("table: cannot write the snapshot.", "err", err)
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

// liveRank returns the number of live hosts and this host's index among them.
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
