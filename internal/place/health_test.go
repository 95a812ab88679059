package place_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

func resizedTo(task string, use cell.Size) place.TaskResized {
	return place.TaskResized{Task: task, Size: use, Use: use}
}

// reportResults reports one result of a task of the row for each worker.
func reportResults(p *place.Placer, at time.Time, row string, failed bool, workers ...string) []place.Action {
	var acts []place.Action
	for _, w := range workers {
		acts = append(acts, p.Step(at, place.Result{Worker: w, Row: row, Failed: failed})...)
	}
	return acts
}

func workerNames(from, to int) []string {
	var all []string
	for i := from; i < to; i++ {
		all = append(all, fmt.Sprintf("w%02d", i))
	}
	return all
}

// A worker fails every task that succeeds on other workers. It gets only an occasional trial and is
// restored when trials succeed. Otherwise it would get task after task from the queue, because it
// always has free capacity.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	p := fleet(place.DefaultLimits, 8)
	at := now
	for range 3 {
		reportResults(p, at, "r", false, workerNames(1, 8)...)
	}
	acts := reportResults(p, at, "r", true, "w00", "w00", "w00")
	require.Equal(t, []place.Action{place.Quarantined{Worker: "w00"}}, acts)
	on := assignments(p.Step(at, place.Request{Job: "j", Row: "r", Size: cores(4), Tasks: tasks("j", 8)}))
	require.Len(t, on, 7)
	at = at.Add(place.DefaultLimits.TrialInterval + time.Second)
	trial := assignments(p.Step(at, place.Tick{}))
	require.Equal(t, map[string]string{"j.7": "w00"}, trial)
	p.Step(at, place.Request{Job: "k", Row: "r", Size: cores(1), Tasks: tasks("k", 1)})
	require.Empty(t, assignments(p.Step(at, place.Freed{Task: "j.7"})), "one trial at a time")
	reportResults(p, at, "r", true, "w00")
	at = at.Add(place.DefaultLimits.TrialInterval + time.Second)
	require.Empty(t, assignments(p.Step(at, place.Tick{})), "a failed trial doubles the wait")
	at = at.Add(place.DefaultLimits.TrialInterval)
	require.Equal(t, map[string]string{"k.0": "w00"}, assignments(p.Step(at, place.Tick{})))
	reportResults(p, at, "r", false, "w00")
	require.Contains(t, reportResults(p, at, "r", false, "w00"), place.Restored{Worker: "w00"})
}

// A bug of a row makes its tasks fail on every worker. Quarantining the workers for it would take
// capacity from all other rows.
func TestRowBugQuarantinesNoWorker(t *testing.T) {
	p := fleet(place.DefaultLimits, 8)
	var acts []place.Action
	for range 5 {
		acts = append(acts, reportResults(p, now, "good", false, workerNames(0, 8)...)...)
		acts = append(acts, reportResults(p, now, "bug", true, workerNames(0, 8)...)...)
	}
	require.Empty(t, actionsOf[place.Quarantined](acts))
}

// A new row with a bug fails on one worker before any other worker has run it. When it fails on
// other workers too, the first worker is restored.
func TestWorkerIsRestoredWhenTheRowFailsElsewhere(t *testing.T) {
	p := fleet(place.DefaultLimits, 8)
	require.Len(t, actionsOf[place.Quarantined](reportResults(p, now, "new", true, "w00", "w00", "w00", "w00")), 1)
	for range 4 {
		reportResults(p, now, "new", true, workerNames(1, 8)...)
	}
	require.Contains(t, p.Step(now.Add(2*time.Second), place.Tick{}), place.Restored{Worker: "w00"})
}

// The switch of a rack is unstable and all its workers fail what they start, then others follow. No
// more than the configured share is quarantined, since wrong decisions must not take all workers of
// the failure domain out of use.
func TestQuarantineIsLimitedToAShare(t *testing.T) {
	p := fleet(place.DefaultLimits, 8)
	for range 20 {
		reportResults(p, now, "r", false, workerNames(5, 8)...)
	}
	var acts []place.Action
	for range 5 {
		acts = append(acts, reportResults(p, now, "r", true, workerNames(0, 5)...)...)
	}
	require.Len(t, actionsOf[place.Quarantined](acts), 2)
	require.Equal(t, []string{"w00", "w01"}, p.QuarantinedWorkers())
}

