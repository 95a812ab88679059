package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin/users"
	"pollencroft/internal/store"
)

const oneTask = `{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":200}]}`

// submitMany submits jobs with one task each.
func (c *cluster) submitMany(h *testHost, first, n int) {
	c.t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			a := c.call(h.cfg.Listen.Caller, http.MethodPost, prefix+jobID(first+i), oneTask)
			if a.code != http.StatusOK {
				c.t.Errorf("job %d: %d %s", first+i, a.code, a.body)
			}
		})
	}
	wg.Wait()
}

// statesAt asks a host for all jobs at once and counts its replies.
func (c *cluster) statesAt(h *testHost, jobs int) map[string]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	reported := map[string]int{}
	for n := range jobs {
		wg.Go(func() {
			code, body := c.get(h.cfg.Listen.Caller, prefix+jobID(n))
			mu.Lock()
			defer mu.Unlock()
			reported[fmt.Sprint(code, " ", body)]++
		})
	}
	wg.Wait()
	return reported
}

// withoutLeader kills the leader of a cluster in which no other host can take over: the store
// refuses all claims and serves everything else.
func (c *cluster) withoutLeader() {
	c.log.BreakAppends("state", users.Busy)
	leader := c.leader()
	leader.Kill()
	delete(c.hosts, leader.cfg.Name)
}

const completedReply = `200 {"state":"completed"}`

// Guards against ended jobs that no host reports while there is no leader.
func TestEndedJobsAreReportedWhileNoHostLeads(t *testing.T) {
	const jobs = 120
	c := newCluster(t, 3, 4, 20*time.Millisecond)
	c.submitMany(c.follower(), 0, jobs)
	c.waitCompleted(c.leader(), jobs)
	c.withoutLeader()
	before := c.log.Calls(store.Newest)
	for _, h := range c.hosts {
		require.Equal(t, map[string]int{completedReply: jobs}, c.statesAt(h, jobs), h.cfg.Name)
	}
	pages := c.log.Calls(store.Newest) - before
	require.Less(t, pages, jobs, "queries share the reads of the store")
}

// Guards against a host that falls behind when thousands of jobs are queried at once.
func TestThousandsOfQuestionsShareAFewReads(t *testing.T) {
	const jobs = 3000
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	c.withoutLeader()
	now := time.Now().UnixMilli()
	for n := range jobs {
		c.log.Put("state", jobID(n), fmt.Appendf(nil, `{"s":"completed","b":%d,"e":%d}`, now, now))
	}
	h := c.follower()
	c.deadline = waitTimeout
	before := c.log.Calls(store.Newest)
	require.Equal(t, map[string]int{completedReply: jobs}, c.statesAt(h, jobs))
	require.Less(t, c.log.Calls(store.Newest)-before, jobs/10)
}

// Guards against ended jobs that hosts do not report while they reach neither the leader nor the
// store.
func TestEndedJobsAreReportedByIsolatedHosts(t *testing.T) {
	const jobs = 30
	c := newCluster(t, 3, 4, 20*time.Millisecond)
	c.submitMany(c.leader(), 0, jobs)
	c.waitCompleted(c.leader(), jobs)
	ids := make([]string, jobs)
	for n := range ids {
		ids[n] = jobID(n)
	}
	for name, h := range c.hosts {
		require.Eventually(t, func() bool { return h.KnowsFinalStates(ids...) }, waitTimeout, 20*time.Millisecond, name)
	}
	leader := c.leader()
	c.log.Break("", users.Silent)
	leader.Kill()
	delete(c.hosts, leader.cfg.Name)
	for _, h := range c.hosts {
		require.Equal(t, map[string]int{completedReply: jobs}, c.statesAt(h, jobs), h.cfg.Name)
	}
}

