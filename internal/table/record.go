package table

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// The kinds of record that this version knows. A later version that adds a
// column must give its edits another kind: an older host would find the column
// unknown and come to another verdict than a newer one.
const (
	kindEdit         = "edit"
	kindQuota        = "quota"
	kindConfirmation = "settle"
	kindSnapshot     = "snapshot"
)

// record is the envelope of all records. The sum is over kind and body, so that
// it can be checked for kinds that this version does not know.
type record struct {
	Kind string          `json:"kind"`
	Sum  uint64          `json:"sum"`
	Body json.RawMessage `json:"body"`
}

// RecordError tells why a record in the log cannot be read.
type RecordError struct{ Reason string }

func (e *RecordError) Error() string { return "table record: " + e.Reason }

// Encode writes an Edit, a QuotaEdit or a Settle as a record.
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
		return nil, errors.Wrapf(err, "encode %s", kind)
	}
	b, err := json.Marshal(record{Kind: kind, Sum: sum(kind, body), Body: body})
	return b, errors.Wrapf(err, "seal %s", kind)
}

func sum(kind string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(kind)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// openRecord reads the envelope and refuses a record whose checksum does not match,
// which would otherwise put a row in force that no operator wrote.
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

// decodeBody fills v from a record's body. Fields that this version does not know are
// refused: half a record must not be folded.
func (r record) decodeBody(v any) error {
	d := json.NewDecoder(bytes.NewReader(r.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &RecordError{Reason: err.Error()}
	}
	return nil
}

// Decode reads a record of a known kind: an Edit, a QuotaEdit, a Settle or a
// snapshot's part. The error is a RecordError.
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
