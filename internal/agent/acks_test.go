package agent_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
)

// traffic sends a start and a hold to each failure domain every 20 ms.
func (f *fixture) traffic(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range 5 {
			for _, a := range []sched.Action{start(i), hold(i)} {
				if !f.Send(a) {
					f.with(func() { f.direct = append(f.direct, a) })
				}
			}
		}
		f.Flush()
	}
}

// delays returns the longest lag and the slowest confirmation since the last call.
func (f *fixture) delays(t *testing.T) (lag, ack time.Duration) {
	attrs := f.TakeDelays()
	require.Equal(t, []string{"lag", "ack"}, []string{attrs[0].Key, attrs[1].Key})
	require.Equal(t, []slog.Kind{slog.KindDuration, slog.KindDuration}, []slog.Kind{attrs[0].Value.Kind(), attrs[1].Value.Kind()})
	return attrs[0].Value.Duration(), attrs[1].Value.Duration()
}

// Guards against delays of which the leader's log does not tell whether the leader or an agent causes them.
func TestLagIsTheDelayOfAllAgents(t *testing.T) {
	for _, tc := range []struct {
		name           string
		slow, others   time.Duration
		minLag, maxLag time.Duration
	}{
		{"one slow agent", 200 * time.Millisecond, time.Millisecond, 0, 30 * time.Millisecond},
		{"slow leader", 200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond, 230 * time.Millisecond},
		{"prompt", time.Millisecond, time.Millisecond, 0, 30 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				f.addHall()
				f.answer = func(_ context.Context, name string, _ peer.Orders) error {
					if name == f.AgentOf(workerName(0)) {
						time.Sleep(tc.slow)
						return nil
					}
					time.Sleep(tc.others)
					return nil
				}
				f.traffic(2 * time.Second)
				lag, ack := f.delays(t)
				require.GreaterOrEqual(t, lag, tc.minLag)
				require.LessOrEqual(t, lag, tc.maxLag)
				require.Equal(t, tc.slow, ack)
				time.Sleep(time.Second)
				synctest.Wait()
				f.delays(t)
				lag, ack = f.delays(t)
				require.Zero(t, lag, "nothing is sent")
				require.Zero(t, ack)
			})
		})
	}
}

// delay makes the confirmations of all agents late by d, in their order, as they are for a leader that
// is short of processor time, and those of some agents absent.
func (f *fixture) delay(d time.Duration, silent ...string) {
	f.with(func() {
		f.answer = func(ctx context.Context, name string, m peer.Orders) error {
			if slices.Contains(silent, name) {
				<-ctx.Done()
				return &peer.NoAnswerError{Name: name, Cause: ctx.Err()}
			}
			var wait time.Duration
			f.with(func() {
				if at := time.Now().Add(d); at.After(f.readUntil) {
					f.readUntil = at
				}
				wait = time.Until(f.readUntil)
			})
			time.Sleep(wait)
			if ctx.Err() == nil {
				f.accept(m)
			}
			return ctx.Err()
		}
	})
}

// accept reports the starts of a message as accepted.
func (f *fixture) accept(m peer.Orders) {
	var r peer.OrderResults
	for _, o := range m.All {
		if o.Kind == peer.StartOrder {
			r.All = append(r.All, peer.OrderResult{ID: o.ID, Outcome: int(sched.Accepted)})
		}
	}
	f.Results(r)
}

// unanswered counts the starts that the core took for lost.
func (f *fixture) unanswered() int {
	n := 0
	for _, ev := range f.applied() {
		if r, ok := ev.(sched.StartReply); ok && r.Outcome == sched.Unanswered {
			n++
		}
	}
	return n
}

