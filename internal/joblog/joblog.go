// Package joblog folds the log stream of jobs into the jobs that were accepted and those that
// have ended. Every host folds the same stream, so that any host can take over from any other.
package joblog

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/job"
)

// Stream is the log stream of jobs.
const Stream = "jobs"

// Record says that a job was accepted or, if State is set, how it ended.
type Record struct {
	ID    string    `json:"id"`
	Spec  *job.Spec `json:"spec,omitempty"`
	State string    `json:"state,omitempty"`
	// Ran reports whether a start of an ended job was ever sent.
	Ran bool `json:"ran,omitempty"`
	// Reason is why an ended job was given up.
	Reason string `json:"reason,omitempty"`
	// Crashes counts, by task id, the worker incarnations that ended while they ran the task.
	Crashes map[string]int64 `json:"lives,omitempty"`
}

// Merge returns a record that combines r and an older record of the same job. An end is final.
func (r Record) Merge(older Record) Record {
	if r.Spec == nil {
		r.Spec = older.Spec
	}
	if r.State == "" {
		r.State, r.Ran, r.Reason = older.State, older.Ran, older.Reason
	}
	r.Crashes = maxCounts(older.Crashes, r.Crashes)
	return r
}

// Covers reports whether, once r is stored, other need not be stored. Of a job that has ended,
// only the end matters.
func (r Record) Covers(other Record) bool {
	switch {
	case r.State != other.State:
		return false
	case r.State != "":
		return true
	case r.Spec == nil && other.Spec != nil:
		return false
	}
	for task, count := range other.Crashes {
		if r.Crashes[task] < count {
			return false
		}
	}
	return true
}

func maxCounts(a, b map[string]int64) map[string]int64 {
	if len(a) == 0 {
		return b
	}
	all := maps.Clone(a)
	for task, count := range b {
		all[task] = max(all[task], count)
	}
	return all
}

// Encode encodes several records as one record of the log, because the log accepts several
// hundred appends a second and a wave of cancellations has thousands of records.
func Encode(recs []Record) ([]byte, error) {
	b, err := json.Marshal(recs)
	return b, errors.Wrap(err, "encode job records")
}

// maxEndedJobs bounds how many ended jobs are remembered.
const maxEndedJobs = 50_000

type entry struct {
	spec    job.Spec
	state   string
	ran     bool
	reason  string
	crashes map[string]int64
	offset  int64
}

// Log is the state after all records read so far.
type Log struct {
	next int64
	jobs map[string]*entry
	// ended holds the ended jobs in the order in which they ended.
	ended []string
}

// New returns the state of an empty stream.
func New() *Log { return &Log{next: 1, jobs: map[string]*entry{}} }

// Next returns the offset to read from.
func (l *Log) Next() int64 { return l.next }

// SkipTo continues at a later offset, when the records before it were trimmed.
func (l *Log) SkipTo(to int64) { l.next = max(l.next, to) }

// Fold applies one record of the stream and returns the records that its body holds. Every host
// ignores a body that cannot be decoded.
func (l *Log) Fold(offset int64, body []byte) []Record {
	if offset < l.next {
		return nil
	}
	l.next = offset + 1
	var recs []Record
	if json.Unmarshal(body, &recs) != nil {
		return nil
	}
	for _, r := range recs {
		l.add(r, offset)
	}
	return recs
}

// Remember applies a record that a peer asked this host to keep while the log is unavailable.
func (l *Log) Remember(r Record) { l.add(r, 0) }

// add applies one record. The end of a job is final: an acceptance record that was written twice,
// or late, does not reopen the job.
func (l *Log) add(r Record, offset int64) {
	e, ok := l.jobs[r.ID]
	if !ok {
		e = &entry{}
		l.jobs[r.ID] = e
	}
	if r.Spec != nil {
		e.spec = *r.Spec
	}
	e.crashes = maxCounts(e.crashes, r.Crashes)
	if offset > 0 {
		e.offset = offset
	}
	if r.State != "" && e.state == "" {
		e.state, e.ran, e.reason = r.State, r.Ran, r.Reason
		l.ended = append(l.ended, r.ID)
		l.trim()
	}
}

func (l *Log) trim() {
	if over := len(l.ended) - maxEndedJobs; over > 0 {
		for _, id := range l.ended[:over] {
			delete(l.jobs, id)
		}
		l.ended = slices.Clone(l.ended[over:])
	}
}

// OpenJobs returns the jobs that were accepted and have not ended, sorted by id.
func (l *Log) OpenJobs() []job.Spec {
	var open []job.Spec
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		if e := l.jobs[id]; e.state == "" && e.spec.ID != "" {
			open = append(open, e.spec)
		}
	}
	return open
}

// OpenBefore returns the open jobs whose last record lies before an offset. They have to be
// written again before the log trims that record.
func (l *Log) OpenBefore(before int64) []job.Spec {
	return slices.DeleteFunc(l.OpenJobs(), func(s job.Spec) bool { return l.jobs[s.ID].offset >= before })
}

// Spec returns the specification of an accepted job; false if the job is not known.
func (l *Log) Spec(id string) (job.Spec, bool) {
	e, ok := l.jobs[id]
	if !ok || e.spec.ID == "" {
		return job.Spec{}, false
	}
	return e.spec, true
}

// End returns how a job ended; false if the job is open or not known.
func (l *Log) End(id string) (Record, bool) {
	e, ok := l.jobs[id]
	if !ok || e.state == "" {
		return Record{}, false
	}
	return Record{ID: id, State: e.state, Ran: e.ran, Reason: e.reason}, true
}

// Crashes returns, by task id, how many worker incarnations ended while they ran a task of the
// job.
func (l *Log) Crashes(id string) map[string]int64 {
	e, ok := l.jobs[id]
	if !ok {
		return nil
	}
	return maps.Clone(e.crashes)
}

// Written reports whether the log itself, not only this host's memory, has a record of the job.
func (l *Log) Written(id string) bool {
	e, ok := l.jobs[id]
	return ok && e.offset > 0
}
