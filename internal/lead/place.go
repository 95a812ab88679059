package lead

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/estimate"
	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/place"
	"pollencroft/internal/table"
	"pollencroft/internal/trail"
)

// place steps the placement core and carries out its actions. A Put that no
// longer holds is passed over: an action before it may have changed the room.
func (l *Leader) place(ev place.Event) {
	for _, a := range l.Placer.Step(l.Clock(), ev) {
		switch a := a.(type) {
		case place.Assign:
			if l.Placer.IsAssigned(a.Task, a.Worker) {
				l.job(job.Placed{Task: a.Task, Worker: a.Worker})
			}
		case place.Preempt:
			l.preempt(a)
		case place.Throttle:
			l.spawn(func(ctx context.Context) { l.throttle(ctx, a) })
		case place.Quarantined:
			l.Count("lead.aside")
			l.Log.Warn("lead: worker fails what others run and is set aside.", "worker", a.Worker)
		case place.Restored:
			l.Count("lead.restored")
			l.Log.Info("lead: worker gets work again.", "worker", a.Worker)
		}
	}
}

func (l *Leader) preempt(a place.Preempt) {
	l.Count("lead.preempted")
	l.Log.Info("lead: task is stopped for others.", "task", a.Task, "worker", a.Worker, "why", a.Reason)
	l.note(jobOf(a.Task), "stop of "+a.Task+" on "+a.Worker+": "+a.Reason)
	l.job(job.Preempt{Task: a.Task})
}

