package report_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/logs"
	"pollencroft/internal/report"
)

var noon = time.Date(2026, 3, 4, 12, 0, 0, 0, time.UTC)

// site writes the logs of several hosts with the rate limit that the hosts have.
type site struct {
	out   bytes.Buffer
	now   time.Time
	hosts map[string]*slog.Logger
}

func newSite() *site { return &site{now: noon, hosts: map[string]*slog.Logger{}} }

// host returns the log of a host. Its clock is ahead of the site's by the given time.
func (s *site) host(name, domain string, ahead time.Duration) *slog.Logger {
	if s.hosts[name] == nil {
		now := func() time.Time { return s.now.Add(ahead) }
		limited := logs.NewHandler(slog.NewJSONHandler(&s.out, nil), now)
		s.hosts[name] = slog.New(clock{limited, now}).With("hostname", name, "domain", domain)
	}
	return s.hosts[name]
}

// clock sets the time of lines.
type clock struct {
	slog.Handler
	now func() time.Time
}

func (c clock) Handle(ctx context.Context, r slog.Record) error {
	r.Time = c.now()
	return c.Handler.Handle(ctx, r)
}

func (c clock) WithAttrs(attrs []slog.Attr) slog.Handler {
	return clock{c.Handler.WithAttrs(attrs), c.now}
}

func accept(l *slog.Logger, id, queue, organisation string) {
	l.Info("caller: accepted.", "id", id, "queue", queue, "organisation", organisation)
}

func refuse(l *slog.Logger, id, queue, organisation string, code int, reason, retry string) {
	l.Info("caller: refused.", "id", id, "code", code, "reason", reason, "method", "POST", "queue", queue, "organisation", organisation, "retry", retry)
}

func end(l *slog.Logger, term int, id, queue, organisation, state string, took, objective time.Duration, waits ...any) {
	l.Info("sched: ended.", append([]any{"id", id, "term", term, "detail", state, "queue", queue, "organisation", organisation, "rank", 0, "took", took, "objective", objective}, waits...)...)
}

func (s *site) report(t *testing.T, by ...string) string {
	t.Helper()
	r, err := report.Read(bytes.NewReader(s.out.Bytes()), report.Options{Window: 2 * time.Second, By: by, Jobs: 10})
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, r.Write(&b))
	return b.String()
}

// requireLine checks that the report has a line with these words.
func requireLine(t *testing.T, text, want string) {
	t.Helper()
	var all []string
	for line := range strings.Lines(text) {
		all = append(all, strings.Join(strings.Fields(line), " "))
	}
	require.Contains(t, all, want, text)
}

// burst is the log of two hosts of which one is sent 300 jobs within a second by one organisation.
func burst() *site {
	s := newSite()
	nord, sued := s.host("front-nord-1", "nord", 0), s.host("front-sued-1", "sued", 0)
	queued := func(id, queue, organisation string) {
		sued.Info("sched: queued.", "id", id, "term", 3, "detail", queue, "queue", queue, "organisation", organisation, "rank", 0)
	}
	accept(nord, "a1", "bulk", "halle")
	queued("a1", "bulk", "halle")
	accept(sued, "a2", "scan", "kronach")
	s.now = s.now.Add(2 * time.Second)
	refuse(sued, "a3", "scan", "kronach", 503, "not stored: store refused append", "1")
	for i := range 300 {
		accept(nord, fmt.Sprintf("b%d", i), "scan", "halle")
		s.now = s.now.Add(3 * time.Millisecond)
	}
	s.now = s.now.Add(900 * time.Millisecond)
	accept(nord, "a3", "scan", "kronach")
	sued.Info("sched: stop.", "id", "a1.0.0.4", "worker", "w1", "run", 1, "term", 3, "detail", "gives way to b0.0.0", "queue", "bulk", "organisation", "halle")
	sued.Info("sched: load.", "term", 3, "used", 27_000_000, "free", 1_000_000, "queries", 12, "waiting", []map[string]any{
		{"rank": 0, "reason": "quota", "steps": 170, "cpu": 8_900_000}, {"rank": 2, "reason": "room", "steps": 4, "cpu": 72_000}})
	s.now = s.now.Add(4 * time.Second)
	end(sued, 3, "a2", "scan", "kronach", "completed", 1500*time.Millisecond, 1750*time.Millisecond, "wait-advice", 200*time.Millisecond)
	end(sued, 3, "b0", "scan", "halle", "completed", 5*time.Second, 1750*time.Millisecond, "wait-quota", 3500*time.Millisecond, "phase-store", 20*time.Millisecond, "phase-order", 30*time.Millisecond, "phase-run", time.Second)
	sued.Info("sched: step waits.", "id", "b7.0.0", "worker", "", "run", 0, "term", 3, "detail", "quota 4s; 30 of 30 cores", "queue", "scan", "organisation", "halle", "reason", "quota")
	s.now = s.now.Add(6 * time.Second)
	nord.Info("caller: state reported.", "id", "b0", "state", "completed")
	return s
}

