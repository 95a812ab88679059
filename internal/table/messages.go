package table

import (
	"encoding/json"
	"time"

	"pollencroft/internal/cell"
)

// Event is what the table core is told.
type Event interface{ event() }

// Entry is one record as it lies in the log.
type Entry struct {
	Offset int64
	Body   []byte
}

// Records is a run of log entries in offset order.
type Records struct{ Entries []Entry }

// TrimmedLog is everything that a trimmed log still holds, in offset order: the
// table looks for a snapshot in it to start from.
type TrimmedLog struct{ Entries []Entry }

// PeerCopy is a peer's whole table as snapshot records.
type PeerCopy struct{ Parts [][]byte }

// Tick asks whether a snapshot is due. Oldest is the oldest offset that the
// log still has; Rank is this host's place among the live hosts, so that they
// do not all write the same snapshot at once.
type Tick struct {
	Oldest int64
	Rank   int
}

func (Records) event()    {}
func (TrimmedLog) event() {}
func (PeerCopy) event()   {}
func (Tick) event()       {}

// Action is what the table core asks its edge to do.
type Action interface{ action() }

// RowChanged tells that a row now has another version, or none.
type RowChanged struct {
	Row     Row
	Version int64
	Gone    bool
}

// Verdict tells the verdict on one edit. Every reader comes to the same one.
type Verdict struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// Gap tells that entries were left unread because records before them are
// missing, or because a record was damaged on its way: read again from Want.
type Gap struct{ Want, Found int64 }

// SnapshotMissing tells that the log no longer holds what is needed and no snapshot that
// stands in for it: ask the peers.
type SnapshotMissing struct{ Want int64 }

// Restored tells that the table went forward to an offset from a snapshot.
type Restored struct{ Next int64 }

// Append asks to write one record to the log.
type Append struct{ Body []byte }

func (RowChanged) action()      {}
func (Verdict) action()         {}
func (Gap) action()             {}
func (SnapshotMissing) action() {}
func (Restored) action()        {}
func (Append) action()          {}

// Edit is one operator's change to one row, as kept in the log. Base is the
// version of the row that the operator saw, zero for a row that was not there.
// When is in Unix milliseconds, for people to read only.
type Edit struct {
	ID     string          `json:"id"`
	Row    string          `json:"row"`
	Base   int64           `json:"base"`
	Fields json.RawMessage `json:"fields,omitempty"`
	Drop   bool            `json:"drop,omitempty"`
	Author string          `json:"who,omitempty"`
	When   int64           `json:"when,omitempty"`
}

// QuotaEdit sets a team's quota and the weights by which the failure domains
// share it.
type QuotaEdit struct {
	ID       string           `json:"id"`
	Team     string           `json:"team"`
	Base     int64            `json:"base"`
	Capacity cell.Size        `json:"room"`
	Tasks    int64            `json:"tasks"`
	Domains  map[string]int64 `json:"domains"`
	Author   string           `json:"who,omitempty"`
	When     int64            `json:"when,omitempty"`
}

// ShareConfirmation tells that every host of a failure domain works by its smaller share
// of a quota, so that the others may have theirs. Version is the quota's.
type ShareConfirmation struct {
	Team    string `json:"team"`
	Version int64  `json:"version"`
	Domain  string `json:"domain"`
}

// HistoryEntry is one edit with its verdict, as operators see it in the log.
type HistoryEntry struct {
	Verdict
	Offset int64     `json:"offset"`
	Row    string    `json:"row"`
	Author string    `json:"who,omitempty"`
	When   time.Time `json:"when"`
	Change string    `json:"what"`
}
