// Package table folds the operators' edits, read from the platform's log in
// offset order, into the rows that are in force. Every host folds the same
// records and so comes to the same rows without asking another host.
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

// Table is the fold of all edits up to an offset. It is not safe for
// concurrent use; edges share copies made by Rows.
type Table struct {
	state
	damaged damage
	history []HistoryEntry
	// oldestNeeded is where the newest snapshot whose parts were all seen begins;
	// zero when there is none, so that everything from offset 1 is oldestNeeded.
	oldestNeeded int64
	snapshotTime time.Time
	dueSince     time.Time
	incomplete   map[int64]*partialSnapshot
}

// state is what a snapshot holds: all that later verdicts hang on.
type state struct {
	Next    int64            `json:"next"`
	Digest  uint64           `json:"digest"`
	Rows    map[string]Line  `json:"rows"`
	Quotas  map[string]Quota `json:"quotas"`
	Judged  []Verdict        `json:"judged"`
	Skipped []SkippedRecord  `json:"passed,omitempty"`
	byID    map[string]Verdict
}

// SkippedRecord is a record that this version does not know. It is kept in order and
// goes into snapshots, so that a version that knows it does not miss it.
type SkippedRecord struct {
	Offset int64  `json:"offset"`
	Body   []byte `json:"body"`
}

// damage is a record that could not be read, and how often it came so.
type damage struct {
	offset int64
	sum    uint64
	reads  int
}

// Bounds of what is kept.
const (
	// maxVerdicts bounds the memory of verdicts. They are part of the fold: a
	// record that was appended twice must be void for every reader, so every
	// reader remembers equally many. At 2,900 edits a day this is eight hours.
	maxVerdicts = 1024
	maxSkipped  = 256
	maxHistory  = 256
	// maxDamagedReads is how often a damaged record must come back with the same
	// bytes before it is passed over. One damaged on its way to one host only
	// would otherwise be missed by that host alone, and its table would differ.
	maxDamagedReads = 3
)

// New returns an empty table that waits for offset 1.
func New() *Table {
	return &Table{
		state:      state{Next: 1, Rows: map[string]Line{}, Quotas: map[string]Quota{}, byID: map[string]Verdict{}},
		incomplete: map[int64]*partialSnapshot{},
	}
}

// Step folds records. Entries below the next wanted offset are passed over, so
// a record that is read twice or from two sources counts once, and an answer
// that is out of date changes nothing.
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

// fold takes the next entry; false leaves it to be read again.
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

// updateDigest keeps one number that two hosts at the same offset can compare.
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

// History lists the newest edits that this host has folded itself, oldest first.
func (t *Table) History() []HistoryEntry { return slices.Clone(t.history) }

// SkippedRecords lists the records that this version does not know, oldest first.
func (t *Table) SkippedRecords() []SkippedRecord { return slices.Clone(t.Skipped) }

// NextOffset returns the offset that the table waits for.
func (t *Table) NextOffset() int64 { return t.Next }

// Fingerprint returns the number that is equal on all hosts at one offset.
func (t *Table) Fingerprint() uint64 { return t.Digest }

// Row returns a row and its version; the version is zero for an unknown row.
func (t *Table) Row(name string) (Row, int64) {
	v := t.Rows[name]
	return v.Row, v.Version
}

// Verdict returns what became of an edit, false if it was not seen.
func (t *Table) Verdict(id string) (Verdict, bool) {
	j, ok := t.byID[id]
	return j, ok
}

// Preview tells what would make an edit void whatever its base, before
// anything is written. The error is a cell.ValueError.
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

// Lines lists all rows in order of name.
func (t *Table) Lines() []Line {
	lines := make([]Line, 0, len(t.Rows))
	for _, name := range slices.Sorted(maps.Keys(t.Rows)) {
		lines = append(lines, t.Rows[name])
	}
	return lines
}
