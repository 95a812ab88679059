// Package incarnation names the lifetimes of workers. On platforms whose workers may restart under
// the ID that they had, the time of a worker's start tells its incarnations apart.
package incarnation

import (
	"strconv"
	"strings"
)

// separator stands between the ID of a worker and the time of its start.
const separator = "@"

// Name identifies one incarnation of a worker.
type Name struct {
	ID string
	// Born is when the incarnation began, in Unix milliseconds. It is valid only if HasBorn is set:
	// not all platforms report it.
	Born    int64
	HasBorn bool
}

// Parse returns the name that String has written.
func Parse(s string) Name {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return Name{ID: s}
	}
	id, rest := s[:i], s[i+len(separator):]
	if rest == "" {
		return Name{ID: id}
	}
	born, err := strconv.ParseInt(rest, 10, 64)
	if err != nil || strconv.FormatInt(born, 10) != rest {
		return Name{ID: s}
	}
	return Name{ID: id, Born: born, HasBorn: true}
}

// String returns ID@BORN, or only the ID if the start is not known. An ID that would read as another
// name then ends with the separator.
func (n Name) String() string {
	switch {
	case n.HasBorn:
		return n.ID + separator + strconv.FormatInt(n.Born, 10)
	case Parse(n.ID) != Name{ID: n.ID}:
		return n.ID + separator
	default:
		return n.ID
	}
}

// Replaces reports whether n is certainly a later incarnation than o, or the same one if the start of
// o is not known.
func (n Name) Replaces(o Name) bool {
	return n.ID == o.ID && n.HasBorn && (!o.HasBorn || n.Born > o.Born)
}
