package host_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a job whose end is in every host's log and that no host reports.
func TestLoggedEndIsReportedWhileTheLeaderIsSilent(t *testing.T) {
	c := newCluster(t, 3)
	id := c.submit(smallJob(1, 0.01)).ID
	lead := c.leaderOf(id)
	asked := c.anyClient(lead)
	c.waitFor("every host's log contains the end", func() bool {
		for _, h := range c.hosts {
			if !h.HasLoggedEnd(id) {
				return false
			}
		}
		return true
	})
	before, err := asked.Job(context.Background(), id)
	require.NoError(t, err)
	release := c.hosts[lead].Freeze()
	defer release()
	got, err := asked.Job(context.Background(), id)
	require.NoError(t, err)
	require.Equal(t, before.State, got.State)
}
