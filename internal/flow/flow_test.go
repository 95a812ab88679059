package flow_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/flow"
)

func ExampleName_String() {
	n := flow.Name{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}
	fmt.Println(n, n.StepName())
	// Output: 5c0e7a21d94b36f8.0.1.17 5c0e7a21d94b36f8.0.1
}

func TestNameRoundTrip(t *testing.T) {
	n := flow.Name{Job: "a", Round: 3, Step: 1, Index: 17}
	got, ok := flow.ParseName(n.String())
	require.True(t, ok)
	require.Equal(t, n, got)
	for _, bad := range []string{"", "a", "a.0.1", "a.0.1.x", "a.0.1.2.3", "a.0.-1.2"} {
		_, ok := flow.ParseName(bad)
		require.False(t, ok, bad)
	}
}

// The rounds of a repeated job begin when they are due and not earlier, may overlap, and the
// job completes after the last one.
func TestRoundsBeginWhenTheyAreDue(t *testing.T) {
	now := time.Unix(100, 0)
	spec := flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 1}}, Repeat: flow.Repeat{Count: 3, First: now.Add(time.Second), Every: time.Second}}
	j := flow.New(spec, 1, now)
	require.Empty(t, j.BeginRounds(now.Add(999*time.Millisecond)))
	require.Len(t, j.BeginRounds(now.Add(2*time.Second)), 2)
	finish := func(round int) {
		task := j.Task(flow.Name{Job: "a", Round: round})
		require.True(t, task.Transition(flow.Finish, now))
		task.Step.Done++
		j.CloseRounds(now)
	}
	finish(0)
	finish(1)
	require.False(t, j.State.Final())
	require.Len(t, j.BeginRounds(now.Add(3*time.Second)), 1)
	finish(2)
	require.Equal(t, flow.Completed, j.State)
}

// A record holds all that a new leader must know: which tasks are done, where runs may exist,
// how often each task failed, and the newest checkpoints.
func TestRestoreKeepsProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		spec := flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 3}, {Tasks: 2, After: []int{0}}}}
		j := flow.New(spec, 7, now)
		j.BeginRounds(now)
		j.Tasks(func(task *flow.Task) {
			switch rapid.IntRange(0, 2).Draw(t, "state") {
			case 1:
				task.Run, task.Worker, task.Checkpoint = 2, "w", "cp"
				task.Transition(flow.Assign, now)
			case 2:
				task.Run, task.Failures = 1, 1
				task.Transition(flow.Finish, now)
				task.Step.Done++
			}
		})
		b, err := json.Marshal(spec)
		require.NoError(t, err)
		var again flow.Spec
		require.NoError(t, json.Unmarshal(b, &again))
		got, err := flow.Restore(again, j.Record(flow.Version{Term: 3, Append: 4}), now)
		require.NoError(t, err)
		require.Equal(t, j.Number, got.Number)
		j.Tasks(func(task *flow.Task) {
			o := got.Task(task.Name)
			require.Equal(t, []any{task.Run, task.Failures}, []any{o.Run, o.Failures})
			switch task.State {
			case flow.Assigned:
				require.Equal(t, flow.Inherited, o.State)
				require.Equal(t, []string{"w", "cp"}, []string{o.Worker, o.Checkpoint})
			default:
				require.Equal(t, task.State, o.State)
			}
		})
	})
}

func TestUnreadableRecordIsAnError(t *testing.T) {
	_, err := flow.Restore(flow.Spec{ID: "a"}, []byte("{"), time.Time{})
	require.ErrorAs(t, err, new(*flow.RecordError))
}

