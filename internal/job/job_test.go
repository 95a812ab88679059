package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
)

var now = time.Unix(1_700_000_000, 0)

func spec(tasks int) job.Spec {
	return job.Spec{ID: "d.r.j", Row: "badges", Tasks: tasks, Size: cell.Size{CPU: 1, Mem: 1}, Time: cell.Duration{Duration: time.Second}, Tries: 2}
}

func state(t *testing.T, j *job.Jobs) string {
	t.Helper()
	s, err := j.Status("d.r.j")
	require.NoError(t, err)
	return s.State
}

// A worker's answer to a start is lost. The task may run there, so it must not be started elsewhere
// until the start can no longer be carried out.
func TestUnsureStartWaitsForItsDeadline(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	start := placeOn(t, j, "d.r.j.0", "w1")
	require.Empty(t, j.Step(now, job.Unsure{Task: "d.r.j.0", Attempt: start.Attempt, Deadline: now.Add(time.Second)}))
	require.Empty(t, j.Step(now, job.WorkerList{Worker: "w1", Clock: now}))
	acts := j.Step(now, job.WorkerList{Worker: "w1", Clock: now.Add(2 * time.Second)})
	require.IsType(t, job.RequestPlacement{}, acts[1])
}

// A print batch is cancelled before any start was sent. The caller is told that it did not run, and
// that must remain true.
func TestCancelBeforeStartDidNotRun(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(2)})
	j.Step(now, job.Cancel{ID: "d.r.j"})
	s, err := j.Status("d.r.j")
	require.NoError(t, err)
	require.Equal(t, "cancelled", s.State)
	require.False(t, s.Ran)
	require.Equal(t, []job.Action{job.Free{Task: "d.r.j.0"}}, j.Step(now, job.Placed{Task: "d.r.j.0", Worker: "w1"}))
}

// A bug in a row's program fails every task. The job must end instead of being retried forever.
func TestFailingTaskStopsAfterItsTries(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	for range 2 {
		startOn(j, "d.r.j.0", "w1")
		j.Step(now, listOf("w1", now.Add(time.Second), listed("d.r.j.0", "failed")))
	}
	require.Equal(t, "failed", state(t, j))
}

func TestJobEndsWithItsLastTask(t *testing.T) {
	j := job.New()
	j.Step(now, job.Submit{Spec: spec(1)})
	j.Step(now, job.Placed{Task: "d.r.j.0", Worker: "w1"})
	j.Step(now, job.WorkerList{Worker: "w1", Clock: now, Tasks: []job.ListedTask{{ID: "d.r.j.0", State: "ended"}}})
	require.Equal(t, "ended", state(t, j))
}

func TestCheckNamesTheWrongField(t *testing.T) {
	s := spec(0)
	var val *cell.ValueError
	require.ErrorAs(t, s.Check(), &val)
	require.Equal(t, "tasks", val.Field)
}
