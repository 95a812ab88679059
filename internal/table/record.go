package table

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// The kinds of record that this version knows. A later version that adds a column must give its
// edits another kind: an older host would reject the unknown column and come to a different verdict
// than a newer host.
const (
	kindEdit         = "edit"
	kindQuota        = "quota"
	kindConfirmation = "settle"
	kindSnapshot     = "snapshot"
)

// record is the envelope of all records. The checksum covers kind and body, so that it can be
// verified for kinds that this version does not know.
type record struct {
	Kind string          `json:"kind"`
	Sum  uint64          `json:"sum"`
	Body json.RawMessage `json:"body"`
}

// RecordError reports why a record in the log cannot be read.
type RecordError struct{ Reason string }

func (e *RecordError) Error() string { return "table record: " + e.Reason }

// Encode returns an Edit, a QuotaEdit or a ShareConfirmation as a record.
func Encode[R Edit | QuotaEdit | ShareConfirmation](r R) ([]byte, error) {
	switch r := any(r).(type) {
	case QuotaEdit:
		return encodeRecord(kindQuota, r)
	case ShareConfirmation:
		return encodeRecord(kindConfirmation, r)
	default:
		return encodeRecord(kindEdit, r)
	}
}

func encodeRecord(kind string, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s body", kind)
	}
	b, err := json.Marshal(record{Kind: kind, Sum: sum(kind, body), Body: body})
	return b, errors.Wrapf(err, "encode %s record", kind)
}

func sum(kind string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(kind)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// openRecord decodes the envelope and rejects a record whose checksum does not match. Accepting one
// would put a row in force that no operator wrote.
func openRecord(b []byte) (record, error) {
	var r record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, &RecordError{Reason: err.Error()}
	}
	if r.Sum != sum(r.Kind, r.Body) {
		return r, &RecordError{Reason: "checksum does not match"}
	}
	return r, nil
}

// decodeBody decodes the body of a record into v. It rejects fields that this version does not
// know, because a record must not be folded in part.
func (r record) decodeBody(v any) error {
	d := json.NewDecoder(bytes.NewReader(r.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &RecordError{Reason: err.Error()}
	}
	return nil
}

// Decode reads a record of a known kind: an Edit, a QuotaEdit, a ShareConfirmation or a part of a
// snapshot. The error is a RecordError.
func Decode(b []byte) (any, error) {
	r, err := openRecord(b)
	if err != nil {
		return nil, err
	}
	switch r.Kind {
	case kindEdit:
		return decodeAs[Edit](r)
	case kindQuota:
		return decodeAs[QuotaEdit](r)
	case kindConfirmation:
		return decodeAs[ShareConfirmation](r)
	case kindSnapshot:
		return decodeAs[part](r)
	default:
		return nil, &RecordError{Reason: "kind " + r.Kind + " is not known"}
	}
}

func decodeAs[R any](r record) (any, error) {
	var v R
	err := r.decodeBody(&v)
	return v, err
}
