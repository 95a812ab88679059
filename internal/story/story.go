// Package story puts together from the hosts' log lines what became of one
// request or job, over several hosts and in order of time.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one log line that names the id.
type Line struct {
	At time.Time
	// From is what stood before the line's JSON, such as the host's name.
	From    string
	Message string
	// Fields are the line's attributes in order of name.
	Fields []string
}

// String returns the line for a reader.
func (l Line) String() string {
	return fmt.Sprintf("%s %s %s %s", l.At.Format("15:04:05.000"), l.From, l.Message, strings.Join(l.Fields, " "))
}

// maxLineLength bounds one line of a log.
const maxLineLength = 1 << 20

// Read returns the lines that name the id, a task or a step of it, by time.
// Lines that are no log lines are passed over.
func Read(r io.Reader, id string) ([]Line, error) {
	var all []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineLength)
	for s.Scan() {
		if l, ok := parse(s.Bytes(), id); ok {
			all = append(all, l)
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return all, errors.Wrap(s.Err(), "read log")
}

func parse(b []byte, id string) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(b[i:], &fields) != nil {
		return Line{}, false
	}
	if !mentions(fields, id) {
		return Line{}, false
	}
	l := Line{From: strings.TrimSpace(string(b[:i]))}
	l.Message, _ = fields["msg"].(string)
	if at, ok := fields["time"].(string); ok {
		// A line without a readable time comes first.
		l.At, _ = time.Parse(time.RFC3339Nano, at)
	}
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		switch k {
		case "time", "msg", "level":
		default:
			l.Fields = append(l.Fields, fmt.Sprintf("%s=%v", k, fields[k]))
		}
	}
	return l, true
}

// mentions tells whether a line is about the id, a step or a task of it.
func mentions(fields map[string]any, id string) bool {
	for _, k := range []string{"id", "step"} {
		if v, ok := fields[k].(string); ok && (v == id || strings.HasPrefix(v, id+".")) {
			return true
		}
	}
	return false
}
