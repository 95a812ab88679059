package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

var now = time.Unix(1_700_000_000, 0)

func addWorker(p *place.Placer, name string) []place.Action {
	return p.Step(now, place.Up{Worker: name, Rack: "r1", Size: cell.Size{CPU: 4000, Mem: 4 << 30}})
}

// A gang must be placed as a whole or not at all. Otherwise two such jobs could hold capacity that
// the other needs forever.
func TestGangGetsAllOrNothing(t *testing.T) {
	p := place.New(place.Limits{})
	addWorker(p, "w1")
	gang := place.Request{Job: "j", Row: "sort", Size: cell.Size{CPU: 1500, Mem: 1 << 30}, Tasks: []string{"a", "b", "c"}, Gang: true}
	require.Empty(t, p.Step(now, gang))
	require.Len(t, addWorker(p, "w2"), 3)
}

// Bulk tasks fill the workers overnight. The last part of the capacity stays free, so that an
// urgent task starts at once.
func TestBulkLeavesTheUrgentReserve(t *testing.T) {
	p := place.New(place.Limits{UrgentReserve: 0.25})
	addWorker(p, "w1")
	bulk := place.Request{Job: "j", Row: "badges", Class: cell.Bulk, Size: cell.Size{CPU: 1000, Mem: 1 << 20}, Tasks: []string{"a", "b", "c", "d"}}
	require.Len(t, p.Step(now, bulk), 3)
	urgent := place.Request{Job: "u", Row: "gate", Class: cell.Urgent, Size: cell.Size{CPU: 1000, Mem: 1 << 20}, Tasks: []string{"u"}}
	require.Equal(t, []place.Action{place.Assign{Task: "u", Worker: "w1"}}, p.Step(now, urgent))
}

func TestTaskGoesToTheFullestWorker(t *testing.T) {
	p := place.New(place.Limits{})
	addWorker(p, "w1")
	p.Step(now, place.Up{Worker: "w2", Rack: "r1", Size: cell.Size{CPU: 4000, Mem: 4 << 30}, Used: []place.Used{{Task: "x", Row: "r", Size: cell.Size{CPU: 3000, Mem: 1 << 30}}}})
	acts := p.Step(now, place.Request{Job: "j", Row: "r", Size: cell.Size{CPU: 1000, Mem: 1 << 30}, Tasks: []string{"a"}})
	require.Equal(t, []place.Action{place.Assign{Task: "a", Worker: "w2"}}, acts)
}

// Guards against capacity that stays reserved on a worker which has become too small for the entry.
func TestReservationOnAShrunkWorkerIsCancelled(t *testing.T) {
	p := fleet(place.Limits{OverdueAfter: map[cell.Class]time.Duration{cell.Normal: time.Minute}}, 2)
	p.Step(now, place.Request{Job: "x", Row: "r", Class: cell.Normal, Size: cores(2), Tasks: tasks("x", 2), RunTime: time.Hour, Spread: true})
	require.Empty(t, assignments(p.Step(now, place.Request{Job: "big", Row: "s", Class: cell.Normal, Size: cores(4), Tasks: tasks("big", 2), Gang: true})))
	at := now.Add(2 * time.Minute)
	p.Step(at, place.Tick{})
	require.Empty(t, assignments(p.Step(at, place.Request{Job: "small", Row: "t", Class: cell.Normal, Size: cores(1), Tasks: tasks("small", 1)})))
	require.Len(t, assignments(p.Step(at, place.WorkerResized{Worker: "w00", Size: cores(3)})), 1)
}

// Guards against wrong free capacity after a worker shrank below what runs there.
func TestFreeCapacityFollowsWorkerSizes(t *testing.T) {
	p := fleet(place.Limits{}, 1)
	require.Empty(t, assignments(p.Step(now, place.Request{Job: "wide", Row: "r", Size: cores(6), Tasks: tasks("wide", 1)})))
	require.Len(t, assignments(p.Step(now, place.WorkerResized{Worker: "w00", Size: cores(9)})), 1)
	p.Step(now, place.WorkerResized{Worker: "w00", Size: cores(4)})
	require.Empty(t, assignments(p.Step(now, place.Request{Job: "small", Row: "r", Size: cores(2), Tasks: tasks("small", 2)})))
	require.Len(t, assignments(p.Step(now, place.WorkerResized{Worker: "w00", Size: cores(8)})), 1)
	require.Len(t, assignments(p.Step(now, place.Freed{Task: "wide.0"})), 1)
	require.Empty(t, assignments(p.Step(now, place.Request{Job: "gang", Row: "r", Size: cores(3), Tasks: tasks("gang", 3), Gang: true})))
	require.Len(t, assignments(p.Step(now, place.WorkerResized{Worker: "w00", Size: cores(13)})), 3)
	require.Empty(t, assignments(p.Step(now, place.WorkerResized{Worker: "gone", Size: cores(8)})))
}

// Bulk tasks leave a share of the total capacity free, and that share follows the workers' sizes.
func TestUrgentReserveFollowsWorkerSizes(t *testing.T) {
	p := fleet(place.Limits{UrgentReserve: 0.25}, 1)
	require.Len(t, assignments(p.Step(now, place.Request{Job: "bulk", Row: "s", Class: cell.Bulk, Size: cores(1), Tasks: tasks("bulk", 9)})), 3)
	require.Len(t, assignments(p.Step(now, place.WorkerResized{Worker: "w00", Size: cores(8)})), 3)
	p.Step(now, place.WorkerResized{Worker: "w00", Size: cores(4)})
	require.Empty(t, assignments(p.Step(now, place.Freed{Task: "bulk.0"})))
}

// A small worker grows to the size of a full one. A task that fits only there is placed there.
func TestAWorkerIsFoundByItsNewSize(t *testing.T) {
	p := fleet(place.Limits{}, 1)
	p.Step(now, place.Up{Worker: "small", Rack: "r0", Size: cores(1)})
	require.Len(t, assignments(p.Step(now, place.Request{Job: "x", Row: "r", Size: cores(4), Tasks: tasks("x", 2)})), 1)
	require.Equal(t, map[string]string{"x.1": "small"}, assignments(p.Step(now, place.WorkerResized{Worker: "small", Size: cores(4)})))
}
