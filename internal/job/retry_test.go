package job_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
)

func gang(tasks int) job.Spec {
	s := spec(tasks)
	s.Gang = true
	return s
}

// startAll places all requested tasks, and their workers confirm the starts.
func startAll(j *job.Jobs, wants []job.RequestPlacement) {
	for _, w := range wants {
		for i, id := range w.Tasks {
			startOn(j, id, fmt.Sprintf("w%d", i))
		}
	}
}

// One start of a gang fails while the other tasks run. The others would wait for it and hold their
// capacity for nothing. They are checkpointed and stopped, and only when the last has stopped is
// capacity requested for all of them together.
func TestGangIsRestartedTogetherAfterAFailedStart(t *testing.T) {
	j := job.New()
	startAll(j, actionsOf[job.RequestPlacement](j.Step(now, job.Submit{Spec: gang(3)})))
	acts := j.Step(now, listOf("w1", now.Add(time.Second)))
	require.Equal(t, []job.Pause{{Task: "d.r.j.0", Worker: "w0", Attempt: 1}, {Task: "d.r.j.2", Worker: "w2", Attempt: 3}}, actionsOf[job.Pause](acts))
	require.Empty(t, actionsOf[job.RequestPlacement](acts))
	require.Empty(t, actionsOf[job.RequestPlacement](j.Step(now, job.Stopped{Task: "d.r.j.0", Attempt: 1})))
	want := actionsOf[job.RequestPlacement](j.Step(now, job.Stopped{Task: "d.r.j.2", Attempt: 3}))
	require.Len(t, want, 1)
	require.Equal(t, []string{"d.r.j.0", "d.r.j.1", "d.r.j.2"}, want[0].Tasks)
	startAll(j, want)
	s, err := j.Status("d.r.j")
	require.NoError(t, err)
	require.Equal(t, map[string]int{"running": 3}, s.Tasks)
}

// An urgent job needs the capacity of a bulk task. The task is queued again only after its worker
// has confirmed the stop, and the preemption does not use up a try.
func TestPreemptionUsesUpNoTry(t *testing.T) {
	j := job.New()
	wants := actionsOf[job.RequestPlacement](j.Step(now, job.Submit{Spec: spec(1)}))
	for n := range int64(5) {
		startAll(j, wants)
		acts := j.Step(now, job.Preempt{Task: "d.r.j.0"})
		require.Equal(t, []job.Action{job.Pause{Task: "d.r.j.0", Worker: "w0", Attempt: n + 1}}, acts)
		require.Empty(t, j.Step(now, job.Preempt{Task: "d.r.j.0"}), "a second preemption changes nothing")
		require.Empty(t, actionsOf[job.Free](j.Step(now, listOf("w0", now.Add(-time.Second)))))
		wants = actionsOf[job.RequestPlacement](j.Step(now, job.Stopped{Task: "d.r.j.0", Attempt: n + 1}))
		require.Len(t, wants, 1)
	}
	startAll(j, wants)
	fails := j.Step(now, listOf("w0", now.Add(time.Second), listed("d.r.j.0", "failed")))
	require.Equal(t, []string{"w0"}, actionsOf[job.RequestPlacement](fails)[0].Avoid, "the first failure is retried on another worker")
}

// The stop of a preempted task is not answered. While the worker lists the task, the stop is
// requested again, and the task must not be started elsewhere meanwhile.
func TestPreemptedTaskWaitsForItsStop(t *testing.T) {
	j := startedJob(1)
	j.Step(now, job.Preempt{Task: "d.r.j.0"})
	acts := j.Step(now, listOf("w1", now.Add(time.Second), listed("d.r.j.0", "running")))
	require.Equal(t, []job.Action{job.Pause{Task: "d.r.j.0", Worker: "w1", Attempt: 1}}, acts)
	acts = j.Step(now, listOf("w1", now.Add(2*time.Second), listed("d.r.j.0", "stopped")))
	require.Len(t, actionsOf[job.RequestPlacement](acts), 1)
}

// A preempted task ends before its stop arrives, or its job is cancelled. In both cases the task is
// not run again.
func TestPreemptedTaskMayEndOrBeCancelled(t *testing.T) {
	j := startedJob(1)
	j.Step(now, job.Preempt{Task: "d.r.j.0"})
	j.Step(now, listOf("w1", now, listed("d.r.j.0", "ended")))
	require.Equal(t, "ended", state(t, j))
	j = startedJob(1)
	j.Step(now, job.Preempt{Task: "d.r.j.0"})
	require.Len(t, actionsOf[job.Stop](j.Step(now, job.Cancel{ID: "d.r.j"})), 1)
	require.Empty(t, actionsOf[job.RequestPlacement](j.Step(now, job.Stopped{Task: "d.r.j.0", Attempt: 1})))
	require.Equal(t, "cancelled", state(t, j))
}

// A bug in a row's program fails every task of a large job. If each task were retried until its
// tries are used up, the job would keep workers busy for hours.
func TestAlwaysFailingJobStopsByItsBudget(t *testing.T) {
	j := job.New()
	s := spec(5000)
	s.Tries = 100
	waiting := actionsOf[job.RequestPlacement](j.Step(now, job.Submit{Spec: s}))[0].Tasks
	starts := 0
	for state(t, j) != "failed" {
		id := waiting[0]
		waiting = waiting[1:]
		starts++
		startOn(j, id, "w1")
		acts := j.Step(now, listOf("w1", now.Add(time.Second), listed(id, "failed")))
		for _, w := range actionsOf[job.RequestPlacement](acts) {
			waiting = append(waiting, w.Tasks...)
		}
	}
	require.LessOrEqual(t, starts, 60)
	retries := 0
	for range 10 {
		startOn(j, waiting[0], "w1")
		retries += len(actionsOf[job.RequestPlacement](j.Step(now, listOf("w1", now.Add(time.Second), listed(waiting[0], "failed")))))
	}
	require.Zero(t, retries)
}

// A caller cancels many jobs at once. Each cancellation affects only its own tasks, and one for a
// job that has ended changes nothing.
func TestBulkCancellation(t *testing.T) {
	j := job.New()
	const jobs = 10_000
	for i := range jobs {
		s := spec(1)
		s.ID = fmt.Sprintf("d.r.j%d", i)
		j.Step(now, job.Submit{Spec: s})
	}
	for i := range jobs {
		id := fmt.Sprintf("d.r.j%d", i)
		require.Equal(t, []job.Action{job.Free{Task: id + ".0"}, job.Ended{ID: id, State: "cancelled"}}, j.Step(now, job.Cancel{ID: id}))
		require.Empty(t, j.Step(now, job.Cancel{ID: id}))
	}
	s, err := j.Status("d.r.j7")
	require.NoError(t, err)
	require.False(t, s.Ran)
}

func TestOverflowingSizesAreRefused(t *testing.T) {
	for field, change := range map[string]func(*job.Spec){
		"tasks":      func(s *job.Spec) { s.Tasks = 0 },
		"size.cpu":   func(s *job.Spec) { s.Size.CPU = -1 },
		"size.mem":   func(s *job.Spec) { s.Size.Mem = 1<<63 - 1 },
		"size.accel": func(s *job.Spec) { s.Size.Accel = -1 },
		"time":       func(s *job.Spec) { s.Time.Duration = 0 },
	} {
		s := spec(1)
		change(&s)
		require.ErrorContains(t, s.Check(), field)
	}
}
