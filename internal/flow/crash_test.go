package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// Guards against losing crash counts when a new leader takes over.
func TestRestoreKeepsCrashSuspicions(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	spec := flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 2, Gang: true}}}
	j := flow.New(spec, 7, now)
	j.BeginRounds(now)
	first, second := j.Task(flow.Name{Job: "a"}), j.Task(flow.Name{Job: "a", Index: 1})
	first.Run, second.Run = 3, 3
	before := j.Record(flow.Version{Term: 1})

	require.True(t, first.MarkLost("w1"))
	require.False(t, first.MarkLost("w1"))
	require.True(t, first.MarkCrashed("w1"))
	require.False(t, first.MarkCrashed("w1"))
	require.False(t, first.MarkLost("w1"))
	require.False(t, first.MarkLost("w2"), "the same run")
	first.Run++
	require.True(t, first.MarkLost("w2"))
	require.True(t, second.MarkLost("w3"))
	require.Equal(t, 2, second.CrashSuspicions(), "a gang has the highest count of its members")

	got, err := flow.Restore(spec, j.Record(flow.Version{Term: 1}), now)
	require.NoError(t, err)
	task := got.Task(first.Name)
	require.Equal(t, []string{"w1"}, task.Crashed)
	require.Equal(t, []string{"w2"}, task.Lost)
	require.Equal(t, 2, got.Task(second.Name).CrashSuspicions())
	require.False(t, task.MarkLost("w4"), "the same run")
	require.True(t, task.UnmarkLost("w2"))
	require.False(t, task.UnmarkLost("w2"))
	require.Equal(t, 1, task.CrashSuspicions())

	old, err := flow.Restore(spec, before, now)
	require.NoError(t, err)
	require.Zero(t, old.Task(first.Name).CrashSuspicions())
}
