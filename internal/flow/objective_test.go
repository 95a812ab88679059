package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/chart"
	"pollencroft/internal/flow"
)

// Two steps may run at the same time and a third waits for both. The job takes as long as the
// longer path through its steps, and may take 1.5 times that plus one second.
func ExampleJob_Objective() {
	q := flow.Queue{Stretch: 1.5, Slack: time.Second}
	s := flow.Spec{Queue: q, Steps: []flow.Step{{EstimatedTime: 2 * time.Second}, {EstimatedTime: 5 * time.Second}, {EstimatedTime: time.Second, After: []int{0, 1}}}}
	j := flow.New(s, 1, time.Time{})
	j.BeginRounds(time.Time{})
	fmt.Println(j.Objective(q))
	for _, st := range j.Rounds[0].Stages {
		fmt.Println(j.RemainingTime(st))
	}
	// Output:
	// 10s
	// 3s
	// 6s
	// 1s
}

// A run that resumed from a checkpoint, or that a former leader started, is shorter than the task as
// far as this leader sees. Measured as if it were whole, it would make expected times too short.
func TestOnlyWholeRunsAreMeasured(t *testing.T) {
	at := time.Unix(1000, 0)
	j := flow.New(flow.Spec{ID: "j", Steps: []flow.Step{{Tasks: 1}}}, 1, at)
	run := j.BeginRounds(at)[0].Stages[0].Tasks[0]
	start := func() {
		run.Worker, run.Run = "w", run.Run+1
		for _, ev := range []chart.Event{flow.Assign, flow.Send, flow.Confirm} {
			require.True(t, run.Transition(ev, at))
		}
	}
	start()
	require.Equal(t, at, run.MeasuredFrom)
	b := j.Record(flow.Version{})
	require.True(t, run.Transition(flow.Gone, at))
	run.Checkpoint = "c"
	start()
	require.Zero(t, run.MeasuredFrom)
	later, err := flow.Restore(j.Spec, b, at)
	require.NoError(t, err)
	inherited := later.Task(run.Name)
	require.True(t, inherited.Transition(flow.Confirm, at))
	require.Zero(t, inherited.MeasuredFrom)
}
