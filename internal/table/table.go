// Package table folds the operators' edits, read from the platform's log in offset order, into the
// rows that are in force. Every host folds the same records and therefore comes to the same rows
// without asking another host.
package table

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream is the log stream that holds the edits.
const Stream = "table"

// Table is the result of folding all edits up to an offset. It is not safe for concurrent use;
// callers share copies of the rows.
type Table struct {
	state
	damaged damage
	history []HistoryEntry
	// oldestNeeded is the offset from which a starting host must read: the start of the newest
	// snapshot of which all parts were read. It is zero if there is none, so that everything from
	// offset 1 is needed.
	oldestNeeded int64
	snapshotTime time.Time
	dueSince     time.Time
	incomplete   map[int64]*partialSnapshot
}

// state is the content of a snapshot: everything that later verdicts depend on.
type state struct {
	Next    int64            `json:"next"`
	Digest  uint64           `json:"digest"`
	Rows    map[string]Line  `json:"rows"`
	Quotas  map[string]Quota `json:"quotas"`
	Judged  []Verdict        `json:"judged"`
	Skipped []SkippedRecord  `json:"passed,omitempty"`
	byID    map[string]Verdict
}

// SkippedRecord is a record of a kind that this version does not know. It is kept in order and goes
// into snapshots, so that a version that knows the kind does not miss it.
type SkippedRecord struct {
	Offset int64  `json:"offset"`
	Body   []byte `json:"body"`
}

// damage identifies a record that could not be read and counts how often it was read with the same
// bytes.
type damage struct {
	offset int64
	sum    uint64
	reads  int
}

// Bounds of what is kept.
const (
	// maxVerdicts bounds how many verdicts are remembered. They are part of the folded state: a
	// record that was appended twice must be void for every reader, so every reader remembers
	// equally many. At 2,900 edits a day this covers eight hours.
	maxVerdicts = 1024
	maxSkipped  = 256
	maxHistory  = 256
	// maxDamagedReads is how often a damaged record must be read with the same bytes before it is
	// skipped. Otherwise a host that received a record damaged in transit would be the only one to
	// miss it, and its table would differ from the others.
	maxDamagedReads = 3
)

// New returns an empty table that waits for offset 1.
func New() *Table {
	return &Table{
		state:      state{Next: 1, Rows: map[string]Line{}, Quotas: map[string]Quota{}, byID: map[string]Verdict{}},
		incomplete: map[int64]*partialSnapshot{},
	}
}

// Step applies an event and returns the resulting actions. Entries below the next wanted offset are
// ignored, so that a record that is read twice or from two sources counts once, and an outdated
// answer changes nothing.
func (t *Table) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Records:
		return t.foldAll(now, ev.Entries)
	case TrimmedLog:
		return t.catchUp(now, ev.Entries)
	case PeerCopy:
		return t.restoreFromPeer(ev.Parts)
	case Tick:
		return t.snapshotIfDue(now, ev)
	default:
		return nil
	}
}

func (t *Table) foldAll(now time.Time, entries []Entry) []Action {
	var acts []Action
	for _, e := range entries {
		if e.Offset < t.Next {
			continue
		}
		if e.Offset > t.Next {
			return append(acts, Gap{Want: t.Next, Found: e.Offset})
		}
		more, ok := t.fold(now, e)
		if !ok {
			return append(acts, Gap{Want: t.Next, Found: e.Offset})
		}
		acts = append(acts, more...)
	}
	return acts
}

// fold applies the next entry. It returns false if the entry must be read again.
func (t *Table) fold(now time.Time, e Entry) ([]Action, bool) {
	if _, err := openRecord(e.Body); err != nil && !t.damageIsPermanent(e) {
		return nil, false
	}
	t.Next = e.Offset + 1
	t.updateDigest(e.Body)
	v, err := Decode(e.Body)
	if err != nil {
		t.skip(SkippedRecord(e))
		return nil, true
	}
	switch v := v.(type) {
	case Edit:
		t.recordEditTime(now, v.When)
		return t.foldEdit(v, e.Offset), true
	case QuotaEdit:
		return []Action{t.foldQuotaEdit(v, e.Offset)}, true
	case ShareConfirmation:
		t.foldConfirmation(v)
	case part:
		t.foldSnapshotPart(now, v, e.Offset)
	}
	return nil, true
}

func (t *Table) damageIsPermanent(e Entry) bool {
	s := xxhash.Sum64(e.Body)
	if t.damaged.offset != e.Offset || t.damaged.sum != s {
		t.damaged = damage{offset: e.Offset, sum: s}
	}
	t.damaged.reads++
	return t.damaged.reads >= maxDamagedReads
}

