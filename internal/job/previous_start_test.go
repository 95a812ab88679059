package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
)

// unfinished holds the states in which a worker lists a start that did not complete.
var unfinished = []string{"failed", "stopped", "lapsed"}

// Guards against a task that runs twice: the list entry of its previous start on the same worker is
// taken for the end of a start that is still in flight.
func TestEntryOfPreviousStartDoesNotEndTheNext(t *testing.T) {
	for _, state := range unfinished {
		j := job.New()
		j.Step(now, job.Submit{Spec: spec(1)})
		next := placeOn(t, j, "d.r.j.0", "w1")
		line := listed("d.r.j.0", state)
		require.Empty(t, j.Step(now, listOf("w1", now.Add(-time.Second), line)), "a list from before the start")
		require.Empty(t, j.Step(now, listOf("w1", now.Add(time.Second), line)), "the start has not arrived yet")
		j.Step(now.Add(2*time.Second), job.Started{Task: "d.r.j.0", Attempt: next.Attempt})
		require.Empty(t, j.Step(now, listOf("w1", now.Add(time.Second), line)), "a list from before the confirmation")
		require.Len(t, actionsOf[job.RequestPlacement](j.Step(now, listOf("w1", now.Add(3*time.Second), line))), 1, state)
	}
}

// Guards against a task that runs twice: as above, but the start's answer is lost, so that the
// start may arrive until its deadline.
func TestEntryOfPreviousStartDoesNotEndAnUnsureOne(t *testing.T) {
	for _, state := range []string{"stopped", "lapsed"} {
		j := job.New()
		j.Step(now, job.Submit{Spec: spec(1)})
		next := placeOn(t, j, "d.r.j.0", "w1")
		deadline := now.Add(3 * time.Second)
		j.Step(now, job.StartSent{Task: "d.r.j.0", Deadline: deadline})
		j.Step(now, job.Unsure{Task: "d.r.j.0", Attempt: next.Attempt, Deadline: deadline})
		line := listed("d.r.j.0", state)
		require.Empty(t, j.Step(now, listOf("w1", now.Add(2*time.Second), line)))
		require.Len(t, actionsOf[job.RequestPlacement](j.Step(now, listOf("w1", now.Add(4*time.Second), line))), 1, state)
	}
}

// Guards against a task that runs twice: a task is stopped and started again on the same worker,
// and a list from before the stop shows it running.
func TestEntryOfStoppedStartDoesNotConfirmTheNext(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	placeOn(t, j, "d.r.j.0", "w1")
	require.Empty(t, j.Step(now, listOf("w1", now.Add(-time.Second), listed("d.r.j.0", "running"))))
	require.Empty(t, actionsOf[job.RequestPlacement](j.Step(now, listOf("w1", now.Add(time.Second)))))
}

// Guards against a task that runs twice: the start of a task that is being stopped has not been
// answered yet, and the entry of its previous start is taken for the confirmation of the stop.
func TestEntryOfPreviousStartDoesNotStopTheNext(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	placeOn(t, j, "d.r.j.0", "w1")
	j.Step(now, job.StartSent{Task: "d.r.j.0", Deadline: now.Add(3 * time.Second)})
	j.Step(now, job.Preempt{Task: "d.r.j.0"})
	require.Empty(t, actionsOf[job.RequestPlacement](j.Step(now, listOf("w1", now.Add(2*time.Second), listed("d.r.j.0", "lapsed")))))
	require.Len(t, actionsOf[job.RequestPlacement](j.Step(now, listOf("w1", now.Add(4*time.Second), listed("d.r.j.0", "lapsed")))), 1)
}

// Guards against a job that fails with tries left: a task whose start got no answer has failed.
func TestFailureOfAnUnsureStartIsTriedAgain(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	first := placeOn(t, j, "d.r.j.0", "w1")
	j.Step(now, job.Unsure{Task: "d.r.j.0", Attempt: first.Attempt, Deadline: now.Add(time.Second)})
	acts := j.Step(now, listOf("w1", now.Add(2*time.Second), listed("d.r.j.0", "failed")))
	require.Equal(t, []string{"w1"}, actionsOf[job.RequestPlacement](acts)[0].Avoid)
	require.Equal(t, "waiting", state(t, j))
}
