package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
)

func actionsOf[T job.Action](acts []job.Action) []T {
	var found []T
	for _, a := range acts {
		if a, ok := a.(T); ok {
			found = append(found, a)
		}
	}
	return found
}

func listOf(worker string, sent time.Time, tasks ...job.ListedTask) job.WorkerList {
	return job.WorkerList{Worker: worker, Clock: sent, Sent: sent, Tasks: tasks}
}

func listed(id, state string) job.ListedTask {
	return job.ListedTask{ID: id, State: state, Lease: "l-" + id}
}

// startOn places a task on a worker, which confirms the start.
func startOn(j *job.Jobs, task, worker string) {
	for _, a := range actionsOf[job.Start](j.Step(now, job.Placed{Task: task, Worker: worker})) {
		j.Step(now, job.Started{Task: task, Attempt: a.Attempt})
	}
}

func startedJob(tasks int) *job.Jobs {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(tasks)})
	for i := range tasks {
		startOn(j, job.TaskID("d.r.j", i), "w1")
	}
	return j
}

// The leader of a job died. One task runs, one has ended, one was never started. The next leader
// must adopt the first, must not run the second again, and must start the third only when the
// inventory shows that it runs nowhere.
func TestInheritedJobResumes(t *testing.T) {
	j := job.New()
	require.Empty(t, j.Step(now, job.Inherit{Spec: spec(3)}))
	j.Step(now, listOf("w1", now, listed("d.r.j.0", "running")))
	acts := j.Step(now, listOf("w2", now, listed("d.r.j.1", "ended"), listed("d.r.j.2", "failed")))
	require.Empty(t, actionsOf[job.RequestPlacement](acts))
	require.Equal(t, []job.Forget{{Task: "d.r.j.2", Worker: "w2", Lease: "l-d.r.j.2"}}, actionsOf[job.Forget](acts))
	want := actionsOf[job.RequestPlacement](j.Step(now, job.Release{ID: "d.r.j"}))
	require.Equal(t, []string{"d.r.j.2"}, want[0].Tasks)
	s, err := j.Status("d.r.j")
	require.NoError(t, err)
	require.Equal(t, map[string]int{"running": 1, "ended": 1, "waiting": 1}, s.Tasks)
	require.True(t, s.Ran, "callers must not be told that the job did not run")
}

// Guards against a task that runs twice: a task of an inherited job was found running, did not
// complete, and is started again before the inventory shows that no other host leads the job.
func TestInheritedTaskThatLapsesWaitsForTheInventory(t *testing.T) {
	for _, state := range append(unfinished, "") {
		j := job.New()
		j.Step(now, job.Inherit{Spec: spec(1)})
		j.Step(now, listOf("w1", now, listed("d.r.j.0", "running")))
		later := listOf("w1", now.Add(time.Second), listed("d.r.j.0", state))
		if state == "" {
			later.Tasks = nil
		}
		require.Empty(t, actionsOf[job.RequestPlacement](j.Step(now.Add(time.Second), later)), state)
		require.Len(t, actionsOf[job.RequestPlacement](j.Step(now.Add(2*time.Second), job.Release{ID: "d.r.j"})), 1, state)
	}
}

// A start is confirmed while the answer to an earlier list request is still in flight. That list
// does not show the task. If this were taken as proof that the task is gone, the task would be
// started a second time while the first start runs.
func TestListFromBeforeTheStartProvesNothing(t *testing.T) {
	j := startedJob(1)
	require.Empty(t, j.Step(now.Add(time.Second), listOf("w1", now.Add(-time.Millisecond))))
	want := actionsOf[job.RequestPlacement](j.Step(now.Add(time.Second), listOf("w1", now.Add(time.Millisecond))))
	require.Len(t, want, 1, "a later list shows that the task is gone")
}

// A cancellation arrives before the start of the task that it cancels. The stop finds nothing, and
// the task must not be reported as stopped while its start may still arrive.
func TestStopThatOvertakesItsStart(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	j.Step(now, job.Placed{Task: "d.r.j.0", Worker: "w1"})
	j.Step(now, job.StartSent{Task: "d.r.j.0", Deadline: now.Add(3 * time.Second)})
	j.Step(now, job.Cancel{ID: "d.r.j"})
	j.Step(now, listOf("w1", now.Add(time.Second)))
	require.Equal(t, "stopping", state(t, j))
	acts := j.Step(now, listOf("w1", now.Add(2*time.Second), listed("d.r.j.0", "running")))
	require.Len(t, actionsOf[job.Stop](acts), 1, "the stop is requested again")
	j.Step(now, listOf("w1", now.Add(4*time.Second)))
	require.Equal(t, "cancelled", state(t, j))
}

