package flow_test

import (
	"fmt"
	"time"

	"pollencroft/internal/flow"
)

// Two steps may run beside each other and a third one waits for both: the job takes
// as long as the longer way through them, and may take 1.5 times that and a second.
func ExampleSpec_Spare() {
	s := flow.Spec{
		Queue: flow.Queue{Stretch: 1.5, Slack: time.Second},
		Steps: []flow.Step{{Time: 2 * time.Second}, {Time: 5 * time.Second}, {Time: time.Second, After: []int{0, 1}}},
	}
	fmt.Println(s.Chain(), s.Objective(), s.Spare())
	// Output: 6s 10s 4s
}
