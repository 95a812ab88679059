package cell

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written as text ("250ms", "3s") in settings, table rows and
// messages.
type Duration struct{ time.Duration }

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the formats that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.WithStack(&ValueError{Field: "duration", Found: string(b), Allowed: "a time such as 250ms or 3s"})
	}
	d.Duration = v
	return nil
}
