package host_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/trail"
	"pollencroft/pkg/client"
)

// Guards against an empty history from a host that does not lead the job: the load balancer
// sends the request to any host.
func TestHistoryIsServedByEveryHost(t *testing.T) {
	c := newCluster(t, 3)
	s := c.submit(client.Job{Tasks: 9, Size: client.Size{CPU: 4000, Mem: 1 << 20}, Time: 60})
	c.waitFor("tasks run", func() bool { started, _ := c.countRuns(s.ID); return started > 0 })
	for name := range c.hosts {
		// Hosts that have just started do not see each other yet.
		c.waitFor("history is served by "+name, func() bool {
			var notes []trail.Note
			require.NoError(t, c.clients[name].Get(context.Background(), "/jobs/"+s.ID+"/trail", &notes))
			text := fmt.Sprint(notes)
			return strings.Contains(text, "accepted") && strings.Contains(text, "no worker has room")
		})
	}
}
