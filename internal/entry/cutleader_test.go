package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin/users"
)

// Kinds of jobs. The tasks of each are on several workers.
const (
	plainJob = iota
	gangJob
	copiesJob
	lastingJob
	longJob
	jobKinds
)

var jobTexts = [jobKinds]string{
	plainJob:   `{"spec":"text","steps":[{"count":6,"cpu":500,"memMb":256,"estimateMs":300,"antiAffinity":2},{"count":6,"cpu":500,"memMb":256,"estimateMs":300,"antiAffinity":2,"after":[0]}]}`,
	gangJob:    `{"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":300,"antiAffinity":2,"gang":true}]}`,
	copiesJob:  `{"spec":"text","steps":[{"count":6,"cpu":500,"memMb":256,"estimateMs":300,"antiAffinity":2,"allowDuplicates":true}]}`,
	lastingJob: `{"spec":"text","steps":[{"count":6,"cpu":500,"memMb":256,"antiAffinity":2,"longRunning":true}]}`,
	longJob:    `{"spec":"text","steps":[{"count":6,"cpu":500,"memMb":256,"estimateMs":4000,"antiAffinity":2}]}`,
}

// kindStep returns the step of a task of the jobs above.
func kindStep(task string) users.Step {
	id, _, _ := strings.Cut(task, ".")
	n, err := strconv.ParseInt(id, 16, 64)
	if err != nil {
		return users.Step{}
	}
	st := users.Step{MaxPerWorker: 2, Work: 300 * time.Millisecond}
	switch n % jobKinds {
	case gangJob:
		st.GangSize = 4
	case copiesJob:
		st.AllowCopies = true
	case lastingJob:
		st.Work = time.Hour
	case longJob:
		st.Work = 4 * time.Second
	}
	return st
}

// Guards against tasks that run twice while a leader that is cut off from the store and the other hosts
// reaches all workers, or one, and its successor all but that one.
func TestTasksOfAllKindsRunOnceBesideAFormerLeader(t *testing.T) {
	t.Parallel()
	const lease = 3 * time.Second
	for _, after := range []time.Duration{0, 50 * time.Millisecond, time.Second} {
		for _, one := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, one %t", after, one), func(t *testing.T) {
				t.Parallel()
				c := &cluster{t: t, network: newNetwork(), lease: lease, born: true}
				c.startAll(3, 4, time.Minute)
				c.checker.DescribeSteps(kindStep)
				old := c.leader()
				jobs := c.submitKinds(old, 0)
				time.Sleep(after)
				last := c.lastToken()
				c.paths[0].restrict(false, last)
				for _, p := range c.paths[1:] {
					if one {
						p.restrictBelow(last + 1)
					}
				}
				c.isolate(old)
				began := time.Now()
				next := c.waitNextLeader()
				c.waitReady()
				jobs += c.submitKinds(next, jobs)
				c.requireNoSecondRun(14*time.Second + lease - time.Since(began))
				for n := range jobs {
					if n%jobKinds != lastingJob {
						c.waitJobCompleted(next, n)
					}
				}
				require.Empty(t, c.checker.Violations())
			})
		}
	}
}

// submitKinds submits two jobs of each kind, and returns how many jobs these are.
func (c *cluster) submitKinds(h *testHost, first int) int {
	for n := first; n < first+2*jobKinds; n++ {
		a := c.call(h.cfg.Listen.Caller, http.MethodPost, prefix+jobID(n), jobTexts[n%jobKinds])
		require.Equal(c.t, http.StatusOK, a.code, a.body)
	}
	return 2 * jobKinds
}

func (c *cluster) waitJobCompleted(h *testHost, n int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		_, body := c.get(h.cfg.Listen.Caller, prefix+jobID(n))
		return body == `{"state":"completed"}`
	}, waitTimeout, 20*time.Millisecond, "job %d", n)
}
