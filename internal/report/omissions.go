package report

import (
	"fmt"
	"time"

	"pollencroft/internal/logs"
	"pollencroft/internal/timeline"
)

// source is a kind of lines that sums are taken over.
type source int

const (
	acceptances source = iota
	rejections
	ends
	waits
	stops
	sources
)

var sourceMessages = [sources]string{"caller: accepted.", "caller: refused.", "sched: ended.", "sched: step waits.", "sched: stop."}

// sourceOf returns the source that the lines with a message belong to.
func sourceOf(message string) (source, bool) {
	for s, m := range sourceMessages {
		if m == message {
			return source(s), true
		}
	}
	return 0, false
}

// omissions is which lines are missing from the logs. Hosts limit the rate of lines with the same
// message and report how many they left out. The reports come seconds later, and not at all from a
// host that was killed; therefore the rate limit is also replayed over the lines that are there.
type omissions struct {
	window time.Duration
	// reported is the number of lines that were reported to be missing, dropped those among them of
	// unknown messages, by message the others.
	reported, dropped int64
	byMessage         map[string]int64
	// malformed counts lines without a needed attribute, by message.
	malformed map[string]int
	replays   map[hostSource]*logs.Replay
	// lastGap is the time of the last line after which the limit may have left out others.
	lastGap map[hostSource]time.Time
	// incomplete are the windows of which lines may be missing.
	incomplete [sources]map[time.Time]bool
	// everywhere is set for a source if lines of unknown windows are missing.
	everywhere [sources]bool
}

type hostSource struct {
	host   string
	source source
}

func newOmissions(window time.Duration) *omissions {
	o := &omissions{
		window: window, byMessage: map[string]int64{}, malformed: map[string]int{},
		replays: map[hostSource]*logs.Replay{}, lastGap: map[hostSource]time.Time{},
	}
	for s := range o.incomplete {
		o.incomplete[s] = map[time.Time]bool{}
	}
	return o
}

// follow replays the rate limit for a line.
func (o *omissions) follow(host, message string, at time.Time) {
	s, ok := sourceOf(message)
	if !ok {
		return
	}
	k := hostSource{host, s}
	if o.replays[k] == nil {
		o.replays[k] = &logs.Replay{}
	}
	if o.replays[k].Next(at) {
		o.lastGap[k] = at
		o.mark(s, at, at.Add(logs.ReplaySpan))
	}
}

// defaultSpan is how far back a report reaches that does not say it. It is longer than the interval
// of the reports.
const defaultSpan = 12 * time.Second

// reportedBy takes in a host's report of lines that it left out. If the replay does not show where
// the lines are missing, they may be missing anywhere since the report before.
func (o *omissions) reportedBy(host string, e timeline.Entry) {
	a := attrs{e: e}
	lines := a.number("lines")
	since, err := time.Parse(time.RFC3339Nano, a.text("since"))
	if err != nil {
		since = e.At.Add(-defaultSpan)
	}
	by, ok := e.Attrs["by"].(map[string]any)
	counts := attrs{e: timeline.Entry{Attrs: by}}
	o.reported += lines
	rest := lines
	for message := range by {
		n := counts.number(message)
		o.byMessage[message] += n
		rest -= n
	}
	o.dropped += rest
	for s, message := range sourceMessages {
		k := hostSource{host, source(s)}
		located := !o.lastGap[k].Before(since)
		if !ok || counts.bad || rest > 0 || by[message] != nil && !located {
			o.mark(source(s), since, e.At)
		}
	}
}

// malformedLine counts a line that lacks an attribute.
func (o *omissions) malformedLine(e timeline.Entry) {
	o.malformed[e.Message]++
	s, ok := sourceOf(e.Message)
	switch {
	case !ok:
	case e.At.IsZero():
		o.everywhere[s] = true
	default:
		o.mark(s, e.At, e.At)
	}
}

// maxMarkedWindows bounds how many windows one gap marks. A longer one marks all windows.
const maxMarkedWindows = 100_000

func (o *omissions) mark(s source, from, to time.Time) {
	first := from.Truncate(o.window)
	if to.Sub(first)/o.window > maxMarkedWindows {
		o.everywhere[s] = true
		return
	}
	for w := first; !w.After(to); w = w.Add(o.window) {
		o.incomplete[s][w] = true
	}
}

// lacks reports whether lines of a source may be missing from a window, or from any window if it is
// the zero time.
func (o *omissions) lacks(s source, window time.Time) bool {
	if window.IsZero() {
		return o.everywhere[s] || len(o.incomplete[s]) > 0
	}
	return o.everywhere[s] || o.incomplete[s][window]
}

// count formats a number that is taken over lines of the sources. A plus sign means that lines are
// missing, so that the number is at least that.
func (o *omissions) count(n any, window time.Time, of ...source) string {
	text := fmt.Sprint(n)
	for _, s := range of {
		if o.lacks(s, window) {
			return text + "+"
		}
	}
	return text
}