// Nine in ten jobs that a new leader takes over have ended. Their records are short, and such
// a job is restored without its spec. A job of which anything may still run keeps both,
// because the spec says how much capacity it uses.
func TestRestoreEndedNeedsNoSpec(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	end := func(step flow.Step, how func(j *flow.Job, t *flow.Task)) ([]byte, bool) {
		j := flow.New(flow.Spec{ID: "a", Steps: []flow.Step{step}}, 7, now)
		j.BeginRounds(now)
		task := j.Task(flow.Name{Job: "a"})
		task.Worker, task.Run = "w", 1
		require.True(t, task.Transition(flow.Assign, now))
		require.True(t, task.Transition(flow.Send, now))
		how(j, task)
		b := j.Record(flow.Version{Term: 3, Append: 4})
		got, ok := flow.RestoreEnded("a", b)
		if ok {
			require.Equal(t, j.State, got.State)
			require.Equal(t, j.State, got.Published)
			require.Equal(t, int64(7), got.Number)
			require.Equal(t, j.Ended, got.Ended)
		}
		return b, ok
	}
	done := func(j *flow.Job, task *flow.Task) {
		require.True(t, task.Transition(flow.Finish, now))
		task.Step.Done++
		j.CloseRounds(now)
	}
	b, ok := end(flow.Step{Tasks: 1}, done)
	require.True(t, ok)
	require.Less(t, len(b), 100, string(b))
	_, ok = end(flow.Step{Tasks: 1, AllowCopies: true}, done)
	require.False(t, ok, "a copy of its task may still run")
	_, ok = end(flow.Step{Tasks: 1}, func(j *flow.Job, _ *flow.Task) { j.State, j.Ended = flow.Cancelled, now })
	require.False(t, ok, "a run of its task must still be stopped")
	_, ok = end(flow.Step{Tasks: 1}, func(*flow.Job, *flow.Task) {})
	require.False(t, ok, "the job has not ended")
}

// While a partition of the store was down, the leader wrote to another one, so both hold a
// record of the job. The record that was written last is valid, in whichever order they are
// read.
func TestNewerRecordIsTheLastWritten(t *testing.T) {
	j := flow.New(flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 1}}}, 7, time.UnixMilli(1))
	at := func(term, n int64) []byte { return j.Record(flow.Version{Term: term, Append: n}) }
	for _, pair := range [][2][]byte{{at(3, 9), at(4, 1)}, {at(4, 1), at(4, 2)}, {[]byte("{"), at(0, 0)}, {at(9, 9), at(10, 0)}} {
		require.Equal(t, pair[1], flow.NewerRecord(pair[0], pair[1]))
		require.Equal(t, pair[1], flow.NewerRecord(pair[1], pair[0]))
	}
}

// Guards against a job whose repetitions are all due and fill the memory of every leader.
func TestRoundsThatAreDueBeginAsOthersEnd(t *testing.T) {
	const tasks, most = 100, 100
	spec := flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: tasks}}, Repeat: flow.Repeat{Count: 1_000_000_000, First: time.Unix(1, 0), Every: time.Millisecond}}
	require.NoError(t, spec.Check())
	now := time.Unix(1_000_000_000, 0)
	j := flow.New(spec, 1, now)
	require.Len(t, j.BeginRounds(now), most)
	require.Empty(t, j.BeginRounds(now))
	for _, n := range []int{3, 7} {
		for _, task := range j.Rounds[n].Stages[0].Tasks {
			require.True(t, task.Transition(flow.Finish, now))
			task.Step.Done++
		}
	}
	j.CloseRounds(now)
	require.Len(t, j.BeginRounds(now), 2)
	require.Equal(t, most+2, j.NextRound)
}

// Guards against a late repetition that begins at once because its time is out of range.
func TestDueTimesOutOfRangeAreLate(t *testing.T) {
	for _, every := range []time.Duration{time.Millisecond, time.Second, 9 * 365 * 24 * time.Hour} {
		j := flow.New(flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 1}}, Repeat: flow.Repeat{Count: 1_000_000_000, First: time.Unix(1, 0), Every: every}}, 1, time.Unix(1, 0))
		last := time.Time{}
		for n := 1; n < 1_000_000_000; n *= 10 {
			require.False(t, j.Due(n).Before(last), "%s, %d", every, n)
			last = j.Due(n)
		}
	}
}