// A task uses more than it asked for and overloads its worker. Processors are throttled first.
// Memory cannot be throttled, so the cheapest task of the least urgent class is checkpointed and
// stopped.
func TestOverloadIsThrottledBeforePreemption(t *testing.T) {
	p := fleet(place.Limits{}, 1)
	p.Step(now, place.Request{Job: "u", Row: "u", Class: cell.Urgent, Size: cores(2), Tasks: tasks("u", 1)})
	p.Step(now, place.Request{Job: "b", Row: "b", Class: cell.Bulk, Size: cores(2), Tasks: tasks("b", 1)})
	require.Empty(t, p.Step(now, resizedTo("u.0", cores(2))))
	acts := p.Step(now, resizedTo("b.0", cell.Size{CPU: 3000, Mem: 2 * gib}))
	require.Empty(t, actionsOf[place.Preempt](acts))
	require.Equal(t, []place.Throttle{{Task: "b.0", Worker: "w00", Share: 2.0 / 3}}, actionsOf[place.Throttle](acts))
	acts = p.Step(now, resizedTo("u.0", cores(3)))
	stops := actionsOf[place.Preempt](acts)
	require.Len(t, stops, 1)
	require.Equal(t, "b.0", stops[0].Task)
	require.Empty(t, actionsOf[place.Preempt](p.Step(now, resizedTo("u.0", cell.Size{CPU: 3000, Mem: 3*gib + 1}))), "the task is preempted only once")
}

// An operator raises a limit while jobs wait for it. The edit must apply to them too and not only
// to later jobs.
func TestLimitEditAppliesToWaitingJobs(t *testing.T) {
	p := fleet(place.Limits{}, 1)
	p.Step(now, place.Request{Job: "j", Row: "r", Size: cores(1), Tasks: tasks("j", 4), Rule: place.Rule{MaxTasks: 1}})
	require.Equal(t, []string{"r"}, p.Rows())
	require.Len(t, assignments(p.Step(now, place.RuleChanged{Row: "r", Rule: place.Rule{MaxTasks: 3}})), 2)
	require.Empty(t, assignments(p.Step(now, place.RuleChanged{Row: "r", Rule: place.Rule{MaxTasks: -1}})), "a negative limit allows no task")
}

// Ten thousand jobs are cancelled at once. The cost of each cancellation does not depend on the
// length of the queue, and the remaining job is placed as before.
func TestMassCancellationKeepsRemainingJobs(t *testing.T) {
	p := fleet(place.Limits{}, 1)
	p.Step(now, place.Request{Job: "x", Row: "r", Size: cores(4), Tasks: tasks("x", 1)})
	for i := range 10_000 {
		job := fmt.Sprintf("j%d", i)
		p.Step(now, place.Request{Job: job, Row: "r", Size: cores(int64(1 + i%4)), Tasks: tasks(job, 1)})
	}
	for i := range 9_999 {
		require.Empty(t, p.Step(now, place.Freed{Task: fmt.Sprintf("j%d.0", i)}))
	}
	require.Equal(t, 1, p.Waiting())
	require.Equal(t, map[string]string{"j9999.0": "w00"}, assignments(p.Step(now, place.Freed{Task: "x.0"})))
}

// A task has failed on a worker that fails everything and therefore always has free capacity, while
// the only other worker is full. The task must wait for the other worker: batches used to fail
// because all attempts went to the same bad machine. If there is no other worker, the task is
// retried on the same one.
func TestRetryWaitsForAWorkerThatItHasNotFailedOn(t *testing.T) {
	size := cell.Size{CPU: 4000, Mem: 1 << 30}
	retry := place.Request{Job: "j", Row: "r", Size: size, Tasks: []string{"a"}, Avoid: []string{"bad"}}
	p := place.New(place.Limits{})
	addWorker(p, "bad")
	p.Step(now, place.Up{Worker: "good", Rack: "r1", Size: size, Used: []place.Used{{Task: "x", Row: "r", Size: size}}})
	require.Empty(t, p.Step(now, retry))
	require.Equal(t, []place.Action{place.Assign{Task: "a", Worker: "good"}}, p.Step(now, place.Freed{Task: "x"}))

	p = place.New(place.Limits{})
	addWorker(p, "bad")
	require.Equal(t, []place.Action{place.Assign{Task: "a", Worker: "bad"}}, p.Step(now, retry))
}

