package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Write prints the report: what may be missing, the sums by window, where the time of late jobs went, a plot, the leaders' load, the
// rejections, the stopped runs and the jobs that were late or still wait.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	r.writeHead(&b)
	r.writeRows(&b)
	r.writeLatencies(&b)
	r.writePlot(&b)
	r.writeLoads(&b)
	r.writeRejections(&b)
	r.writeStops(&b)
	r.writeEnded(&b)
	r.writeWaiting(&b)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write report")
}

func (r *Report) writeHead(b *strings.Builder) {
	fmt.Fprintf(b, "%d lines, windows of %s, times in UTC", r.lines, r.o.Window)
	if all := r.windows(); len(all) > 0 {
		fmt.Fprintf(b, ", from %s", all[0].Format(time.DateTime))
	}
	if len(r.terms) > 0 {
		fmt.Fprintf(b, ", terms %s", join(slices.Sorted(maps.Keys(r.terms))))
	}
	b.WriteByte('\n')
	o := r.omissions
	if o.reported > 0 {
		fmt.Fprintf(b, "! the hosts left out %d lines", o.reported)
		for _, m := range slices.Sorted(maps.Keys(o.byMessage)) {
			fmt.Fprintf(b, "; %d of %q", o.byMessage[m], m)
		}
		if o.dropped > 0 {
			fmt.Fprintf(b, "; %d of unknown kind", o.dropped)
		}
		b.WriteByte('\n')
	}
	for _, m := range slices.Sorted(maps.Keys(o.malformed)) {
		fmt.Fprintf(b, "! %d lines of %q lack an attribute and are not counted\n", o.malformed[m], m)
	}
	if r.unreadable > 0 {
		fmt.Fprintf(b, "! %d lines are no log lines or are cut; what they said is not counted\n", r.unreadable)
	}
	for s := range sources {
		if o.lacks(s, time.Time{}) {
			b.WriteString("! a number with + is at least that: lines of its window are missing\n")
			break
		}
	}
	for _, n := range r.notices {
		fmt.Fprintf(b, "! %s\n", n)
	}
}

// columns are the sums of a row, and the sources that they are taken over.
var columns = []struct {
	name  string
	of    []source
	value func(*row) any
}{
	{"accepted", []source{acceptances}, func(w *row) any { return w.accepted }},
	{"rejected", []source{rejections}, func(w *row) any { return w.rejected }},
	{"returned", []source{acceptances, rejections}, func(w *row) any { return w.returned }},
	{"ended", []source{ends}, func(w *row) any { return w.ended }},
	{"failed", []source{ends}, func(w *row) any { return w.failed }},
	{"late", []source{ends}, func(w *row) any { return w.late }},
	{"waited", []source{ends}, func(w *row) any { return w.waited }},
	{"host", []source{ends}, func(w *row) any { return seconds(w.waits[0]) }},
	{"advice", []source{ends}, func(w *row) any { return seconds(w.waits[1]) }},
	{"room", []source{ends}, func(w *row) any { return seconds(w.waits[2]) }},
	{"quota", []source{ends}, func(w *row) any { return seconds(w.waits[3]) }},
	{"waiting", []source{waits}, func(w *row) any { return w.waiting }},
	{"stopped", []source{stops}, func(w *row) any { return w.stopped }},
}

func (r *Report) writeRows(b *strings.Builder) {
	head := append([]string{"window"}, r.o.By...)
	for _, c := range columns {
		head = append(head, c.name)
	}
	t := newTable(b, "Jobs", head...)
	total := row{}
	for _, k := range slices.SortedFunc(maps.Keys(r.rows), key.compare) {
		t.line(append(r.keyCells(k), r.cells(r.rows[k], k.window)...)...)
		total.add(r.rows[k])
	}
	line := append([]string{"total"}, make([]string, len(r.o.By))...)
	t.line(append(line, r.cells(&total, time.Time{})...)...)
	t.end()
}

func (r *Report) keyCells(k key) []string {
	line := []string{r.label(k.window)}
	for _, d := range r.o.By {
		line = append(line, map[string]string{"queue": k.queue, "organisation": k.organisation, "domain": k.domain}[d])
	}
	return line
}

