package agent_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/agent"
	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/platform"
)

// fixture is a dispatcher whose messages are answered by the test.
type fixture struct {
	*agent.Dispatcher
	mu sync.Mutex
	// asked are the messages by agent, direct the orders that were sent without an agent, events
	// those that the core got.
	asked  map[string][]peer.Orders
	direct []sched.Action
	events []sched.Event
	counts map[string]int
	// answer answers a message; nil confirms all.
	answer func(ctx context.Context, name string, m peer.Orders) error
	// skew is added to the clock.
	skew time.Duration
	// readUntil is when the leader has read all confirmations so far, see delay.
	readUntil time.Time
}

// run calls play with a dispatcher of a leader with 0.8 of a core, in virtual time.
func run(t *testing.T, play func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{asked: map[string][]peer.Orders{}, counts: map[string]int{}}
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		f.Dispatcher = agent.NewDispatcher(ctx, agent.Leader{
			Name: "lead", Power: 0.8, WorkersPerCore: agent.DefaultWorkersPerCore, Timeout: 500 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
			Orders: func() peer.Orders { return peer.Orders{From: "lead", Term: 7} },
			Ask:    f.ask,
			Direct: func(a sched.Action) { f.with(func() { f.direct = append(f.direct, a) }) },
			Apply:  func(all ...sched.Event) { f.with(func() { f.events = append(f.events, all...) }) },
			Count:  func(name string) { f.with(func() { f.counts[name]++ }) },
			Now: func() time.Time {
				f.mu.Lock()
				defer f.mu.Unlock()
				return time.Now().Add(f.skew)
			},
		}, &wg)
		wg.Go(f.Run)
		play(t, f)
		stop()
		wg.Wait()
	})
}

func (f *fixture) with(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fixture) ask(ctx context.Context, name string, m peer.Orders) error {
	var answer func(ctx context.Context, name string, m peer.Orders) error
	f.with(func() {
		f.asked[name] = append(f.asked[name], m)
		answer = f.answer
	})
	if answer == nil {
		return nil
	}
	return answer(ctx, name, m)
}

// applied returns the events that the core got, and sentDirectly the orders without an agent.
func (f *fixture) applied() []sched.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events)
}

func (f *fixture) sentDirectly() []sched.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.direct)
}

// addHall adds 1,100 workers in five failure domains, each with three strong hosts and some weak
// ones.
func (f *fixture) addHall() {
	domains := map[string]string{}
	for i := range 1100 {
		domains[workerName(i)] = fmt.Sprintf("d%d", i%5)
	}
	var hosts []agent.Host
	for i := range 45 {
		power := 0.192
		if i < 15 {
			power = 0.8
		}
		hosts = append(hosts, agent.Host{Name: fmt.Sprintf("h%02d", i), Domain: fmt.Sprintf("d%d", i%5), Power: power})
	}
	f.SetWorkers(domains)
	f.SetHosts(hosts)
}

func workerName(i int) string { return fmt.Sprintf("w%04d", i) }

func address(i int) sched.Address {
	return sched.Address{Incarnation: workerName(i), Addr: netip.MustParseAddrPort("10.0.0.1:80")}
}

func start(i int) sched.Start {
	return sched.Start{To: address(i), Token: 7, Task: flow.Name{Job: fmt.Sprintf("job%d", i), Index: i}, Run: 1, Text: "text", Deadline: time.Now().Add(4 * time.Second)}
}

func hold(i int) sched.Hold {
	return sched.Hold{To: address(i), Token: 7, Deadline: time.Now().Add(8 * time.Second), Wait: 600 * time.Millisecond}
}

func (f *fixture) orders() []peer.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []peer.Order
	for _, batches := range f.asked {
		for _, m := range batches {
			all = append(all, m.All...)
		}
	}
	return all
}

