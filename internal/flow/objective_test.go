package flow_test

import (
	"fmt"
	"time"

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
