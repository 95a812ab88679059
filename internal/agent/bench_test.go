package agent_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/peer"
)

// Measures the leader's cost of the messages for one second of a peak: 2,100 starts and 2,600
// holds, with four runs on each worker.
func BenchmarkASecondOfMessages(b *testing.B) {
	results := peer.OrderResults{Term: 7}
	var orders peer.Orders
	for i := range 47 {
		name := fmt.Sprintf("00%014x.0.1.%d", i, i)
		o := peer.Order{ID: int64(i), Kind: peer.HoldOrder, Worker: "w-0123456789abcdef", Addr: address(i).Addr, Deadline: 1_790_000_000_000, Wait: 600, AckedEnd: 17}
		r := peer.OrderResult{ID: int64(i), Clock: 1_790_000_000_000}
		if i < 21 {
			o = peer.Order{ID: int64(i), Kind: peer.StartOrder, Worker: o.Worker, Addr: o.Addr, Task: name, Run: 1, Ticket: "0123456789abcdef", Deadline: 1_790_000_000_000}
		} else {
			for range 4 {
				r.Running = append(r.Running, peer.ListedRun{Task: name, Run: 1, Percent: 40, Metric: 14_000})
			}
			r.Ended = []peer.EndedRun{{Number: 17, Task: name, Run: 1, How: 1}}
		}
		results.All = append(results.All, r)
		orders.All = append(orders.All, o)
	}
	text, err := json.Marshal(results)
	require.NoError(b, err)
	b.Run("orders", func(b *testing.B) {
		for b.Loop() {
			for range 100 {
				_, _ = json.Marshal(orders)
			}
		}
	})
	b.Run("results", func(b *testing.B) {
		b.SetBytes(int64(100 * len(text)))
		for b.Loop() {
			for range 100 {
				var got peer.OrderResults
				_ = json.Unmarshal(text, &got)
			}
		}
	})
}
