package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
)

// listInIncarnation returns a worker's list in one of its incarnations.
func listInIncarnation(worker, incarnation string, sent time.Time, tasks ...job.ListedTask) job.WorkerList {
	ev := listOf(worker, sent, tasks...)
	ev.Incarnation = incarnation
	return ev
}

// crash starts a task on a worker in incarnation from. The worker then returns in incarnation to
// without the task.
func crash(j *job.Jobs, task, worker, from, to string, at time.Time) []job.Action {
	j.Step(at, listInIncarnation(worker, from, at))
	for _, a := range actionsOf[job.Start](j.Step(at, job.Placed{Task: task, Worker: worker})) {
		j.Step(at, job.Started{Task: task, Attempt: a.Attempt})
	}
	return j.Step(at.Add(time.Second), listInIncarnation(worker, to, at.Add(time.Second)))
}

func reportedCrashes(acts []job.Action) int64 {
	n := int64(0)
	for _, a := range actionsOf[job.StoreCrashCount](acts) {
		n = max(n, a.Crashes)
	}
	return n
}

// Guards against a crash that is counted nowhere: the leader dies after the task was started again,
// and the next leader does not know about the crash.
func TestTaskWaitsUntilACrashIsStored(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	acts := crash(j, "d.r.j.0", "w1", "1", "2", now)
	require.Equal(t, int64(1), reportedCrashes(acts))
	require.Empty(t, actionsOf[job.RequestPlacement](acts))
	require.Len(t, actionsOf[job.RequestPlacement](j.Step(now, job.CrashCountStored{Task: "d.r.j.0", Crashes: 1})), 1)
	require.Empty(t, actionsOf[job.RequestPlacement](j.Step(now, job.CrashCountStored{Task: "d.r.j.0", Crashes: 1})), "the same count again requests nothing")
}

// Guards against a task that crashes worker after worker together with the other tasks that run
// there.
func TestCrashingTaskGetsExclusiveWorkerAndIsGivenUp(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(2)})
	for n, worker := range []string{"w1", "w2"} {
		require.Equal(t, int64(n+1), reportedCrashes(crash(j, "d.r.j.0", worker, "1", "2", now)))
		want := actionsOf[job.RequestPlacement](j.Step(now, job.CrashCountStored{Task: "d.r.j.0", Crashes: int64(n + 1)}))
		require.Equal(t, n == 1, want[0].Exclusive)
	}
	acts := crash(j, "d.r.j.0", "w3", "1", "2", now)
	ended := actionsOf[job.Ended](acts)
	require.Len(t, ended, 1)
	require.Equal(t, "failed", ended[0].State)
	require.Equal(t, (&job.CrashedError{Task: "d.r.j.0", Crashes: 3}).Error(), ended[0].Reason)
	s, err := j.Status("d.r.j")
	require.NoError(t, err)
	require.Equal(t, ended[0].Reason, s.Reason)
	require.True(t, s.Ran)
}

// Guards against good tasks that are given up because of lost connections or starts that never
// arrived.
func TestEventsThatAreNotCountedAsCrash(t *testing.T) {
	later := now.Add(2 * time.Second)
	for name, end := range map[string]func(j *job.Jobs, a job.Start) []job.Action{
		"the lease ran out": func(j *job.Jobs, a job.Start) []job.Action {
			j.Step(now, job.Started{Task: a.Task, Attempt: a.Attempt})
			return j.Step(later, listInIncarnation("w1", "1", later, listed(a.Task, "lapsed")))
		},
		"the start did not arrive in this life": func(j *job.Jobs, a job.Start) []job.Action {
			j.Step(now, job.Unsure{Task: a.Task, Attempt: a.Attempt, Deadline: now})
			return j.Step(later, listInIncarnation("w1", "1", later))
		},
		"the worker took no connection": func(j *job.Jobs, a job.Start) []job.Action {
			j.Step(now, job.Unsure{Task: a.Task, Attempt: a.Attempt, Deadline: now, Unreached: true})
			return j.Step(later, listInIncarnation("w1", "2", later))
		},
		"the worker is silent": func(j *job.Jobs, a job.Start) []job.Action {
			j.Step(now, job.Started{Task: a.Task, Attempt: a.Attempt})
			return j.Step(later, job.WorkerList{Worker: "w1", LeasesExpired: true})
		},
		"the start arrived in the next life": func(j *job.Jobs, a job.Start) []job.Action {
			j.Step(now, job.Unsure{Task: a.Task, Attempt: a.Attempt, Deadline: now})
			j.Step(later, listInIncarnation("w1", "2", later, listed(a.Task, "running")))
			return j.Step(later.Add(time.Second), listInIncarnation("w1", "2", later.Add(time.Second), listed(a.Task, "lapsed")))
		},
	} {
		t.Run(name, func(t *testing.T) {
			j := job.New()
			j.Step(now, job.Submit{Spec: spec(1)})
			j.Step(now, listInIncarnation("w1", "1", now))
			acts := end(j, placeOn(t, j, "d.r.j.0", "w1"))
			require.Zero(t, reportedCrashes(acts))
			require.Len(t, actionsOf[job.RequestPlacement](acts), 1)
		})
	}
}

