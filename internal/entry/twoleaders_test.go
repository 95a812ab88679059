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
	"pollencroft/internal/store"
)

const longSteps = `{"spec":"text","steps":[{"count":8,"cpu":500,"memMb":256,"estimateMs":60000}]}`

// isolateLeader starts the cluster and long tasks, and then cuts the leader off from the store and the
// other hosts. From then on only it reaches the tasks' worker. It returns both.
func (c *cluster) isolateLeader() (old *testHost, worker int) {
	t := c.t
	c.startAll(3, 2, time.Minute)
	old = c.leader()
	require.Equal(t, http.StatusOK, c.call(old.cfg.Listen.Caller, http.MethodPost, prefix+jobID(0), longSteps).code)
	require.Eventually(t, func() bool {
		worker = slices.IndexFunc(c.workers, func(w *users.Worker) bool { return w.Running() > 0 })
		return worker >= 0
	}, waitTimeout, 20*time.Millisecond)
	// All starts are confirmed by then.
	time.Sleep(time.Second)
	c.paths[worker].restrict(false, c.lastToken())
	c.isolate(old)
	return old, worker
}

// lastToken returns a fencing token that is not below those of the terms so far, and below those of
// the next.
func (c *cluster) lastToken() int64 {
	a, err := c.log.For("").Do(c.t.Context(), store.Call{Op: store.Newest, Topic: "state"})
	require.NoError(c.t, err)
	return a.End
}

// isolate cuts a host off from the store and the other hosts.
func (c *cluster) isolate(h *testHost) {
	c.log.Break(h.cfg.Name, users.Silent)
	c.network.isolate(h.cfg.Name)
	delete(c.hosts, h.cfg.Name)
	c.t.Cleanup(func() {
		h.Kill()
		h.store.CloseClientConnections()
		h.store.Close()
	})
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
	t.Parallel()
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
				c := &cluster{t: t, network: newNetwork(), lease: lease, born: born}
				old, _ := c.isolateLeader()
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
	t.Parallel()
	const lease = 3 * time.Second
	for _, born := range []bool{false, true} {
		t.Run(fmt.Sprintf("born %t", born), func(t *testing.T) {
			t.Parallel()
			c := &cluster{t: t, network: newNetwork(), lease: lease, born: born}
			old, _ := c.isolateLeader()
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

// suspendable returns the machines of hosts that may be suspended.
func suspendable(hosts int) map[string]*machine {
	all := map[string]*machine{}
	for i := range hosts {
		all[fmt.Sprintf("h%d", i)] = &machine{}
	}
	return all
}

// Guards against a leader that counts only the time that its machine was not suspended, and goes on
// renewing leases when its successor does not wait for it any more.
func TestSuspendedLeaderEndsItsTermInTime(t *testing.T) {
	t.Parallel()
	const (
		lease     = 7 * time.Second
		suspended = 5500 * time.Millisecond
	)
	c := &cluster{t: t, network: newNetwork(), lease: lease, born: true, machines: suspendable(3)}
	old, worker := c.isolateLeader()
	began := time.Now()
	c.machines[old.cfg.Name].suspend()
	last := c.lastToken()
	c.paths[worker].restrict(true, 0)
	time.Sleep(suspended)
	c.machines[old.cfg.Name].wake()
	c.paths[worker].restrict(false, last)
	c.requireNoSecondRun(10*time.Second + suspended + lease - time.Since(began))
	require.False(t, old.Leading())
	require.NotNil(t, c.leader())
}

// Guards against a leader that still renews a lease after it wakes.
func TestLeaderThatWakesTooLateRenewsNoLease(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, network: newNetwork(), born: true, machines: suspendable(1)}
	c.startAll(1, 1, time.Minute)
	h := c.leader()
	require.Equal(t, http.StatusOK, c.call(h.cfg.Listen.Caller, http.MethodPost, prefix+jobID(0), longSteps).code)
	require.Eventually(t, func() bool { return c.workers[0].Running() > 0 }, waitTimeout, 20*time.Millisecond)
	c.log.Break(h.cfg.Name, users.Silent)
	// Calls that the store has answered are over.
	time.Sleep(100 * time.Millisecond)
	c.machines[h.cfg.Name].skip(9 * time.Second)
	// A hold that was sent before has arrived.
	time.Sleep(20 * time.Millisecond)
	deadline := c.workers[0].Deadline()
	require.Eventually(t, func() bool { return !h.Leading() }, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, deadline, c.workers[0].Deadline())
	c.waitForLog("machine was suspended")
	require.EqualValues(t, 1, h.Counter("host.suspended"))
}

// Guards against a leader that has just woken and reports that a job does not exist which others have
// accepted meanwhile.
func TestLeaderThatWakesIsNotSureOfJobs(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, network: newNetwork(), machines: suspendable(1)}
	c.startAll(1, 1, time.Minute)
	h := c.leader()
	c.log.BreakReads("jobs", users.Busy)
	require.False(t, h.IsUncertain(jobID(0)))
	c.machines[h.cfg.Name].skip(5 * time.Second)
	require.True(t, h.IsUncertain(jobID(0)))
	require.True(t, h.Leading())
	c.log.BreakReads("jobs", users.None)
	require.Eventually(t, func() bool { return !h.IsUncertain(jobID(0)) }, waitTimeout, 20*time.Millisecond)
}
