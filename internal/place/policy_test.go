package place_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
	"pollencroft/internal/randtest"
)

func TestMain(m *testing.M) { randtest.Main(m, 200, 40) }

const gib = int64(1) << 30

func cores(n int64) cell.Size { return cell.Size{CPU: n * 1000, Mem: n * gib} }

func tasks(job string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("%s.%d", job, i)
	}
	return all
}

// fleet returns a Placer with n workers of four cores, two per rack.
func fleet(l place.Limits, n int) *place.Placer {
	p := place.New(l)
	for i := range n {
		p.Step(now, place.Up{Worker: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("r%d", i/2), Size: cores(4)})
	}
	return p
}

func assignments(acts []place.Action) map[string]string {
	on := map[string]string{}
	for _, a := range acts {
		if put, ok := a.(place.Assign); ok {
			on[put.Task] = put.Worker
		}
	}
	return on
}

func actionsOf[A place.Action](acts []place.Action) []A {
	var all []A
	for _, a := range acts {
		if a, ok := a.(A); ok {
			all = append(all, a)
		}
	}
	return all
}

// A job that is too big for the free capacity is first in its row's queue. The small jobs behind it
// and those of other rows still get the capacity that it cannot use.
func TestBlockedBigJobDelaysNoOther(t *testing.T) {
	p := fleet(place.Limits{}, 1)
	p.Step(now, place.Request{Job: "x", Row: "r", Size: cores(2), Tasks: tasks("x", 1)})
	require.Empty(t, p.Step(now, place.Request{Job: "big", Row: "r", Size: cores(4), Tasks: tasks("big", 1)}))
	require.Len(t, p.Step(now, place.Request{Job: "small", Row: "r", Size: cores(1), Tasks: tasks("small", 1)}), 1)
	require.Len(t, p.Step(now, place.Request{Job: "other", Row: "s", Size: cores(1), Tasks: tasks("other", 1)}), 1)
}

// Small jobs keep arriving and would use all capacity as it is freed. Once the big job is overdue,
// capacity is reserved for it, so it waits no longer than its class allows plus the longest task
// that runs at that time.
func TestNoClassStarves(t *testing.T) {
	for _, class := range cell.Classes {
		limits := place.Limits{OverdueAfter: map[cell.Class]time.Duration{class: time.Minute}}
		p := fleet(limits, 1)
		const run = 10 * time.Second
		at := now
		ends := map[string]time.Time{}
		note := func(acts []place.Action) bool {
			for task := range assignments(acts) {
				if task == "big.0" {
					return true
				}
				ends[task] = at.Add(run)
			}
			return false
		}
		flood := cell.Normal
		if class == cell.Urgent {
			flood = cell.Urgent
		}
		for i := range 8 {
			job := fmt.Sprintf("first%d", i)
			note(p.Step(at, place.Request{Job: job, Row: "r", Class: flood, Size: cores(1), RunTime: run, Tasks: tasks(job, 1)}))
		}
		p.Step(at, place.Request{Job: "big", Row: "big", Class: class, Size: cores(4), RunTime: run, Tasks: tasks("big", 1)})
		started := false
		for i := 0; !started && at.Before(now.Add(5*time.Minute)); i++ {
			at = at.Add(time.Second)
			started = note(p.Step(at, place.Tick{}))
			for task, end := range ends {
				if !end.After(at) {
					delete(ends, task)
					started = note(p.Step(at, place.Freed{Task: task})) || started
				}
			}
			job := fmt.Sprintf("flood%d", i)
			started = note(p.Step(at, place.Request{Job: job, Row: "r", Class: flood, Size: cores(1), RunTime: run, Tasks: tasks(job, 1)})) || started
		}
		require.True(t, started, class)
		require.LessOrEqual(t, at.Sub(now), time.Minute+run+2*time.Second, class)
	}
}

