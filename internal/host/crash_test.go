package host_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin"
)

// crashAllTasks makes each task crash its worker soon after its start.
func (c *cluster) crashAllTasks() {
	for _, w := range c.cell.Workers {
		w.SetFaults(standin.WorkerFaults{CrashRow: "print", CrashAfter: 10 * time.Millisecond})
	}
}

// Guards against crash counts that are lost when the leader dies.
func TestCrashCountsSurviveAKilledLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.crashAllTasks()
	s := c.submit(smallJob(1, 5))
	c.waitFor("the task is started again", func() bool { started, _ := c.countRuns(s.ID); return started == 2 })
	c.kill(c.leaderOf(s.ID))
	c.waitFor("job has failed", func() bool { return c.state(s.ID) == "failed" })
	started, _ := c.countRuns(s.ID)
	t.Logf("starts: %d", started)
	require.LessOrEqual(t, started, 4)
	status, err := c.anyClient("").Job(context.Background(), s.ID)
	require.NoError(t, err)
	require.NotEmpty(t, status.Reason)
}
