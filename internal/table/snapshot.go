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

// gathered are the parts of one snapshot that were seen so far.
type gathered struct {
	first  int64
	whole  uint64
	when   int64
	pieces [][]byte
}

// pieceSize bounds a part so that its record stays under 256 KiB.
const pieceSize = 96 << 10

// unfinishedKept bounds the snapshots whose parts are still being gathered.
const unfinishedKept = 8

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
		if records[i], err = seal(kindSnapshot, p); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// add keeps a part and tells whether the snapshot is complete.
func (g *gathered) add(p part, offset int64) bool {
	if g.pieces == nil || g.whole != p.Whole || len(g.pieces) != p.Of {
		*g = gathered{first: offset, whole: p.Whole, when: p.When, pieces: make([][]byte, p.Of)}
	}
	g.pieces[p.Index] = p.Piece
	return !slices.ContainsFunc(g.pieces, func(b []byte) bool { return b == nil })
}

func (p part) good() bool {
	return p.Next > 0 && p.Of > 0 && p.Of <= maxParts && p.Index >= 0 && p.Index < p.Of && p.Piece != nil
}

// state reads the table out of a complete snapshot.
func (g *gathered) state() (state, error) {
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

// gather notes a snapshot that is met while folding. The table is already
// there, so that only its place in the log and its age count.
func (t *Table) gather(now time.Time, p part, offset int64) {
	if !p.good() {
		return
	}
	g := t.parts[p.Next]
	if g == nil {
		// A writer that died between two parts leaves some that never complete.
		if len(t.parts) > unfinishedKept {
			clear(t.parts)
		}
		g = &gathered{}
		t.parts[p.Next] = g
	}
	if !g.add(p, offset) {
		return
	}
	delete(t.parts, p.Next)
	// What a host needs to start is everything from the snapshot's own offset,
	// which lies before its record by what was appended meanwhile.
	t.needed = min(p.Next, g.first)
	t.saved = earlier(now, time.UnixMilli(g.when))
	t.dueFrom = time.Time{}
}

// began notes the age of the oldest record that is needed while no snapshot
// was seen.
func (t *Table) began(now time.Time, when int64) {
	if t.saved.IsZero() && when > 0 {
		t.saved = earlier(now, time.UnixMilli(when))
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
	parts := map[int64]*gathered{}
	best := state{}
	for _, e := range entries {
		v, err := Decode(e.Body)
		p, ok := v.(part)
		if err != nil || !ok || !p.good() {
			continue
		}
		if parts[p.Next] == nil {
			parts[p.Next] = &gathered{}
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

// copyFrom takes a peer's table if it is further on than this one.
func (t *Table) copyFrom(records [][]byte) []Action {
	g := gathered{}
	for _, b := range records {
		v, err := Decode(b)
		p, ok := v.(part)
		if err != nil || !ok || !p.good() || !g.add(p, p.Next) {
			continue
		}
		s, err := g.state()
		if err != nil || s.Next != p.Next || s.Next <= t.Next {
			return nil
		}
		t.restore(s)
		// The copy's writer minds the snapshots that lie before it.
		t.needed = s.Next
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
	t.parts = map[int64]*gathered{}
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
	// snapshotRecords is how many records a new host folds at most before that.
	snapshotRecords = 512
	// snapshotTurn is how long each host leaves the write to those before it.
	snapshotTurn = 3 * time.Second
)

// due asks for a snapshot while what is needed to start a host lies in the
// older half of what the log keeps, or the last one is old.
func (t *Table) due(now time.Time, ev Tick) []Action {
	if !t.needsSaving(now, ev.Oldest) {
		t.dueFrom = time.Time{}
		return nil
	}
	if t.dueFrom.IsZero() {
		t.dueFrom = now
	}
	if now.Sub(t.dueFrom) < time.Duration(ev.Rank)*snapshotTurn {
		return nil
	}
	records, err := t.Snapshot(now)
	if err != nil {
		return nil
	}
	// The next try is due only after every host has had its turn.
	t.dueFrom = now.Add(snapshotTurn)
	acts := make([]Action, len(records))
	for i, b := range records {
		acts[i] = Append{Body: b}
	}
	return acts
}

func (t *Table) needsSaving(now time.Time, oldest int64) bool {
	if t.Next == 1 {
		return false
	}
	if t.saved.IsZero() {
		t.saved = now
	}
	needed := max(t.needed, 1)
	half := oldest > 1 && needed-oldest < (t.Next-oldest)/2
	return half || t.Next-needed > snapshotRecords || now.Sub(t.saved) > SnapshotAge
}
