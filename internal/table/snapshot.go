package table

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// part is a piece of a snapshot. The log bounds a record's size, a table has no
// such bound. Folds are equal, so the parts that two hosts wrote for the same
// offset are equal too, and those of one may complete those of the other.
type part struct {
	Next  int64  `json:"next"`
	Index int    `json:"part"`
	Of    int    `json:"of"`
	Whole uint64 `json:"whole"`
	When  int64  `json:"when"`
	Piece []byte `json:"piece"`
}

// partialSnapshot are the parts of one snapshot that were seen so far.
type partialSnapshot struct {
	first  int64
	whole  uint64
	when   int64
	pieces [][]byte
}

// pieceSize bounds a part so that its record stays under 256 KiB.
const pieceSize = 96 << 10

// maxIncomplete bounds the snapshots whose parts are still being gathered.
const maxIncomplete = 8

// maxParts bounds what a snapshot may claim, 3 MiB; a peer's copy of it must go
// into one message.
const maxParts = 32

// Snapshot writes the table as records.
func (t *Table) Snapshot(now time.Time) ([][]byte, error) {
	whole, err := json.Marshal(t.state)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	pieces := slices.Collect(slices.Chunk(whole, pieceSize))
	records := make([][]byte, len(pieces))
	for i, piece := range pieces {
		p := part{Next: t.Next, Index: i, Of: len(pieces), Whole: xxhash.Sum64(whole), When: now.UnixMilli(), Piece: piece}
		if records[i], err = encodeRecord(kindSnapshot, p); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// add keeps a part and tells whether the snapshot is complete.
func (g *partialSnapshot) add(p part, offset int64) bool {
	if g.pieces == nil || g.whole != p.Whole || len(g.pieces) != p.Of {
		*g = partialSnapshot{first: offset, whole: p.Whole, when: p.When, pieces: make([][]byte, p.Of)}
	}
	g.pieces[p.Index] = p.Piece
	return !slices.ContainsFunc(g.pieces, func(b []byte) bool { return b == nil })
}

func (p part) valid() bool {
	return p.Next > 0 && p.Of > 0 && p.Of <= maxParts && p.Index >= 0 && p.Index < p.Of && p.Piece != nil
}

// state reads the table out of a complete snapshot.
func (g *partialSnapshot) state() (state, error) {
	whole := slices.Concat(g.pieces...)
	if xxhash.Sum64(whole) != g.whole {
		return state{}, &RecordError{Reason: "snapshot's checksum does not match"}
	}
	var s state
	if err := json.Unmarshal(whole, &s); err != nil {
		return s, &RecordError{Reason: err.Error()}
	}
	if s.Rows == nil || s.Quotas == nil {
		return s, &RecordError{Reason: "snapshot has no rows"}
	}
	s.byID = map[string]Verdict{}
	for _, j := range s.Judged {
		s.byID[j.ID] = j
	}
	return s, nil
}

// foldSnapshotPart notes a snapshot that is met while folding. The table is already
// there, so that only its place in the log and its age count.
func (t *Table) foldSnapshotPart(now time.Time, p part, offset int64) {
	if !p.valid() {
		return
	}
	g := t.incomplete[p.Next]
	if g == nil {
		// A writer that died between two parts leaves some that never complete.
		if len(t.incomplete) > maxIncomplete {
			clear(t.incomplete)
		}
		g = &partialSnapshot{}
		t.incomplete[p.Next] = g
	}
	if !g.add(p, offset) {
		return
	}
	delete(t.incomplete, p.Next)
	// What a host needs to start is everything from the snapshot's own offset,
	// which lies before its record by what was appended meanwhile.
	t.oldestNeeded = min(p.Next, g.first)
	t.snapshotTime = earlier(now, time.UnixMilli(g.when))
	t.dueSince = time.Time{}
}

// recordEditTime notes the age of the oldest record that is needed while no snapshot
// was seen.
func (t *Table) recordEditTime(now time.Time, when int64) {
	if t.snapshotTime.IsZero() && when > 0 {
		t.snapshotTime = earlier(now, time.UnixMilli(when))
	}
}

// earlier returns the writer's time unless its clock is ahead of this host's.
func earlier(now, written time.Time) time.Time {
	if written.After(now) {
		return now
	}
	return written
}

// catchUp starts from the newest complete snapshot whose following records are
// all there. Without one the table stays as it is: an older table that is in
// force is better than a hole in a newer one.
func (t *Table) catchUp(now time.Time, entries []Entry) []Action {
	if len(entries) > 0 && entries[0].Offset <= t.Next {
		return t.foldAll(now, entries)
	}
	start, ok := t.bestStart(entries)
	if !ok {
		return []Action{SnapshotMissing{Want: t.Next}}
	}
	t.restore(start)
	acts := []Action{Restored{Next: start.Next}}
	return append(acts, t.foldAll(now, entries)...)
}

func (t *Table) bestStart(entries []Entry) (state, bool) {
	parts := map[int64]*partialSnapshot{}
	best := state{}
	for _, e := range entries {
		v, err := Decode(e.Body)
		p, ok := v.(part)
		if err != nil || !ok || !p.valid() {
			continue
		}
		if parts[p.Next] == nil {
			parts[p.Next] = &partialSnapshot{}
		}
		if !parts[p.Next].add(p, e.Offset) || p.Next < max(t.Next, best.Next, entries[0].Offset) {
			continue
		}
		if s, err := parts[p.Next].state(); err == nil && s.Next == p.Next {
			best = s
		}
	}
	return best, best.Next > 0
}

// restoreFromPeer takes a peer's table if it is further on than this one.
func (t *Table) restoreFromPeer(records [][]byte) []Action {
	g := partialSnapshot{}
	for _, b := range records {
		v, err := Decode(b)
		p, ok := v.(part)
		if err != nil || !ok || !p.valid() || !g.add(p, p.Next) {
			continue
		}
		s, err := g.state()
		if err != nil || s.Next != p.Next || s.Next <= t.Next {
			return nil
		}
		t.restore(s)
		// The copy's writer minds the snapshots that lie before it.
		t.oldestNeeded = s.Next
		return []Action{Restored{Next: t.Next}}
	}
	return nil
}

// restore replaces the table. Records that the snapshot's writer did not know
// are folded now if this version knows them.
func (t *Table) restore(s state) {
	passed := s.Skipped
	s.Skipped = nil
	next, digest := s.Next, s.Digest
	t.state = s
	t.incomplete = map[int64]*partialSnapshot{}
	for _, p := range passed {
		if _, err := Decode(p.Body); err != nil {
			t.Skipped = append(t.Skipped, p)
			continue
		}
		t.fold(time.Time{}, Entry(p))
	}
	t.Next, t.Digest = next, digest
}

// When a snapshot is due.
const (
	// SnapshotAge is the age at which the newest snapshot is written again. The
	// log keeps records for a limited time, at least a day, also when nobody
	// edits anything: a quarter of that leaves three more tries.
	SnapshotAge = 6 * time.Hour
	// maxRecordsAfterSnapshot is how many records a new host folds at most before that.
	maxRecordsAfterSnapshot = 512
	// rankDelay is how long each host leaves the write to those before it.
	rankDelay = 3 * time.Second
)

// snapshotIfDue asks for a snapshot while what is needed to start a host lies in the
// older half of what the log keeps, or the last one is old.
func (t *Table) snapshotIfDue(now time.Time, ev Tick) []Action {
	if !t.needsSnapshot(now, ev.Oldest) {
		t.dueSince = time.Time{}
		return nil
	}
	if t.dueSince.IsZero() {
		t.dueSince = now
	}
	if now.Sub(t.dueSince) < time.Duration(ev.Rank)*rankDelay {
		return nil
	}
	records, err := t.Snapshot(now)
	if err != nil {
		return nil
	}
	// The next try is due only after every host has had its turn.
	t.dueSince = now.Add(rankDelay)
	acts := make([]Action, len(records))
	for i, b := range records {
		acts[i] = Append{Body: b}
	}
	return acts
}

func (t *Table) needsSnapshot(now time.Time, oldest int64) bool {
	if t.Next == 1 {
		return false
	}
	if t.snapshotTime.IsZero() {
		t.snapshotTime = now
	}
	needed := max(t.oldestNeeded, 1)
	half := oldest > 1 && needed-oldest < (t.Next-oldest)/2
	return half || t.Next-needed > maxRecordsAfterSnapshot || now.Sub(t.snapshotTime) > SnapshotAge
}