func (r *Report) cells(w *row, window time.Time) []string {
	var all []string
	for _, c := range columns {
		all = append(all, r.omissions.count(c.value(w), window, c.of...))
	}
	return all
}

func (k key) compare(o key) int {
	return cmp.Or(k.window.Compare(o.window), strings.Compare(k.queue, o.queue), strings.Compare(k.organisation, o.organisation), strings.Compare(k.domain, o.domain))
}

func (w *row) add(o *row) {
	w.accepted += o.accepted
	w.rejected += o.rejected
	w.returned += o.returned
	w.ended += o.ended
	w.failed += o.failed
	w.late += o.late
	w.waited += o.waited
	w.waiting += o.waiting
	w.stopped += o.stopped
	for i, d := range o.waits {
		w.waits[i] += d
	}
}

// writeLoads prints what the leaders reported: the mean over the summaries of each window.
func (r *Report) writeLoads(b *strings.Builder) {
	if len(r.loads) == 0 {
		return
	}
	t := newTable(b, "Leader (mean; processors)", "window", "term", "used", "free", "queries", "waiting steps and processors")
	for _, at := range slices.SortedFunc(maps.Keys(r.loads), time.Time.Compare) {
		s := r.loads[at]
		order := func(a, b waitKey) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.reason, b.reason)) }
		var waiting []string
		for _, k := range slices.SortedFunc(maps.Keys(s.waiting), order) {
			x := s.waiting[k]
			waiting = append(waiting, fmt.Sprintf("rank %d %s %s of %s", k.rank, k.reason, mean(x.steps, s.n), processors(x.cpu, s.n)))
		}
		t.line(r.label(at), strconv.FormatInt(s.term, 10), processors(s.used, s.n), processors(s.free, s.n), mean(s.queries, s.n), strings.Join(waiting, ", "))
	}
	t.end()
}

func (r *Report) writeRejections(b *strings.Builder) {
	if len(r.rejections) == 0 {
		return
	}
	head := append(append([]string{"window"}, r.o.By...), "code", "reason", "retry", "rejected", "returned", "half", "nine of ten", "last", "order unknown", "away")
	t := newTable(b, "Rejections, and seconds until their callers returned", head...)
	order := func(a, b rejectionKey) int {
		return cmp.Or(a.compare(b.key), cmp.Compare(a.code, b.code), strings.Compare(a.reason, b.reason), strings.Compare(a.retry, b.retry))
	}
	for _, k := range slices.SortedFunc(maps.Keys(r.rejections), order) {
		s := r.rejections[k]
		line := append(r.keyCells(k.key), strconv.Itoa(k.code), k.reason, cmp.Or(k.retry, unknown), r.omissions.count(s.n, k.window, rejections))
		t.line(append(line, r.returnCells(k, s)...)...)
	}
	t.end()
}

// returnCells returns when the callers returned that were asked to. A caller may return in any later
// window, and seems to be away if the line of its return is missing.
func (r *Report) returnCells(k rejectionKey, s *rejectionSums) []string {
	if k.retry == "" {
		return []string{unknown, unknown, unknown, unknown, unknown, unknown}
	}
	line := []string{r.omissions.count(s.returned, time.Time{}, rejections, acceptances)}
	for _, q := range []float64{50, 90, 100} {
		if s.after == nil {
			line = append(line, unknown)
			continue
		}
		line = append(line, seconds(time.Duration(s.after.ValueAtQuantile(q))*time.Millisecond))
	}
	away := strconv.Itoa(s.away)
	if r.omissions.lacks(acceptances, time.Time{}) || r.omissions.lacks(rejections, time.Time{}) {
		away += "?"
	}
	return append(line, strconv.Itoa(s.untimed), away)
}

func (r *Report) writeStops(b *strings.Builder) {
	if len(r.stops) == 0 {
		return
	}
	t := newTable(b, "Stopped runs", "window", "queue", "organisation", "why", "for queue", "for organisation", "runs")
	order := func(a, b stopKey) int {
		return cmp.Or(a.window.Compare(b.window), cmp.Compare(r.stops[b], r.stops[a]), strings.Compare(fmt.Sprint(a), fmt.Sprint(b)))
	}
	for _, k := range slices.SortedFunc(maps.Keys(r.stops), order) {
		t.line(r.label(k.window), k.queue, k.organisation, k.why, k.forQueue, k.forOrganisation, r.omissions.count(r.stops[k], k.window, stops))
	}
	t.end()
}

