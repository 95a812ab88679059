package flow

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// record is the part of a job besides its spec that must survive a restart: which tasks are
// done, where a run may exist, and the latest checkpoints.
type record struct {
	Version
	State     State `json:"s"`
	Accepted  int64 `json:"b"`
	Number    int64 `json:"n"`
	NextRound int   `json:"x,omitempty"`
	// Organisation is the job's organisation, which is needed after the spec is deleted.
	Organisation string        `json:"o,omitempty"`
	Rounds       []roundRecord `json:"r,omitempty"`
	Ended        int64         `json:"e,omitempty"`
	// MayHaveCopies marks an ended job of which copies of tasks may still run. The job's spec
	// is then still needed, because it says how much capacity they use.
	MayHaveCopies bool `json:"k,omitempty"`
	// Untracked holds by worker the runs that may exist beside the newest ones of their tasks. It
	// outlives the rounds, because such a run may outlive its job.
	Untracked map[string][]runRecord `json:"u,omitempty"`
}

type roundRecord struct {
	Index int            `json:"i,omitempty"`
	Steps [][]taskRecord `json:"s"`
}

// Version orders the records of a job: by the term of the leader that wrote the record, then
// by the number of the append within that term. The store may hold records of a job in
// several partitions; the one that was written last is valid.
type Version struct {
	Term   int64 `json:"t,omitempty"`
	Append int64 `json:"a,omitempty"`
}

// NewerRecord returns the record that was written later. An unreadable record counts as older
// than a readable one, and a missing record as older than either.
func NewerRecord(a, b []byte) []byte {
	var va, vb Version
	switch {
	case a == nil:
		return b
	case json.Unmarshal(b, &vb) != nil:
		return a
	case json.Unmarshal(a, &va) != nil, cmp.Or(cmp.Compare(va.Term, vb.Term), cmp.Compare(va.Append, vb.Append)) < 0:
		return b
	default:
		return a
	}
}

// taskRecord is the stored state of one task. Tasks that never ran are not stored.
type taskRecord struct {
	Index      int    `json:"i"`
	Done       bool   `json:"d,omitempty"`
	Run        int    `json:"r,omitempty"`
	Worker     string `json:"w,omitempty"`
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Crashed and Lost list the worker incarnations that ended, or may have ended, while they
	// ran the task.
	Crashed []string `json:"x,omitempty"`
	Lost    []string `json:"l,omitempty"`
	// SuspectedRun is the newest run that counts among them.
	SuspectedRun int `json:"y,omitempty"`
	// Avoid holds the end of the avoidance of each worker, in Unix milliseconds.
	Avoid map[string]int64 `json:"v,omitempty"`
}

// RecordError reports that a stored record cannot be read.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string {
	return "record of " + e.Key + " cannot be read: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *RecordError) Unwrap() error { return e.Cause }

// Record encodes the job's progress.
func (j *Job) Record(v Version) []byte {
	rec := record{Version: v, State: j.State, Accepted: j.Accepted.UnixMilli(), Number: j.Number, NextRound: j.NextRound, Organisation: j.Spec.Organisation, Untracked: j.untrackedRecords()}
	if j.State.Final() {
		rec.Ended = j.Ended.UnixMilli()
		rec.MayHaveCopies = slices.ContainsFunc(j.Spec.Steps, func(s Step) bool { return s.AllowCopies })
	}
	for _, n := range slices.Sorted(maps.Keys(j.Rounds)) {
		rr := roundRecord{Index: n}
		out := false
		for _, s := range j.Rounds[n].Stages {
			rr.Steps = append(rr.Steps, s.records())
			out = out || s.anyMayBeRunning()
		}
		if out || !j.State.Final() {
			rec.Rounds = append(rec.Rounds, rr)
		}
	}
	// The record has only plain values, so encoding cannot fail.
	b, _ := json.Marshal(rec)
	return b
}

// anyMayBeRunning reports whether a worker may have a run of one of the step's tasks.
func (s *Stage) anyMayBeRunning() bool {
	return slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.MayBeRunning() })
}

