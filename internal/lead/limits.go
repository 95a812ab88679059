package lead

import (
	"slices"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/place"
	"pollencroft/internal/table"
	"pollencroft/internal/takeover"
)

// CountedTask is one running task of a key. A key is what is counted together: a row with limits, or
// the rows of a team with a quota.
type CountedTask struct {
	Row  string    `json:"row"`
	Size cell.Size `json:"size"`
}

// keyCount is a key that is counted here as long as this host holds the worker. Done is set when
// all is known that runs of it.
type keyCount struct {
	worker   string
	complete bool
}

// arbiter is the worker that must be held to start tasks of a row; empty names for a row that
// anyone may start. Two hosts may both take themselves for the lead of the row's rack, but a
// worker has one holder. One that is silent for longer than any lease is passed over: with it
// the row would stand still for as long as it is listed.
func (l *Leader) arbiter(row table.Row) (key, worker string) {
	if l.LimitKey == nil {
		return "", ""
	}
	if key = l.LimitKey(row); key == "" {
		return "", ""
	}
	for _, name := range l.Arbiters(key) {
		if !l.Takeover.LeasesExpired(l.Clock(), name) {
			return key, name
		}
	}
	return key, ""
}

func (l *Leader) limitKeyOf(row string) string {
	if l.LimitKey == nil {
		return ""
	}
	r, _ := l.Row(row)
	return l.LimitKey(r)
}

// mayStart tells whether tasks of a row may be started here, and begins to count what runs of it
// when the worker is held that allows it.
func (l *Leader) mayStart(row table.Row) bool {
	key, worker := l.arbiter(row)
	if key == "" {
		return true
	}
	c := l.counts[key]
	if !slices.Contains(l.Leases.Held(), worker) {
		l.stopCounting(key)
		return false
	}
	if c == nil || c.worker != worker {
		c = &keyCount{worker: worker}
		l.counts[key] = c
		l.Log.Info("lead: counting what runs.", "key", key, "worker", worker)
		l.stepTakeover(takeover.AddKey{Key: key})
	}
	return c.complete
}

func (l *Leader) stopCounting(key string) {
	if _, ok := l.counts[key]; !ok {
		return
	}
	delete(l.counts, key)
	l.Log.Info("lead: another host may count what runs.", "key", key)
	l.stepTakeover(takeover.RemoveKey{Key: key})
}

// finishCounting begins to start tasks of a key, of which all that runs is known now.
func (l *Leader) finishCounting(key string) {
	c, ok := l.counts[key]
	if !ok {
		return
	}
	c.complete = true
	l.Log.Info("lead: what runs is counted.", "key", key, "worker", c.worker)
	// The rows that wait are told with the next tick.
	l.rulesRefreshed = l.rulesRefreshed.Add(-ruleRefreshInterval)
}

// stopCountingOn ends the counting that rests on a worker.
func (l *Leader) stopCountingOn(worker string) {
	lost := false
	for key, c := range l.counts {
		if c.worker == worker {
			l.stopCounting(key)
			lost = true
		}
	}
	if lost {
		l.reapplyRules()
	}
}

// setElsewhere notes what runs of the counted keys on a worker of another host.
func (l *Leader) setElsewhere(worker string, tasks []CountedTask) {
	if len(tasks) == 0 {
		delete(l.countedElsewhere, worker)
		return
	}
	l.countedElsewhere[worker] = tasks
}

// mergeElsewhere notes what a peer told of some keys; of others it was not asked.
func (l *Leader) mergeElsewhere(worker string, keys []string, tasks []CountedTask) {
	for _, t := range l.countedElsewhere[worker] {
		if !slices.Contains(keys, l.limitKeyOf(t.Row)) {
			tasks = append(tasks, t)
		}
	}
	l.setElsewhere(worker, tasks)
}

// keepCounted notes what ran of counted keys on a worker that is given up.
func (l *Leader) keepCounted(worker string) {
	var all []CountedTask
	for _, u := range l.Placer.TasksOn(worker) {
		if l.limitKeyOf(u.Row) != "" {
			all = append(all, CountedTask{Row: u.Row, Size: u.Size})
		}
	}
	l.setElsewhere(worker, all)
}

// subtractElsewhere takes off a rule what runs on workers of other hosts.
func (l *Leader) subtractElsewhere(row table.Row, r place.Rule) place.Rule {
	for _, tasks := range l.countedElsewhere {
		for _, t := range tasks {
			other, _ := l.Row(t.Row)
			if t.Row == row.Name {
				r.MaxTasks, r.Limit = reduceLimit(r.MaxTasks, 1), reduceSize(r.Limit, t.Size)
			}
			if row.Team != "" && other.Team == row.Team {
				r.QuotaTasks, r.Quota = reduceLimit(r.QuotaTasks, 1), reduceSize(r.Quota, t.Size)
			}
		}
	}
	return r
}

// reduceLimit is a limit of the placement that n of are taken: zero is open, a negative one allows nothing.
func reduceLimit(limit, n int64) int64 {
	switch {
	case limit <= 0:
		return limit
	case limit <= n:
		return -1
	default:
		return limit - n
	}
}

func reduceSize(limit, size cell.Size) cell.Size {
	return cell.Size{CPU: reduceLimit(limit.CPU, size.CPU), Mem: reduceLimit(limit.Mem, size.Mem), Accel: reduceLimit(limit.Accel, size.Accel)}
}

// postponeStart puts back a task whose row may not be started here any more. A lease that lapsed before
// anyone noticed is noticed first: the task would get its room again at once.
func (l *Leader) postponeStart(a job.Start) {
	l.stepLeases(lease.Tick{})
	l.addNote(a.Spec.ID, "start of "+a.Task+" put off: its row is counted elsewhere")
	l.reapplyRules()
	l.stepJobs(job.NotStarted{Task: a.Task, Attempt: a.Attempt})
}
