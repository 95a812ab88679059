package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// avoidingGang requests a gang of six that declared one core per task, was corrected to two and has
// just failed on the worker w00.
func avoidingGang() place.Request {
	return place.Request{
		Job: "g", Row: "seats", Class: cell.Normal, Size: cores(2), Declared: cores(1), Tasks: tasks("g", 6), Gang: true,
		Avoid: []string{"w00"}, LastFailure: now, AvoidUntil: now.Add(10 * time.Second), RunTime: 3 * time.Second,
	}
}

// waitUntilPlaced ticks the placer once a second and returns how long the gang waited, at most limit.
func waitUntilPlaced(p *place.Placer, from time.Time, limit time.Duration) time.Duration {
	for at := from; at.Sub(from) < limit; at = at.Add(time.Second) {
		if len(assignments(p.Step(at, place.Tick{}))) > 0 {
			return at.Sub(from)
		}
	}
	return limit
}

// Guards against a gang that waits until it is overdue: the workers where it has not failed hold its
// corrected size only when they are empty, and its declared size at any time.
func TestGangThatAvoidsAWorkerFitsBesideLongTasks(t *testing.T) {
	for name, up := range map[string]func(p *place.Placer){
		"whose end is known": func(p *place.Placer) {
			p.Step(now, place.Up{Worker: "w01", Rack: "r0", Size: cores(4)})
			p.Step(now, place.Request{Job: "x", Row: "watch", Class: cell.Normal, Size: cores(1), Tasks: tasks("x", 1), RunTime: time.Hour})
			p.Step(now, place.Up{Worker: "w00", Rack: "r0", Size: cores(4)})
		},
		"whose end is unknown": func(p *place.Placer) {
			p.Step(now, place.Up{Worker: "w00", Rack: "r0", Size: cores(4)})
			p.Step(now, place.Up{Worker: "w01", Rack: "r0", Size: cores(4), Used: []place.Used{{Task: "x.0", Row: "watch", Size: cores(1)}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := place.New(place.DefaultLimits)
			up(p)
			p.Step(now, place.Up{Worker: "w02", Rack: "r1", Size: cores(4)})
			p.Step(now, place.Up{Worker: "w03", Rack: "r1", Size: cores(4)})
			require.Empty(t, assignments(p.Step(now, avoidingGang())))
			waited := waitUntilPlaced(p, now.Add(time.Second), 5*time.Minute)
			require.LessOrEqual(t, waited+avoidingGang().RunTime, time.Minute)
		})
	}
}

// Guards against a worker that is out of use for minutes after a fault of a second: tasks that were
// on it already when it was quarantined fail too, and each failure counts as a failed trial.
func TestFailuresFromBeforeTheQuarantineAreNotFailedTrials(t *testing.T) {
	p := fleet(place.DefaultLimits, 4)
	require.Len(t, assignments(p.Step(now, place.Request{Job: "j", Row: "r", Size: cores(1), Tasks: tasks("j", 16)})), 16)
	for i := range 8 {
		reportResults(p, now.Add(time.Duration(i)*time.Millisecond), "r", true, "w00")
	}
	require.Equal(t, []string{"w00"}, p.QuarantinedWorkers())
	for _, task := range tasks("j", 16) {
		p.Step(now, place.Freed{Task: task})
	}
	p.Step(now, place.Down{Worker: "w02"})
	p.Step(now, place.Down{Worker: "w03"})
	gang := avoidingGang()
	gang.Size, gang.Declared = cores(1), cell.Size{}
	require.Empty(t, assignments(p.Step(now, gang)))
	require.LessOrEqual(t, waitUntilPlaced(p, now.Add(time.Second), 20*time.Minute), time.Minute)
}