func (s *Stage) records() []taskRecord {
	var all []taskRecord
	for i, t := range s.Tasks {
		if t.Run == 0 && t.State != Done {
			continue
		}
		tr := taskRecord{Index: i, Done: t.State == Done, Run: t.Run, Failures: t.Failures}
		if t.State != Done {
			tr.Checkpoint, tr.Crashed, tr.Lost, tr.SuspectedRun, tr.Avoid = t.Checkpoint, t.Crashed, t.Lost, t.SuspectedRun, t.avoidanceEnds()
		}
		if t.MayBeRunning() {
			tr.Worker = t.Worker
		}
		all = append(all, tr)
	}
	return all
}

// RestoreEnded restores a job that has ended and of which nothing may run, without its spec.
// Decoding the spec is most of the work of a restore, and nine in ten jobs that a new leader
// takes over are kept only to report how they ended. It returns false for any other job.
func RestoreEnded(id string, b []byte) (*Job, bool) {
	var rec record
	if json.Unmarshal(b, &rec) != nil || !rec.State.Final() || rec.MayHaveCopies || len(rec.Rounds) > 0 || len(rec.Untracked) > 0 {
		return nil, false
	}
	j := New(Spec{ID: id, Organisation: rec.Organisation}, rec.Number, time.UnixMilli(rec.Accepted))
	j.NextRound, j.State, j.Published, j.Ended = rec.NextRound, rec.State, rec.State, time.UnixMilli(rec.Ended)
	return j, true
}

// Summary is the part of a job's record that callers are told.
type Summary struct {
	State        State
	Accepted     time.Time
	Organisation string
}

// Summarize decodes only the summary of a record. It returns false if the record is missing or
// unreadable.
func Summarize(b []byte) (Summary, bool) {
	var rec struct {
		State        State  `json:"s"`
		Accepted     int64  `json:"b"`
		Organisation string `json:"o"`
	}
	if json.Unmarshal(b, &rec) != nil || rec.State == "" {
		return Summary{}, false
	}
	return Summary{State: rec.State, Accepted: time.UnixMilli(rec.Accepted), Organisation: rec.Organisation}, true
}

// Restore restores a job from its spec and its record. A task of which a worker may have a
// run is Inherited until that worker's state has been read.
func Restore(spec Spec, b []byte, now time.Time) (*Job, error) {
	var rec record
	if err := json.Unmarshal(b, &rec); err != nil {
		return nil, &RecordError{Key: spec.ID, Cause: errors.Wrap(err, "decode")}
	}
	j := New(spec, rec.Number, time.UnixMilli(rec.Accepted))
	j.NextRound = rec.NextRound
	for _, rr := range rec.Rounds {
		j.openRound(rr.Index, now).restore(rr, now)
	}
	j.restoreUntracked(rec.Untracked)
	j.State, j.Published = rec.State, rec.State
	if rec.State.Final() {
		j.Ended = time.UnixMilli(rec.Ended)
	}
	return j, nil
}

func (r *Round) restore(rr roundRecord, now time.Time) {
	for i, all := range rr.Steps {
		if i >= len(r.Stages) {
			return
		}
		for _, tr := range all {
			if tr.Index < len(r.Stages[i].Tasks) {
				r.Stages[i].Tasks[tr.Index].restore(tr, now)
			}
		}
	}
}

func (t *Task) restore(tr taskRecord, now time.Time) {
	t.Run, t.Failures, t.Checkpoint = tr.Run, tr.Failures, tr.Checkpoint
	t.Crashed, t.Lost, t.SuspectedRun = tr.Crashed, tr.Lost, min(tr.SuspectedRun, tr.Run)
	t.Step.updateSuspicions()
	t.restoreAvoidances(tr.Avoid, now)
	switch {
	case tr.Done:
		t.setState(Done)
		t.Step.Done++
	case tr.Worker != "":
		t.Worker = tr.Worker
		t.Transition(adopt, now)
	}
}
