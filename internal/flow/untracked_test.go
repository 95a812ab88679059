package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/flow"
)

// Guards against runs that a leader no longer tracks and that its successor does not know of.
func TestRecordNamesUntrackedRuns(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	rapid.Check(t, func(t *rapid.T) {
		spec := flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 3}, {Tasks: 2}}}
		j := flow.New(spec, 7, now)
		j.BeginRounds(now)
		for range rapid.IntRange(0, 12).Draw(t, "changes") {
			r := flow.UntrackedRun{
				Task: flow.Name{Job: "a", Round: rapid.IntRange(0, 2).Draw(t, "round"), Step: rapid.IntRange(0, 1).Draw(t, "step"), Index: rapid.IntRange(0, 2).Draw(t, "index")},
				Run:  rapid.IntRange(1, 3).Draw(t, "run"), Worker: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "worker"),
			}
			if rapid.Bool().Draw(t, "add") {
				j.AddUntracked(r)
				require.False(t, j.AddUntracked(r), "once only")
				continue
			}
			j.RemoveUntracked(r)
			require.False(t, j.RemoveUntracked(r))
		}
		if rapid.Bool().Draw(t, "ended") {
			j.End(flow.Cancelled, now)
			clear(j.Rounds)
		}
		b := j.Record(flow.Version{Term: 3, Append: 4})
		got, err := flow.Restore(spec, b, now)
		require.NoError(t, err)
		require.ElementsMatch(t, j.Untracked, got.Untracked)
		_, ended := flow.RestoreEnded("a", b)
		require.Equal(t, j.State.Final() && len(j.Untracked) == 0, ended, "the size of an untracked run is in the spec")
	})
}

// Guards against records that grow although no run is untracked, and against records of older builds
// or of a longer spec that can't be read.
func TestRecordWithoutUntrackedRunsIsAsBefore(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	spec := flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 2, AllowCopies: true}}}
	j := flow.New(spec, 7, now)
	j.BeginRounds(now)
	task := j.Task(flow.Name{Job: "a"})
	task.Worker, task.Run = "w", 1
	require.True(t, task.Transition(flow.Assign, now))
	const older = `{"t":3,"a":4,"s":"queued","b":1000000,"n":7,"x":1,"r":[{"s":[[{"i":0,"r":1,"w":"w"}]]}]}`
	require.Equal(t, older, string(j.Record(flow.Version{Term: 3, Append: 4})))
	got, err := flow.Restore(spec, []byte(older), now)
	require.NoError(t, err)
	require.Empty(t, got.Untracked)
	r := flow.UntrackedRun{Task: flow.Name{Job: "a", Index: 1}, Run: 2, Worker: "v"}
	require.True(t, j.AddUntracked(r))
	b := j.Record(flow.Version{Term: 3, Append: 4})
	require.Equal(t, older[:len(older)-1]+`,"u":{"v":[{"i":1,"r":2}]}}`, string(b))
	require.True(t, j.RemoveUntracked(r))
	require.Equal(t, older, string(j.Record(flow.Version{Term: 3, Append: 4})))
	got, err = flow.Restore(spec, []byte(older[:len(older)-1]+`,"u":{"v":[{"s":1,"r":2},{"s":-1,"r":2},{"i":1,"r":2}]}}`), now)
	require.NoError(t, err)
	require.Equal(t, []flow.UntrackedRun{r}, got.Untracked, "steps that the job does not have are skipped")
}
