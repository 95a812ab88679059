package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
)

// placeOn places a task on a worker and returns the start that is sent for it.
func placeOn(t *testing.T, j *job.Jobs, task, worker string) job.Start {
	t.Helper()
	starts := actionsOf[job.Start](j.Step(now, job.Placed{Task: task, Worker: worker}))
	require.Len(t, starts, 1)
	return starts[0]
}

// preemptUnanswered preempts a task before its start is answered.
func preemptUnanswered(t *testing.T, j *job.Jobs, task string) {
	t.Helper()
	for _, a := range actionsOf[job.Pause](j.Step(now, job.Preempt{Task: task})) {
		require.Len(t, actionsOf[job.RequestPlacement](j.Step(now, job.Stopped{Task: task, Attempt: a.Attempt})), 1)
	}
}

// Guards against a task that runs twice: the confirmation of a try that was stopped meanwhile is
// taken for that of the next try, whose start is still in flight.
func TestLateConfirmationOfAPreviousTryChangesNothing(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	first := placeOn(t, j, "d.r.j.0", "w1")
	preemptUnanswered(t, j, "d.r.j.0")
	placeOn(t, j, "d.r.j.0", "w2")
	j.Step(now, job.Started{Task: "d.r.j.0", Attempt: first.Attempt})
	require.Empty(t, j.Step(now, listOf("w2", now.Add(time.Second))), "the start to w2 may still arrive")
}

// Guards against a task that runs twice: the lost answer of a previous try sets an earlier deadline
// for the next one.
func TestLostAnswerOfAPreviousTryChangesNothing(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	first := placeOn(t, j, "d.r.j.0", "w1")
	preemptUnanswered(t, j, "d.r.j.0")
	placeOn(t, j, "d.r.j.0", "w2")
	j.Step(now, job.StartSent{Task: "d.r.j.0", Deadline: now.Add(5 * time.Second)})
	j.Step(now, job.Unsure{Task: "d.r.j.0", Attempt: first.Attempt, Deadline: now.Add(time.Second)})
	require.Empty(t, j.Step(now, listOf("w2", now.Add(2*time.Second))), "the start to w2 may still arrive")
}

// Guards against a task that runs twice: the refusal of a previous try is taken for one of the next
// try.
func TestLateRefusalOfAPreviousTryChangesNothing(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	first := placeOn(t, j, "d.r.j.0", "w1")
	preemptUnanswered(t, j, "d.r.j.0")
	placeOn(t, j, "d.r.j.0", "w2")
	require.Empty(t, j.Step(now, job.NotStarted{Task: "d.r.j.0", Attempt: first.Attempt}))
}

// Guards against a task that runs twice: a stop that was confirmed on one worker is taken for the
// stop of the same task on its next worker.
func TestLateStopOfAPreviousTryChangesNothing(t *testing.T) {
	j := job.New()
	startAll(j, actionsOf[job.RequestPlacement](j.Step(now, job.Submit{Spec: spec(1)})))
	first := actionsOf[job.Pause](j.Step(now, job.Preempt{Task: "d.r.j.0"}))[0]
	j.Step(now, listOf("w0", now.Add(time.Second), listed("d.r.j.0", "stopped")))
	next := placeOn(t, j, "d.r.j.0", "w1")
	j.Step(now, job.Started{Task: "d.r.j.0", Attempt: next.Attempt})
	j.Step(now, job.Preempt{Task: "d.r.j.0"})
	require.Empty(t, j.Step(now, job.Stopped{Task: "d.r.j.0", Attempt: first.Attempt}))
}

// Guards against a task that runs twice: a peer lists only the tasks of the jobs that it was asked
// about, and says nothing about a start of a job that was handed over since the request.
func TestListOfOtherJobsProvesNothing(t *testing.T) {
	j := job.New()
	j.Step(now, job.Adopt{Snapshot: job.Snapshot{Spec: spec(1), State: "waiting", Tasks: []job.TaskSnapshot{
		{State: "unsure", Worker: "w1", Tries: 1, Deadline: now, Sent: true},
	}}})
	list := listOf("w1", now.Add(2*time.Second))
	list.Jobs = []string{"d.r.other"}
	require.Empty(t, j.Step(now, list))
	list.Jobs = append(list.Jobs, "d.r.j")
	acts := j.Step(now, list)
	require.Len(t, actionsOf[job.RequestPlacement](acts), 1)
}