// A peak of 2,000 starts a second on 1,100 workers, with the holds that go with them: requests to
// workers used up the leader's processor, and it fell behind for good. Each order that the leader
// sends in a message of its own would cost it as much as the request to the worker.
func TestPeakOfStartsTakesFewMessagesOfTheLeader(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		orders := 0
		for pass := range 50 {
			for i := range 40 {
				require.True(t, f.Send(start((pass*40+i)%1100)))
			}
			f.Flush()
			for i := range 54 {
				time.Sleep(20 * time.Millisecond / 54)
				require.True(t, f.Send(hold((pass*54+i)%1100)))
				f.Flush()
			}
			orders += 94
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		require.Len(t, f.orders(), orders)
		require.Empty(t, f.sentDirectly())
		messages := 0
		for name, batches := range f.asked {
			messages += len(batches)
			require.LessOrEqual(t, len(batches), 200, "messages a second to %s", name)
		}
		require.LessOrEqual(t, messages, orders/5)
		t.Logf("%d orders in %d messages to %d agents", orders, messages, len(f.asked))
	})
}

// Orders go through hosts of the worker's own failure domain, so that the loss of one domain takes
// no orders for others with it.
func TestAgentsAreInTheWorkersDomain(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		for i := range 1100 {
			require.True(t, f.Send(hold(i)))
		}
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		require.Len(t, f.asked, 5)
		for name, batches := range f.asked {
			for _, m := range batches {
				for _, o := range m.All {
					var n, w int
					_, err := fmt.Sscanf(name+" "+o.Worker, "h%d w%d", &n, &w)
					require.NoError(t, err)
					require.Equal(t, n%5, w%5)
				}
			}
		}
	})
}

// A leader that can send all orders itself saves the additional hop.
func TestSmallCellsHaveNoAgents(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		f.SetWorkers(map[string]string{workerName(0): "d0", workerName(1): "d1"})
		require.False(t, f.Send(hold(0)))
	})
}

// An agent stops confirming orders, and nobody knows which of them it has carried out. A start that
// was sent once more could run a task that has already ended a second time.
func TestSilentAgentsStartsAreLostAndItsOtherOrdersSentDirectly(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		f.answer = func(ctx context.Context, _ string, _ peer.Orders) error {
			<-ctx.Done()
			return &peer.NoAnswerError{Cause: ctx.Err()}
		}
		stop := sched.Stop{To: address(0), Token: 7, Task: flow.Name{Job: "old"}, Run: 3}
		for _, a := range []sched.Action{start(0), hold(0), stop} {
			require.True(t, f.Send(a))
		}
		f.Flush()
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		require.Len(t, f.sentDirectly(), 2)
		require.Equal(t, []sched.Event{sched.StartReply{Task: start(0).Task, Run: 1, Worker: workerName(0), Outcome: sched.Unanswered}}, f.applied())
		// Late results must not be applied beside the loss of the orders.
		var late peer.OrderResults
		for _, o := range f.orders() {
			late.All = append(late.All, peer.OrderResult{ID: o.ID})
		}
		f.Results(late)
		require.Len(t, f.applied(), 1)
	})
}

// Hosts of an older build, or hosts that are stopping, refuse orders. They have carried out none, so
// all of them are sent another way, starts too, and directly in the end.
func TestRefusedOrdersAreSentAnotherWay(t *testing.T) {
	for _, err := range []error{&peer.RefusedError{Name: "h00", Reason: "message is not for this host"}, errors.Wrap(&peer.UnreachableError{Name: "h00"}, "ask")} {
		run(t, func(t *testing.T, f *fixture) {
			f.addHall()
			f.answer = func(context.Context, string, peer.Orders) error { return err }
			require.True(t, f.Send(start(0)))
			require.True(t, f.Send(hold(0)))
			f.Flush()
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			require.Len(t, f.sentDirectly(), 2)
			require.Empty(t, f.applied())
		})
	}
}

