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

// CountedTask is a running task of a key. A key groups the tasks that are counted together: those
// of a row with limits, or of all rows of an organisation with a quota.
type CountedTask struct {
	Row  string    `json:"row"`
	Size cell.Size `json:"size"`
}

// keyCount is a key that this host counts while it holds worker. complete is set once all running
// tasks of the key are known.
type keyCount struct {
	worker   string
	complete bool
}

// arbiter returns the key of a row and the worker whose holder alone may start tasks of the row.
// The key is empty if any host may start them. Two hosts may both believe that they lead the row's
// rack, but a worker has only one holder. Workers that have been silent for longer than any lease
// are skipped; otherwise the row would be blocked for as long as such a worker stays on the host
// list. If all are silent, the worker is empty and no host may start the row.
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

// mayStart reports whether this host may start tasks of a row. When this host holds the row's
// arbiter, mayStart begins to count the running tasks of the row's key.
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
		l.Log.Info("lead: counting running tasks of a key.", "key", key, "worker", worker)
		l.stepTakeover(takeover.AddKey{Key: key})
	}
	return c.complete
}

func (l *Leader) stopCounting(key string) {
	if _, ok := l.counts[key]; !ok {
		return
	}
	delete(l.counts, key)
	l.Log.Info("lead: no longer counting running tasks of a key.", "key", key)
	l.stepTakeover(takeover.RemoveKey{Key: key})
}

// finishCounting allows tasks of a key to start, now that all running tasks of the key are known.
func (l *Leader) finishCounting(key string) {
	c, ok := l.counts[key]
	if !ok {
		return
	}
	c.complete = true
	l.Log.Info("lead: running tasks of a key are counted.", "key", key, "worker", c.worker)
	// The next tick passes the new rules on to the waiting rows.
	l.rulesRefreshed = l.rulesRefreshed.Add(-ruleRefreshInterval)
}

// stopCountingOn stops counting the keys whose arbiter is this worker.
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

// setElsewhere records the running tasks of counted keys on a worker that another host holds.
func (l *Leader) setElsewhere(worker string, tasks []CountedTask) {
	if len(tasks) == 0 {
		delete(l.countedElsewhere, worker)
		return
	}
	l.countedElsewhere[worker] = tasks
}

// mergeElsewhere records a peer's answer for the requested keys and keeps the recorded tasks of all
// other keys.
func (l *Leader) mergeElsewhere(worker string, keys []string, tasks []CountedTask) {
	for _, t := range l.countedElsewhere[worker] {
		if !slices.Contains(keys, l.limitKeyOf(t.Row)) {
			tasks = append(tasks, t)
		}
	}
	l.setElsewhere(worker, tasks)
}

// keepCounted records the running tasks of counted keys on a worker that is given up.
func (l *Leader) keepCounted(worker string) {
	var all []CountedTask
	for _, u := range l.Placer.TasksOn(worker) {
		if l.limitKeyOf(u.Row) != "" {
			all = append(all, CountedTask{Row: u.Row, Size: u.Size})
		}
	}
	l.setElsewhere(worker, all)
}

// subtractElsewhere reduces a rule by what runs on workers that other hosts hold.
func (l *Leader) subtractElsewhere(row table.Row, r place.Rule) place.Rule {
	for _, tasks := range l.countedElsewhere {
		for _, t := range tasks {
			other, _ := l.Row(t.Row)
			if t.Row == row.Name {
				r.MaxTasks, r.Limit = reduceLimit(r.MaxTasks, 1), reduceSize(r.Limit, t.Size)
			}
			if row.Organisation != "" && other.Organisation == row.Organisation {
				r.QuotaTasks, r.Quota = reduceLimit(r.QuotaTasks, 1), reduceSize(r.Quota, t.Size)
			}
		}
	}
	return r
}

// reduceLimit returns a placement limit reduced by n. Zero means no limit; a negative limit allows
// nothing.
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

// postponeStart returns a task to the queue because its row may no longer be started here. It first
// handles an expired lease that has not been noticed yet; otherwise the task would be placed on the
// same worker at once.
func (l *Leader) postponeStart(a job.Start) {
	l.stepLeases(lease.Tick{})
	l.addNote(a.Spec.ID, "start of "+a.Task+" put off: its row is counted elsewhere")
	l.reapplyRules()
	l.stepJobs(job.NotStarted{Task: a.Task, Attempt: a.Attempt})
}
