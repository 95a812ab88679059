package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
)

// Guards against a task that waits forever without a placement request: it was placed on a worker
// together with another task, whose start showed that the worker may get no starts any more.
func TestAllTasksPlacedOnALapsedWorkerAreRequestedAgain(t *testing.T) {
	p := newPair(t, 2)
	a := p.hosts["a"]
	p.submitSpec("a", job.Spec{ID: "d.r.x", Row: "scan", Tasks: 1, Size: pairWorkerSize, Time: cell.Duration{Duration: time.Hour}, Tries: 3})
	p.run("a", time.Second)
	free := p.idleWorker()
	two := job.Spec{
		ID: "d.r.two", Row: "scan", Tasks: 2, Size: cell.Size{CPU: pairWorkerSize.CPU / 4, Mem: pairWorkerSize.Mem / 4},
		Time: cell.Duration{Duration: time.Second}, Tries: 3,
	}
	a.Inherit([]job.Spec{two})
	// tick lets time pass in which the job is not released, as its log is not read.
	tick := func() {
		a.Tick()
		p.runQueued("a")
		p.now = p.now.Add(100 * time.Millisecond)
	}
	for range 30 {
		tick()
	}
	p.unreachable["a"] = free.Name
	for lapsed := 0; len(a.Leases.Held()) == 2; lapsed++ {
		require.Less(t, lapsed, 1000)
		if _, ok := a.Leases.Deadline(p.now, free.Name); !ok {
			break
		}
		tick()
	}
	a.LogRead(p.now)
	p.unreachable["a"] = ""
	p.run("a", time.Minute)
	require.Equal(t, "ended", p.state("a", "two"), a.Explain("d.r.two"))
}