// Guards against a job that only the host that accepted it reports while there is no leader.
func TestJobAcceptedWithoutLeaderIsReportedByAll(t *testing.T) {
	c := newCluster(t, 3, 1, 20*time.Millisecond)
	c.withoutLeader()
	f := c.follower()
	c.submitMany(f, 0, 1)
	for _, h := range c.hosts {
		require.Equal(t, map[string]int{`200 {"state":"queued"}`: 1}, c.statesAt(h, 1), h.cfg.Name)
		code, _ := c.get(h.cfg.Listen.Caller, prefix+jobID(7))
		require.Equal(t, http.StatusGone, code, "a job that was never submitted")
	}
}

// Guards against hosts that report no job states while the leader is reachable and does not
// answer.
func TestStatesAreReportedWhileTheLeaderDoesNotAnswer(t *testing.T) {
	c := newCluster(t, 3, 4, 20*time.Millisecond)
	c.submitMany(c.follower(), 0, 20)
	c.waitCompleted(c.leader(), 20)
	leader := c.leader()
	release := leader.BlockCore()
	defer release()
	for name, h := range c.hosts {
		require.Equal(t, map[string]int{completedReply: 20}, c.statesAt(h, 20), name)
	}
}

// Guards against queries that hang on a connection that the leader's host does not read from.
func TestStatesAreReportedWhileTheLeaderReadsNothing(t *testing.T) {
	c := newCluster(t, 2, 4, 20*time.Millisecond)
	c.submitMany(c.leader(), 0, 20)
	c.waitCompleted(c.leader(), 20)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	f := c.follower()
	f.LearnLeader("other", netip.MustParseAddrPort(ln.Addr().String()), 1<<40)
	require.Equal(t, map[string]int{completedReply: 20}, c.statesAt(f, 20))
}

// Guards against a state that is guessed from an incomplete read of the store.
func TestNoStateIsGuessedFromAnIncompleteRead(t *testing.T) {
	c := newCluster(t, 3, 1, time.Minute)
	f := c.follower()
	c.submitMany(f, 0, 2)
	c.withoutLeader()
	for part := range 16 {
		if part != 0 {
			c.log.BreakPart("state", part, users.Busy)
		}
	}
	for _, h := range c.hosts {
		a := c.call(h.cfg.Listen.Caller, http.MethodGet, prefix+jobID(9), "")
		require.Equal(t, http.StatusServiceUnavailable, a.code, a.body)
		require.Equal(t, "1", a.header.Get("Retry-After"))
	}
}

// Guards against a job that is reported as missing by a leader that reads it while it is asked.
func TestLeaderThatPollsMeanwhileReportsNoJobAsMissing(t *testing.T) {
	c := newCluster(t, 1, 1, time.Minute)
	h := c.leader()
	c.log.BreakReads("jobs", users.Busy)
	h.BeginTerm(1<<40, time.Now().Add(-3*time.Second))
	for n := range 300 {
		r := h.StateDuringPoll(jobID(n))
		require.True(t, r.Known || r.Unsure, n)
	}
}

// Guards against an accepted job that a new leader reports as gone. The job was stored while the
// leader read from a slow store, and the leader's knowledge was taken to be as new as the end of
// that read.
func TestAJobStoredWhileALeadReadsIsNotToldAsGone(t *testing.T) {
	const slow = 400 * time.Millisecond
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	leader := c.leader()
	delete(c.hosts, leader.cfg.Name)
	c.log.Slow(slow)
	reads := c.log.Calls(store.Newest)
	leader.Kill()
	require.Eventually(t, func() bool { return c.log.Calls(store.Newest) >= reads+1+3+16 }, waitTimeout, time.Millisecond, "the new leader has read the jobs")
	c.log.BreakReads("jobs", users.Busy)
	stored := time.Now()
	require.Eventually(t, func() bool { return c.follower() == nil }, waitTimeout, 10*time.Millisecond)
	h := c.leader()
	time.Sleep(time.Until(stored.Add(3100 * time.Millisecond)))
	reported := h.State(jobID(1))
	require.True(t, reported.Lead)
	require.True(t, reported.Unsure, "the job was stored three seconds ago and has not been read yet")
}
