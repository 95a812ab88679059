package table

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// part is a piece of a snapshot. The log bounds the size of a record, but the table has no such
// bound. All hosts fold the same table, so the parts that two hosts write for the same offset are
// equal, and parts of one host can complete those of the other.
type part struct {
	Next     int64  `json:"next"`
	Index    int    `json:"part"`
	Of       int    `json:"of"`
	Checksum uint64 `json:"whole"`
	When     int64  `json:"when"`
	Piece    []byte `json:"piece"`
}

// partialSnapshot holds the parts of one snapshot that were read so far.
type partialSnapshot struct {
	first    int64
	checksum uint64
	when     int64
	pieces   [][]byte
}

// pieceSize bounds a part so that its record stays under 256 KiB.
const pieceSize = 96 << 10

// maxIncomplete bounds the number of snapshots with missing parts that are kept.
const maxIncomplete = 8

// maxParts bounds the size of a snapshot to 3 MiB, because a peer's copy of it must fit into one
// message.
const maxParts = 32

// Snapshot returns the table encoded as snapshot records.
func (t *Table) Snapshot(now time.Time) ([][]byte, error) {
	whole, err := json.Marshal(t.state)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	pieces := slices.Collect(slices.Chunk(whole, pieceSize))
	records := make([][]byte, len(pieces))
	for i, piece := range pieces {
		p := part{Next: t.Next, Index: i, Of: len(pieces), Checksum: xxhash.Sum64(whole), When: now.UnixMilli(), Piece: piece}
		if records[i], err = encodeRecord(kindSnapshot, p); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// add stores a part and reports whether the snapshot is complete.
func (g *partialSnapshot) add(p part, offset int64) bool {
	if g.pieces == nil || g.checksum != p.Checksum || len(g.pieces) != p.Of {
		*g = partialSnapshot{first: offset, checksum: p.Checksum, when: p.When, pieces: make([][]byte, p.Of)}
	}
	g.pieces[p.Index] = p.Piece
	return !slices.ContainsFunc(g.pieces, func(b []byte) bool { return b == nil })
}

func (p part) valid() bool {
	return p.Next > 0 && p.Of > 0 && p.Of <= maxParts && p.Index >= 0 && p.Index < p.Of && p.Piece != nil
}

// state decodes the table from a complete snapshot.
func (g *partialSnapshot) state() (state, error) {
	whole := slices.Concat(g.pieces...)
	if xxhash.Sum64(whole) != g.checksum {
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

// foldSnapshotPart records a snapshot that appears in the log while folding. The table is already
// up to date, so only the snapshot's offset and age matter.
func (t *Table) foldSnapshotPart(now time.Time, p part, offset int64) {
	if !p.valid() {
		return
	}
	g := t.incomplete[p.Next]
	if g == nil {
		// A writer that died between two parts leaves a snapshot that never completes.
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
	// A starting host needs everything from the snapshot's own offset on. That offset lies before
	// the snapshot's record if other records were appended in the meantime.
	t.oldestNeeded = min(p.Next, g.first)
	t.snapshotTime = earlier(now, time.UnixMilli(g.when))
	t.dueSince = time.Time{}
}

// recordEditTime records the age of the oldest needed record while no snapshot was read.
func (t *Table) recordEditTime(now time.Time, when int64) {
	if t.snapshotTime.IsZero() && when > 0 {
		t.snapshotTime = earlier(now, time.UnixMilli(when))
	}
}

// earlier returns the writer's time, or now if the writer's clock is ahead of this host's.
func earlier(now, written time.Time) time.Time {
	if written.After(now) {
		return now
	}
	return written
}

// catchUp starts from the newest complete snapshot for which all following records are available.
// Without one the table stays as it is: an older table in force is better than a newer one that
// misses records.
func (t *Table) catchUp(now time.Time, entries []Entry) []Action {
	if len(entries) > 0 && entries[0].Offset <= t.Next {
		return t.foldAll(now, entries)
	}
	start, ok := t.newestUsableSnapshot(entries)
	if !ok {
		return []Action{SnapshotMissing{Want: t.Next}}
	}
	t.restore(start)
	acts := []Action{Restored{Next: start.Next}}
	return append(acts, t.foldAll(now, entries)...)
}

func (t *Table) newestUsableSnapshot(entries []Entry) (state, bool) {
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

// restoreFromPeer replaces the table by a peer's if the peer's is newer.
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
		// The writer of the copy takes care of the snapshots that lie before it.
		t.oldestNeeded = s.Next
		return []Action{Restored{Next: t.Next}}
	}
	return nil
}

// restore replaces the table by a snapshot's. Records that the writer of the snapshot did not know
// are folded now if this version knows them.
func (t *Table) restore(s state) {
	skipped := s.Skipped
	s.Skipped = nil
	next, digest := s.Next, s.Digest
	t.state = s
	t.incomplete = map[int64]*partialSnapshot{}
	for _, p := range skipped {
		if _, err := Decode(p.Body); err != nil {
			t.Skipped = append(t.Skipped, p)
			continue
		}
		t.fold(time.Time{}, Entry(p))
	}
	t.Next, t.Digest = next, digest
}

// Conditions under which a snapshot is due.
const (
	// SnapshotAge is the age at which the newest snapshot is written again. The log keeps records
	// for a limited time, at least a day, even if nobody edits anything. A quarter of that leaves
	// three more tries.
	SnapshotAge = 6 * time.Hour
	// maxRecordsAfterSnapshot is how many records a new host folds at most before another snapshot
	// is due.
	maxRecordsAfterSnapshot = 512
	// rankDelay is how long a host waits, for each host of lower rank, to let that host write the
	// snapshot.
	rankDelay = 3 * time.Second
)

// snapshotIfDue returns a snapshot to append if the records that a starting host needs begin in the
// older half of the log, if too many records follow the last snapshot, or if that is too old.
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
	// The next try is due only after every host had its turn.
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
