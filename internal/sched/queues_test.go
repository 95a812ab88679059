package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// Load: a table of 1,400 queues, 350 workers and a backlog of urgent steps that wait for the policy
// service. Guards against placement costs that look through the table for each worker: the leader was
// then short of processor time, answered late and was replaced again and again.
func TestPassesDoNotDependOnTheNumberOfQueues(t *testing.T) {
	pass := func(queues int) time.Duration {
		b := newSimCell(t, 350)
		b.queues[0].Advice = &flow.Advice{Base: 40 * time.Millisecond, PerWorker: time.Millisecond, Valid: 2500 * time.Millisecond}
		for i := range queues {
			b.queues = append(b.queues, flow.Queue{Name: fmt.Sprint("q", i), Service: "pass", Rank: 1 + i%3})
		}
		b.step(sched.Queues{Version: 2, All: b.queues})
		for i := range 100 {
			b.submit(fmt.Sprintf("j%03d", i), "scan", scan(10), scan(10))
		}
		began := time.Now()
		b.advance(2 * time.Second)
		return time.Since(began)
	}
	few, many := min(pass(0), pass(0)), min(pass(1400), pass(1400))
	require.Less(t, many, 3*few+300*time.Millisecond, "%s with few queues, %s with many", few, many)
}
