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

// stepPlacement passes an event to the placer and carries out its actions. An Assign is skipped if
// it is no longer valid, because an earlier action may have changed the free capacity. If the placer
// has no request for the task either, because the worker was removed, the task is requested again.
func (l *Leader) stepPlacement(ev place.Event) {
	for _, a := range l.Placer.Step(l.Clock(), ev) {
		switch a := a.(type) {
		case place.Assign:
			switch {
			case l.Placer.IsAssigned(a.Task, a.Worker):
				l.stepJobs(job.Placed{Task: a.Task, Worker: a.Worker})
			case !l.Placer.Knows(a.Task):
				l.stepJobs(job.NotPlaced{Task: a.Task})
			}
		case place.Preempt:
			l.preempt(a)
		case place.Throttle:
			l.spawn(func(ctx context.Context) { l.throttle(ctx, a) })
		case place.Quarantined:
			l.Count("lead.aside")
			l.Log.Warn("lead: worker fails tasks that succeed elsewhere and is quarantined.", "worker", a.Worker)
		case place.Restored:
			l.Count("lead.restored")
			l.Log.Info("lead: worker is no longer quarantined.", "worker", a.Worker)
		}
	}
}

func (l *Leader) preempt(a place.Preempt) {
	l.Count("lead.preempted")
	l.Log.Info("lead: task is preempted.", "task", a.Task, "worker", a.Worker, "why", a.Reason)
	l.addNote(jobOf(a.Task), "stop of "+a.Task+" on "+a.Worker+": "+a.Reason)
	l.stepJobs(job.Preempt{Task: a.Task})
}

// jobOf returns the id of the job that a task belongs to.
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
		l.Log.Warn("lead: throttle request got no answer.", "task", a.Task, "worker", a.Worker, "err", err)
	}
}

func (l *Leader) handleResult(a job.Result) {
	l.Estimates.Forget(a.Task)
	if spec, ok := l.Jobs.Spec(a.Task); ok && !a.Failed {
		l.Estimates.RecordTime(a.Row, spec.Time.Duration, a.Run)
	}
	if a.Failed {
		l.Count("lead.failed")
		l.addNote(jobOf(a.Task), a.Task+" failed on "+a.Worker)
	}
	l.stepPlacement(place.Result{Worker: a.Worker, Row: a.Row, Failed: a.Failed, Run: a.Run})
}

func (l *Leader) requestPlacement(a job.RequestPlacement) {
	row, _ := l.Row(a.Spec.Row)
	w := l.declaredWant(a.Spec, a.Tasks)
	w.Rule = l.currentRule(row)
	if l.appliedRules[w.Row] != w.Rule {
		// Requests of one row now have different rules. The next refresh applies the current one to all.
		delete(l.appliedRules, w.Row)
	}
	w.Since, w.Avoid, w.LastFailure, w.AvoidUntil = a.Since, a.Avoid, a.LastFailure, a.AvoidUntil
	w.LastTry = a.LastTry
	w.Declared = w.Size
	w.Size, w.RunTime = l.estimatedSize(w), l.Estimates.Time(w.Row, w.RunTime)
	if a.Exclusive {
		w.Size = l.exclusiveSize(w)
	}
	l.stepPlacement(w)
}

// declaredWant returns the placement request of a job with its declared size and time.
func (l *Leader) declaredWant(s job.Spec, tasks []string) place.Request {
	row, _ := l.Row(s.Row)
	return place.Request{
		Job: s.ID, Row: s.Row, Organisation: row.Organisation, Class: s.Class, Size: s.Size, Tasks: tasks, Gang: s.Gang,
		Spread: row.Kind == table.Service, RunTime: s.Time.Duration, Rule: l.tableRule(row),
	}
}

// estimatedSize returns the size to place a job by. If the job could run with its declared size but
// never with the estimated one, the declared size is used; otherwise the job would wait forever
// because of an estimate.
func (l *Leader) estimatedSize(w place.Request) cell.Size {
	declared := w.Size
	w.Size = l.Estimates.Size(w.Row, declared)
	if l.Placer.CheckFeasible(w) != nil {
		return declared
	}
	return w.Size
}

// tableRule returns the rule of a row in this failure domain according to the table.
func (l *Leader) tableRule(row table.Row) place.Rule {
	r := place.Rule{Weight: row.Weight, Limit: row.Limits.Capacity, MaxTasks: row.Limits.Tasks}
	if l.Shares != nil {
		own, organisation := l.Shares(row)
		r.Limit, r.MaxTasks = placementLimit(own)
		r.Quota, r.QuotaTasks = placementLimit(organisation)
	}
	return r
}

// currentRule returns the part of tableRule that this host may still use now.
func (l *Leader) currentRule(row table.Row) place.Rule {
	r := l.tableRule(row)
	if !l.mayStart(row) {
		r.MaxTasks = -1
		return r
	}
	return l.subtractElsewhere(row, r)
}

