package entry_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
)

// putRun stores a job with a task that runs on a worker of which there is no entry.
func (c *cluster) putRun(n int, worker string) {
	c.t.Helper()
	spec := flow.Spec{ID: jobID(n), Queue: flow.Queue{Name: "scan", Service: "pass", Attempts: 3}, Steps: []flow.Step{{Tasks: 1}}}
	j := flow.New(spec, 1, time.Now())
	j.BeginRounds(time.Now())
	task := j.Rounds[0].Stages[0].Tasks[0]
	task.Worker, task.Run = worker, 1
	task.Transition(flow.Assign, time.Now())
	text, err := json.Marshal(spec)
	require.NoError(c.t, err)
	for topic, value := range map[string][]byte{"jobs": text, "state": j.Record(flow.Version{Term: 1, Append: 1})} {
		_, err := c.log.For("").Do(c.t.Context(), store.Call{Op: store.Append, Topic: topic, Keyed: true, Records: []store.Record{{Key: jobID(n), Value: value}}})
		require.NoError(c.t, err)
	}
}

// putOlderClaim stores the claim of a host of an older build, which does not say how long leases last.
func (c *cluster) putOlderClaim(host string, addr net.Addr) {
	c.t.Helper()
	text := fmt.Sprintf("%s %s 1 1 %s 2", host, addr, strconv.FormatInt(time.Now().UnixNano(), 36))
	_, err := c.log.For("").Do(c.t.Context(), store.Call{Op: store.Append, Topic: "state", Keyed: true, Records: []store.Record{{Key: "!", Value: []byte(text)}}})
	require.NoError(c.t, err)
}

// Guards against a leader that takes the leader before its predecessor for stopped, since only its
// predecessor has: the one before may go on renewing leases. Leaders of older builds do so for as long as
// they may without the store.
func TestSecondChangeOfTheLeaderDoesNotShortenLeases(t *testing.T) {
	for _, tc := range []struct {
		name   string
		older  bool
		longer time.Duration
	}{
		{"this build", false, sched.DefaultLimits.Lease - 100*time.Millisecond},
		{"an older build", true, sched.StoreTimeout + 8*time.Second - time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const worker = "cut-off"
			c := newCluster(t, 1, 1, 50*time.Millisecond)
			h := c.leader()
			c.putRun(0, worker)
			// Another host leads next, which only some workers reach soon after.
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = silent.Close() })
			if tc.older {
				c.putOlderClaim("other", silent.Addr())
			}
			h.LearnLeader("other", netip.MustParseAddrPort(silent.Addr().String()), h.SyncReply(0, 0).Term+1)
			require.Eventually(t, func() bool { return h.Leading() && h.LeaseBound(worker) > 0 }, waitTimeout, 5*time.Millisecond)
			bound := time.Now().Add(h.LeaseBound(worker))
			require.Greater(t, time.Until(bound), tc.longer)
			time.Sleep(500 * time.Millisecond)
			require.WithinDuration(t, bound, time.Now().Add(h.LeaseBound(worker)), 200*time.Millisecond)
			h.Kill()
			h = c.start(h.cfg.Name)
			require.Eventually(t, func() bool { return h.Leading() && h.LeaseBound(worker) > 0 }, waitTimeout, 5*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			next := time.Now().Add(h.LeaseBound(worker))
			require.False(t, next.Before(bound), "leases are taken for lapsed %s earlier", bound.Sub(next))
		})
	}
}
