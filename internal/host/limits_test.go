package host_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/pkg/client"
)

// Guards against a row's limit that is exceeded when its jobs are submitted to both hosts of a
// failure domain.
func TestLimitOfARowHoldsOverAllLeaders(t *testing.T) {
	c := newCluster(t, 2)
	ctx := context.Background()
	op := client.New(c.operators[0], "", nil)
	require.NoError(t, op.SetRow(ctx, "print", "", map[string]any{"limits": map[string]any{"tasks": 2}}))
	c.waitFor("limit is in force", func() bool {
		for _, h := range c.hosts {
			if row, _ := h.Row("print"); row.Limits.Tasks != 2 {
				return false
			}
		}
		return true
	})
	for range 4 {
		for _, ask := range c.clients {
			c.waitFor("job is accepted", func() bool {
				_, err := ask.Submit(ctx, client.Job{Workload: "print", Tasks: 1, Size: client.Size{CPU: 100, Mem: 1 << 20}, Time: 600})
				return err == nil
			})
		}
	}
	started := func() int { return len(c.cell.Report().Started) }
	c.waitFor("two tasks run", func() bool { return started() == 2 })
	require.Never(t, func() bool { return started() > 2 }, time.Second, 20*time.Millisecond)
}

// A caller mistypes an id, asks about a job of an unknown failure domain, or cancels a job that
// has ended. Each gets a definite answer at once, and the ended job remains unchanged.
func TestRequestsForOtherJobsChangeNothing(t *testing.T) {
	c := newCluster(t, 2)
	ctx := context.Background()
	for id, status := range map[string]int{"plain": 400, "nowhere.r0.1": 404, "nord.r0.1": 404} {
		_, err := c.anyClient("").Job(ctx, id)
		var refused *client.StatusError
		require.ErrorAs(t, err, &refused, id)
		require.Equal(t, status, refused.Status, id)
		require.Equal(t, client.Refused, refused.Outcome, id)
	}
	s := c.submit(client.Job{Tasks: 1, Size: client.Size{CPU: 100, Mem: 1 << 20}, Time: 0.01})
	c.waitFor("job has ended", func() bool { return c.state(s.ID) == "ended" })
	status, err := c.anyClient("").Cancel(ctx, s.ID)
	require.NoError(t, err)
	require.Equal(t, "ended", status.State)
}