// placementLimit converts a share of the table into a placement limit. In the table, NoLimit means
// no limit and zero allows nothing; in the placer, zero means no limit and -1 allows nothing.
func placementLimit(s table.Share) (cell.Size, int64) {
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
	return cell.Size{CPU: part(s.Capacity.CPU), Mem: part(s.Capacity.Mem), Accel: part(s.Capacity.Accel)}, part(s.Tasks)
}

// ruleRefreshInterval is how often the rules of rows with waiting work are compared with the table.
const ruleRefreshInterval = time.Second

// refreshRules applies edits of the table to work that is already waiting.
func (l *Leader) refreshRules() {
	if l.Clock().Sub(l.rulesRefreshed) < ruleRefreshInterval {
		return
	}
	l.rulesRefreshed = l.Clock()
	for _, name := range l.Placer.Rows() {
		row, _ := l.Row(name)
		r := l.currentRule(row)
		if applied, ok := l.appliedRules[name]; !ok || applied != r {
			l.appliedRules[name] = r
			l.stepPlacement(place.RuleChanged{Row: name, Rule: r})
		}
	}
}

// reapplyRules passes the current rules of all rows with waiting work to the placer.
func (l *Leader) reapplyRules() {
	for _, name := range l.Placer.Rows() {
		row, _ := l.Row(name)
		l.appliedRules[name] = l.currentRule(row)
		l.stepPlacement(place.RuleChanged{Row: name, Rule: l.appliedRules[name]})
	}
}

func (l *Leader) checkFeasible(spec job.Spec) error {
	w := l.declaredWant(spec, make([]string, spec.Tasks))
	var never *place.InfeasibleError
	if errors.As(l.Placer.CheckFeasible(w), &never) {
		l.Count("lead.never")
		return &InfeasibleError{Reason: never.Error()}
	}
	return nil
}

// recordUsage updates the estimates and the placer with the resource usage that a worker reports
// for its tasks.
func (l *Leader) recordUsage(tasks []lease.Task) {
	for _, t := range tasks {
		if t.State != "running" {
			l.Estimates.Forget(t.ID)
			continue
		}
		spec, ok := l.Jobs.Spec(t.ID)
		switch {
		case !ok:
			l.growForeignTask(t)
			continue
		case l.Jobs.NeedsExclusiveWorker(t.ID):
			continue
		}
		if room, ok := l.Estimates.RecordUse(t.ID, t.Row, spec.Size, t.Use); ok {
			l.stepPlacement(place.TaskResized{Task: t.ID, Size: room, Use: t.Use})
		}
	}
}

// foundTaskSize returns the size to reserve for a task that ran before this host led its worker.
// The size that it was started with may have been an estimate, so its measured use takes
// precedence, with the same margin as for measured rows.
func foundTaskSize(t lease.Task) cell.Size {
	if t.Use == (cell.Size{}) {
		return t.Size
	}
	part := func(room, use int64) int64 { return max(use, min(room, int64(float64(use)*estimate.Margin))) }
	return cell.Size{CPU: part(t.Size.CPU, t.Use.CPU), Mem: part(t.Size.Mem, t.Use.Mem), Accel: t.Size.Accel}
}

// growForeignTask adjusts the size of a task whose job is not led here. Its declared size is
// unknown, so its reserved size never shrinks.
func (l *Leader) growForeignTask(t lease.Task) {
	if room, ok := l.Placer.AllocatedSize(t.ID); ok && t.Use != (cell.Size{}) {
		size := cell.Size{CPU: max(room.CPU, t.Use.CPU), Mem: max(room.Mem, t.Use.Mem), Accel: room.Accel}
		l.stepPlacement(place.TaskResized{Task: t.ID, Size: size, Use: t.Use})
	}
}

// Explain returns the history of a job: why it waits, where it was tried and which placements were
// refused.
func (l *Leader) Explain(id string) []trail.Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	notes := l.History.ByID(id)
	for _, task := range l.Jobs.WaitingTasks(id) {
		if why, ok := l.Placer.ExplainWait(task); ok {
			notes = append(notes, trail.Note{At: l.Clock(), ID: id, Component: "place", Message: why})
			notes = append(notes, l.explainPostponed(id, task)...)
			break
		}
	}
	if l.Jobs.AwaitsInventory(id) {
		notes = append(notes, trail.Note{At: l.Clock(), ID: id, Component: "lead", Message: "waits for its census: " + l.Takeover.Missing(l.Clock(), id)})
	}
	if aside := l.Placer.QuarantinedWorkers(); len(notes) > 0 && len(aside) > 0 {
		notes = append(notes, trail.Note{At: l.Clock(), ID: id, Component: "place", Message: fmt.Sprintf("workers set aside: %v", aside)})
	}
	return notes
}

// explainPostponed returns a note if another host counts the row of a waiting task.
func (l *Leader) explainPostponed(id, task string) []trail.Note {
	spec, _ := l.Jobs.Spec(task)
	row, _ := l.Row(spec.Row)
	if l.mayStart(row) {
		return nil
	}
	key, worker := l.arbiter(row)
	return []trail.Note{{At: l.Clock(), ID: id, Component: "lead", Message: "the host that holds " + worker + " counts " + key}}
}