// writeEnded lists the latest jobs, by how many times their objective they took, and those whose
// steps waited longest.
func (r *Report) writeEnded(b *strings.Builder) {
	var late, waited []*outcome
	for _, j := range r.jobs {
		if j.ended != nil && j.ended.late() {
			late = append(late, j)
		}
		if j.ended != nil && j.ended.waits.total() > 0 {
			waited = append(waited, j)
		}
	}
	r.listEnded(b, "Late jobs", late, func(a, b *ended) int { return cmp.Compare(b.lateness(), a.lateness()) })
	r.listEnded(b, "Jobs that waited longest", waited, func(a, b *ended) int { return cmp.Compare(b.waits.total(), a.waits.total()) })
}

func (r *Report) listEnded(b *strings.Builder, title string, all []*outcome, order func(a, b *ended) int) {
	if len(all) == 0 || r.o.Jobs == 0 {
		return
	}
	slices.SortFunc(all, func(a, b *outcome) int { return cmp.Or(order(a.ended, b.ended), strings.Compare(a.id, b.id)) })
	shown := all[:min(len(all), r.o.Jobs)]
	title = fmt.Sprintf("%s (%d of %s)", title, len(shown), r.omissions.count(len(all), time.Time{}, ends))
	t := newTable(b, title, "job", "queue", "organisation", "domain", "state", "took", "objective", "waited for")
	for _, j := range shown {
		e := j.ended
		t.line(j.id, j.queue, j.organisation, j.domain, e.state, seconds(e.took), seconds(e.objective), e.waits.String())
	}
	t.end()
}

func (e ended) lateness() float64 { return float64(e.took) / float64(e.objective) }

// writeWaiting lists the jobs with a step that has waited for long and of which no end is known.
func (r *Report) writeWaiting(b *strings.Builder) {
	var all []*outcome
	for _, j := range r.jobs {
		if j.ended == nil && !j.waitsSince.IsZero() {
			all = append(all, j)
		}
	}
	if len(all) == 0 || r.o.Jobs == 0 {
		return
	}
	slices.SortFunc(all, func(a, b *outcome) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), strings.Compare(a.id, b.id))
	})
	shown := all[:min(len(all), r.o.Jobs)]
	title := fmt.Sprintf("Jobs that wait and have not ended (%d of %s)", len(shown), r.omissions.count(len(all), time.Time{}, waits))
	if r.omissions.lacks(ends, time.Time{}) {
		title += "; the lines of some ends are missing"
	}
	t := newTable(b, title, "job", "queue", "organisation", "domain", "last line", "waited for")
	for _, j := range shown {
		t.line(j.id, j.queue, j.organisation, j.domain, r.label(j.waitsSince), j.waitDetail)
	}
	t.end()
}

// windows lists the windows that any sum is about, in order.
func (r *Report) windows() []time.Time {
	all := map[time.Time]bool{}
	for k := range r.rows {
		all[k.window] = true
	}
	for at := range r.loads {
		all[at] = true
	}
	return slices.SortedFunc(maps.Keys(all), time.Time.Compare)
}

func (r *Report) label(at time.Time) string {
	switch {
	case r.o.Window%time.Second != 0:
		return at.Format("15:04:05.000")
	case r.o.Window >= 24*time.Hour:
		return at.Format(time.DateOnly)
	default:
		return at.Format(time.TimeOnly)
	}
}

// seconds formats a duration in seconds.
func seconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }

func mean(sum, n int64) string { return fmt.Sprintf("%.0f", float64(sum)/float64(n)) }

// processors formats the mean of a sum of millicores in processors.
func processors(sum, n int64) string { return fmt.Sprintf("%.1f", float64(sum)/float64(n)/1000) }

func join[T any](all []T) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(all), " ", ", "), "[]")
}

// table is one part of the report, with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(b *strings.Builder, title string, head ...string) table {
	fmt.Fprintf(b, "\n%s\n", title)
	t := table{tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)}
	t.line(head...)
	return t
}

func (t table) line(cells ...string) {
	// A strings.Builder takes everything.
	_, _ = fmt.Fprintln(t.w, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
}

func (t table) end() { _ = t.w.Flush() }
