package table

import (
	"encoding/json"
	"time"

	"pollencroft/internal/cell"
)

// Event is an input of the table's state machine.
type Event interface{ event() }

// Entry is one record of the log and its offset.
type Entry struct {
	Offset int64
	Body   []byte
}

// Records is a run of log entries in offset order.
type Records struct{ Entries []Entry }

// TrimmedLog is everything that a trimmed log still holds, in offset order. The table looks for a
// snapshot in it to start from.
type TrimmedLog struct{ Entries []Entry }

// PeerCopy is the whole table of a peer as snapshot records.
type PeerCopy struct{ Parts [][]byte }

// Tick asks whether a snapshot is due. Oldest is the oldest offset that the log still has. Rank is
// the position of this host among the live hosts, so that they do not all write the same snapshot
// at once.
type Tick struct {
	Oldest int64
	Rank   int
}

func (Records) event()    {}
func (TrimmedLog) event() {}
func (PeerCopy) event()   {}
func (Tick) event()       {}

// Action is a request or result that the table's state machine hands to its caller.
type Action interface{ action() }

// RowChanged reports that a row has a new version, or with Gone that it was dropped.
type RowChanged struct {
	Row     Row
	Version int64
	Gone    bool
}

// Verdict reports whether an edit was accepted. Every reader of the log comes to the same verdict.
type Verdict struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// Gap reports that entries were not folded because records before them are missing or because a
// record was damaged in transit. The log must be read again from Want.
type Gap struct{ Want, Found int64 }

// SnapshotMissing reports that the log no longer holds the wanted records and holds no snapshot
// that replaces them. The peers must be asked for a copy.
type SnapshotMissing struct{ Want int64 }

// Restored reports that the table moved forward to an offset from a snapshot.
type Restored struct{ Next int64 }

// Append asks the caller to write one record to the log.
type Append struct{ Body []byte }

func (RowChanged) action()      {}
func (Verdict) action()         {}
func (Gap) action()             {}
func (SnapshotMissing) action() {}
func (Restored) action()        {}
func (Append) action()          {}

// Edit is one operator's change to one row, as stored in the log. Base is the version of the row
// that the operator saw, zero for a row that did not exist. When is in Unix milliseconds and only
// informs people.
type Edit struct {
	ID     string          `json:"id"`
	Row    string          `json:"row"`
	Base   int64           `json:"base"`
	Fields json.RawMessage `json:"fields,omitempty"`
	Drop   bool            `json:"drop,omitempty"`
	Author string          `json:"who,omitempty"`
	When   int64           `json:"when,omitempty"`
}

// QuotaEdit sets the quota of an organisation and the weights by which the failure domains share it.
type QuotaEdit struct {
	ID           string           `json:"id"`
	Organisation string           `json:"team"`
	Base         int64            `json:"base"`
	Capacity     cell.Size        `json:"room"`
	Tasks        int64            `json:"tasks"`
	Domains      map[string]int64 `json:"domains"`
	Author       string           `json:"who,omitempty"`
	When         int64            `json:"when,omitempty"`
}

// ShareConfirmation reports that every host of a failure domain applies the domain's smaller share
// of a quota, so that the other domains may use theirs. Version is the quota's version.
type ShareConfirmation struct {
	Organisation string `json:"team"`
	Version      int64  `json:"version"`
	Domain       string `json:"domain"`
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