// Normal jobs use the free capacity to the last, so the urgent reserve is never free and a bulk job
// would wait forever. Once the bulk job is overdue, normal jobs have to leave capacity for it and
// for the reserve.
func TestOverdueBulkIsNotLockedOutByTheReserve(t *testing.T) {
	limits := place.Limits{UrgentReserve: 0.25, OverdueAfter: map[cell.Class]time.Duration{cell.Bulk: time.Minute}}
	p := fleet(limits, 8)
	var running []string
	started := false
	note := func(acts []place.Action) {
		for _, a := range actionsOf[place.Assign](acts) {
			running = append(running, a.Task)
			started = started || a.Task == "bulk.0"
		}
	}
	flood := place.Request{Job: "f", Row: "f", Class: cell.Normal, Size: cores(1), RunTime: 10 * time.Second, Tasks: tasks("f", 1000)}
	note(p.Step(now, flood))
	note(p.Step(now, place.Request{Job: "bulk", Row: "b", Class: cell.Bulk, Size: cores(1), RunTime: time.Second, Tasks: tasks("bulk", 1)}))
	waited := time.Duration(0)
	for ; !started && waited < 5*time.Minute; waited += 10 * time.Second {
		at := now.Add(waited)
		note(p.Step(at, place.Tick{}))
		ended := running
		running = nil
		for _, task := range ended {
			note(p.Step(at, place.Freed{Task: task}))
		}
	}
	require.True(t, started)
	require.LessOrEqual(t, waited, time.Minute+30*time.Second)
}

// A job waits for hours because of its row's limit. It must not be selected as the one overdue job
// that capacity is reserved for, because then all other old jobs would starve.
func TestJobAtItsLimitIsNotTheOverdueOne(t *testing.T) {
	limits := place.Limits{OverdueAfter: map[cell.Class]time.Duration{cell.Normal: time.Minute}}
	p := fleet(limits, 1)
	small := place.Request{Job: "s", Row: "s", Class: cell.Normal, Size: cores(1), RunTime: time.Hour, Tasks: tasks("s", 1000), Rule: place.Rule{Weight: 1}}
	p.Step(now, place.Request{Job: "l", Row: "l", Class: cell.Normal, Size: cores(1), Tasks: tasks("l", 2), Rule: place.Rule{MaxTasks: 1}, RunTime: time.Hour, Since: now.Add(-2 * time.Second)})
	p.Step(now, small)
	p.Step(now, place.Request{Job: "big", Row: "big", Class: cell.Normal, Size: cores(3), Tasks: tasks("big", 1), RunTime: time.Hour, Since: now.Add(-time.Second)})
	p.Step(now.Add(2*time.Minute), place.Tick{})
	for i := range 3 {
		got := assignments(p.Step(now.Add(2*time.Minute), place.Freed{Task: fmt.Sprintf("s.%d", i)}))
		if i < 2 {
			require.Empty(t, got, "capacity is reserved")
			continue
		}
		require.Contains(t, got, "big.0")
	}
}

// Two gangs each need most of the workers. If each held a part, they would wait for each other
// forever. The older one is placed first, then the other.
func TestTwoGangsDoNotDeadlock(t *testing.T) {
	p := fleet(place.Limits{OverdueAfter: map[cell.Class]time.Duration{cell.Normal: time.Second}}, 2)
	p.Step(now, place.Request{Job: "x", Row: "r", Class: cell.Normal, Size: cores(2), Tasks: tasks("x", 2), RunTime: time.Minute})
	for _, job := range []string{"a", "b"} {
		require.Empty(t, p.Step(now, place.Request{Job: job, Row: job, Class: cell.Normal, Size: cores(2), Tasks: tasks(job, 3), Gang: true, RunTime: time.Minute}))
	}
	at := now.Add(2 * time.Second)
	p.Step(at, place.Tick{})
	long := place.Request{Job: "long", Row: "r", Class: cell.Normal, Size: cores(1), Tasks: tasks("long", 1), RunTime: time.Hour}
	require.Empty(t, p.Step(at, long), "capacity is reserved for the oldest gang")
	short := place.Request{Job: "short", Row: "r", Class: cell.Normal, Size: cores(1), Tasks: tasks("short", 1), RunTime: time.Second}
	require.Len(t, p.Step(at, short), 1, "short work backfills")
	p.Step(at, place.Freed{Task: "short.0"})
	first := assignments(p.Step(at, place.Freed{Task: "x.0"}))
	require.Len(t, first, 3)
	require.Contains(t, first, "a.0")
	second := map[string]string{}
	for _, task := range []string{"x.1", "a.0", "a.1", "a.2"} {
		for name, on := range assignments(p.Step(at.Add(time.Minute), place.Freed{Task: task})) {
			second[name] = on
		}
	}
	require.Contains(t, second, "b.2")
}