// Guards against a start without an answer that crashes worker after worker.
func TestUnsureStartMayHaveCrashedItsWorker(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	j.Step(now, listInIncarnation("w1", "1", now))
	a := placeOn(t, j, "d.r.j.0", "w1")
	j.Step(now, job.Unsure{Task: a.Task, Attempt: a.Attempt, Deadline: now.Add(3 * time.Second)})
	require.Empty(t, j.Step(now, listInIncarnation("w1", "2", now.Add(time.Second))), "the start may still arrive")
	require.Equal(t, int64(1), reportedCrashes(j.Step(now, listInIncarnation("w1", "2", now.Add(4*time.Second)))))
}

// Guards against good tasks that are given up because of crashes caused by other tasks on the same
// worker.
func TestTheTaskWithTheMostCrashesIsBlamed(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(2)})
	crash(j, "d.r.j.0", "w1", "1", "2", now)
	j.Step(now, job.CrashCountStored{Task: "d.r.j.0", Crashes: 1})
	startOn(j, "d.r.j.0", "w1")
	startOn(j, "d.r.j.1", "w1")
	acts := j.Step(now, listInIncarnation("w1", "3", now.Add(2*time.Second)))
	require.Equal(t, []job.StoreCrashCount{{Job: "d.r.j", Task: "d.r.j.0", Worker: "w1", Crashes: 2}}, actionsOf[job.StoreCrashCount](acts))
	require.Equal(t, []string{"d.r.j.1"}, actionsOf[job.RequestPlacement](acts)[0].Tasks)
}

// Guards against services that are given up because workers crash now and then.
func TestTaskThatRanForLongIsNotBlamed(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	for range 10 {
		startOn(j, "d.r.j.0", "w1")
		j.Step(now, listInIncarnation("w1", "1", now.Add(time.Second), listed("d.r.j.0", "running")))
		later := now.Add(2 * time.Hour)
		acts := j.Step(later, listInIncarnation("w1", "2", later))
		require.Zero(t, reportedCrashes(acts))
		require.False(t, actionsOf[job.RequestPlacement](acts)[0].Exclusive)
		j = handOver(t, j)
	}
}

// handOver hands the job over to another leader.
func handOver(t *testing.T, j *job.Jobs) *job.Jobs {
	t.Helper()
	c, ok := j.Snapshot("d.r.j")
	require.True(t, ok)
	next := job.New()
	next.Step(now, job.Adopt{Snapshot: c})
	return next
}

// Guards against a crash count that starts from zero with each new leader.
func TestCrashCountSurvivesLeaderChange(t *testing.T) {
	for how, next := range map[string]func(j *job.Jobs, crashes int64) *job.Jobs{
		"handed over": func(j *job.Jobs, _ int64) *job.Jobs { return handOver(t, j) },
		"inherited": func(_ *job.Jobs, crashes int64) *job.Jobs {
			j := job.New()
			j.Step(now, job.Inherit{Spec: spec(1)})
			j.Step(now, job.Release{ID: "d.r.j", Crashes: map[string]int64{"d.r.j.0": crashes}})
			return j
		},
	} {
		t.Run(how, func(t *testing.T) {
			j := job.New()
			j.Step(now, job.Submit{Spec: spec(1)})
			for n := range int64(3) {
				require.Equal(t, n+1, reportedCrashes(crash(j, "d.r.j.0", "w1", "1", "2", now)))
				if n < 2 {
					j.Step(now, job.CrashCountStored{Task: "d.r.j.0", Crashes: n + 1})
					j = next(j, n+1)
				}
			}
			require.Equal(t, "failed", state(t, j))
		})
	}
}