// Guards against a leader that takes its own delay for that of its agents: it suspended all of them,
// gave up their starts and sent all orders itself, for which it had even less time.
func TestLateLeaderKeepsItsAgents(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				f.addHall()
				agents := f.Agents()
				f.delay(0)
				f.traffic(time.Second)
				f.delay(late)
				f.traffic(3 * time.Second)
				f.delay(0)
				f.traffic(time.Second)
				require.Equal(t, agents, f.Agents())
				require.Zero(t, len(f.sentDirectly()), "orders without an agent")
				require.Zero(t, f.unanswered(), "starts that count as lost")
			})
		})
	}
}

// Guards against a dead agent that is excused by the leader's own delay.
func TestSilentAgentOfALateLeaderIsReplaced(t *testing.T) {
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				f.addHall()
				agents := f.Agents()
				f.delay(late)
				f.traffic(2 * time.Second)
				f.delay(late, agents[0].Name)
				f.traffic(late + 400*time.Millisecond)
				require.NotContains(t, f.Agents(), agents[0])
				require.Subset(t, f.Agents(), agents[1:])
				require.Len(t, f.Agents(), 5)
			})
		})
	}
}

// Guards against a cut that is taken for the leader's own delay: the agents of all other failure
// domains are silent, and one that is not shows that the leader hears.
func TestLeaderOfACutDomainReplacesTheAgentsOutsideAtOnce(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		agents := f.Agents()
		f.traffic(time.Second)
		var outside []string
		for _, h := range agents[1:] {
			outside = append(outside, h.Name)
		}
		f.delay(time.Millisecond, outside...)
		f.traffic(400 * time.Millisecond)
		require.Contains(t, f.Agents(), agents[0])
		for _, h := range agents[1:] {
			require.NotContains(t, f.Agents(), h)
		}
	})
}

// Guards against suspended agents of a leader that is short of processor time and reads confirmations
// in another order than that in which it has sent the messages.
func TestLateLeaderMayReadConfirmationsInAnyOrder(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		agents := f.Agents()
		n := 0
		f.answer = func(ctx context.Context, _ string, m peer.Orders) error {
			var wait time.Duration
			f.with(func() {
				n++
				wait = time.Duration(n*7919%600) * time.Millisecond
			})
			time.Sleep(wait)
			if ctx.Err() == nil {
				f.accept(m)
			}
			return ctx.Err()
		}
		f.traffic(5 * time.Second)
		require.Equal(t, agents, f.Agents())
		require.Zero(t, f.unanswered(), "starts that count as lost")
	})
}

// Guards against agents that are suspended for the leader's delay, whatever its course, and against a dead
// agent that is kept because of it.
func TestOnlyTheDeadAgentIsReplacedHoweverLateTheLeaderIs(t *testing.T) {
	for seed := range uint64(40) {
		run(t, func(t *testing.T, f *fixture) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			f.addHall()
			agents := f.Agents()
			dead := ""
			for phase := range 8 {
				if phase == 5 {
					dead = agents[rnd.IntN(len(agents))].Name
				}
				f.delay(time.Duration(rnd.IntN(900))*time.Millisecond, dead)
				f.traffic(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
				for _, h := range agents {
					require.True(t, h.Name == dead || slices.Contains(f.Agents(), h), "seed %d phase %d: %s", seed, phase, h.Name)
				}
			}
			f.delay(0, dead)
			f.traffic(1500 * time.Millisecond)
			for _, h := range agents {
				require.Equal(t, h.Name != dead, slices.Contains(f.Agents(), h), "seed %d: %s", seed, h.Name)
			}
		})
	}
}

// Guards against a second suspension of an agent that answers again, for messages from before the first one.
func TestAgentThatReturnsIsNotSuspendedForOlderMessages(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.addHall()
		agents := f.Agents()
		f.delay(time.Millisecond, agents[0].Name)
		f.traffic(300 * time.Millisecond)
		require.NotContains(t, f.Agents(), agents[0])
		f.delay(time.Millisecond)
		f.traffic(1100 * time.Millisecond)
		require.Contains(t, f.Agents(), agents[0])
		for range 20 {
			f.traffic(100 * time.Millisecond)
			require.Contains(t, f.Agents(), agents[0])
		}
	})
}
