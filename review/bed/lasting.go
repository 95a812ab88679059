package main

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	lastingTasks = 4
	// endsAfter is when the first run of one of the tasks ends by itself, restartWithin how long it may
	// take until it runs again: six seconds after its last run, and three.
	endsAfter     = 8 * time.Second
	restartWithin = 9 * time.Second
)

// endOnce is set while the next run of the task that ends has not begun.
var endOnce atomic.Bool

// lastingEnded lets one of four tasks that last end by itself as done, once.
var lastingEnded = scenario{
	hosts: 3, minions: 8,
	work: func(task string) work {
		if !strings.HasPrefix(task, jobID(watchJob)) {
			return work{takes: smallWork}
		}
		w := work{takes: startup, lasts: true}
		if strings.HasSuffix(task, ".0") && endOnce.CompareAndSwap(true, false) {
			w.ends = endsAfter
		}
		return w
	},
	play: func(ctx context.Context, c *cell, trouble bool) ([]string, error) {
		endOnce.Store(trouble)
		stop := c.traffic(scanQueue, scanFirst, 400*time.Millisecond)
		watch := jobID(watchJob)
		task := watch + ".0.0.0"
		if !c.submit(ctx, watchQueue, watch, step{Count: lastingTasks, CPU: 4000, MemMb: 8000, LongRunning: true}) {
			return nil, fmt.Errorf("the job was not accepted")
		}
		if !await(ctx, 10*time.Second, func() bool { return c.startedOf(watch) == lastingTasks }) {
			return nil, fmt.Errorf("the tasks do not start")
		}
		pause(ctx, endsAfter+restartWithin+2*time.Second)
		running := c.isRunning(task)
		stop()
		state := c.state(ctx, watchQueue, watch)
		var found []string
		if !running {
			found = append(found, fmt.Sprintf("task %s, which lasts, ended as done and has not run again for %s; its job is shown as %s", task, restartWithin, state))
		}
		return found, nil
	},
}

// isRunning reports whether any run of a task is on a minion.
func (c *cell) isRunning(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.at {
		if k.task == task {
			return true
		}
	}
	return false
}
