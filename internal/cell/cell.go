// Package cell holds the types that every other package shares: classes, outcomes, sizes and the
// names of hosts, failure domains and rows.
package cell

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Class is the urgency of work. Lower values are more urgent.
type Class int

// The classes, most urgent first.
const (
	Urgent Class = iota
	Normal
	Bulk
)

// Classes lists every class, most urgent first.
var Classes = []Class{Urgent, Normal, Bulk}

var classNames = map[Class]string{Urgent: "urgent", Normal: "normal", Bulk: "bulk"}

// String returns the name of the class as the table writes it.
func (c Class) String() string { return classNames[c] }

// ParseClass parses a class name as the table writes it.
func ParseClass(s string) (Class, error) {
	for c, name := range classNames {
		if name == s {
			return c, nil
		}
	}
	return 0, &ValueError{Field: "class", Found: s, Allowed: "urgent, normal or bulk"}
}

// Outcome is the result of a request that is reported to its caller. The zero value is not valid.
type Outcome string

// The outcomes that a reply carries in the header Pollencroft-Outcome.
const (
	// Done means that the backend server's complete reply to this request follows.
	Done Outcome = "done"
	// Refused means that the request certainly did not run and may be retried.
	Refused Outcome = "refused"
	// Unknown means that the request was sent and no complete reply was received.
	Unknown Outcome = "unknown"
)

// Size is the demand of a task or the capacity of a worker. CPU is in millicores, Mem in bytes,
// Accel in whole accelerators.
type Size struct {
	CPU   int64 `json:"cpu" toml:"cpu"`
	Mem   int64 `json:"mem" toml:"mem"`
	Accel int64 `json:"accel" toml:"accel"`
}

// MaxSize is the largest capacity that is accepted from a worker. With it, sums over all workers
// stay far from overflowing.
var MaxSize = Size{CPU: 1 << 30, Mem: 1 << 50, Accel: 1 << 20}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, Mem: s.Mem + o.Mem, Accel: s.Accel + o.Accel}
}

// Sub returns s minus o. Components may become negative.
func (s Size) Sub(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, Mem: s.Mem - o.Mem, Accel: s.Accel - o.Accel}
}

// Scale returns s multiplied by f.
func (s Size) Scale(f float64) Size {
	return Size{CPU: int64(f * float64(s.CPU)), Mem: int64(f * float64(s.Mem)), Accel: int64(f * float64(s.Accel))}
}

// FitCount returns how many times s fits into available, or math.MaxInt64 if s is zero.
func (s Size) FitCount(available Size) int64 {
	n := int64(math.MaxInt64)
	for _, p := range [...][2]int64{{s.CPU, available.CPU}, {s.Mem, available.Mem}, {s.Accel, available.Accel}} {
		if p[0] > 0 {
			n = min(n, max(p[1], 0)/p[0])
		}
	}
	return n
}

// Fits reports whether s fits into available in every component.
func (s Size) Fits(available Size) bool {
	return s.CPU <= available.CPU && s.Mem <= available.Mem && s.Accel <= available.Accel
}

// Exceeds names the first component of s that exceeds its limit, or returns "". A limit of zero means
// unlimited, a negative one allows nothing.
func (s Size) Exceeds(limit Size) string {
	switch {
	case limit.CPU != 0 && s.CPU > limit.CPU:
		return "cpu"
	case limit.Mem != 0 && s.Mem > limit.Mem:
		return "mem"
	case limit.Accel != 0 && s.Accel > limit.Accel:
		return "accel"
	default:
		return ""
	}
}

// DominantShare returns the largest component of s relative to whole.
func (s Size) DominantShare(whole Size) float64 {
	return max(ratio(s.CPU, whole.CPU), ratio(s.Mem, whole.Mem), ratio(s.Accel, whole.Accel))
}

// MinShare returns the smallest component of s relative to whole, over CPU and, if whole has any,
// memory. Accelerators are ignored. It measures how much of whole is left for any task.
func (s Size) MinShare(whole Size) float64 {
	least := ratio(s.CPU, whole.CPU)
	if whole.Mem > 0 {
		least = min(least, ratio(s.Mem, whole.Mem))
	}
	return least
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Kind is the kind of machine that a line of the host list describes.
type Kind string

// The kinds of machine on the platform's host list.
const (
	EntryHost   Kind = "host"
	WorkerHost  Kind = "worker"
	BackendHost Kind = "minion"
)

// ValueError reports which field of an input is invalid, which value was found and which values are
// allowed. HTTP handlers answer it with a 4xx status.
type ValueError struct {
	Field, Found, Allowed string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s is %s, allowed is %s", e.Field, e.Found, e.Allowed)
}

// NewID returns a UUIDv7, so that ids sort by the time of their creation.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// Home is the failure domain and rack that an id belongs to. It allows any host to forward a query
// about the id without asking another host.
type Home struct {
	Domain, Rack string
}

const homeSep = "."

// JobID returns a new job id that belongs to a home.
func JobID(h Home) string { return h.JobID(NewID()) }

// JobID returns the job id that consists of the home and the given id.
func (h Home) JobID(id string) string { return strings.Join([]string{h.Domain, h.Rack, id}, homeSep) }

// ParseHome returns the home that a job id or task id belongs to.
func ParseHome(id string) (Home, error) {
	parts := strings.Split(id, homeSep)
	if len(parts) < 3 {
		return Home{}, &ValueError{Field: "id", Found: id, Allowed: "domain.rack.uuid"}
	}
	return Home{Domain: parts[0], Rack: parts[1]}, nil
}

// KeyTime returns the creation time of a UUIDv7, and false for any other key.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
