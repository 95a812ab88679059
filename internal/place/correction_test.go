package place_test

import (
	"fmt"
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

// Guards against a large job that starves because its declared size can never start while its
// smaller corrected size could.
func TestCapacityIsReservedForACorrectedSizeBelowTheDeclaredOne(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Rack: "r0", Size: cores(4), Used: []place.Used{{Task: "x.0", Row: "watch", Size: cores(1)}}})
	small := func(i int) place.Request {
		job := fmt.Sprintf("s%d", i)
		return place.Request{Job: job, Row: "small", Class: cell.Normal, Size: cores(1), Tasks: tasks(job, 1), RunTime: 10 * time.Second}
	}
	for i := range 3 {
		require.Len(t, assignments(p.Step(now, small(i))), 1)
	}
	big := place.Request{Job: "big", Row: "big", Class: cell.Normal, Size: cores(2), Declared: cores(4), Tasks: tasks("big", 1), RunTime: 10 * time.Second}
	require.Empty(t, assignments(p.Step(now, big)))
	// At any time a small job waits and the small tasks end one after the other.
	n := 3
	for s := 1; s < 300; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		acts := assignments(p.Step(at, place.Tick{}))
		if s%4 == 0 {
			p.Step(at, small(n))
			acts = assignments(p.Step(at, place.Freed{Task: fmt.Sprintf("s%d.0", n-3)}))
			n++
		}
		if acts["big.0"] != "" {
			return
		}
	}
	require.Fail(t, "the job starves")
}