// Bulk tasks fill all workers when an urgent job arrives. The bulk task that ran for the shortest
// time is checkpointed and stopped, and the freed capacity goes to the urgent job and not to the
// next bulk task.
func TestUrgentPreemptsTheCheapestBulk(t *testing.T) {
	p := fleet(place.Limits{UrgentCap: 0.8}, 1)
	p.Step(now, place.Request{Job: "old", Row: "b", Class: cell.Bulk, Size: cores(2), Tasks: tasks("old", 1)})
	p.Step(now.Add(time.Minute), place.Request{Job: "new", Row: "b", Class: cell.Bulk, Size: cores(2), Tasks: tasks("new", 3)})
	urgent := place.Request{Job: "u", Row: "u", Class: cell.Urgent, Size: cores(3), Tasks: tasks("u", 1)}
	at := now.Add(2 * time.Minute)
	acts := actionsOf[place.Preempt](p.Step(at, urgent))
	require.Len(t, acts, 2)
	require.Equal(t, "new.0", acts[0].Task)
	require.Empty(t, p.Step(at, place.Freed{Task: "new.0"}))
	require.Equal(t, map[string]string{"u.0": "w00"}, assignments(p.Step(at, place.Freed{Task: "old.0"})))
}

// One organisation submits a hundred jobs, then another organisation submits one. The second organisation must not wait for
// all the hundred.
func TestOrganisationsAndRowsShareByWeight(t *testing.T) {
	p := fleet(place.Limits{}, 2)
	for i := range 100 {
		job := fmt.Sprintf("a%d", i)
		p.Step(now, place.Request{Job: job, Row: "ra", Organisation: "a", Class: cell.Normal, Size: cores(1), Tasks: tasks(job, 1)})
	}
	p.Step(now, place.Request{Job: "b", Row: "rb", Organisation: "b", Class: cell.Normal, Size: cores(1), Tasks: tasks("b", 1)})
	require.Contains(t, assignments(p.Step(now, place.Freed{Task: "a0.0"})), "b.0")
	p.Step(now, place.Request{Job: "h", Row: "heavy", Organisation: "c", Class: cell.Normal, Size: cores(1), Rule: place.Rule{Weight: 3}, Tasks: tasks("h", 9)})
	p.Step(now, place.Request{Job: "l", Row: "light", Organisation: "c", Class: cell.Normal, Size: cores(1), Rule: place.Rule{Weight: 1}, Tasks: tasks("l", 9)})
	got := map[byte]int{}
	for i := 1; i < 8; i++ {
		for task := range assignments(p.Step(now, place.Freed{Task: fmt.Sprintf("a%d.0", i)})) {
			got[task[0]]++
		}
	}
	require.Equal(t, 3, got['h'])
	require.Equal(t, 1, got['l'])
}

// A rack or its switch fails with all its workers. A service whose tasks run on several racks goes
// on.
func TestServiceIsSpreadOverRacks(t *testing.T) {
	p := fleet(place.Limits{}, 6)
	on := assignments(p.Step(now, place.Request{Job: "s", Row: "watch", Size: cores(1), Tasks: tasks("s", 3), Spread: true}))
	racks := map[byte]bool{}
	for _, w := range on {
		racks[(w[2]-'0')/2] = true
	}
	require.Len(t, racks, 3)
}

func TestLimitsApplyAndAreExplained(t *testing.T) {
	size := cores(1)
	for _, c := range []struct {
		want place.Request
		why  string
	}{
		{place.Request{Rule: place.Rule{MaxTasks: 2}}, "as many tasks as its limit"},
		{place.Request{Rule: place.Rule{Limit: cell.Size{CPU: 2500}}}, "its row takes as much room"},
		{place.Request{Rule: place.Rule{Limit: cell.Size{Mem: 2 * gib}}}, "its row takes as much room"},
		{place.Request{Rule: place.Rule{Quota: cell.Size{CPU: 2000}}}, "its organisation takes as much room"},
	} {
		p := fleet(place.Limits{}, 2)
		w := c.want
		w.Job, w.Row, w.Organisation, w.Size, w.Tasks = "j", "r", "t", size, tasks("j", 3)
		require.Len(t, p.Step(now, w), 2)
		why, ok := p.ExplainWait("j.2")
		require.True(t, ok)
		require.Contains(t, why, c.why)
		require.Len(t, p.Step(now, place.Freed{Task: "j.0"}), 1)
	}
}

