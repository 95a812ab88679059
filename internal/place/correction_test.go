package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// correctedGang requests a gang of four that declared one core per task and whose size was
// corrected to two.
func correctedGang() place.Request {
	return place.Request{Job: "g", Row: "seats", Class: cell.Normal, Size: cores(2), Declared: cores(1), Tasks: tasks("g", 4), Gang: true}
}

// Guards against a gang that waits forever: its size was corrected while its leader had more
// workers, and the remaining ones hold it only with its declared size.
func TestCorrectedSizeIsRevertedWhenWorkersGo(t *testing.T) {
	p := fleet(place.DefaultLimits, 3)
	p.Step(now, place.Request{Job: "x", Row: "other", Class: cell.Normal, Size: cores(3), Tasks: tasks("x", 2), RunTime: time.Second})
	require.Empty(t, assignments(p.Step(now, correctedGang())))
	p.Step(now, place.Down{Worker: "w02"})
	p.Step(now, place.Down{Worker: "w01"})
	p.Step(now, place.Freed{Task: "x.0"})
	p.Step(now, place.Freed{Task: "x.1"})
	require.Len(t, assignments(p.Step(now.Add(2*time.Second), place.Tick{})), 4)
}

// Guards against a gang that waits forever: long-running tasks use so much that the workers hold it
// only with its declared size.
func TestCorrectedSizeIsRevertedBesideLongTasks(t *testing.T) {
	p := fleet(place.DefaultLimits, 2)
	p.Step(now, place.Request{Job: "x", Row: "watch", Class: cell.Normal, Size: cores(1), Tasks: tasks("x", 1), RunTime: time.Hour})
	require.Empty(t, assignments(p.Step(now, correctedGang())))
	require.Len(t, assignments(p.Step(now.Add(2*time.Second), place.Tick{})), 4)
}

// Guards against a gang that waits forever: it is unknown how long the other tasks run.
func TestCorrectedSizeIsRevertedForTheOverdueJob(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Rack: "r0", Size: cores(4), Used: []place.Used{{Task: "x.0", Row: "watch", Size: cores(1)}}})
	p.Step(now, place.Up{Worker: "w01", Rack: "r0", Size: cores(4)})
	require.Empty(t, assignments(p.Step(now, correctedGang())))
	require.Empty(t, assignments(p.Step(now.Add(30*time.Second), place.Tick{})), "capacity may still be freed")
	over := now.Add(place.DefaultLimits.OverdueAfter[cell.Normal] + time.Second)
	started := assignments(p.Step(over, place.Tick{}))
	for at := over; len(started) == 0 && at.Before(over.Add(5*time.Second)); at = at.Add(time.Second) {
		started = assignments(p.Step(at, place.Tick{}))
	}
	require.Len(t, started, 4)
}
