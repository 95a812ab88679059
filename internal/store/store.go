// Package store defines what this program needs of the platform's store: an append-only log with
// partitions, the latest record of each key, fenced and conditional appends, and groups whose
// members divide partitions among them.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Op is the operation of a call.
type Op string

// The operations.
const (
	Append Op = "append"
	Read   Op = "read"
	Newest Op = "newest"
	Join   Op = "join"
	Leave  Op = "leave"
	Owners Op = "owners"
)

// isRead reports whether the operation changes nothing, so that repeating it is cheap.
func (o Op) isRead() bool { return o == Read || o == Newest || o == Owners }

// Call is one call to the store. All operations share one type so that a host can make a call on
// behalf of another host.
type Call struct {
	Op    Op     `json:"op"`
	Topic string `json:"topic,omitempty"`
	Part  int    `json:"part,omitempty"`
	// Records are appended all or none. If Keyed is set, the records have keys.
	Records []Record `json:"records,omitempty"`
	Keyed   bool     `json:"keyed,omitempty"`
	// At, if not nil, is the offset at which the partition must end for the append to be carried
	// out.
	At *int64 `json:"at,omitempty"`
	// Epoch fences appends: after the partition has seen a higher epoch, it refuses appends with
	// a lower one. Zero means no fencing. Seq numbers the appends of an epoch, so that a repeated
	// append is carried out once.
	Epoch int64 `json:"epoch,omitempty"`
	Seq   int64 `json:"seq,omitempty"`
	// From is the first offset to read. After is the last key that the caller already has.
	From  int64  `json:"from,omitempty"`
	After string `json:"after,omitempty"`
	// Wait is how long a read may wait for records.
	Wait time.Duration `json:"wait,omitempty"`
	// Group, Member, Topics, TTL and Generation are used by the group operations.
	Group      string        `json:"group,omitempty"`
	Member     string        `json:"member,omitempty"`
	Topics     []string      `json:"topics,omitempty"`
	TTL        time.Duration `json:"ttl,omitempty"`
	Generation int64         `json:"generation,omitempty"`
	// OnReply, if set, is called when the answer begins to arrive. A large answer takes long on a
	// slow link although the store has answered in time.
	OnReply func() `json:"-"`
	// Bulk means that the answer may be large and is not urgent. A large answer on a slow link looks
	// like silence, so such a call is made on one route after the other, not on several at once.
	Bulk bool `json:"-"`
	// NewConn asks for a new connection, because the open ones may have gone silent.
	NewConn bool `json:"-"`
}

// Record is one record of a log. A keyed record without a value deletes its key.
type Record struct {
	Offset int64  `json:"offset,omitempty"`
	Key    string `json:"key,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

// Share is one partition and the member that owns it.
type Share struct {
	Topic  string `json:"topic"`
	Part   int    `json:"part"`
	Member string `json:"member,omitempty"`
}

// Answer is the store's answer to a call.
type Answer struct {
	// Offset is the offset of the first appended record, End the next free offset, and First the
	// oldest offset that is kept.
	Offset  int64    `json:"offset,omitempty"`
	End     int64    `json:"end,omitempty"`
	First   int64    `json:"first,omitempty"`
	Records []Record `json:"records,omitempty"`
	// More reports whether there are more keys after the last one returned.
	More       bool    `json:"more,omitempty"`
	Generation int64   `json:"generation,omitempty"`
	Shares     []Share `json:"shares,omitempty"`
}

// Log is the platform's store.
type Log interface {
	Do(ctx context.Context, c Call) (Answer, error)
}

// RefusedError means that the store refused the call and did nothing.
type RefusedError struct {
	Op     Op
	Reason string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("store refused %s: %s", e.Op, e.Reason) }

// NotDone reports whether err means for certain that the store did nothing. An UnansweredError
// may wrap a refusal, when one route gave no answer and another refused. If that counted as a
// refusal, a caller would be told that its job is not stored although it is.
func NotDone(err error) bool {
	var unanswered *UnansweredError
	var no *RefusedError
	return errors.As(err, &no) && !errors.As(err, &unanswered)
}

// UnansweredError means that there was no answer: the call may have been carried out, or may
// still be carried out later.
type UnansweredError struct {
	Op    Op
	Cause error
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("store did not answer %s: %s", e.Op, e.Cause)
}

// Unwrap returns the transport's error.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// FencedError means that a writer with a higher epoch writes to the partition.
type FencedError struct{ Epoch int64 }

func (e *FencedError) Error() string { return fmt.Sprintf("epoch %d is fenced off", e.Epoch) }

// EndMismatchError means that the partition did not end at the offset that the call required.
type EndMismatchError struct{ End int64 }

func (e *EndMismatchError) Error() string { return fmt.Sprintf("log ends at %d", e.End) }

// TrimmedError means that the requested records were trimmed from the log.
type TrimmedError struct{ First int64 }

func (e *TrimmedError) Error() string { return fmt.Sprintf("log begins at %d", e.First) }

// InvalidError means that the other side could not interpret the call or its answer.
type InvalidError struct {
	Op     Op
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("bad %s: %s", e.Op, e.Reason) }

// ReadLatest reads the latest record of each key, and returns the offset to read on from. The
// pages are not a snapshot: the offset is the end at the time of the first page, so a reader that
// follows from there may see some records again.
func ReadLatest(ctx context.Context, l Log, topic string, part int) ([]Record, int64, error) {
	var all []Record
	from := int64(-1)
	after := ""
	for {
		a, err := l.Do(ctx, Call{Op: Newest, Topic: topic, Part: part, After: after})
		if err != nil {
			return nil, 0, err
		}
		if from < 0 {
			from = a.End
		}
		all = append(all, a.Records...)
		if !a.More || len(a.Records) == 0 {
			return all, from, nil
		}
		after = a.Records[len(a.Records)-1].Key
	}
}
