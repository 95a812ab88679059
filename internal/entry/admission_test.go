package entry_test

import (
	"net/http"
	"strconv"
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