// jobOf is the job that a task id belongs to.
func jobOf(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

func (l *Leader) throttle(ctx context.Context, a place.Throttle) {
	l.Count("lead.throttled")
	l.Log.Warn("lead: task uses more than its worker has and is throttled.", "task", a.Task, "worker", a.Worker, "share", a.Share)
	if err := l.Workers.Throttle(ctx, l.address(a.Worker), a.Task, a.Share); err != nil {
		l.Log.Warn("lead: throttle has no answer.", "task", a.Task, "worker", a.Worker, "err", err)
	}
}

func (l *Leader) result(a job.Result) {
	l.Estimates.Drop(a.Task)
	if spec, ok := l.Jobs.Spec(a.Task); ok && !a.Failed {
		l.Estimates.Ran(a.Row, spec.Time.Duration, a.Run)
	}
	if a.Failed {
		l.Count("lead.failed")
		l.note(jobOf(a.Task), a.Task+" failed on "+a.Worker)
	}
	l.place(place.Result{Worker: a.Worker, Row: a.Row, Failed: a.Failed})
}

func (l *Leader) want(a job.RequestPlacement) {
	row, _ := l.Row(a.Spec.Row)
	w := l.wantOf(a.Spec, a.Tasks)
	w.Rule = l.ruleNow(row)
	w.Since, w.Avoid, w.LastFailure, w.AvoidUntil = a.Since, a.Avoid, a.LastFailure, a.AvoidUntil
	w.Declared = w.Size
	w.Size, w.RunTime = l.corrected(w), l.Estimates.Time(w.Row, w.RunTime)
	if a.Exclusive {
		w.Size = l.apart(w)
	}
	l.place(w)
}

// wantOf is a job's need as it was declared.
func (l *Leader) wantOf(s job.Spec, tasks []string) place.Request {
	row, _ := l.Row(s.Row)
	return place.Request{
		Job: s.ID, Row: s.Row, Team: row.Team, Class: s.Class, Size: s.Size, Tasks: tasks, Gang: s.Gang,
		Spread: row.Kind == table.Service, RunTime: s.Time.Duration, Rule: l.rule(row),
	}
}

// corrected is the size to pack by. Where the declared size could run and the
// corrected one never can, the declared one is kept: the job would otherwise
// wait for ever for a guess.
func (l *Leader) corrected(w place.Request) cell.Size {
	declared := w.Size
	w.Size = l.Estimates.Size(w.Row, declared)
	if l.Placer.CheckFeasible(w) != nil {
		return declared
	}
	return w.Size
}

// rule is what the table says of a row in this failure domain.
func (l *Leader) rule(row table.Row) place.Rule {
	r := place.Rule{Weight: row.Weight, Limit: row.Limits.Room, MaxTasks: row.Limits.Tasks}
	if l.Shares != nil {
		own, team := l.Shares(row)
		r.Limit, r.MaxTasks = limitOf(own)
		r.Quota, r.QuotaTasks = limitOf(team)
	}
	return r
}

// ruleNow is what of it may be started here now.
func (l *Leader) ruleNow(row table.Row) place.Rule {
	r := l.rule(row)
	if !l.mayStart(row) {
		r.MaxTasks = -1
		return r
	}
	return l.lessElsewhere(row, r)
}

// limitOf turns a share of the table, where NoLimit is open and zero nothing,
// into a limit of the placement, where zero is open and -1 nothing.
func limitOf(s table.Share) (cell.Size, int64) {
	part := func(n int64) int64 {
		switch n {
		case table.NoLimit:
			return 0
		case 0:
			return -1
		default:
			return n
		}
	}
	return cell.Size{CPU: part(s.Room.CPU), Mem: part(s.Room.Mem), Accel: part(s.Room.Accel)}, part(s.Tasks)
}

// ruleEvery is how often the table is looked at for work that waits.
const ruleEvery = time.Second

// reread applies edits of the table to work that waits already.
func (l *Leader) reread() {
	if l.Clock().Sub(l.ruled) < ruleEvery {
		return
	}
	l.ruled = l.Clock()
	for _, name := range l.Placer.Rows() {
		row, _ := l.Row(name)
		if r := l.ruleNow(row); l.rules[name] != r {
			l.rules[name] = r
			l.place(place.RuleChanged{Row: name, Rule: r})
		}
	}
}

// retell applies what may be started here now to all work that waits.
func (l *Leader) retell() {
	for _, name := range l.Placer.Rows() {
		row, _ := l.Row(name)
		l.rules[name] = l.ruleNow(row)
		l.place(place.RuleChanged{Row: name, Rule: l.rules[name]})
	}
}

func (l *Leader) never(spec job.Spec) error {
	w := l.wantOf(spec, make([]string, spec.Tasks))
	var never *place.InfeasibleError
	if errors.As(l.Placer.CheckFeasible(w), &never) {
		l.Count("lead.never")
		return &UnschedulableError{Reason: never.Error()}
	}
	return nil
}

// used books what a worker's list says that its tasks use.
func (l *Leader) used(tasks []lease.Task) {
	for _, t := range tasks {
		if t.State != "running" {
			l.Estimates.Drop(t.ID)
			continue
		}
		spec, ok := l.Jobs.Spec(t.ID)
		switch {
		case !ok:
			l.grown(t)
			continue
		case l.Jobs.NeedsExclusiveWorker(t.ID):
			continue
		}
		if room, ok := l.Estimates.Seen(t.ID, t.Row, spec.Size, t.Use); ok {
			l.place(place.TaskResized{Task: t.ID, Size: room, Use: t.Use})
		}
	}
}

// roomOf is the room of a task that ran before this host led its worker. The
// room that it was started with may have been a guess, so what it is seen to
// use goes before, with the same margin as for measured rows.
func roomOf(t lease.Task) cell.Size {
	if t.Use == (cell.Size{}) {
		return t.Size
	}
	part := func(room, use int64) int64 { return max(use, min(room, int64(float64(use)*estimate.Margin))) }
	return cell.Size{CPU: part(t.Size.CPU, t.Use.CPU), Mem: part(t.Size.Mem, t.Use.Mem), Accel: t.Size.Accel}
}

// grown books a task of a job that is not led here, of which nobody knows what
// was declared: its room never shrinks.
func (l *Leader) grown(t lease.Task) {
	if room, ok := l.Placer.AllocatedSize(t.ID); ok && t.Use != (cell.Size{}) {
		size := cell.Size{CPU: max(room.CPU, t.Use.CPU), Mem: max(room.Mem, t.Use.Mem), Accel: room.Accel}
		l.place(place.TaskResized{Task: t.ID, Size: size, Use: t.Use})
	}
}

// Explain tells why a job waits, where it was tried and what was refused.
func (l *Leader) Explain(id string) []trail.Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	notes := l.History.Of(id)
	for _, task := range l.Jobs.WaitingTasks(id) {
		if why, ok := l.Placer.ExplainWait(task); ok {
			notes = append(notes, trail.Note{At: l.Clock(), ID: id, Part: "place", What: why})
			notes = append(notes, l.whyPutOff(id, task)...)
			break
		}
	}
	if l.Jobs.AwaitsInventory(id) {
		notes = append(notes, trail.Note{At: l.Clock(), ID: id, Part: "lead", What: "waits for its census: " + l.Takeover.Missing(l.Clock(), id)})
	}
	if aside := l.Placer.QuarantinedWorkers(); len(notes) > 0 && len(aside) > 0 {
		notes = append(notes, trail.Note{At: l.Clock(), ID: id, Part: "place", What: fmt.Sprintf("workers set aside: %v", aside)})
	}
	return notes
}

// whyPutOff tells that a waiting task's row is counted by another host.
func (l *Leader) whyPutOff(id, task string) []trail.Note {
	spec, _ := l.Jobs.Spec(task)
	row, _ := l.Row(spec.Row)
	if l.mayStart(row) {
		return nil
	}
	key, worker := l.arbiter(row)
	return []trail.Note{{At: l.Clock(), ID: id, Part: "lead", What: "the host that holds " + worker + " counts " + key}}
}
