package flow

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// record is what must survive of a job beside its spec: which tasks are done,
// where a run may be, and how far it got.
type record struct {
	Version
	State  State         `json:"s"`
	Began  int64         `json:"b"`
	Number int64         `json:"n"`
	Next   int           `json:"x,omitempty"`
	Rounds []roundRecord `json:"r,omitempty"`
	Ended  int64         `json:"e,omitempty"`
	// MayHaveCopies tells of an ended job that copies of its tasks may still run: its spec
	// says what room they take.
	MayHaveCopies bool `json:"k,omitempty"`
}

type roundRecord struct {
	Index int            `json:"i,omitempty"`
	Steps [][]taskRecord `json:"s"`
}

// Version orders the records of a job: the term that wrote it, and its place among
// that term's appends. The records lie in several partitions, and the one that was
// written last counts.
type Version struct {
	Term   int64 `json:"t,omitempty"`
	Append int64 `json:"a,omitempty"`
}

// NewerRecord returns the record that was written later; one that cannot be read counts
// as the older one, and none as still older.
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

// taskRecord leaves out tasks that never ran.
type taskRecord struct {
	Index  int    `json:"i"`
	Done   bool   `json:"d,omitempty"`
	Run    int    `json:"r,omitempty"`
	Worker string `json:"w,omitempty"`
	Fails  int    `json:"f,omitempty"`
	Saved  string `json:"c,omitempty"`
	// Crashed and Lost are the lives of workers that ended, or may have, under the task.
	Crashed []string `json:"x,omitempty"`
	Lost    []string `json:"l,omitempty"`
}

// RecordError tells that a stored record cannot be read.
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
	rec := record{Version: v, State: j.State, Began: j.Accepted.UnixMilli(), Number: j.Number, Next: j.NextRound}
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
	// Only plain values: this cannot fail.
	b, _ := json.Marshal(rec)
	return b
}

// anyMayBeRunning tells whether a run of the step may be at a worker.
func (s *Stage) anyMayBeRunning() bool {
	return slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.MayBeRunning() })
}

func (s *Stage) records() []taskRecord {
	var all []taskRecord
	for i, t := range s.Tasks {
		if t.Run == 0 && t.State != Done {
			continue
		}
		tr := taskRecord{Index: i, Done: t.State == Done, Run: t.Run, Fails: t.Failures}
		if t.State != Done {
			tr.Saved, tr.Crashed, tr.Lost = t.Checkpoint, t.Crashed, t.Lost
		}
		if t.MayBeRunning() {
			tr.Worker = t.Worker
		}
		all = append(all, tr)
	}
	return all
}

// RestoreEnded brings back a job that has ended and of which nothing runs, without
// its spec, which is most of the work: nine jobs in ten that a lead takes over are
// kept only to tell how they ended. False if the job is not such a one.
func RestoreEnded(id string, b []byte) (*Job, bool) {
	var rec record
	if json.Unmarshal(b, &rec) != nil || !rec.State.Final() || rec.MayHaveCopies || len(rec.Rounds) > 0 {
		return nil, false
	}
	j := New(Spec{ID: id}, rec.Number, time.UnixMilli(rec.Began))
	j.NextRound, j.State, j.Published, j.Ended = rec.Next, rec.State, rec.State, time.UnixMilli(rec.Ended)
	return j, true
}

// RecordState reads only a job's state and when it was accepted; false if the record is
// none or cannot be read.
func RecordState(b []byte) (state State, began time.Time, ok bool) {
	var rec struct {
		State State `json:"s"`
		Began int64 `json:"b"`
	}
	if json.Unmarshal(b, &rec) != nil || rec.State == "" {
		return "", time.Time{}, false
	}
	return rec.State, time.UnixMilli(rec.Began), true
}

// Restore brings a job back from its spec and its record. A task whose run may
// be at a worker is Inherited until that worker was read.
func Restore(spec Spec, b []byte, now time.Time) (*Job, error) {
	var rec record
	if err := json.Unmarshal(b, &rec); err != nil {
		return nil, &RecordError{Key: spec.ID, Cause: errors.Wrap(err, "decode")}
	}
	j := New(spec, rec.Number, time.UnixMilli(rec.Began))
	j.NextRound = rec.Next
	for _, rr := range rec.Rounds {
		j.openRound(rr.Index, now).restore(rr, now)
	}
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
	t.Run, t.Failures, t.Checkpoint = tr.Run, tr.Fails, tr.Saved
	t.Crashed, t.Lost = tr.Crashed, tr.Lost
	t.Step.updateSuspicions()
	switch {
	case tr.Done:
		t.State = Done
		t.Step.Done++
	case tr.Worker != "":
		t.Worker = tr.Worker
		t.Transition(adopt, now)
	}
}