// A job that can never run would wait forever. It is refused at once, and its caller is told which
// limit it exceeds.
func TestImpossibleJobIsRefusedWithTheNearestLimit(t *testing.T) {
	p := fleet(place.Limits{}, 2)
	huge := int64(1) << 62
	for _, c := range []struct {
		want  place.Request
		limit string
	}{
		{place.Request{Size: cores(5), Tasks: tasks("j", 1)}, "cpu of the largest worker"},
		{place.Request{Size: cell.Size{CPU: 1, Mem: 5 * gib}, Tasks: tasks("j", 1)}, "mem of the largest worker"},
		{place.Request{Size: cell.Size{CPU: 1, Mem: 1, Accel: 1}, Tasks: tasks("j", 1)}, "accel of the largest worker"},
		{place.Request{Size: cores(1), Tasks: tasks("j", 3), Gang: true, Rule: place.Rule{MaxTasks: 2}}, "the row's tasks at a time"},
		{place.Request{Size: cores(3), Tasks: tasks("j", 1), Rule: place.Rule{Limit: cell.Size{CPU: 2000}}}, "cpu of the row's room"},
		{place.Request{Size: cores(1), Tasks: tasks("j", 3), Gang: true, Rule: place.Rule{Quota: cell.Size{Mem: 2 * gib}}}, "mem of the organisation's quota"},
		{place.Request{Size: cores(1), Tasks: tasks("j", 9), Gang: true}, "tasks that all workers hold at once"},
		{place.Request{Size: cell.Size{CPU: huge, Mem: huge}, Tasks: tasks("j", 4), Gang: true, Rule: place.Rule{Limit: cores(4)}}, "cpu of the row's room"},
	} {
		var never *place.InfeasibleError
		require.ErrorAs(t, p.CheckFeasible(c.want), &never)
		require.Equal(t, c.limit, never.Limit)
	}
	require.NoError(t, p.CheckFeasible(place.Request{Size: cores(4), Tasks: tasks("j", 8)}))
}

// Jobs arrive and end and workers change their size in any order. A worker that gets more than it
// can hold would slow down every task on it.
func TestNoWorkerIsEverOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fleet(place.DefaultLimits, 4)
		type placement struct {
			on   string
			size cell.Size
		}
		placements, sizes := map[string]placement{}, map[string]cell.Size{}
		// has is the current size of each worker. over marks the workers that shrank below what
		// runs there.
		has, over := map[string]cell.Size{}, map[string]bool{}
		for i := range 4 {
			has[fmt.Sprintf("w%02d", i)] = cores(4)
		}
		at := now
		for i := range 40 {
			at = at.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			var ev place.Event = place.Tick{}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				job := fmt.Sprintf("j%d", i)
				w := place.Request{
					Job: job, Row: rapid.SampledFrom([]string{"r", "s"}).Draw(t, "row"), Class: rapid.SampledFrom(cell.Classes).Draw(t, "class"),
					Size: cell.Size{CPU: rapid.Int64Range(700, 4000).Draw(t, "cpu"), Mem: rapid.Int64Range(1, 4*gib).Draw(t, "mem")}, Tasks: tasks(job, rapid.IntRange(1, 4).Draw(t, "tasks")),
					Gang: rapid.Bool().Draw(t, "gang"), Spread: rapid.Bool().Draw(t, "spread"), RunTime: time.Second,
				}
				for _, name := range w.Tasks {
					sizes[name] = w.Size
				}
				ev = w
			case 2:
				if all := slices.Sorted(maps.Keys(placements)); len(all) > 0 {
					name := rapid.SampledFrom(all).Draw(t, "ended")
					ev = place.Freed{Task: name}
					delete(placements, name)
				}
			case 4:
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(has))).Draw(t, "worker")
				has[name] = cell.Size{CPU: rapid.Int64Range(0, 8000).Draw(t, "cpu"), Mem: rapid.Int64Range(0, 8*gib).Draw(t, "mem")}
				ev, over[name] = place.WorkerResized{Worker: name, Size: has[name]}, true
			}
			for name, on := range assignments(p.Step(at, ev)) {
				require.NotContains(t, placements, name, "placed twice")
				placements[name] = placement{on: on, size: sizes[name]}
				over[on] = false
			}
			used := map[string]cell.Size{}
			for _, r := range placements {
				used[r.on] = used[r.on].Add(r.size)
			}
			for on, u := range used {
				over[on] = over[on] && !u.Fits(has[on])
				require.True(t, over[on] || u.Fits(has[on]), on)
			}
		}
	})
}
