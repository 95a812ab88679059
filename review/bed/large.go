package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// wideTasks is the number of tasks of the large job: 25 thousandths of a core each, so that all of
	// them take under half of the minions at once.
	wideTasks = 8000
	wideCPU   = 25
	smallWork = 500 * time.Millisecond
	wideWork  = 10 * time.Minute
	// finish is finish_s of the pages, idle the time for which a job may have nothing running.
	finish = 14 * time.Second
	idle   = 3 * time.Second
	// wideFirst is the number of the first large job.
	wideFirst = 1 << 32
	// shown is how many jobs or tasks are named in the result.
	shown = 5
	// scanFirst and printFirst are the numbers of the first small jobs.
	scanFirst, printFirst = 1, 1 << 34
)

// largeJob hands in one job with many small tasks beside a stream of small jobs. Without the
// disruption the same tasks come in sixteen jobs.
var largeJob = scenario{
	hosts: 3, minions: 8,
	work: func(task string) work {
		if strings.HasPrefix(task, jobID(wideFirst)[:9]) {
			return work{takes: wideWork}
		}
		return work{takes: smallWork}
	},
	play: func(ctx context.Context, c *cell, trouble bool) ([]string, error) {
		stopScans, stopPrints := c.traffic(scanQueue, scanFirst, 400*time.Millisecond), c.traffic(printQueue, printFirst, 400*time.Millisecond)
		pause(ctx, 6*time.Second)
		jobs := 16
		if trouble {
			jobs = 1
			c.record.note("DISTURBANCE: a large job of %d tasks comes", wideTasks)
		}
		var accepted []string
		for n := range jobs {
			id := jobID(wideFirst + n)
			if c.submit(ctx, printQueue, id, step{Count: wideTasks / jobs, CPU: wideCPU, MemMb: 20, EstimateMs: wideWork.Milliseconds()}) {
				accepted = append(accepted, id)
			}
		}
		if len(accepted) < jobs {
			// Not accepted is allowed, and no fault.
			c.record.note("%d of %d large jobs were accepted", len(accepted), jobs)
		}
		pause(ctx, 36*time.Second)
		scans, prints := stopScans(), stopPrints()
		c.record.note("the traffic ends")
		pause(ctx, finish)
		return append(c.unfinished(ctx, printQueue, append(accepted, prints...)), c.unfinished(ctx, scanQueue, scans)...), nil
	},
}

// unfinished checks the rule LOST for accepted jobs after the end of the traffic: each is known and
// answered, and none has nothing running for three seconds beside free capacity.
func (c *cell) unfinished(ctx context.Context, prefix string, jobs []string) []string {
	var open, found []string
	for id, state := range c.states(ctx, prefix, jobs) {
		switch state {
		case "completed":
		case "queued", "running":
			open = append(open, id)
		default:
			found = append(found, fmt.Sprintf("job %s is told as %q", id, state))
		}
	}
	slices.Sort(open)
	waiting := c.idleJobs(ctx, open)
	for _, id := range waiting[:min(len(waiting), shown)] {
		found = append(found, fmt.Sprintf("job %s, accepted, has had nothing running for %s; %d of its tasks ever began", id, idle, c.startedOf(id)))
	}
	if len(waiting) > 0 {
		found = append(found, fmt.Sprintf("%d of %d accepted jobs wait in all", len(waiting), len(jobs)))
	}
	return found
}

// idleJobs returns the jobs of which nothing runs for the time idle while under half of the capacity
// is in use.
func (c *cell) idleJobs(ctx context.Context, open []string) []string {
	quiet := map[string]bool{}
	for _, id := range open {
		quiet[id] = true
	}
	for until := time.Now().Add(idle); time.Now().Before(until); pause(ctx, 50*time.Millisecond) {
		for id := range c.runningJobs() {
			delete(quiet, id)
		}
		if c.cpuInUse() > int64(len(c.machines))*cores/2 {
			return nil
		}
	}
	var all []string
	for _, id := range open {
		if quiet[id] {
			all = append(all, id)
		}
	}
	return all
}

// runningJobs returns the jobs of which a task runs.
func (c *cell) runningJobs() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]bool{}
	for k := range c.at {
		id, _, _ := strings.Cut(k.task, ".")
		all[id] = true
	}
	return all
}

// cpuInUse returns the thousandths of cores that the running tasks have asked for, without those that
// fill.
func (c *cell) cpuInUse() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := int64(0)
	for k := range c.at {
		id, _, _ := strings.Cut(k.task, ".")
		sum += c.cpu[id]
	}
	return sum
}
