package place_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// used is a task of unknown run time that a worker is found with.
func used(task string, size cell.Size) []place.Used {
	return []place.Used{{Task: task, Row: "watch", Class: cell.Normal, Size: size}}
}

// single returns a request of one task of unknown run time in a row of its own.
func single(job string, class cell.Class, size cell.Size) place.Request {
	return place.Request{Job: job, Row: job, Team: job, Class: class, Size: size, Tasks: tasks(job, 1)}
}

// avoiding returns a request of one task that failed on w01 just now.
func avoiding(job string) place.Request {
	r := single(job, cell.Normal, cores(4))
	r.Avoid, r.LastFailure, r.AvoidUntil = []string{"w01"}, now, now.Add(10*time.Second)
	return r
}

// startedWithin returns the tasks that start in the actions given and while time passes with a tick
// every second.
func startedWithin(p *place.Placer, at time.Time, d time.Duration, acts []place.Action) map[string]string {
	all := assignments(acts)
	for until := at.Add(d); at.Before(until); {
		at = at.Add(time.Second)
		maps.Copy(all, assignments(p.Step(at, place.Tick{})))
	}
	return all
}

// overdueTime exceeds the time that any class may wait by much.
const overdueTime = time.Hour

// Guards against a bulk entry that waits for good: its corrected size would use the urgent reserve
// and its declared size would not.
func TestCorrectedSizeIsRevertedForTheReserve(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: used("x", cores(1))})
	bulk := single("bulk", cell.Bulk, cores(3))
	bulk.Declared = cores(2)
	require.Contains(t, startedWithin(p, now, overdueTime, p.Step(now, bulk)), "bulk.0")
}

// Guards against an entry that waits for good: its corrected size would exceed its row's limit and
// its declared size would not.
func TestCorrectedSizeIsRevertedAtALimit(t *testing.T) {
	p := fleet(place.DefaultLimits, 2)
	service, r := single("service", cell.Normal, cores(2)), single("r", cell.Normal, cores(3))
	service.Row, service.Team, r.Declared, r.Limit = "r", "r", cores(2), cores(4)
	p.Step(now, service)
	require.Contains(t, startedWithin(p, now, overdueTime, p.Step(now, r)), "r.0")
}

// Guards against an entry that waits for good: its size is never reverted because the one overdue
// entry waits for a task of unknown run time.
func TestCorrectedSizeIsRevertedBesideAnOverdueEntry(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: used("x", cores(2))})
	require.Empty(t, assignments(p.Step(now, single("big", cell.Normal, cores(4)))))
	r := single("r", cell.Normal, cores(3))
	r.Declared = cores(2)
	require.Contains(t, startedWithin(p, now, overdueTime, p.Step(now.Add(time.Second), r)), "r.0")
}

// Guards against normal work that waits for good beside free capacity: an overdue bulk entry waits
// for tasks of unknown run time on all workers.
func TestOverdueBulkOfUnknownStartHoldsNothing(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: used("x", cores(1))})
	p.Step(now, place.Up{Worker: "w01", Size: cores(4), Used: used("y", cores(1))})
	require.Empty(t, startedWithin(p, now, overdueTime, p.Step(now, single("bulk", cell.Bulk, cores(4)))))
	at := now.Add(overdueTime)
	require.Contains(t, startedWithin(p, at, overdueTime, p.Step(at, single("n", cell.Normal, cores(2)))), "n.0")
}

// Guards against idle workers: a bulk gang is accepted that can never leave the urgent reserve free,
// becomes overdue and keeps all workers for itself.
func TestBulkThatNeedsTheReserveHoldsNothing(t *testing.T) {
	p := fleet(place.DefaultLimits, 2)
	gang := place.Request{Job: "gang", Row: "gang", Class: cell.Bulk, Size: cores(4), Tasks: tasks("gang", 2), Gang: true}
	require.NoError(t, p.CheckFeasible(gang))
	started := startedWithin(p, now, overdueTime, p.Step(now, gang))
	at := now.Add(overdueTime)
	maps.Copy(started, startedWithin(p, at, overdueTime, p.Step(at, single("n", cell.Normal, cores(1)))))
	require.NotEmpty(t, started)
}

// Guards against an entry that waits for good beside an idle worker on which it failed once, because
// the other workers, which are large enough, run tasks without an end.
func TestAvoidedWorkerIsUsedBesideFullOnes(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: used("x", cores(4))})
	p.Step(now, place.Up{Worker: "w01", Size: cores(4)})
	require.Contains(t, startedWithin(p, now, overdueTime, p.Step(now, avoiding("a"))), "a.0")
}

// Guards against an idle worker that is kept for an overdue entry which avoids it.
func TestAvoidedWorkerIsNotReserved(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: used("x", cores(4))})
	p.Step(now, place.Up{Worker: "w01", Size: cores(4)})
	started := startedWithin(p, now, overdueTime, p.Step(now, avoiding("a")))
	at := now.Add(overdueTime)
	maps.Copy(started, startedWithin(p, at, overdueTime, p.Step(at, single("n", cell.Normal, cores(1)))))
	require.NotEmpty(t, started)
}

// Guards against a service's task that waits for good: it failed on the only worker, and spread
// tasks never return to a worker.
func TestSpreadTaskReturnsToAnAvoidedWorker(t *testing.T) {
	for _, gang := range []bool{false, true} {
		p := place.New(place.DefaultLimits)
		p.Step(now, place.Up{Worker: "w01", Size: cores(4)})
		r := avoiding("service")
		r.Spread, r.Gang = true, gang
		require.Contains(t, startedWithin(p, now, overdueTime, p.Step(now, r)), "service.0")
	}
}
