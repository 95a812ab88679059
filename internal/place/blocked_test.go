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
	return place.Request{Job: job, Row: job, Organisation: job, Class: class, Size: size, Tasks: tasks(job, 1)}
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
	service.Row, service.Organisation, r.Declared, r.Limit = "r", "r", cores(2), cores(4)
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

// Guards against capacity that is kept for an overdue entry which its row's limit forbids since it
// was last tried.
func TestOverdueEntryAtANewLimitHoldsNothing(t *testing.T) {
	p := fleet(place.DefaultLimits, 1)
	long := single("long", cell.Normal, cores(2))
	long.RunTime = 24 * time.Hour
	p.Step(now, long)
	require.Empty(t, startedWithin(p, now, 2*time.Minute, p.Step(now, single("big", cell.Normal, cores(4)))))
	at := now.Add(2 * time.Minute)
	p.Step(at, place.RuleChanged{Row: "big", Rule: place.Rule{MaxTasks: -1}})
	require.Contains(t, startedWithin(p, at, overdueTime, p.Step(at, single("n", cell.Normal, cores(1)))), "n.0")
}

// Guards against an entry that waits at its row's limit for good, because the row's running task was
// lost with its worker.
func TestLimitIsFreeWhenAWorkerGoes(t *testing.T) {
	p := fleet(place.DefaultLimits, 2)
	r := place.Request{Job: "r", Row: "r", Class: cell.Normal, Size: cores(1), Tasks: tasks("r", 2), Rule: place.Rule{MaxTasks: 1}}
	first := assignments(p.Step(now, r))
	require.Len(t, first, 1)
	acts := p.Step(now, place.Down{Worker: first["r.0"]})
	acts = append(acts, p.Step(now, place.Freed{Task: "r.0"})...)
	require.Contains(t, startedWithin(p, now, overdueTime, acts), "r.1")
}

// Guards against an entry that waits at its row's limit for good, because a running task of the row
// has shrunk and not ended.
func TestLimitIsFreeWhenATaskShrinks(t *testing.T) {
	p := fleet(place.DefaultLimits, 2)
	r := place.Request{Job: "r", Row: "r", Class: cell.Normal, Size: cores(2), Tasks: tasks("r", 2), Rule: place.Rule{Limit: cores(3)}}
	require.Len(t, assignments(p.Step(now, r)), 1)
	acts := p.Step(now, place.TaskResized{Task: "r.0", Size: cores(1), Use: cores(1)})
	require.Contains(t, startedWithin(p, now, overdueTime, acts), "r.1")
}

// Guards against bulk that is not tried again when a full worker goes and the reserve, a share of
// the total, shrinks with it.
func TestReserveShrinksWhenAWorkerGoes(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: used("x", cores(4))})
	p.Step(now, place.Up{Worker: "w01", Size: cores(4), Used: used("y", cores(3))})
	require.Empty(t, assignments(p.Step(now, single("bulk", cell.Bulk, cores(1).Scale(0.5)))))
	require.Contains(t, startedWithin(p, now, wakeTime, p.Step(now, place.Down{Worker: "w00"})), "bulk.0")
}

// Guards against bulk that is not tried again when a task ends on a quarantined worker, whose free
// capacity counts for the reserve.
func TestReserveIsFreeWhenAQuarantinedWorkersTaskEnds(t *testing.T) {
	p := fleet(place.DefaultLimits, 3)
	p.Step(now, place.Up{Worker: "w03", Size: cores(4), Used: used("x", cores(4))})
	p.Step(now, single("a", cell.Normal, cores(4)))
	p.Step(now, single("b", cell.Normal, cores(4)))
	p.Step(now, single("c", cell.Normal, cores(2)))
	require.Empty(t, assignments(p.Step(now, single("bulk", cell.Bulk, cores(1)))))
	require.NotEmpty(t, reportResults(p, now, "watch", true, "w03", "w03", "w03", "w03"))
	require.Contains(t, startedWithin(p, now, 2*time.Second, p.Step(now, place.Freed{Task: "x"})), "bulk.0")
}

// bulkBeforeNormal returns a Placer with eight cores in which an overdue bulk entry of four waits
// for task x on w01, and a normal entry waits for the bulk entry.
func bulkBeforeNormal(t *testing.T, size cell.Size) (*place.Placer, time.Time) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: used("y", cores(1))})
	x := used("x", cores(4))
	x[0].Remaining = 24 * time.Hour
	p.Step(now, place.Up{Worker: "w01", Size: cores(4), Used: x})
	require.Empty(t, startedWithin(p, now, 11*time.Minute, p.Step(now, single("bulk", cell.Bulk, cores(4)))))
	at := now.Add(11 * time.Minute)
	require.Empty(t, assignments(p.Step(at, single("n", cell.Normal, size))))
	return p, at
}

// Guards against normal work that waits for good at the urgent reserve, which does not concern it,
// after the overdue bulk entry that it waited for has started.
func TestNormalWorkIsTriedAfterOverdueBulk(t *testing.T) {
	p, at := bulkBeforeNormal(t, cores(3))
	started := startedWithin(p, at, overdueTime, p.Step(at, place.Freed{Task: "x"}))
	require.Contains(t, started, "bulk.0")
	require.Contains(t, started, "n.0")
}

// Guards against the same for an overdue bulk entry that is cancelled.
func TestNormalWorkIsTriedAfterCancelledBulk(t *testing.T) {
	p, at := bulkBeforeNormal(t, cores(3))
	require.Contains(t, startedWithin(p, at, overdueTime, p.Step(at, place.Freed{Task: "bulk.0"})), "n.0")
}

