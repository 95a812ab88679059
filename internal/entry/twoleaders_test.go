package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/peer"
	"pollencroft/internal/standin/users"
)

const longSteps = `{"spec":"text","steps":[{"count":8,"cpu":500,"memMb":256,"estimateMs":60000}]}`

// isolateLeader starts long tasks and then cuts the leader off from the store and the other hosts.
// From then on only it reaches the tasks' worker, and not even it does if closed is set.
func isolateLeader(t *testing.T, lease time.Duration, closed, born bool) (*cluster, *testHost) {
	c := &cluster{t: t, network: newNetwork(), lease: lease, born: born}
	c.startAll(3, 2, time.Minute)
	old := c.leader()
	require.Equal(t, http.StatusOK, c.call(old.cfg.Listen.Caller, http.MethodPost, prefix+jobID(0), longSteps).code)
	at := func() int { return slices.IndexFunc(c.workers, func(w *users.Worker) bool { return w.Running() > 0 }) }
	require.Eventually(t, func() bool { return at() >= 0 }, waitTimeout, 20*time.Millisecond)
	// All starts are confirmed by then.
	time.Sleep(time.Second)
	c.paths[at()].restrict(closed, old.Term())
	c.log.Break(old.cfg.Name, users.Silent)
	c.network.isolate(old.cfg.Name)
	delete(c.hosts, old.cfg.Name)
	t.Cleanup(func() {
		old.Kill()
		old.store.CloseClientConnections()
		old.store.Close()
	})
	return c, old
}

// waitNextLeader waits until one of the other hosts leads.
func (c *cluster) waitNextLeader() *testHost {
	require.Eventually(c.t, func() bool { return c.leader() != nil }, waitTimeout, 10*time.Millisecond)
	return c.leader()
}

// requireNoSecondRun checks for a while that no task runs twice.
func (c *cluster) requireNoSecondRun(d time.Duration) {
	c.t.Helper()
	for began := time.Now(); time.Since(began) < d; time.Sleep(20 * time.Millisecond) {
		require.Empty(c.t, c.checker.Violations(), "after %s", time.Since(began))
	}
}

// Guards against a third term that waits only for the second one's leader to be over, while the first
// one's still renews the leases on workers that no other host reaches.
func TestLeadersBeforeThePreviousOneAreWaitedFor(t *testing.T) {
	const lease = 3 * time.Second
	for name, end := range map[string]func(c *cluster, second *testHost){
		"the second one dies": func(c *cluster, second *testHost) {
			second.Kill()
			c.start(second.cfg.Name)
		},
		"the second one leaves": func(c *cluster, second *testHost) {
			second.Stop()
			delete(c.hosts, second.cfg.Name)
		},
	} {
		for _, born := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, born %t", name, born), func(t *testing.T) {
				t.Parallel()
				c, old := isolateLeader(t, lease, false, born)
				began := time.Now()
				end(c, c.waitNextLeader())
				c.requireNoSecondRun(12*time.Second + lease - time.Since(began))
				require.False(t, old.Leading())
			})
		}
	}
}

// Guards against a term that takes the bounds of an earlier handover, after which another host led, for
// those of the previous leader.
func TestBoundsOfAnEarlierHandoverDoNotCount(t *testing.T) {
	const lease = 3 * time.Second
	for _, born := range []bool{false, true} {
		t.Run(fmt.Sprintf("born %t", born), func(t *testing.T) {
			t.Parallel()
			c, old := isolateLeader(t, lease, false, born)
			m := peer.AnnounceSuccessor{Term: old.Term() - 1, Bounds: map[string]cell.Duration{}}
			for _, w := range c.workers {
				m.Bounds[w.ID], m.Bounds[w.Name()] = cell.Duration{}, cell.Duration{}
			}
			for name, h := range c.hosts {
				m.Successor = name
				h.HandoverBoundsAfter(m)
			}
			began := time.Now()
			c.waitNextLeader()
			c.requireNoSecondRun(12*time.Second + lease - time.Since(began))
		})
	}
}
