package main

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// firstJobs come within arrival, badJobs of them have tasks that fail failAfter after each start.
	firstJobs, badJobs   = 60, 3
	firstTasks, badTasks = 1, 4
	arrival              = 3 * time.Second
	failAfter            = time.Second
	// laterJobs come laterAfter after them, beside small batch jobs.
	laterJobs, laterTasks = 6, 2
	laterAfter            = 12 * time.Second
	// oneFails is how long after its start one task of each later job fails, once.
	oneFails = 20 * time.Second

	firstWatch, badFirst, laterFirst = 1 << 37, 1 << 38, 1 << 39
)

// failedOnce holds which of the later jobs have had their one failure.
var failedOnce [laterJobs]atomic.Bool

// watchers runs jobs that last. A twentieth of those that come within three seconds fail soon after
// each start. More jobs that last, which are sound, and small batch jobs come afterwards.
var watchers = scenario{
	hosts: 3, minions: 8,
	work: func(task string) work {
		w := work{takes: startup, lasts: true}
		switch {
		case strings.HasPrefix(task, jobID(badFirst)[:9]):
			w.fails = failAfter
		case strings.HasPrefix(task, jobID(printFirst)[:9]):
			w = work{takes: smallWork}
		}
		for n := range laterJobs {
			if task == jobID(laterFirst+n)+".0.0.0" && failedOnce[n].CompareAndSwap(false, true) {
				w.fails = oneFails
			}
		}
		return w
	},
	play: func(ctx context.Context, c *cell, trouble bool) ([]string, error) {
		if trouble {
			c.record.note("DISTURBANCE: %d of %d jobs that last, which come within %s, fail %s after each start", badJobs, firstJobs, arrival, failAfter)
		}
		tasks, began := map[string]time.Time{}, time.Now()
		for n := range firstJobs {
			pause(ctx, time.Until(began.Add(time.Duration(n)*arrival/firstJobs)))
			id, count, every := jobID(firstWatch+n), firstTasks, firstJobs/badJobs
			if trouble && n%every == every/2 {
				id, count = jobID(badFirst+n), badTasks
			}
			if err := c.handIn(ctx, tasks, id, count); err != nil {
				return nil, err
			}
		}
		pause(ctx, laterAfter)
		stop := c.traffic(printQueue, printFirst, 2*time.Second)
		for n := range laterJobs {
			if err := c.handIn(ctx, tasks, jobID(laterFirst+n), laterTasks); err != nil {
				return nil, err
			}
		}
		pause(ctx, 2*oneFails)
		prints := stop()
		c.record.note("the traffic ends")
		pause(ctx, finish)
		return append(c.notRestarted(tasks), c.unfinished(ctx, printQueue, prints)...), nil
	},
}

// handIn hands in a job that lasts, and notes from when on each of its tasks should run. Those that
// fail again and again are left out.
func (c *cell) handIn(ctx context.Context, tasks map[string]time.Time, id string, count int) error {
	if !c.submit(ctx, watchQueue, id, step{Count: count, CPU: 2000, MemMb: 4000, LongRunning: true}) {
		return fmt.Errorf("job %s was not accepted", id)
	}
	for k := range count {
		if !strings.HasPrefix(id, jobID(badFirst)[:9]) {
			tasks[fmt.Sprintf("%s.0.0.%d", id, k)] = time.Now()
		}
	}
	return nil
}

// notRestarted checks the rule LOST for tasks that last: each runs within restartWithin of its job's
// acceptance and of the end of its last run.
func (c *cell) notRestarted(tasks map[string]time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	all := 0
	for task, accepted := range tasks {
		longest := time.Duration(0)
		for i, at := range append([]time.Time{accepted}, c.endedAt[task]...) {
			next := time.Now()
			if i < len(c.starts[task]) {
				next = c.starts[task][i].at
			}
			longest = max(longest, next.Sub(at))
		}
		if longest <= restartWithin {
			continue
		}
		if all++; all <= shown {
			found = append(found, fmt.Sprintf("task %s, which lasts, had nothing running for %.1f s; it began %d times", task, longest.Seconds(), len(c.starts[task])))
		}
	}
	if all > shown {
		found = append(found, fmt.Sprintf("%d of %d sound tasks that last had nothing running for longer than %s", all, len(tasks), restartWithin))
	}
	return found
}
