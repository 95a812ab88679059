package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// Guards against a leader that takes refused orders to a former incarnation for the end of its term: the
// next one refuses them, since its own orders have a greater token, and they may overtake each other.
func TestRefusalsOfOrdersToAFormerIncarnationAreIgnored(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		for _, running := range []bool{false, true} {
			t.Run(fmt.Sprint(after, running), func(t *testing.T) {
				b := bornCellWithEnds(t, 2)
				if !running {
					for _, w := range b.sortedWorkers() {
						w.startDelay = 5 * time.Second
					}
				}
				b.submit("a", "scan", flow.Step{Tasks: 8, Size: scan(1).Size, EstimatedTime: 4 * time.Second})
				b.advance(100 * time.Millisecond)
				var former []string
				for _, id := range []string{"w00", "w01"} {
					former = append(former, b.worker(id).info.Incarnation)
					b.worker(id).startDelay = 0
					b.worker(id).restart(0)
				}
				b.advance(after)
				for _, w := range former {
					for i := range 8 {
						for run := 1; run < 3; run++ {
							n := flow.Name{Job: "a", Index: i}
							b.step(sched.StartReply{Task: n, Run: run, Worker: w, Outcome: sched.Fenced})
							b.step(sched.StopReply{Task: n, Run: run, Worker: w, Outcome: sched.Fenced})
						}
					}
					b.step(sched.HoldReply{Worker: w, Outcome: sched.Fenced, Sent: b.now})
					b.step(sched.HoldReply{Worker: w, Outcome: sched.Fenced, Probe: true, Sent: b.now})
				}
				require.False(t, b.steppedDown)
				b.requireCompletedWithin("a", 40*time.Second)
			})
		}
	}
}
