package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// A task avoids each worker for a time from its own event; only the members of a gang avoid what
// another does.
func TestTaskAvoidsEachWorkerFromItsOwnEvent(t *testing.T) {
	for _, gang := range []bool{false, true} {
		start := time.UnixMilli(1_000_000)
		j := flow.New(flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 2, Gang: gang}}}, 1, start)
		j.BeginRounds(start)
		first, second := j.Task(flow.Name{Job: "a"}), j.Task(flow.Name{Job: "a", Index: 1})
		require.False(t, first.AvoidsAny(start))
		later := start.Add(4 * time.Second)
		second.Avoid("w0", start)
		second.Avoid("w1", later)
		require.True(t, second.Avoids("w0", later))
		require.True(t, second.Avoids("w1", later))
		require.False(t, second.Avoids("w2", later))
		require.Equal(t, gang, first.Avoids("w0", later))
		last := start.Add(6 * time.Second)
		require.False(t, second.Avoids("w0", last))
		require.True(t, second.Avoids("w1", last))
		require.True(t, second.AvoidsAny(last))
		require.False(t, second.AvoidsAny(start.Add(time.Minute)))
	}
}

// Guards against attempts that are used up on one worker because each new leader starts the task
// there at once.
func TestRestoreKeepsAvoidedWorkers(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	spec := flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 1}}}
	j := flow.New(spec, 1, start)
	j.BeginRounds(start)
	task := j.Task(flow.Name{Job: "a"})
	task.Run = 1
	restore := func(b []byte, now time.Time) *flow.Task {
		got, err := flow.Restore(spec, b, now)
		require.NoError(t, err)
		return got.Task(task.Name)
	}
	before := j.Record(flow.Version{Term: 1})
	require.NotContains(t, string(before), `"v"`)
	require.False(t, restore(before, start).AvoidsAny(start))

	task.Avoid("w0", start)
	recorded := j.Record(flow.Version{Term: 1})
	later := start.Add(4 * time.Second)
	require.True(t, restore(recorded, later).Avoids("w0", later))
	require.False(t, restore(recorded, later).Avoids("w0", later.Add(time.Second)))
	expired := start.Add(5 * time.Second)
	require.False(t, restore(recorded, expired).AvoidsAny(expired))

	slow := start.Add(-time.Hour)
	got := restore(recorded, slow)
	require.True(t, got.Avoids("w0", slow))
	require.False(t, got.AvoidsAny(slow.Add(5*time.Second)))

	task.DropExpired(expired)
	require.Equal(t, string(before), string(j.Record(flow.Version{Term: 1})))
}
