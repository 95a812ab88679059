package users

import (
	"fmt"
	"strings"
	"time"
)

// noticeTime is how long after an acknowledged end, or after a job was reported as completed, a start
// that was on its way may still be carried out where copies are allowed.
const noticeTime = time.Second

// begun is a start of a task.
type begun struct {
	worker string
	at     time.Time
	inTime bool
	// reported reports whether the start is recorded as a violation because the task was done.
	reported bool
}

// doneEnd is the end of a run as done.
type doneEnd struct {
	task, worker string
	run          int
	// before is the number of the task's starts until then.
	before int
	// acknowledged is when a host acknowledged the end, or zero. lapsed reports whether the
	// worker's lease lapsed before that, so that starts up to the acknowledgement are allowed.
	acknowledged time.Time
	lapsed       bool
	// stray reports whether no leader could prevent the run, listed is when a leader was first told
	// of the end, or zero. A start that was sent before that cannot be prevented either.
	stray  bool
	listed time.Time
}

// ShownCompleted notes that a host reported the job as completed.
func (o *InvariantChecker) ShownCompleted(job string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.shown[job]; !ok {
		o.shown[job] = o.now()
	}
}

// addStart records a start, and a violation if the task was done by then. The time limits do not
// apply to orders that were carried out late. mu is held.
func (o *InvariantChecker) addStart(task, worker string, late, copies bool) {
	why := o.doneBefore(task, late, copies)
	if why != "" {
		o.violations = append(o.violations, fmt.Sprintf("task %s was started on %s %s", task, worker, why))
	}
	o.starts[task] = append(o.starts[task], &begun{worker, o.now(), !late, why != ""})
}

// doneBefore returns why the task must not start any more, or an empty string. mu is held.
func (o *InvariantChecker) doneBefore(task string, late, copies bool) string {
	now := o.now()
	for _, e := range o.ends[task] {
		switch {
		case e.acknowledged.IsZero():
		case !copies:
			return "after its end was acknowledged"
		case !late && !e.lapsed && now.Sub(e.acknowledged) > noticeTime:
			return fmt.Sprintf("%s after its end was acknowledged", now.Sub(e.acknowledged))
		}
	}
	job, _, _ := strings.Cut(task, ".")
	if at, ok := o.shown[job]; ok && !late && now.Sub(at) > noticeTime {
		return fmt.Sprintf("%s after its job was reported as completed", now.Sub(at))
	}
	return ""
}

// addEnd records the end of a run as done. mu is held.
func (o *InvariantChecker) addEnd(k runKey, worker string, stray bool) *doneEnd {
	e := &doneEnd{task: k.task, run: k.run, worker: worker, before: len(o.starts[k.task]), stray: stray}
	o.ends[k.task] = append(o.ends[k.task], e)
	return e
}

// acknowledged notes that a host acknowledged an end. The task must not have started since the end,
// unless the worker's lease lapsed in between.
func (o *InvariantChecker) acknowledged(e *doneEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e.acknowledged = o.now()
	o.addNote(e.task, "end of run %d on %s is acknowledged", e.run, e.worker)
	if e.lapsed || o.stepOf(e.task).AllowCopies {
		return
	}
	for _, s := range o.starts[e.task][e.before:] {
		switch {
		case s.reported:
		case e.stray && s.inTime && (e.listed.IsZero() || s.at.Before(e.listed.Add(noticeTime))):
			o.late.Unpreventable++
			o.excused = append(o.excused, fmt.Sprintf("%s on %s after its unpreventable run %d was done on %s", e.task, s.worker, e.run, e.worker))
		default:
			s.reported = true
			o.violations = append(o.violations, fmt.Sprintf("task %s was started on %s after its run %d was done on %s, and that end was acknowledged later", e.task, s.worker, e.run, e.worker))
		}
	}
}

// listed notes that a leader was told of an end.
func (o *InvariantChecker) listed(e *doneEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.listed.IsZero() {
		e.listed = o.now()
	}
}

// lapsed notes that the lease of the worker lapsed before the end was acknowledged.
func (o *InvariantChecker) lapsed(e *doneEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e.lapsed = true
	o.addNote(e.task, "lease of %s lapsed after the end of run %d", e.worker, e.run)
}
