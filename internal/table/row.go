package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
)

// Kind is the kind of workload that a row describes.
type Kind string

// The kinds of workload.
const (
	Service Kind = "service"
	Batch   Kind = "batch"
	Watcher Kind = "watcher"
	Gang    Kind = "gang"
)

// Limits bound what a row may use in the whole cell. Zero means no limit.
type Limits struct {
	Slots    int64     `json:"slots,omitempty"`
	Queue    int64     `json:"queue,omitempty"`
	Tasks    int64     `json:"tasks,omitempty"`
	Capacity cell.Size `json:"room,omitzero"`
}

// Row is one line of the operators' table: the weight and the limits of a workload.
type Row struct {
	Name         string        `json:"name"`
	Kind         Kind          `json:"kind"`
	Class        string        `json:"class"`
	Organisation string        `json:"team"`
	Weight       int64         `json:"weight"`
	Limits       Limits        `json:"limits"`
	Domains      []string      `json:"domains,omitempty"`
	Tries        int64         `json:"tries"`
	Idempotent   bool          `json:"idempotent"`
	Deadline     cell.Duration `json:"deadline"`
}

// Defaults for a row that an operator creates without these fields.
const (
	DefaultWeight   = 1
	DefaultTries    = 3
	DefaultDeadline = 10 * time.Second
)

// Bounds of a row's numbers.
const (
	MaxWeight   = 1000
	MaxTries    = 100
	MaxDeadline = 24 * time.Hour
)

func newRow(name string) Row {
	return Row{
		Name: name, Kind: Service, Class: cell.Normal.String(), Organisation: "none",
		Weight: DefaultWeight, Tries: DefaultTries, Deadline: cell.Duration{Duration: DefaultDeadline},
	}
}

// Urgency returns the class of the row. An invalid class, which the check of every stored row rules
// out, counts as Bulk.
func (r Row) Urgency() cell.Class {
	c, err := cell.ParseClass(r.Class)
	if err != nil {
		return cell.Bulk
	}
	return c
}

// Apply returns the row with the given fields, if any, changed and checked. Unknown fields, wrong
// types and invalid values return a cell.ValueError.
func (r Row) Apply(fields json.RawMessage) (Row, error) {
	name := r.Name
	if len(fields) == 0 {
		return r, r.check()
	}
	// Decoding would overwrite the slice that the row in force shares.
	r.Domains = slices.Clone(r.Domains)
	d := json.NewDecoder(bytes.NewReader(fields))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return r, fieldError(err)
	}
	if d.More() {
		return r, &cell.ValueError{Field: "body", Found: "more than one value", Allowed: "a JSON object"}
	}
	r.Name = name
	return r, r.check()
}

func fieldError(err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return &cell.ValueError{Field: typ.Field, Found: typ.Value, Allowed: typ.Type.String()}
	}
	var val *cell.ValueError
	if errors.As(err, &val) {
		return val
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &cell.ValueError{Field: strings.Trim(name, `"`), Found: "an unknown field", Allowed: "a column of the table"}
	}
	return &cell.ValueError{Field: "body", Found: err.Error(), Allowed: "a JSON object"}
}

// bound is a number of a row with its range. A zero most means that there is no upper bound.
type bound struct {
	field              string
	value, least, most int64
}

func (r Row) check() error {
	switch r.Kind {
	case Service, Batch, Watcher, Gang:
	default:
		return &cell.ValueError{Field: "kind", Found: string(r.Kind), Allowed: "service, batch, watcher or gang"}
	}
	if _, err := cell.ParseClass(r.Class); err != nil {
		return err
	}
	if err := r.checkDomains(); err != nil {
		return err
	}
	numbers := []bound{
		{"weight", r.Weight, 1, MaxWeight},
		{"tries", r.Tries, 1, MaxTries},
		{"limits.slots", r.Limits.Slots, 0, 0},
		{"limits.queue", r.Limits.Queue, 0, 0},
		{"limits.tasks", r.Limits.Tasks, 0, 0},
		{"limits.room.cpu", r.Limits.Capacity.CPU, 0, 0},
		{"limits.room.mem", r.Limits.Capacity.Mem, 0, 0},
		{"limits.room.accel", r.Limits.Capacity.Accel, 0, 0},
		{"deadline", int64(r.Deadline.Duration), 1, int64(MaxDeadline)},
	}
	for _, n := range numbers {
		if n.value < n.least || n.most > 0 && n.value > n.most {
			return &cell.ValueError{Field: n.field, Found: fmt.Sprint(n.value), Allowed: n.allowed()}
		}
	}
	return nil
}

func (n bound) allowed() string {
	if n.most > 0 {
		return fmt.Sprintf("%d to %d", n.least, n.most)
	}
	return fmt.Sprintf("at least %d", n.least)
}

func (r Row) checkDomains() error {
	for i, d := range r.Domains {
		if d == "" || strings.ContainsAny(d, "./ ") || slices.Contains(r.Domains[:i], d) {
			return &cell.ValueError{Field: "domains", Found: fmt.Sprintf("%q", d), Allowed: "failure domains, each once"}
		}
	}
	return nil
}

// Serves reports whether the row runs in a failure domain.
func (r Row) Serves(domain string) bool {
	return len(r.Domains) == 0 || slices.Contains(r.Domains, domain)
}

// checkStarvation rejects a row whose weight leaves another row of its class, or itself, less than
// one part in MaxWeight. Work of that row would wait while its class is busy, and an operator would
// only see that it makes no progress.
func (t *Table) checkStarvation(r Row) error {
	all, low, name := r.Weight, r.Weight, r.Name
	for _, l := range t.Lines() {
		if l.Name == r.Name || l.Class != r.Class {
			continue
		}
		all += l.Weight
		if l.Weight < low {
			low, name = l.Weight, l.Name
		}
	}
	if low*MaxWeight < all {
		return &cell.ValueError{
			Field: "weight", Found: fmt.Sprint(r.Weight),
			Allowed: fmt.Sprintf("weights that leave row %s at least 1/%d of class %s", name, MaxWeight, r.Class),
		}
	}
	return nil
}