// Tasks of a gang have failed on one worker, and all other workers together are too small for the
// gang. Without that worker the gang would wait forever although there is capacity for it, while
// its caller is told that it runs. The worker may have been repaired since.
func TestGangRetriesOnAnIndispensableWorker(t *testing.T) {
	for name, tc := range map[string]struct {
		workers int
		back    bool
	}{"too few without it": {2, true}, "enough without it": {3, false}} {
		t.Run(name, func(t *testing.T) {
			p := fleet(place.DefaultLimits, tc.workers)
			gang := place.Request{Job: "g", Row: "r", Size: cores(1), Tasks: tasks("g", 6), Gang: true, Avoid: []string{"w00"}}
			on := assignments(p.Step(now, gang))
			require.Len(t, on, 6)
			require.Equal(t, tc.back, slices.Contains(slices.Collect(maps.Values(on)), "w00"))
		})
	}
}

// A worker that a gang cannot do without is quarantined for its failures. The gang is its trial.
func TestGangIsTheTrialOfAnIndispensableWorker(t *testing.T) {
	l := place.DefaultLimits
	l.MaxQuarantined = 0.5
	p := fleet(l, 2)
	for range 3 {
		reportResults(p, now, "r", false, "w01")
	}
	require.Contains(t, reportResults(p, now, "r", true, "w00", "w00", "w00"), place.Quarantined{Worker: "w00"})
	gang := place.Request{Job: "g", Row: "r", Size: cores(1), Tasks: tasks("g", 6), Gang: true, Avoid: []string{"w00"}}
	require.Empty(t, assignments(p.Step(now, gang)))
	require.Len(t, assignments(p.Step(now.Add(l.TrialInterval+time.Second), place.Tick{})), 6)
}

// A worker was repaired, and its trial is a task that runs for hours. Nothing reports that the
// trial succeeds, so the worker would stay unused for ten minutes while a job that needs its
// capacity waits.
func TestLongTrialDoesNotExtendQuarantine(t *testing.T) {
	l := place.DefaultLimits
	l.MaxQuarantined = 0.5
	p := fleet(l, 2)
	for range 3 {
		reportResults(p, now, "r", false, "w01")
	}
	require.Contains(t, reportResults(p, now, "r", true, "w00", "w00", "w00"), place.Quarantined{Worker: "w00"})
	p.Step(now, place.Request{Job: "x", Row: "r", Size: cores(4), Tasks: tasks("x", 1)})
	p.Step(now, place.Request{Job: "watch", Row: "r", Size: cores(1), Tasks: tasks("watch", 1)})
	at := now.Add(l.TrialInterval + time.Second)
	require.Equal(t, map[string]string{"watch.0": "w00"}, assignments(p.Step(at, place.Tick{})))
	p.Step(at, place.Freed{Task: "x.0"})
	gang := place.Request{Job: "g", Row: "r", Size: cores(1), Tasks: tasks("g", 6), Gang: true, Avoid: []string{"w00"}}
	require.Empty(t, assignments(p.Step(at, gang)))
	require.Empty(t, assignments(p.Step(at.Add(l.TrialInterval-time.Second), place.Tick{})), "one trial at a time")
	require.Len(t, assignments(p.Step(at.Add(2*l.TrialInterval+time.Second), place.Tick{})), 6)
}

// Guards against a bad worker that gets tasks as before because tasks that it had before it became bad,
// and was quarantined, end there.
func TestSuccessesFromBeforeTheQuarantineAreNotPassedTrials(t *testing.T) {
	p := fleet(place.DefaultLimits, 4)
	require.Len(t, assignments(p.Step(now, place.Request{Job: "j", Row: "r", Size: cores(1), Tasks: tasks("j", 16)})), 16)
	reportResults(p, now, "r", false, "w01", "w02", "w03", "w01", "w02", "w03")
	reportResults(p, now, "r", true, "w00", "w00", "w00", "w00")
	require.Equal(t, []string{"w00"}, p.QuarantinedWorkers())
	reportResults(p, now, "r", false, "w00", "w00")
	require.Equal(t, []string{"w00"}, p.QuarantinedWorkers())
}
