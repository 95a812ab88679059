package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin/users"
	"pollencroft/internal/store"
)

// oneByOne is a job of two steps with a task each.
const oneByOne = `{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":200},{"count":1,"cpu":500,"memMb":256,"estimateMs":200,"after":[0]}]}`

// Guards against a second run of a task whose end only the previous leader has read.
func TestEndThatOnlyThePreviousLeaderReadCounts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		hosts int
	}{{"another host leads next", 2}, {"the same host leads again", 1}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, tc.hosts, 2, 500*time.Millisecond)
			former := c.leader()
			require.Equal(t, http.StatusOK, c.call(former.cfg.Listen.Caller, http.MethodPost, prefix+jobID(0), oneByOne).code)
			var w *users.Worker
			require.Eventually(t, func() bool {
				for _, x := range c.workers {
					if x.Running() > 0 {
						w = x
					}
				}
				return w != nil
			}, waitTimeout, time.Millisecond)
			c.log.BreakAppends("state", users.Silent)
			c.waitForLog(`msg="sched: done."`)
			// The run has ended and the worker leaves; only the leader, which can store nothing,
			// has read that.
			w.Close()
			c.log.Put("servers", w.ID, nil)
			c.log.Reassign("hosts", func(members []string) string {
				for _, m := range members {
					if tc.hosts > 1 && !strings.HasPrefix(m, former.cfg.Name+" ") {
						return m
					}
				}
				return members[0]
			})
			c.log.Fence("state", store.PartsFrom(0, former.cfg.Parts)...)
			c.log.BreakAppends("state", users.None)
			require.Eventually(t, func() bool { return strings.Count(c.logs.String(), "lead: term begins.") == 2 }, waitTimeout, 5*time.Millisecond)
			require.Equal(t, tc.hosts == 1, former.Leading())
			c.waitCompleted(c.leader(), 1)
			require.Empty(t, c.checker.Violations())
			for task, runs := range c.checker.Runs() {
				require.Equal(t, 1, runs, task)
			}
		})
	}
}
