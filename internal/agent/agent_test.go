package agent_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/agent"
	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
)

// fakeOrders records the orders that it gets, and answers holds with a list.
type fakeOrders struct {
	mu  sync.Mutex
	got []sched.Action
	// list is the answer to holds.
	list sched.HoldReply
}

func (o *fakeOrders) note(a sched.Action) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.got = append(o.got, a)
}

func (o *fakeOrders) Start(a sched.Start) sched.Outcome {
	o.note(a)
	return sched.NoCapacity
}

func (o *fakeOrders) Stop(a sched.Stop) sched.Outcome {
	o.note(a)
	return sched.Accepted
}

func (o *fakeOrders) Pace(a sched.Pace) sched.Outcome {
	o.note(a)
	return sched.Accepted
}

func (o *fakeOrders) Hold(a sched.Hold) sched.HoldReply {
	o.note(a)
	return o.list
}

// Orders that pass through an agent arrive at the workers as the core decided them, and the core
// gets the workers' lists as they were sent: a field that is lost on the way would let a lease run
// out, or a task run twice.
func TestOrdersAndResultsPassUnchanged(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		task := flow.Name{Job: "a", Round: 1, Step: 2, Index: 3}
		orders := &fakeOrders{list: sched.HoldReply{
			Outcome: sched.Accepted, Clock: time.UnixMilli(123_456),
			Running: []sched.RunStatus{{Task: task, Run: 4, Checkpoint: "c", Percent: 7, Metric: 9}},
			Ended:   []sched.RunEnd{{Number: 5, Task: task, Run: 6, How: sched.EndDone, Checkpoint: "d"}}, MoreEnds: true,
		}}
		var wg sync.WaitGroup
		var messages int
		ctx, stop := context.WithCancel(t.Context())
		g := agent.New(ctx, orders, func(_ context.Context, leader string, _ netip.AddrPort, m peer.OrderResults) error {
			require.Equal(t, "lead", leader)
			require.EqualValues(t, 7, m.Term)
			messages++
			f.Results(m)
			return nil
		}, slog.New(slog.DiscardHandler), &wg)
		f.answer = func(_ context.Context, _ string, m peer.Orders) error {
			g.Accept(m)
			return nil
		}
		f.addHall()
		to := address(0)
		sent := []sched.Action{
			sched.Start{To: to, Token: 7, Task: task, Run: 2, Text: "text", Checkpoint: "c", Ticket: "t", Deadline: time.UnixMilli(2000)},
			sched.Stop{To: to, Token: 9, Task: task, Run: 2},
			sched.Hold{To: to, Token: 7, Deadline: time.UnixMilli(3000), AckedEnd: 11, Wait: 600 * time.Millisecond, Probe: true},
			sched.Pace{To: to, Token: 7, Task: task, Run: 2, Percent: 40},
		}
		at := time.Now()
		for _, a := range sent {
			require.True(t, f.Send(a))
		}
		f.Flush()
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		require.ElementsMatch(t, sent, orders.got)
		want := orders.list
		want.Worker, want.Probe, want.AckedEnd, want.Sent, want.Received = to.Incarnation, true, 11, at, at.Add(10*time.Millisecond)
		require.ElementsMatch(t, []sched.Event{
			sched.StartReply{Task: task, Run: 2, Worker: to.Incarnation, Outcome: sched.NoCapacity},
			sched.StopReply{Task: task, Run: 2, Worker: to.Incarnation, Outcome: sched.Accepted},
			want,
		}, f.applied())
		require.Equal(t, 1, messages, "results travel together")
		stop()
		wg.Wait()
	})
}