func (t *Table) skip(p SkippedRecord) {
	t.Skipped = append(t.Skipped, p)
	t.Skipped = t.Skipped[max(0, len(t.Skipped)-maxSkipped):]
}

// updateDigest adds a record to the digest, which two hosts at the same offset can compare.
func (t *Table) updateDigest(body []byte) {
	t.Digest = xxhash.Sum64String(fmt.Sprint(t.Digest, t.Next, xxhash.Sum64(body)))
}

func (t *Table) foldEdit(e Edit, offset int64) []Action {
	if old, ok := t.byID[e.ID]; ok {
		return []Action{old}
	}
	j, changed := t.evaluate(e, offset)
	t.recordVerdict(j)
	t.addHistory(HistoryEntry{Verdict: j, Offset: offset, Row: e.Row, Author: e.Author, When: time.UnixMilli(e.When), Change: describeChange(e)})
	if changed == nil {
		return []Action{j}
	}
	return []Action{j, *changed}
}

func describeChange(e Edit) string {
	if e.Drop {
		return "dropped"
	}
	return string(e.Fields)
}

func (t *Table) evaluate(e Edit, offset int64) (Verdict, *RowChanged) {
	cur := t.Rows[e.Row]
	if cur.Version != e.Base {
		return Verdict{ID: e.ID, Reason: fmt.Sprintf("row is at version %d", cur.Version)}, nil
	}
	if e.Drop {
		delete(t.Rows, e.Row)
		return Verdict{ID: e.ID, Accepted: true}, &RowChanged{Row: cur.Row, Version: offset, Gone: true}
	}
	row, err := t.rowAfterEdit(e)
	if err != nil {
		return Verdict{ID: e.ID, Reason: err.Error()}, nil
	}
	t.Rows[e.Row] = Line{Row: row, Version: offset}
	return Verdict{ID: e.ID, Accepted: true}, &RowChanged{Row: row, Version: offset}
}

// rowAfterEdit returns the row as the edit would leave it.
func (t *Table) rowAfterEdit(e Edit) (Row, error) {
	cur, ok := t.Rows[e.Row]
	if !ok {
		cur.Row = newRow(e.Row)
	}
	row, err := cur.Apply(e.Fields)
	if err != nil {
		return row, err
	}
	return row, t.checkStarvation(row)
}

func (t *Table) recordVerdict(j Verdict) {
	t.byID[j.ID] = j
	t.Judged = append(t.Judged, j)
	if len(t.Judged) > maxVerdicts {
		delete(t.byID, t.Judged[0].ID)
		t.Judged = slices.Clone(t.Judged[1:])
	}
}

func (t *Table) addHistory(p HistoryEntry) {
	t.history = append(t.history, p)
	t.history = t.history[max(0, len(t.history)-maxHistory):]
}

// History returns the newest edits that this host has folded itself, oldest first.
func (t *Table) History() []HistoryEntry { return slices.Clone(t.history) }

// SkippedRecords returns the records that this version does not know, oldest first.
func (t *Table) SkippedRecords() []SkippedRecord { return slices.Clone(t.Skipped) }

// NextOffset returns the offset of the next record that the table folds.
func (t *Table) NextOffset() int64 { return t.Next }

// Fingerprint returns a digest of all folded records. It is equal on all hosts at the same offset.
func (t *Table) Fingerprint() uint64 { return t.Digest }

// Row returns a row and its version. The version is zero for an unknown row.
func (t *Table) Row(name string) (Row, int64) {
	v := t.Rows[name]
	return v.Row, v.Version
}

// Verdict returns the verdict on an edit, and false if the edit was not seen.
func (t *Table) Verdict(id string) (Verdict, bool) {
	j, ok := t.byID[id]
	return j, ok
}

// Preview returns a cell.ValueError if an edit would be void whatever its base version. It allows
// checking an edit before it is written.
func (t *Table) Preview(e Edit) error {
	if e.Drop {
		return nil
	}
	_, err := t.rowAfterEdit(e)
	return err
}

// Line is a row with its version, as operators see it.
type Line struct {
	Row
	Version int64 `json:"version"`
}

// Lines returns all rows, sorted by name.
func (t *Table) Lines() []Line {
	lines := make([]Line, 0, len(t.Rows))
	for _, name := range slices.Sorted(maps.Keys(t.Rows)) {
		lines = append(lines, t.Rows[name])
	}
	return lines
}