func ExampleRead() {
	r, err := report.Read(&burst().out, report.Options{Window: 2 * time.Second, By: report.Dimensions, Jobs: 10})
	if err != nil {
		fmt.Println(err)
	}
	if err := r.Write(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// 167 lines, windows of 2s, times in UTC, from 2026-03-04 12:00:00, terms 3
	// ! the hosts left out 145 lines; 145 of "caller: accepted."
	// ! a number with + is at least that: lines of its window are missing
	//
	// Jobs
	// window    queue  organisation  domain  accepted  rejected  returned  ended  failed  late  waited  host  advice  room  quota  waiting  stopped
	// 12:00:00  bulk   halle         nord    1         0         0         0      0       0     0       0.0   0.0     0.0   0.0    0        0
	// 12:00:00  scan   kronach       sued    1         0         0         0      0       0     0       0.0   0.0     0.0   0.0    0        0
	// 12:00:02  bulk   halle         nord    0+        0         0+        0      0       0     0       0.0   0.0     0.0   0.0    0        1
	// 12:00:02  scan   halle         nord    155+      0         0+        0      0       0     0       0.0   0.0     0.0   0.0    0        0
	// 12:00:02  scan   kronach       nord    1+        0         1+        0      0       0     0       0.0   0.0     0.0   0.0    0        0
	// 12:00:02  scan   kronach       sued    0+        1         0+        0      0       0     0       0.0   0.0     0.0   0.0    0        0
	// 12:00:06  scan   halle         nord    0         0         0         1      0       1     1       0.0   0.0     0.0   3.5    1        0
	// 12:00:06  scan   kronach       sued    0         0         0         1      0       0     1       0.0   0.2     0.0   0.0    0        0
	// total                                  158+      1         1+        2      0       1     2       0.0   0.2     0.0   3.5    1        1
	//
	// Time of late jobs (mean; seconds)
	// window    queue  organisation  domain  jobs  took  objective  notice  host  advice  room  quota  store  order  run
	// 12:00:06  scan   halle         nord    1     5.00  1.75       -       0.00  0.00    0.00  3.50   0.02   0.03   1.00
	//
	// Plot
	// window    accepted               rejected            late                stopped             waiting processors
	// 12:00:00  # 2                    0                   0                   0                   0
	// 12:00:02  ################ 156+  ################ 1  0                   ################ 1  ################ 8972
	// 12:00:04  0                      0                   0                   0                   0
	// 12:00:06  0                      0                   ################ 1  0                   0
	//
	// Leader (mean; processors)
	// window    term  used     free    queries  waiting steps and processors
	// 12:00:02  3     27000.0  1000.0  12       rank 0 quota 170 of 8900.0, rank 2 room 4 of 72.0
	//
	// Rejections, and seconds until their callers returned
	// window    queue  organisation  domain  code  reason      retry  rejected  returned  half  nine of ten  last  order unknown  away
	// 12:00:02  scan   kronach       sued    503   not stored  1      1         1+        1.8   1.8          1.8   0              0?
	//
	// Stopped runs
	// window    queue  organisation  why        for queue  for organisation  runs
	// 12:00:02  bulk   halle         gives way  scan       halle             1
	//
	// Late jobs (1 of 1)
	// job  queue  organisation  domain  state      took  objective  waited for
	// b0   scan   halle         nord    completed  5.0   1.8        quota 3.5
	//
	// Jobs that waited longest (2 of 2)
	// job  queue  organisation  domain  state      took  objective  waited for
	// b0   scan   halle         nord    completed  5.0   1.8        quota 3.5
	// a2   scan   kronach       sued    completed  1.5   1.8        advice 0.2
	//
	// Jobs that wait and have not ended (1 of 1)
	// job  queue  organisation  domain  last line  waited for
	// b7   scan   halle         nord    12:00:07   quota 4s; 30 of 30 cores
}

// The worked case in the operators' manual must show what the command prints.
func TestOperationsShowsTheWorkedCase(t *testing.T) {
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	manual := strings.ReplaceAll(string(b), "\n    ", "\n")
	require.Contains(t, manual, strings.TrimSpace(burst().report(t, report.Dimensions...)))
}

// A host that is killed never reports the lines that it left out last. Guards against sums that look
// complete then, and against marks on lines that are complete.
func TestLinesLeftOutAreMarkedWithoutTheirReport(t *testing.T) {
	for _, n := range []int{100, 130} {
		s := newSite()
		for i := range n {
			accept(s.host("h1", "nord", 0), fmt.Sprint("a", i), "scan", "halle")
		}
		s.now = s.now.Add(2 * time.Second)
		accept(s.host("h1", "nord", 0), "b", "scan", "halle")
		text := s.report(t, "domain")
		require.NotContains(t, text, "left out")
		if n > 120 {
			requireLine(t, text, "12:00:00 nord 120+ 0 0+ 0 0 0 0 0.0 0.0 0.0 0.0 0 0")
		} else {
			requireLine(t, text, "12:00:00 nord 100 0 0 0 0 0 0 0.0 0.0 0.0 0.0 0 0")
		}
		requireLine(t, text, "12:00:02 nord 1 0 0 0 0 0 0 0.0 0.0 0.0 0.0 0 0")
	}
}

// A writer that fell behind drops lines of any kind, and a build that does not say which lines it
// left out may have left out any. Guards against sums over that time that look complete.
func TestLinesOfUnknownKindMakeEverySumIncomplete(t *testing.T) {
	for _, attrs := range [][]any{
		{"lines", 7, "since", noon, "by", map[string]int64{}, "dropped", 7},
		{"lines", 7},
	} {
		s := newSite()
		l := s.host("h1", "nord", 0)
		end(l, 1, "a", "scan", "halle", "completed", time.Second, time.Second)
		s.now = s.now.Add(3 * time.Second)
		l.Warn(logs.OmissionMessage, attrs...)
		text := s.report(t)
		requireLine(t, text, "12:00:00 0+ 0+ 0+ 1+ 0+ 0+ 0+ 0.0+ 0.0+ 0.0+ 0.0+ 0+ 0+")
		require.Contains(t, text, "left out 7 lines; 7 of unknown kind")
	}
}

// Guards against lines that are cut, of another type or without a time, which would be lost
// silently.
func TestUnreadableLinesAreReported(t *testing.T) {
	s := newSite()
	l := s.host("h1", "nord", 0)
	end(l, 1, "a", "scan", "halle", "completed", time.Second, time.Second)
	l.Info("sched: ended.", "id", 7, "term", 1)
	s.out.WriteString("panic: not a log line\n\n" + `{"time":"2026-03-04T12:00:00Z","msg":"caller: acc` + "\n")
	s.out.WriteString(`{"msg":"caller: accepted.","id":"b","queue":"scan","organisation":"halle"}` + "\n")
	text := s.report(t)
	require.Contains(t, text, "2 lines are no log lines")
	require.Contains(t, text, `1 lines of "sched: ended." lack`)
	require.Contains(t, text, `1 lines of "caller: accepted." lack`)
	requireLine(t, text, "12:00:00 0+ 0 0+ 1+ 0+ 0+ 0+ 0.0+ 0.0+ 0.0+ 0.0+ 0 0")
}

// A log that cannot be read to its end still gives the report of what was read.
func TestTooLongLineIsAnErrorWithAReport(t *testing.T) {
	s := newSite()
	accept(s.host("h1", "nord", 0), "a", "scan", "halle")
	s.out.WriteString(strings.Repeat("x", 2<<20))
	r, err := report.Read(&s.out, report.Options{Window: time.Second})
	require.Error(t, err)
	require.NotNil(t, r)
}

// Guards against callers that are counted as away because the clock of the host that accepted them
// is behind, and against clocks that differ unseen.
func TestClocksApart(t *testing.T) {
	s := newSite()
	behind, ahead, leader := s.host("h1", "nord", -10*time.Second), s.host("h2", "sued", 5*time.Second), s.host("h3", "ost", 0)
	for i := range 4 {
		id := fmt.Sprint("a", i)
		refuse(ahead, id, "scan", "halle", 429, "the queue is full", "2")
		s.now = s.now.Add(2 * time.Second)
		accept(behind, id, "scan", "halle")
		accept(ahead, id+"x", "scan", "halle")
		for _, id := range []string{id, id + "x"} {
			leader.Info("sched: queued.", "id", id, "term", 1, "queue", "scan", "organisation", "halle", "rank", 0)
		}
	}
	text := s.report(t)
	require.Contains(t, text, "the clock of h2 is ahead of that of h3 by 5.0")
	require.Contains(t, text, "the clock of h1 is behind that of h3, or its jobs were known late: by 10.0")
	for _, window := range []string{"12:00:04", "12:00:06", "12:00:08", "12:00:10"} {
		requireLine(t, text, window+" 429 the queue is full 2 1 0 - - - 1 0")
	}
}

// After a change of the lead both leaders have written lines about the same jobs. Guards against
// jobs and stops that are counted twice, and against the load of a leader that has lost the lead.
func TestLinesOfTwoLeaders(t *testing.T) {
	s := newSite()
	one, two := s.host("h1", "nord", 0), s.host("h2", "sued", 0)
	waiting := func(l *slog.Logger, term, steps int) {
		l.Info("sched: load.", "term", term, "used", 5000, "free", 0, "queries", 1, "waiting", []map[string]any{{"rank": 0, "reason": "room", "steps": steps, "cpu": 1000 * steps}})
	}
	for term, l := range map[int]*slog.Logger{1: one, 2: two} {
		end(l, term, "a", "scan", "halle", "completed", 3*time.Second, time.Second)
		end(l, term, "b", "scan", "halle", map[int]string{1: "failed", 2: "completed"}[term], time.Second, time.Second)
		l.Info("sched: stop.", "id", "c.0.0.1", "run", 2, "detail", "is too slow", "queue", "bulk", "organisation", "halle")
		waiting(l, term, 10*term)
	}
	waiting(one, 1, 90)
	text := s.report(t)
	require.Contains(t, text, "terms 1, 2")
	requireLine(t, text, "12:00:00 2 5.0 0.0 1 rank 0 room 20 of 20.0")
	requireLine(t, text, "12:00:00 bulk halle is too slow - - 1")
	require.Contains(t, text, "! job b ended as ")
	require.Contains(t, text, "Late jobs (1 of 1)")
}

func TestOptionsAreChecked(t *testing.T) {
	for _, o := range []report.Options{{}, {Window: time.Second, Jobs: -1}, {Window: time.Second, By: []string{"worker"}}} {
		_, err := report.Read(strings.NewReader(""), o)
		var bad *report.OptionError
		require.ErrorAs(t, err, &bad)
	}
}
