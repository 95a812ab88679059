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

// Entry is one log line of any kind.
type Entry struct {
	// At is the zero time if the line has no valid time.
	At            time.Time
	From, Message string
	// Attrs are all JSON fields of the line.
	Attrs map[string]any
}

// Scan calls f for each log line in the order of the input, and returns how many lines are no log
// lines.
func Scan(r io.Reader, f func(Entry)) (unreadable int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineLength)
	for s.Scan() {
		if e, ok := parse(s.Bytes()); ok {
			f(e)
		} else if len(bytes.TrimSpace(s.Bytes())) > 0 {
			unreadable++
		}
	}
	return unreadable, errors.Wrap(s.Err(), "read log")
}

// Read returns the lines that mention the id, or a task or step of it, in order of time. Input
// lines that are not log lines are skipped.
func Read(r io.Reader, id string) ([]Line, error) {
	var all []Line
	_, err := Scan(r, func(e Entry) {
		if mentions(e.Attrs, id) {
			all = append(all, lineOf(e))
		}
	})
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return all, err
}

func parse(b []byte) (Entry, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Entry{}, false
	}
	e := Entry{From: strings.TrimSpace(string(b[:i]))}
	if json.Unmarshal(b[i:], &e.Attrs) != nil {
		return Entry{}, false
	}
	e.Message, _ = e.Attrs["msg"].(string)
	if at, ok := e.Attrs["time"].(string); ok {
		e.At, _ = time.Parse(time.RFC3339Nano, at)
	}
	return e, true
}

// lineOf returns a log line for display. A line without a valid time sorts first.
func lineOf(e Entry) Line {
	l := Line{At: e.At, From: e.From, Message: e.Message}
	for _, k := range slices.Sorted(maps.Keys(e.Attrs)) {
		switch k {
		case "time", "msg", "level":
		default:
			l.Fields = append(l.Fields, fmt.Sprintf("%s=%v", k, e.Attrs[k]))
		}
	}
	return l
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