// Workers remember how tasks ended until they are told to forget them. If they were told so before
// the next leader could read the end from the log, that leader would run the tasks again.
func TestEndedTasksAreForgottenOnlyWhenTheEndIsStored(t *testing.T) {
	j := startedJob(2)
	acts := j.Step(now, listOf("w1", now, listed("d.r.j.0", "ended"), listed("d.r.j.1", "ended")))
	require.Equal(t, []job.Ended{{ID: "d.r.j", State: "ended"}}, actionsOf[job.Ended](acts))
	require.Empty(t, actionsOf[job.Forget](acts))
	require.Len(t, actionsOf[job.Forget](j.Step(now, job.EndStored{ID: "d.r.j"})), 2)
}

// A live leader hands a job over while a start is in flight. The next leader must not start that
// task before the start has expired or the task is found.
func TestHandedOverStartStaysUnsure(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(2)})
	j.Step(now, job.Placed{Task: "d.r.j.0", Worker: "w1"})
	j.Step(now, job.StartSent{Task: "d.r.j.0", Deadline: now.Add(3 * time.Second)})
	c, ok := j.Snapshot("d.r.j")
	require.True(t, ok)
	require.Equal(t, []job.Action{job.Free{Task: "d.r.j.1"}}, j.Step(now, job.Drop{ID: "d.r.j"}))
	_, err := j.Status("d.r.j")
	require.Error(t, err)

	to := job.New()
	want := actionsOf[job.RequestPlacement](to.Step(now, job.Adopt{Snapshot: c}))
	require.Equal(t, []string{"d.r.j.1"}, want[0].Tasks)
	require.Empty(t, to.Step(now, job.Adopt{Snapshot: c}), "the same handover again changes nothing")
	require.Empty(t, to.Step(now, listOf("w1", now.Add(2*time.Second))))
	again := actionsOf[job.RequestPlacement](to.Step(now, listOf("w1", now.Add(4*time.Second))))
	require.Equal(t, []string{"d.r.j.0"}, again[0].Tasks)
}

// Guards against a task that runs twice: a handover whose answer was lost arrives again after its
// receiver has started the job's tasks and handed the job on.
func TestRepeatedHandoverIsIgnored(t *testing.T) {
	j := job.New()
	first := job.Snapshot{HandoverID: "h1", Spec: spec(1), State: "waiting", Tasks: []job.TaskSnapshot{{State: "waiting"}}}
	require.Len(t, actionsOf[job.RequestPlacement](j.Step(now, job.Adopt{Snapshot: first})), 1)
	placeOn(t, j, "d.r.j.0", "w1")
	j.Step(now, job.Drop{ID: "d.r.j"})
	require.Empty(t, j.Step(now, job.Adopt{Snapshot: first}))
	require.Empty(t, j.Open())
	first.HandoverID = "h2"
	require.Len(t, actionsOf[job.RequestPlacement](j.Step(now, job.Adopt{Snapshot: first})), 1, "a new handover of the job is adopted")
}

// A worker was silent for longer than any lease. What ran there no longer runs and is started
// elsewhere.
func TestTasksOfASilentWorkerAreStartedElsewhere(t *testing.T) {
	j := startedJob(1)
	require.Equal(t, []string{"w1"}, j.Workers())
	require.Len(t, actionsOf[job.RequestPlacement](j.Step(now, job.WorkerList{Worker: "w1", LeasesExpired: true})), 1)
}

// A host leads jobs for weeks. It must not remember every task that ever ran.
func TestOldEndedJobsAreForgotten(t *testing.T) {
	j := job.New()
	for i := range 600 {
		s := spec(1)
		s.ID = job.TaskID("d.r", i)
		j.Step(now, job.Submit{Spec: s})
		j.Step(now, job.Cancel{ID: s.ID})
		j.Step(now, job.EndStored{ID: s.ID})
	}
	_, err := j.Status("d.r.0")
	require.Error(t, err)
	require.False(t, j.HasTask("d.r.0.0"))
	_, err = j.Status("d.r.599")
	require.NoError(t, err)
}
