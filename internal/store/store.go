// Package store says what the product needs of the platform's store: an
// append-only log with partitions, the newest record of each key, fenced and
// conditional appends, and groups whose members share out partitions.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Op names one kind of call.
type Op string

// The calls.
const (
	Append Op = "append"
	Read   Op = "read"
	Newest Op = "newest"
	Join   Op = "join"
	Leave  Op = "leave"
	Owners Op = "owners"
)

// isRead tells whether a call changes nothing, so that it costs little to make it twice.
func (o Op) isRead() bool { return o == Read || o == Newest || o == Owners }

// Call is one call to the store. It is one type for all operations so that a
// host can make a call for another one.
type Call struct {
	Op    Op     `json:"op"`
	Topic string `json:"topic,omitempty"`
	Part  int    `json:"part,omitempty"`
	// Records are appended all or none. With Keyed they have keys.
	Records []Record `json:"records,omitempty"`
	Keyed   bool     `json:"keyed,omitempty"`
	// At, if not nil, is where the partition has to end for the append to be
	// carried out.
	At *int64 `json:"at,omitempty"`
	// Epoch fences appends: once the partition has seen a higher one, a lower
	// one is refused. Zero is no fence. Seq numbers an epoch's appends, so that
	// one that is repeated is carried out once.
	Epoch int64 `json:"epoch,omitempty"`
	Seq   int64 `json:"seq,omitempty"`
	// From is the first offset to read, After the last key already had.
	From  int64  `json:"from,omitempty"`
	After string `json:"after,omitempty"`
	// Wait is how long a read may wait for records.
	Wait time.Duration `json:"wait,omitempty"`
	// Group, Member, Topics, TTL and Generation are for groups.
	Group      string        `json:"group,omitempty"`
	Member     string        `json:"member,omitempty"`
	Topics     []string      `json:"topics,omitempty"`
	TTL        time.Duration `json:"ttl,omitempty"`
	Generation int64         `json:"generation,omitempty"`
	// NewConn asks for a connection that is not open yet: those that are may have gone
	// silent.
	NewConn bool `json:"-"`
}

// Record is one record of a log. A keyed record without a value drops its key.
type Record struct {
	Offset int64  `json:"offset,omitempty"`
	Key    string `json:"key,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

// Share is one partition and the member that has it.
type Share struct {
	Topic  string `json:"topic"`
	Part   int    `json:"part"`
	Member string `json:"member,omitempty"`
}

// Answer is the store's answer to a call.
type Answer struct {
	// Offset is the first appended record's, End the next free offset and
	// First the oldest that is kept.
	Offset  int64    `json:"offset,omitempty"`
	End     int64    `json:"end,omitempty"`
	First   int64    `json:"first,omitempty"`
	Records []Record `json:"records,omitempty"`
	// More tells that there are newer keys after the last one.
	More       bool    `json:"more,omitempty"`
	Generation int64   `json:"generation,omitempty"`
	Shares     []Share `json:"shares,omitempty"`
}

// Log is the platform's store.
type Log interface {
	Do(ctx context.Context, c Call) (Answer, error)
}

// RefusedError tells that the store did nothing.
type RefusedError struct {
	Op     Op
	Reason string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("store refused %s: %s", e.Op, e.Reason) }

// NotDone tells whether err says for certain that the store did nothing. An
// UnansweredError may wrap a refusal, when one way did not answer and another
// refused: taking it for a refusal would tell a caller that its job is not
// stored while it is.
func NotDone(err error) bool {
	var unanswered *UnansweredError
	var no *RefusedError
	return errors.As(err, &no) && !errors.As(err, &unanswered)
}

// UnansweredError tells that there was no answer: the call may be carried out,
// also later.
type UnansweredError struct {
	Op    Op
	Cause error
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("store did not answer %s: %s", e.Op, e.Cause)
}

// Unwrap returns the transport's error.
func (e *UnansweredError) Unwrap() error { return e.Cause }

// FencedError tells that a higher epoch writes to the partition.
type FencedError struct{ Epoch int64 }

func (e *FencedError) Error() string { return fmt.Sprintf("epoch %d is fenced off", e.Epoch) }

// EndMismatchError tells that the partition did not end where the call said.
type EndMismatchError struct{ End int64 }

func (e *EndMismatchError) Error() string { return fmt.Sprintf("log ends at %d", e.End) }

// TrimmedError tells that the records asked for are gone.
type TrimmedError struct{ First int64 }

func (e *TrimmedError) Error() string { return fmt.Sprintf("log begins at %d", e.First) }

// InvalidError tells that the call or its answer makes no sense to the other side.
type InvalidError struct {
	Op     Op
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("bad %s: %s", e.Op, e.Reason) }

// ReadLatest reads the newest record of each key and where to follow from. The
// pages are not a snapshot: a reader follows from the first page's end, where
// records may come again.
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
