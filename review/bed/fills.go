package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	watchJob, fillJob = 1 << 33, 1 << 35
	startup           = 400 * time.Millisecond
	fillWork          = 3 * time.Second
	// watchCPU is what one task takes on each minion, less than half of it, fillCPU what each task of
	// the large job asks for that fills, and usualCPU that of a usual one.
	watchCPU = 31_200
	fillCPU  = 33_000
	usualCPU = 11_000
)

// fills hands in a job whose tasks fill beside tasks that last, one on each minion.
var fills = scenario{
	hosts: 3, minions: 8,
	work: func(task string) work {
		switch {
		case strings.HasPrefix(task, jobID(watchJob)):
			return work{takes: startup, lasts: true}
		case strings.HasPrefix(task, jobID(fillJob)):
			return work{takes: fillWork}
		default:
			return work{takes: smallWork}
		}
	},
	play: func(ctx context.Context, c *cell, trouble bool) ([]string, error) {
		if !c.submit(ctx, watchQueue, jobID(watchJob), step{Count: 8, CPU: watchCPU, MemMb: 28_000, LongRunning: true, AntiAffinity: 1}) {
			return nil, fmt.Errorf("the job that lasts was not accepted")
		}
		if !await(ctx, 10*time.Second, func() bool { return c.startedOf(jobID(watchJob)) == 8 }) {
			return nil, fmt.Errorf("the tasks that last do not start")
		}
		cpu := int64(usualCPU)
		if trouble {
			cpu = fillCPU
			c.record.note("DISTURBANCE: a large job comes, four tasks that fill, of %d thousandths of a core", cpu)
		}
		stop := c.traffic(scanQueue, scanFirst, time.Second)
		id := jobID(fillJob)
		if !c.submit(ctx, printQueue, id, step{Count: 4, CPU: cpu, MemMb: 40_000, EstimateMs: fillWork.Milliseconds(), Fills: true}) {
			return nil, fmt.Errorf("the job that fills was not accepted")
		}
		pause(ctx, 20*time.Second)
		scans := stop()
		c.record.note("the traffic ends, %d of %d thousandths of cores are in use", c.cpuInUse(), len(c.machines)*cores)
		pause(ctx, finish)
		return append(c.unfinished(ctx, printQueue, []string{id}), c.unfinished(ctx, scanQueue, scans)...), nil
	},
}