// Guards against a task that is given up because workers were disconnected for long.
func TestWorkerThatReturnsInTheSameIncarnationDidNotCrash(t *testing.T) {
	for life, want := range map[string]int64{"1": 0, "2": 1} {
		j := job.New()
		j.Step(now, job.Submit{Spec: spec(1)})
		j.Step(now, listInIncarnation("w1", "1", now))
		startOn(j, "d.r.j.0", "w1")
		later := now.Add(time.Minute)
		require.Len(t, actionsOf[job.RequestPlacement](j.Step(later, job.WorkerList{Worker: "w1", LeasesExpired: true})), 1)
		acts := j.Step(later, listInIncarnation("w1", life, later))
		require.Equal(t, want, reportedCrashes(acts))
		require.Len(t, actionsOf[job.Free](acts), int(want), "the task waits until the crash is stored")
		require.Len(t, actionsOf[job.RequestPlacement](j.Step(later, job.CrashCountStored{Task: "d.r.j.0", Crashes: 1})), int(want))
	}
}

// Guards against capacity that is freed after a gang's tasks were started on it: the count of a
// crash may be stored at once, and the gang placed before the remaining actions are carried out.
func TestCrashCountIsTheLastActionOfANewLeader(t *testing.T) {
	gang := spec(2)
	gang.Gang = true
	last := func(acts []job.Action) {
		t.Helper()
		require.NotEmpty(t, actionsOf[job.StoreCrashCount](acts))
		require.IsType(t, job.StoreCrashCount{}, acts[len(acts)-1])
	}
	j := job.New()
	j.Step(now, job.Submit{Spec: gang})
	j.Step(now, listInIncarnation("w1", "1", now))
	startOn(j, "d.r.j.0", "w1")
	startOn(j, "d.r.j.1", "w1")
	j.Step(now, job.Drop{ID: "d.r.j", RememberPlaces: true})
	j.Step(now, job.Inherit{Spec: gang})
	later := now.Add(time.Minute)
	j.Step(later, listInIncarnation("w1", "2", later))
	last(j.Step(later, job.Release{ID: "d.r.j"}))
	c, ok := j.Snapshot("d.r.j")
	require.True(t, ok)
	last(job.New().Step(later, job.Adopt{Snapshot: c}))
}

// Guards against a job that was given up and ends without its reason, or goes on, because it was handed
// over meanwhile.
func TestJobThatWasGivenUpKeepsItsReasonWhenHandedOver(t *testing.T) {
	for _, state := range []string{"ended", "failed"} {
		t.Run(state, func(t *testing.T) {
			from := job.New()
			from.Step(now, job.Submit{Spec: spec(2)})
			startOn(from, "d.r.j.1", "w9")
			for n, worker := range []string{"w1", "w2", "w3"} {
				crash(from, "d.r.j.0", worker, "1", "2", now)
				from.Step(now, job.CrashCountStored{Task: "d.r.j.0", Crashes: int64(n + 1)})
			}
			c, ok := from.Snapshot("d.r.j")
			require.True(t, ok)
			to := job.New()
			to.Step(now, job.Adopt{Snapshot: c})
			later := now.Add(time.Minute)
			acts := to.Step(later, listOf("w9", later, listed("d.r.j.1", state)))
			require.Empty(t, actionsOf[job.RequestPlacement](acts))
			ended := actionsOf[job.Ended](acts)
			require.Len(t, ended, 1)
			require.Equal(t, (&job.CrashedError{Task: "d.r.j.0", Crashes: 3}).Error(), ended[0].Reason)
		})
	}
}

// Guards against a task that waits forever without a placement request: its host gave the job up while a
// crash was being stored, learned that it was stored while it did not know the job, and inherited it.
func TestInheritedTaskWithAnUnstoredCrashIsRequested(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	j.Step(now, listInIncarnation("w1", "1", now))
	startOn(j, "d.r.j.0", "w1")
	j.Step(now.Add(time.Minute), job.WorkerList{Worker: "w1", LeasesExpired: true})
	startOn(j, "d.r.j.0", "w2")
	at := now.Add(2 * time.Minute)
	j.Step(at, listInIncarnation("w2", "1", at, listed("d.r.j.0", "running")))
	require.Equal(t, int64(1), reportedCrashes(j.Step(at, listInIncarnation("w1", "2", at))))
	j.Step(at, job.Drop{ID: "d.r.j", RememberPlaces: true})
	j.Step(at, job.CrashCountStored{Task: "d.r.j.0", Crashes: 1})
	j.Step(at, job.Inherit{Spec: spec(1)})
	acts := j.Step(at, job.Release{ID: "d.r.j"})
	require.Empty(t, actionsOf[job.RequestPlacement](acts))
	require.Equal(t, int64(1), reportedCrashes(acts))
	require.Len(t, actionsOf[job.RequestPlacement](j.Step(at, job.CrashCountStored{Task: "d.r.j.0", Crashes: 1})), 1)
}
