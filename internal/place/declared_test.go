package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// correctedGang is a gang of four that declared one core a task and was sized with two.
func correctedGang() place.Request {
	return place.Request{Job: "g", Row: "seats", Class: cell.Normal, Size: cores(2), Declared: cores(1), Tasks: tasks("g", 4), Gang: true}
}

// Guards against a gang that waits for good: its size was corrected while its lead had more
// workers, and those that are left hold it only as it was declared.
func TestCorrectedSizeIsGivenUpWhenWorkersGo(t *testing.T) {
	p := fleet(place.DefaultLimits, 3)
	p.Step(now, place.Request{Job: "x", Row: "other", Class: cell.Normal, Size: cores(3), Tasks: tasks("x", 2), RunTime: time.Second})
	require.Empty(t, assignments(p.Step(now, correctedGang())))
	p.Step(now, place.Down{Worker: "w02"})
	p.Step(now, place.Down{Worker: "w01"})
	p.Step(now, place.Freed{Task: "x.0"})
	p.Step(now, place.Freed{Task: "x.1"})
	require.Len(t, assignments(p.Step(now.Add(2*time.Second), place.Tick{})), 4)
}

// Guards against a gang that waits for good: tasks that last take so much that the workers hold
// it only as it was declared.
func TestCorrectedSizeIsGivenUpBesideTasksThatLast(t *testing.T) {
	p := fleet(place.DefaultLimits, 2)
	p.Step(now, place.Request{Job: "x", Row: "watch", Class: cell.Normal, Size: cores(1), Tasks: tasks("x", 1), RunTime: time.Hour})
	require.Empty(t, assignments(p.Step(now, correctedGang())))
	require.Len(t, assignments(p.Step(now.Add(2*time.Second), place.Tick{})), 4)
}

// Guards against a gang that waits for good: nothing is known of how long other tasks run.
func TestCorrectedSizeIsGivenUpByTheOverdueJob(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Rack: "r0", Size: cores(4), Used: []place.Used{{Task: "x.0", Row: "watch", Size: cores(1)}}})
	p.Step(now, place.Up{Worker: "w01", Rack: "r0", Size: cores(4)})
	require.Empty(t, assignments(p.Step(now, correctedGang())))
	require.Empty(t, assignments(p.Step(now.Add(30*time.Second), place.Tick{})), "the room may come free")
	over := now.Add(place.DefaultLimits.OverdueAfter[cell.Normal] + time.Second)
	started := assignments(p.Step(over, place.Tick{}))
	for at := over; len(started) == 0 && at.Before(over.Add(5*time.Second)); at = at.Add(time.Second) {
		started = assignments(p.Step(at, place.Tick{}))
	}
	require.Len(t, started, 4)
}
