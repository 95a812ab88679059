package entry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newAgentCluster starts a cluster in which the leader sends most orders through the other hosts:
// each of three failure domains has two hosts and a third of the workers.
func newAgentCluster(t *testing.T, workers int, work time.Duration) *cluster {
	c := startCluster(t, 6, workers, work, 1)
	c.waitForLog("agent: chosen.")
	return c
}

// firstAgent returns a host through which the leader sends the orders for a worker.
func (c *cluster) firstAgent() *testHost {
	var found *testHost
	require.Eventually(c.t, func() bool {
		for _, w := range c.workers {
			if name := c.leader().AgentOf(w.ID); name != "" {
				found = c.hosts[name]
			}
		}
		return found != nil
	}, waitTimeout, 20*time.Millisecond)
	return found
}

func (c *cluster) requireRunsOnce() {
	require.Empty(c.t, c.checker.Violations())
	for task, n := range c.checker.Runs() {
		require.Equal(c.t, 1, n, task)
	}
}

func TestAgentsCarryOutOrders(t *testing.T) {
	c := newAgentCluster(t, 9, 50*time.Millisecond)
	f := c.follower()
	for n := range 30 {
		require.Equal(t, http.StatusOK, c.submit(f, n).code)
	}
	c.waitCompleted(f, 30)
	require.Empty(t, c.checker.Violations())
	require.Positive(t, c.leader().Counter("orders.sent"))
}

// An agent dies while it carries orders. Its workers get their orders in another way, and no task
// is lost or runs beside itself.
func TestJobsSurviveTheDeathOfAnAgent(t *testing.T) {
	c := newAgentCluster(t, 9, 300*time.Millisecond)
	dead := c.firstAgent()
	f := c.leader()
	for n := range 40 {
		require.Equal(t, http.StatusOK, c.submit(f, n).code)
		if n == 15 {
			dead.Kill()
		}
	}
	delete(c.hosts, dead.cfg.Name)
	c.waitCompleted(f, 40)
	require.Empty(t, c.checker.Violations())
}

// A host that stops as planned refuses new orders and carries out those that it has, so that no
// task starts late or twice.
func TestPlannedStopOfAnAgentLosesNoOrder(t *testing.T) {
	c := newAgentCluster(t, 9, 200*time.Millisecond)
	old, f := c.firstAgent(), c.leader()
	done := make(chan struct{})
	go func() {
		defer close(done)
		old.Stop()
	}()
	for n := range 40 {
		require.Equal(t, http.StatusOK, c.submit(f, n).code)
	}
	<-done
	delete(c.hosts, old.cfg.Name)
	old.Kill()
	c.waitCompleted(f, 40)
	c.requireRunsOnce()
}

// The agents keep their connections open and answer nothing, like suspended hosts. The leader must
// not wait for them with all orders.
func TestSilentAgentsAreBypassed(t *testing.T) {
	c := newAgentCluster(t, 9, 50*time.Millisecond)
	f := c.leader()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for ctx.Err() == nil {
			for name := range c.hosts {
				f.SetPeerAddr(name, ln.Addr().String())
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	for n := range 40 {
		require.Equal(t, http.StatusOK, c.submit(f, n).code)
	}
	c.waitCompleted(f, 40)
	require.Empty(t, c.checker.Violations())
	c.waitForLog("agent: suspended.")
}

// A new leader knows the agents of the previous one, so it need not send the first orders to all
// workers itself.
func TestNewLeaderUsesItsPredecessorsAgents(t *testing.T) {
	c := newAgentCluster(t, 9, 50*time.Millisecond)
	f := c.follower()
	require.Eventually(t, func() bool { return len(f.KnownAgents()) > 0 }, waitTimeout, 20*time.Millisecond)
}