// An agent confirms orders, and its process ends before it sends the results. Waiting for their
// timeouts would hide the ends of all runs on its workers for more than a second.
func TestOrdersOfADeadAgentAreGivenUpAtOnce(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		require.True(t, f.Send(start(0)))
		require.True(t, f.Send(hold(5)))
		f.Flush()
		synctest.Wait()
		dead := f.AgentOf(workerName(0))
		require.Equal(t, dead, f.AgentOf(workerName(5)))
		f.with(func() {
			f.answer = func(_ context.Context, name string, _ peer.Orders) error {
				if name == dead {
					return &peer.UnreachableError{Name: name}
				}
				return nil
			}
		})
		require.True(t, f.Send(start(10)))
		f.Flush()
		synctest.Wait()
		require.Equal(t, []sched.Event{sched.StartReply{Task: start(0).Task, Run: 1, Worker: workerName(0), Outcome: sched.Unanswered}}, f.applied())
		require.Len(t, f.sentDirectly(), 1, "the hold")
		next := f.AgentOf(workerName(10))
		require.NotEqual(t, dead, next)
		require.Len(t, f.asked[next], 1, "the start that was certainly not sent")
	})
}

// An agent that fails is replaced by another host of its domain, and used again later. Without a
// pause each order would wait for the same dead host; without a return a restarted host would
// never be used again.
func TestFailedAgentIsReplacedAndReturns(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		first := f.Agents()
		require.Len(t, first, 5)
		dead := first[0].Name
		f.answer = func(_ context.Context, name string, _ peer.Orders) error {
			if name == dead {
				return &peer.UnreachableError{Name: name}
			}
			return nil
		}
		for i := range 5 {
			require.True(t, f.Send(hold(i)))
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		require.NotContains(t, f.Agents(), first[0])
		require.Len(t, f.Agents(), 5)
		f.with(func() { f.answer = nil })
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, first, f.Agents())
	})
}

// The leader stands still for half a second, for want of processor time. The confirmations that
// arrived meanwhile are read late; if its agents counted as dead, it would have to send all orders
// itself and fall behind even more.
func TestLeaderThatStoodStillKeepsItsAgents(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		f.answer = func(ctx context.Context, _ string, _ peer.Orders) error {
			time.Sleep(260 * time.Millisecond)
			return ctx.Err()
		}
		agents := f.Agents()
		require.True(t, f.Send(start(0)))
		f.Flush()
		time.Sleep(100 * time.Millisecond)
		f.with(func() { f.skew = 500 * time.Millisecond })
		time.Sleep(180 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, agents, f.Agents())
		require.Empty(t, f.sentDirectly())
		require.Empty(t, f.applied())
	})
}

// Guards against a list of ends that is cut off and taken for complete: an agent of an older build does
// not report that there are more.
func TestFullListOfEndsFromAnOlderAgentMayBeCutOff(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		for i, n := range []int{platform.MaxListedEnds - 1, platform.MaxListedEnds} {
			require.True(t, f.Send(hold(1)))
			f.Flush()
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
			all := f.orders()
			r := peer.OrderResult{ID: all[len(all)-1].ID}
			for k := range n {
				r.Ended = append(r.Ended, peer.EndedRun{Number: int64(k + 1), Task: flow.Name{Job: "a", Index: k}.String(), Run: 1})
			}
			f.Results(peer.OrderResults{Term: 7, All: []peer.OrderResult{r}})
			require.Len(t, f.applied(), i+1)
			require.Equal(t, n == platform.MaxListedEnds, f.applied()[i].(sched.HoldReply).MoreEnds)
		}
	})
}

// An agent confirms orders and is lost before it sends the results. The core must learn that the
// orders have no answer, or it would wait for them forever.
func TestOrdersWithoutAResultAreReportedAsUnanswered(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		require.True(t, f.Send(start(0)))
		require.True(t, f.Send(hold(1)))
		f.Flush()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, f.applied(), 1)
		require.Equal(t, sched.Unanswered, f.applied()[0].(sched.StartReply).Outcome)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, f.applied(), 2)
		require.Equal(t, sched.Unanswered, f.applied()[1].(sched.HoldReply).Outcome)
	})
}
