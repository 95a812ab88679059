package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// waitBehind adds n blocked bulk gangs of different shapes, none of which fits.
func waitBehind(p *place.Placer, n int) {
	for i := range n {
		job := fmt.Sprintf("bulk%d", i)
		p.Step(now, place.Request{
			Job: job, Row: "batch", Class: cell.Bulk, Size: cores(4), Tasks: tasks(job, 2), Gang: true, RunTime: time.Minute, Since: now.Add(-time.Hour),
		})
	}
}

// Guards against an urgent task that waits for its turn behind blocked bulk work after the time is
// over for which it avoids the only worker with capacity.
func TestUrgentTaskReturnsToAnAvoidedWorkerInTimeWhileManyShapesWait(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Rack: "r0", Size: cores(3)})
	p.Step(now, place.Up{Worker: "w01", Rack: "r0", Size: cores(4), Used: []place.Used{{Task: "x.0", Row: "watch", Size: cores(4), Remaining: time.Hour}}})
	// Capacity is reserved for the oldest bulk job, so none is for the urgent one.
	p.Step(now, place.Request{Job: "old", Row: "batch", Class: cell.Bulk, Size: cores(4), Tasks: tasks("old", 1), RunTime: time.Minute, Since: now.Add(-2 * time.Hour)})
	waitBehind(p, 2000)
	for i := range 5 {
		p.Step(now.Add(time.Duration(i-5)*time.Second), place.Tick{})
	}
	require.Empty(t, assignments(p.Step(now, place.Request{
		Job: "u", Row: "gate", Class: cell.Urgent, Size: cores(1), Tasks: tasks("u", 1), RunTime: time.Second,
		Avoid: []string{"w00"}, LastFailure: now, AvoidUntil: now.Add(10 * time.Second),
	})))
	require.LessOrEqual(t, waitUntilPlaced(p, now.Add(time.Second), time.Minute), 11*time.Second)
}

// Guards against an urgent gang that waits behind the bulk job for which capacity is reserved, because
// its first tasks alone reach the cap for urgent tasks.
func TestUrgentGangAboveTheCapStartsOnReservedWorkers(t *testing.T) {
	p := fleet(place.DefaultLimits, 4)
	p.Step(now, place.Request{Job: "x", Row: "x", Class: cell.Normal, Size: cores(1), Tasks: tasks("x", 2), RunTime: time.Hour, Spread: true})
	old := place.Request{Job: "old", Row: "b", Class: cell.Bulk, Size: cores(4), Tasks: tasks("old", 3), Gang: true, RunTime: time.Minute, Since: now.Add(-time.Hour)}
	require.Empty(t, assignments(p.Step(now, old)))
	p.Step(now.Add(time.Second), place.Tick{})
	urgent := place.Request{Job: "u", Row: "u", Class: cell.Urgent, Size: cores(1), Tasks: tasks("u", 14), Gang: true, RunTime: 2 * time.Hour}
	require.Len(t, assignments(p.Step(now.Add(time.Second), urgent)), 14)
}
