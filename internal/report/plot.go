package report

import (
	"strings"
	"time"
)

const (
	// barWidth is the length of the longest bar of a series.
	barWidth = 16
	// maxPlotGap is how many windows without a line the plot shows. More are one line of dots.
	maxPlotGap = 5
)

// series is one column of the plot.
type series struct {
	name   string
	of     []source
	values map[time.Time]int64
}

// writePlot draws the sums over all queues, organisations and domains, one line for each window.
// Each column is scaled to its largest value.
func (r *Report) writePlot(b *strings.Builder) {
	windows := r.windows()
	if len(windows) == 0 {
		return
	}
	all := r.series()
	head := []string{"window"}
	for _, s := range all {
		head = append(head, s.name)
	}
	t := newTable(b, "Plot", head...)
	for i, at := range windows {
		if i > 0 {
			r.plotGap(t, all, windows[i-1], at)
		}
		r.plotWindow(t, all, at)
	}
	t.end()
}

// plotGap draws the windows between two others, of which no line is known.
func (r *Report) plotGap(t table, all []series, after, before time.Time) {
	if before.Sub(after)/r.o.Window > maxPlotGap {
		t.line("...")
		return
	}
	for at := after.Add(r.o.Window); at.Before(before); at = at.Add(r.o.Window) {
		r.plotWindow(t, all, at)
	}
}

func (r *Report) plotWindow(t table, all []series, at time.Time) {
	line := []string{r.label(at)}
	for _, s := range all {
		n := s.values[at]
		line = append(line, strings.TrimSpace(s.bar(n)+" "+r.omissions.count(n, at, s.of...)))
	}
	t.line(line...)
}

// bar returns a bar for a value. Values that are not zero have one mark at least.
func (s series) bar(n int64) string {
	most := int64(0)
	for _, v := range s.values {
		most = max(most, v)
	}
	if n == 0 {
		return ""
	}
	return strings.Repeat("#", int(max(1, n*barWidth/most)))
}

func (r *Report) series() []series {
	all := []series{
		{"accepted", []source{acceptances}, map[time.Time]int64{}},
		{"rejected", []source{rejections}, map[time.Time]int64{}},
		{"late", []source{ends}, map[time.Time]int64{}},
		{"stopped", []source{stops}, map[time.Time]int64{}},
		{"waiting processors", nil, map[time.Time]int64{}},
	}
	for k, w := range r.rows {
		for i, n := range []int{w.accepted, w.rejected, w.late, w.stopped} {
			all[i].values[k.window] += int64(n)
		}
	}
	for at, s := range r.loads {
		for _, x := range s.waiting {
			all[4].values[at] += x.cpu
		}
		all[4].values[at] /= s.n * 1000
	}
	return all
}
