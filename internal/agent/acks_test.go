package agent_test

import (
	"context"
	"log/slog"
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
