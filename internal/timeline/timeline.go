// Package timeline assembles the timeline of one request or job from the log lines of several hosts,
// in order of time.
package timeline

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

// Line is one log line that mentions the id.
type Line struct {
	At time.Time
	// From is the text before the line's JSON, such as the name of the host.
	From    string
	Message string
	// Fields are the attributes of the line, sorted by name.
	Fields []string
}

// String formats the line for display.
func (l Line) String() string {
	return fmt.Sprintf("%s %s %s %s", l.At.Format("15:04:05.000"), l.From, l.Message, strings.Join(l.Fields, " "))
}

// maxLineLength bounds the length of one log line.
const maxLineLength = 1 << 20

// Read returns the lines that mention the id, or a task or step of it, in order of time. Input
// lines that are not log lines are skipped.
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
		// A line without a valid time sorts first.
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

// mentions reports whether a line is about the id, or about a step or task of it.
func mentions(fields map[string]any, id string) bool {
	for _, k := range []string{"id", "step"} {
		if v, ok := fields[k].(string); ok && (v == id || strings.HasPrefix(v, id+".")) {
			return true
		}
	}
	return false
}
