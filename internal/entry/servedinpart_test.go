package entry_test

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/sched"
	"pollencroft/internal/standin/users"
)

// Guards against a leader that is cut off from the other hosts and goes on for as long as the store answers it,
// though not for the topic that tells who leads, and it has nothing to store.
func TestLeaderThatTheStoreServesInPartEndsItsTerm(t *testing.T) {
	t.Parallel()
	const lease = 3 * time.Second
	c := &cluster{t: t, network: newNetwork(), lease: lease, born: true}
	c.startAll(3, 2, time.Minute)
	old := c.leader()
	require.Equal(t, http.StatusOK, c.call(old.cfg.Listen.Caller, http.MethodPost, prefix+jobID(0), longSteps).code)
	worker := -1
	require.Eventually(t, func() bool {
		worker = slices.IndexFunc(c.workers, func(w *users.Worker) bool { return w.Running() > 0 })
		return worker >= 0
	}, waitTimeout, 20*time.Millisecond)
	time.Sleep(time.Second)
	last := c.lastToken()
	c.paths[worker].restrict(false, last)
	c.paths[1-worker].restrictBelow(last + 1)
	c.log.BreakReads("lead", users.Silent)
	c.network.isolate(old.cfg.Name)
	delete(c.hosts, old.cfg.Name)
	t.Cleanup(func() {
		old.Kill()
		old.store.CloseClientConnections()
		old.store.Close()
	})
	c.waitNextLeader()
	c.requireNoSecondRun(25 * time.Second)
}

// Guards against an idle leader that ends its term because a part of the store is down.
func TestIdleLeaderGoesOnWhileAPartitionIsDown(t *testing.T) {
	for _, part := range []int{0, 1} {
		t.Run(strconv.Itoa(part), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 2, 50*time.Millisecond)
			h := c.leader()
			c.log.BreakPart("state", part, users.Silent)
			require.Never(t, func() bool { return !h.Leading() }, sched.StoreTimeout+4*time.Second, 50*time.Millisecond)
		})
	}
}
