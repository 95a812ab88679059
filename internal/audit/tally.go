package audit

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// ViolationsError counts the guarantees that a cell broke.
type ViolationsError struct {
	// Lost counts requests that were reported done but did not run, and tasks of accepted jobs that
	// did not end.
	Lost int
	// RanTwice counts keys that ran twice and tasks that ran in two places.
	RanTwice int
	// Overfilled counts starts that exceeded the size of a worker.
	Overfilled int
	// ToldWrong counts replies that contradict the records.
	ToldWrong int
}

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("lost %d, twice %d, overfilled %d, told wrong %d", e.Lost, e.RanTwice, e.Overfilled, e.ToldWrong)
}

type rowStats struct {
	asked, done, refused, unknown int
	waits                         *hdrhistogram.Histogram
}

type acceptedJob struct {
	tasks     int
	watcher   bool
	cancelled string
}

// watcherMinSeconds is the declared duration in seconds above which a job counts as a watcher.
const watcherMinSeconds = 60

// Tally records what each caller was told. It is safe for concurrent use.
type Tally struct {
	mu   sync.Mutex
	rows map[string]*rowStats
	// requests holds, by key, every outcome that the caller was told, in order.
	requests       map[string][]string
	mismatched     int
	jobs           map[string]*acceptedJob
	unknownSubmits int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{rows: map[string]*rowStats{}, requests: map[string][]string{}, jobs: map[string]*acceptedJob{}}
}

func (t *Tally) countAsked(row string) *rowStats {
	l, ok := t.rows[row]
	if !ok {
		l = &rowStats{waits: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
		t.rows[row] = l
	}
	l.asked++
	return l
}

func (l *rowStats) count(outcome string, took time.Duration) {
	switch outcome {
	case client.Done:
		l.done++
		_ = l.waits.RecordValue(took.Microseconds())
	case client.Refused:
		l.refused++
	default:
		l.unknown++
	}
}

func (t *Tally) recordOutcome(key, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[key] = append(t.requests[key], outcome)
}

func (t *Tally) recordRequest(row string, req client.Request, reply client.Reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countAsked(row).count(reply.Outcome, took)
	if reply.Outcome == client.Done && !strings.HasSuffix(string(reply.Body), " "+string(req.Body)) {
		t.mismatched++
	}
}

func (t *Tally) recordJob(j client.Job, s client.JobStatus, err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.countAsked(j.Workload)
	var status *client.StatusError
	switch {
	case err == nil:
		l.count(client.Done, took)
		t.jobs[s.ID] = &acceptedJob{tasks: j.Tasks, watcher: j.Time > watcherMinSeconds}
	case errors.As(err, &status):
		l.count(status.Outcome, took)
	default:
		l.count(client.Unknown, took)
	}
	if err != nil && (status == nil || status.Outcome != client.Refused) {
		t.unknownSubmits++
	}
}

func (t *Tally) recordCancel(id, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j, ok := t.jobs[id]; ok {
		j.cancelled = outcome
	}
}

// Totals returns how many requests and jobs were sent and how many were done so far.
func (t *Tally) Totals() (asked, done int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.rows {
		asked += l.asked
		done += l.done
	}
	return asked, done
}

// Violations compares what callers were told with what the simulated backend servers and workers
// recorded.
func (t *Tally) Violations(r standin.Report) ViolationsError {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := ViolationsError{Overfilled: r.Overfilled, RanTwice: len(r.Doubled), ToldWrong: t.mismatched}
	for key, told := range t.requests {
		ran := r.Ran[key]
		if ran > 1 {
			w.RanTwice++
		}
		switch {
		case slices.Contains(told, client.Done) && ran == 0:
			w.Lost++
		case told[len(told)-1] == client.Refused && ran > 0:
			w.ToldWrong++
		}
	}
	w.Lost += t.lostTasks(r)
	w.ToldWrong += t.contradictedStarts(r)
	return w
}

// LostJobs returns the accepted jobs that have lost tasks, for an investigation.
func (t *Tally) LostJobs(r standin.Report) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []string
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		if t.jobs[id].lost(id, r) > 0 {
			lost = append(lost, id)
		}
	}
	return lost
}

// Doubled returns the keys that ran twice and the tasks that ran in two places, for an
// investigation.
func (t *Tally) Doubled(r standin.Report) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	twice := slices.Clone(r.Doubled)
	for _, key := range slices.Sorted(maps.Keys(t.requests)) {
		if r.Ran[key] > 1 {
			twice = append(twice, key)
		}
	}
	return twice
}

func (t *Tally) lostTasks(r standin.Report) int {
	lost := 0
	for id, j := range t.jobs {
		lost += j.lost(id, r)
	}
	return lost
}

// lost counts the tasks that neither ended nor were cancelled. A watcher is lost if it was never
// started.
func (j *acceptedJob) lost(id string, r standin.Report) int {
	if j.cancelled != "" {
		return 0
	}
	lost := 0
	for n := range j.tasks {
		task := fmt.Sprintf("%s.%d", id, n)
		if r.Tasks[task] > 0 || j.watcher && r.Started[task] > 0 {
			continue
		}
		lost++
	}
	return lost
}

// contradictedStarts counts the started tasks of jobs whose cancellation reported that they had not
// run. It adds the number of started jobs that no caller got an id for, minus the number of
// submissions with an unknown outcome.
func (t *Tally) contradictedStarts(r standin.Report) int {
	wrong := 0
	unknownJobs := map[string]bool{}
	for task := range r.Started {
		id := task[:max(0, strings.LastIndex(task, "."))]
		j, ok := t.jobs[id]
		switch {
		case !ok:
			unknownJobs[id] = true
		case j.cancelled == "not run":
			wrong++
		}
	}
	return wrong + max(0, len(unknownJobs)-t.unknownSubmits)
}

// Print writes a table with a line for each of the named workloads, in the order of names.
func (t *Tally) Print(out io.Writer, names ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "workload\tasked\tdone\trefused\tunknown\twait p50\twait p99\t")
	for _, name := range names {
		l, ok := t.rows[name]
		if !ok {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", name, l.asked, l.done, l.refused, l.unknown, l.quantile(50), l.quantile(99))
	}
	_ = w.Flush()
}

func (l *rowStats) quantile(q float64) time.Duration {
	return time.Duration(l.waits.ValueAtQuantile(q)) * time.Microsecond
}
