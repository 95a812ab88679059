package entry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin/users"
)

// retryAfter submits a job that is refused for now, and returns the seconds after which its caller
// should return.
func (c *cluster) retryAfter(h *testHost, n int) int {
	a := c.submit(h, n)
	require.Equal(c.t, http.StatusServiceUnavailable, a.code, a.body)
	s, err := strconv.Atoi(a.header.Get("Retry-After"))
	require.NoError(c.t, err)
	return s
}

// Guards against callers that give up during an outage of the store because they were asked to
// return every second, and against callers that stay away after it because of its age.
func TestRetryAfterFollowsTheAgeOfAnOutage(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	h := c.follower()
	c.log.Break("", users.Busy)
	began := time.Now()
	require.Equal(t, 1, c.retryAfter(h, 0))
	// A read that waits for records may be answered up to 1.3 s after the beginning.
	time.Sleep(4500*time.Millisecond - time.Since(began))
	for i := range 8 {
		s := c.retryAfter(h, i)
		require.True(t, 3 <= s && s <= 5, "%d s", s)
	}
	c.log.Break("", users.None)
	require.Eventually(t, func() bool { return c.submit(h, 20).code == http.StatusOK }, waitTimeout, 20*time.Millisecond)
	for part := range 16 {
		c.log.BreakPart("jobs", part, users.Busy)
	}
	require.Equal(t, 1, c.retryAfter(h, 21), "the store answers again, although it takes no jobs")
}

// weightsTable has two organisations that may use two processors each. Only the first has a rate.
const weightsTable = `{"version":%d,"routes":[
{"name":"scan","host":"jobs.example","pathPrefix":"/scan/","service":"pass","maxAttempts":3,"stretch":1.5,"targetLatencyMs":250,"public":false}],
"services":[{"name":"pass"}],"limits":{"maxBodyBytes":20000},
"tenants":[{"name":"a","apiKeys":["ka"],"weight":1,"maxCount":{"cpu":1000}},{"name":"b","apiKeys":["kb"],"maxCount":{"cpu":1000}}]}`

const tenTasks = `{"spec":"text","steps":[{"count":10,"cpu":500,"memMb":256,"estimateMs":200}]}`

// weightsCluster starts three hosts with that table.
func weightsCluster(t *testing.T) *cluster {
	c := newCluster(t, 3, 3, 200*time.Millisecond)
	c.log.Put("op", "config", fmt.Appendf(nil, weightsTable, 2))
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.callAs(h, "", http.MethodGet, prefix, "").code == http.StatusUnauthorized }, waitTimeout, 10*time.Millisecond)
	}
	return c
}

// flood submits jobs of an organisation at the hosts in turn until one is rejected, and returns its
// number.
func (c *cluster) flood(key string) (response, int) {
	c.t.Helper()
	n := 0
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(50 * time.Millisecond) {
		for _, h := range c.hosts {
			n++
			if a := c.callAs(h, key, http.MethodPost, prefix+jobID(n), tenTasks); a.code != http.StatusOK {
				return a, n
			}
		}
	}
	require.Fail(c.t, "nothing is rejected")
	return response{}, 0
}

// One organisation sends urgent jobs at many times its rate, as on a day of the deployment with
// competing callers, and then the store is unavailable. Guards against a caller that waits for a job
// that cannot end in time, against a rejection of another organisation's job, against a rejected job
// that runs, against a rejection of a job that has run, and against a Retry-After by the load while the
// store is unavailable.
func TestBurstOfAnOrganisationIsRejected(t *testing.T) {
	c := weightsCluster(t)
	a, n := c.flood("ka")
	require.Equal(t, http.StatusTooManyRequests, a.code, a.body)
	seconds, err := strconv.Atoi(a.header.Get("Retry-After"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, seconds, 1)
	require.Contains(t, a.body, "beyond its rate")
	line := c.logs.String()
	line = line[strings.LastIndex(line, "caller: refused."):]
	for _, field := range []string{"id=" + jobID(n), "queue=scan", "organisation=a", "code=429", "expected=", "age=", "term=", "retry="} {
		require.Contains(t, line, field)
	}
	h := c.follower()
	for i := range 5 {
		require.Equal(t, http.StatusOK, c.callAs(h, "kb", http.MethodPost, prefix+jobID(10_000+i), tenTasks).code)
	}
	require.Equal(t, http.StatusGone, c.callAs(h, "ka", http.MethodGet, prefix+jobID(n), "").code, "the rejected job is not stored")
	for _, h := range c.hosts {
		require.Equal(t, http.StatusOK, c.callAs(h, "ka", http.MethodPost, prefix+jobID(1), tenTasks).code, "a job that may have run")
	}

	c.log.Break("", users.Busy)
	require.Eventually(t, func() bool {
		return c.callAs(h, "ka", http.MethodPost, prefix+jobID(20_000), tenTasks).code == http.StatusServiceUnavailable
	}, waitTimeout, 50*time.Millisecond, "the load is older than the outage")
	require.Empty(t, c.checker.Violations())
}

// Hosts are cut off from the leader during a burst, or learn of another one. Guards against a
// rejection because of a load that may have changed.
func TestHostWithoutTheLeadersLoadRejectsNothing(t *testing.T) {
	c := weightsCluster(t)
	c.flood("ka")
	h := c.follower()
	h.LearnLeader("other", netip.AddrPortFrom(netip.IPv4Unspecified(), 1), 1<<40)
	for i := range 5 {
		a := c.callAs(h, "ka", http.MethodPost, prefix+jobID(30_000+i), tenTasks)
		require.Equal(t, http.StatusOK, a.code, a.body)
	}
}