// Guards against an entry that is not tried again because it was tried in the same step, before a
// reservation ended.
func TestEndedReservationWakesWhatWasTriedInThatStep(t *testing.T) {
	p := place.New(place.DefaultLimits)
	x := used("x", cores(4))
	x[0].Remaining = 24 * time.Hour
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: x})
	p.Step(now, place.Up{Worker: "w01", Size: cores(4), Used: used("y", cores(2))})
	gang := place.Request{Job: "gang", Row: "watch", Class: cell.Normal, Size: cores(2), Tasks: tasks("gang", 2), Gang: true}
	require.Empty(t, startedWithin(p, now, 2*time.Minute, p.Step(now, gang)))
	at := now.Add(2 * time.Minute)
	require.Empty(t, assignments(p.Step(at, single("n", cell.Normal, cores(1)))))
	started := startedWithin(p, at, wakeTime, p.Step(at, place.Freed{Task: "x"}))
	require.Contains(t, started, "gang.0")
	require.Contains(t, started, "n.0")
}

// Guards against bulk that is tried only on the worker where a task ended, although the reserve that
// is free again allows it on all others.
func TestFreeReserveWakesBulkForAllWorkers(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: append(used("x", cores(2)), used("y", cores(4))...)})
	p.Step(now, place.Up{Worker: "w01", Size: cores(6), Used: used("z", cores(3))})
	bulk := place.Request{Job: "bulk", Row: "b", Class: cell.Bulk, Size: cores(1), Tasks: tasks("bulk", 2)}
	require.Empty(t, assignments(p.Step(now, bulk)))
	require.Len(t, startedWithin(p, now, wakeTime, p.Step(now, place.Freed{Task: "x"})), 2)
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

// Guards against an entry that is not tried again on the worker that it avoided, when the one that
// it waited for can no longer hold it.
func TestAvoidedWorkerIsUsedWhenTheOtherGoes(t *testing.T) {
	failed := place.Result{Worker: "w00", Row: "watch", Failed: true}
	for name, events := range map[string][]place.Event{
		"down":        {place.Down{Worker: "w00"}},
		"resized":     {place.WorkerResized{Worker: "w00", Size: cores(3)}},
		"quarantined": {failed, failed, failed, failed},
	} {
		t.Run(name, func(t *testing.T) {
			p := place.New(place.DefaultLimits)
			x := used("x", cores(4))
			x[0].Remaining = 50 * time.Second
			p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: x})
			p.Step(now, place.Up{Worker: "w01", Size: cores(4)})
			p.Step(now, place.Up{Worker: "w02", Size: cores(1)})
			p.Step(now, place.Up{Worker: "w03", Size: cores(1)})
			require.Empty(t, startedWithin(p, now, 20*time.Second, p.Step(now, avoiding("a"))))
			at := now.Add(20 * time.Second)
			var acts []place.Action
			for _, ev := range events {
				acts = append(acts, p.Step(at, ev)...)
			}
			require.Contains(t, startedWithin(p, at, 5*time.Second, acts), "a.0")
		})
	}
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

// Guards against an urgent task that waits for good: the worker that was kept for it has gone, so
// that no other one is freed.
func TestUrgentPreemptsAgainWhenItsWorkerGoes(t *testing.T) {
	p := fleet(place.DefaultLimits, 3)
	p.Step(now, place.Request{Job: "b", Row: "b", Class: cell.Bulk, Size: cores(3), Tasks: tasks("b", 3)})
	u := single("u", cell.Urgent, cores(2))
	first := actionsOf[place.Preempt](p.Step(now, u))
	require.Len(t, first, 1)
	acts := p.Step(now, place.Down{Worker: first[0].Worker})
	for at := now; at.Before(now.Add(overdueTime)); at = at.Add(time.Second) {
		acts = append(acts, p.Step(at, place.Tick{})...)
	}
	require.NotEmpty(t, actionsOf[place.Preempt](acts))
}

// Guards against an urgent task that waits for good beside bulk tasks which could be preempted: they
// started after it was tried.
func TestUrgentPreemptsBulkThatStartedLater(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: append(used("x", cores(2)), used("y", cores(2))...)})
	p.Step(now, place.Up{Worker: "w01", Size: cores(4), Used: used("z", cores(3))})
	require.Empty(t, p.Step(now, single("u", cell.Urgent, cores(3))))
	bulk := place.Request{Job: "b", Row: "b", Class: cell.Bulk, Size: cores(3).Scale(0.5), Tasks: tasks("b", 2)}
	require.Empty(t, p.Step(now, bulk))
	require.Len(t, assignments(p.Step(now, place.Freed{Task: "x"})), 1)
	acts := p.Step(now, place.Freed{Task: "y"})
	require.Len(t, assignments(acts), 1)
	for at := now; at.Before(now.Add(overdueTime)); at = at.Add(time.Second) {
		acts = append(acts, p.Step(at, place.Tick{})...)
	}
	require.NotEmpty(t, actionsOf[place.Preempt](acts))
}

// Guards against a wait whose cause cannot be told: what the entry avoids until when, and what fits on
// each worker.
func TestWaitIsExplainedByWorker(t *testing.T) {
	p := place.New(place.DefaultLimits)
	p.Step(now, place.Up{Worker: "w00", Size: cores(4), Used: used("x", cores(1))})
	p.Step(now, place.Up{Worker: "w01", Size: cores(4)})
	p.Step(now, avoiding("a"))
	task, waited, ok := p.LongestWait()
	require.True(t, ok)
	require.Zero(t, waited)
	why, ok := p.ExplainWait(task)
	require.True(t, ok)
	require.Contains(t, why, "avoids w01 until "+now.Add(10*time.Second).Format(time.StampMilli))
	require.Contains(t, why, "w00 0, 1, 1; w01 1, 1, 1")
	p.Step(now, place.Freed{Task: task})
	_, _, ok = p.LongestWait()
	require.False(t, ok)
}
