// Package access decides who may call: it finds the organisation that a key belongs to, and
// whether the host's table is recent enough to tell.
package access

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Key is the hash of a key. Keys are kept, compared and logged only as hashes, so neither a log nor
// the time that a lookup takes reveals a key.
type Key [sha256.Size]byte

// shownBytes is how much of a hash a log shows: enough to tell the keys of a table apart.
const shownBytes = 4

// HashKey returns the hash of a key's text.
func HashKey(text string) Key { return sha256.Sum256([]byte(text)) }

// String returns the beginning of the hash.
func (k Key) String() string { return hex.EncodeToString(k[:shownBytes]) }

// Organisation is an organisation with the keys that its callers may use.
type Organisation struct {
	Name string
	Keys []Key
}

// Directory finds the organisations of keys. The zero value knows no keys.
type Directory struct{ owners map[Key]string }

// NewDirectory returns a directory of the organisations, and what is ambiguous about them. A key of
// two organisations belongs to neither, since it does not tell who calls.
func NewDirectory(all []Organisation) (Directory, []AmbiguousKeyError) {
	d := Directory{owners: map[Key]string{}}
	var ambiguous []AmbiguousKeyError
	for _, o := range all {
		for _, k := range o.Keys {
			other, taken := d.owners[k]
			if taken && other != o.Name {
				ambiguous = append(ambiguous, AmbiguousKeyError{Key: k, Organisations: [2]string{other, o.Name}})
			}
			d.owners[k] = o.Name
		}
	}
	for _, e := range ambiguous {
		delete(d.owners, e.Key)
	}
	return d, ambiguous
}

// AmbiguousKeyError means that two organisations have the same key.
type AmbiguousKeyError struct {
	Key           Key
	Organisations [2]string
}

func (e *AmbiguousKeyError) Error() string {
	return "key " + e.Key.String() + " belongs to " + e.Organisations[0] + " and to " + e.Organisations[1]
}

// MissingKeyError means that a call has no key although it needs one, or a malformed header.
type MissingKeyError struct{ Malformed bool }

func (e *MissingKeyError) Error() string {
	if e.Malformed {
		return "malformed key, the call needs the header Authorization: Bearer KEY"
	}
	return "no key, the call needs the header Authorization: Bearer KEY"
}

// UnknownKeyError means that the key belongs to no organisation.
type UnknownKeyError struct{ Key Key }

func (e *UnknownKeyError) Error() string { return "the key belongs to no organisation" }

// StaleTableError means that the host cannot tell whether the key is valid, because its table may
// be out of date.
type StaleTableError struct {
	Key Key
	Age time.Duration
}

func (e *StaleTableError) Error() string {
	return "not known whether the key is valid, the table is from " + e.Age.Round(time.Millisecond).String() + " ago"
}

// scheme is the authentication scheme of the Authorization header; its case does not matter.
const scheme = "bearer"

// maxKeyBytes limits the length of a key.
const maxKeyBytes = 1024

// ParseHeader returns the key in the values of the Authorization header. The error is a
// MissingKeyError.
func ParseHeader(values []string) (Key, error) {
	if len(values) == 0 {
		return Key{}, &MissingKeyError{}
	}
	name, key, ok := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !ok || len(values) > 1 || !strings.EqualFold(name, scheme) || key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t,") {
		return Key{}, &MissingKeyError{Malformed: true}
	}
	return HashKey(key), nil
}

// Limits bound the age up to which a table proves something about a key.
type Limits struct {
	// Refuse is the age up to which a key that the table does not contain is invalid. It exceeds
	// the time between two reads of the table.
	Refuse time.Duration
	// Trust is the age up to which a key that the table contains may change something. It is how
	// long a key that was taken away may go on to work at a host that cannot read the table.
	Trust time.Duration
}

// Authorize returns the organisation of a key by a table that was last read age ago. A call that
// changes something is not authorized by a table that is too old to trust; one that only reads goes
// on, because the hosts that reach neither the store nor the leader still report how jobs ended.
// The error is an UnknownKeyError or a StaleTableError.
func (l Limits) Authorize(d Directory, k Key, age time.Duration, changes bool) (string, error) {
	name, ok := d.owners[k]
	switch {
	case !ok && age > l.Refuse, ok && changes && age > l.Trust:
		return "", &StaleTableError{Key: k, Age: age}
	case !ok:
		return "", &UnknownKeyError{Key: k}
	default:
		return name, nil
	}
}

// Owns reports whether a caller of an organisation may read and cancel a job. A job of no
// organisation was accepted from a public route, or before there were organisations.
func Owns(caller, owner string) bool { return owner == "" || owner == caller }
