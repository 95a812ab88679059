package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// runBurst submits a burst of jobs at once, as after an outage, and then a steady load of the given
// share of the cell's capacity for a time. It returns how long each job took; for a job that is not
// completed at the end, the time so far.
func runBurst(t *testing.T, atOnce int, share float64, d time.Duration) (first, later []time.Duration) {
	const workers, perWorker = 4, 12
	b := newSimCell(t, workers)
	b.queues[0].Stretch, b.queues[0].Slack = 1.5, 500*time.Millisecond
	b.step(sched.Queues{Version: 2, All: b.queues})
	began, took := map[string]time.Time{}, map[string]time.Duration{}
	submit := func(id string) {
		began[id] = b.now
		b.submit(id, "scan", scan(6))
	}
	for i := range atOnce {
		submit(fmt.Sprintf("a%04d", i))
	}
	every := time.Duration(float64(scan(6).EstimatedTime) * 6 / (workers * perWorker) / share)
	for i := range int(d / every) {
		submit(fmt.Sprintf("b%04d", i))
		b.advance(every)
		for id, at := range began {
			if _, ok := took[id]; !ok && b.state(id) == flow.Completed {
				took[id] = b.now.Sub(at)
			}
		}
	}
	for id, at := range began {
		d, over := took[id]
		if !over {
			d = b.now.Sub(at)
		}
		if strings.HasPrefix(id, "a") {
			first = append(first, d)
		} else {
			later = append(later, d)
		}
	}
	require.Empty(t, b.violations)
	return first, later
}

func countWithin(all []time.Duration, d time.Duration) int {
	n := 0
	for _, t := range all {
		if t <= d {
			n++
		}
	}
	return n
}

// The store is back after an outage, and all refused callers return at once with twelve seconds of
// work, while new callers use nine tenths of the cell's capacity. With the oldest jobs first, each
// new job would wait for the whole queue, and for minutes no job would be on time although there is
// capacity for nine in ten. With the jobs first that can still be on time, new jobs are hardly
// affected, except during the first seconds, in which all jobs can still be on time.
func TestNewWorkStaysOnTimeBesideLateWork(t *testing.T) {
	_, later := runBurst(t, 96, 0.9, 30*time.Second)
	n := countWithin(later, 2*time.Second)
	require.Greater(t, n, len(later)*8/10, "%d of %d on time", n, len(later))
}

// Late work is placed after newer work, but not forever: after eight times its objective an eighth
// of the workers is reserved for it. Otherwise a job would wait for as long as other jobs arrive.
// The load exceeds the cell's capacity all the time.
func TestLateWorkIsNotStarved(t *testing.T) {
	objective := 2 * time.Second
	first, _ := runBurst(t, 96, 1.02, 140*time.Second)
	// The work of all jobs on an eighth of the workers, plus what the last tasks of each leave
	// idle.
	work := 96 * 6 * scan(1).EstimatedTime
	bound := 8*objective + 8*work/(4*12)*5/4
	require.Equal(t, len(first), countWithin(first, bound))
}
