package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/peer"
	"pollencroft/internal/standin/users"
	"pollencroft/internal/store"
)

// putRecord stores a job's progress in a partition.
func (c *cluster) putRecord(part, n, version int, state string, began time.Time) {
	c.t.Helper()
	v := fmt.Appendf(nil, `{"t":1,"a":%d,"s":%q,"b":%d}`, version, state, began.UnixMilli())
	_, err := c.log.For("").Do(c.t.Context(), store.Call{
		Op: store.Append, Topic: "state", Part: part, Keyed: true, Records: []store.Record{{Key: jobID(n), Value: v}},
	})
	require.NoError(c.t, err)
}

// stateAt returns a host's reply to a request for a job's state.
func (c *cluster) stateAt(h *testHost, n int) string {
	code, body := c.get(h.cfg.Listen.Caller, prefix+jobID(n))
	if code != http.StatusOK {
		return fmt.Sprint(code)
	}
	return fmt.Sprint(code, " ", body)
}

const (
	runningReply     = `200 {"state":"running"}`
	missingReply     = "410"
	unavailableReply = "503"
)

// Guards against an older record that is reported while a newer one is in another partition.
func TestNewestRecordOfAJobIsReported(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	now := time.Now()
	for n := range 2 {
		older, newer := n%2*5, (1-n%2)*5
		c.putRecord(older, n, 1, "queued", now)
		c.putRecord(newer, n, 2, "running", now)
	}
	c.putRecord(0, 2, 2, "completed", now)
	c.putRecord(5, 2, 1, "running", now)
	c.withoutLeader()
	h := c.follower()
	for n := range 2 {
		require.Equal(t, runningReply, c.stateAt(h, n), n)
	}
	c.log.BreakPart("state", 5, users.Busy)
	for n := range 2 {
		require.Equal(t, unavailableReply, c.stateAt(h, n), "the partition that is down may contain a newer record")
	}
	require.Equal(t, completedReply, c.stateAt(h, 2), "no record is newer than a final state")
}

// Guards against jobs that are not found because they are on different pages.
func TestJobsOnManyPagesAreFound(t *testing.T) {
	const jobs = 1200
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	now := time.Now()
	for n := range jobs {
		c.putRecord(0, n, 1, "running", now)
	}
	c.withoutLeader()
	h := c.follower()
	asked := map[string]int{}
	for n := 0; n < jobs; n += 400 {
		asked[c.stateAt(h, n)]++
	}
	require.Equal(t, map[string]int{runningReply: 3}, asked)
	require.Equal(t, map[string]int{runningReply: jobs}, c.statesAt(h, jobs))
}

// Guards against a job that is reported as missing because its record cannot be decoded.
func TestJobWithUndecodableRecordIsNotReportedMissing(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	c.withoutLeader()
	c.log.Put("state", jobID(0), []byte("{"))
	require.Equal(t, unavailableReply, c.stateAt(c.follower(), 0))
}

// Guards against a deleted job that is reported as running because one partition still contains a
// record of it.
func TestDeletedJobIsNotReportedAsRunning(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	long := time.Now().Add(-time.Hour)
	c.putRecord(0, 0, 1, "running", long)
	c.putRecord(0, 1, 1, "running", long)
	c.log.Put("jobs", jobID(1), []byte("{}"))
	c.log.Put("jobs", jobID(2)+"!", []byte("1"))
	c.withoutLeader()
	h := c.follower()
	require.Equal(t, missingReply, c.stateAt(h, 0))
	require.Equal(t, runningReply, c.stateAt(h, 1), "the job was accepted and not deleted")
	require.Equal(t, missingReply, c.stateAt(h, 2), "the job was cancelled and never accepted")
}

// fakeLeader starts a host that claims to lead. It reports the given state for every job, or
// never answers if state is empty.
func (c *cluster) fakeLeader(state string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	srv := peer.NewServer(func(ctx context.Context, m peer.Message) (any, error) {
		if _, ok := m.(peer.AskState); !ok || state == "" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return peer.StateReply{Lead: true, Known: true, State: state}, nil
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		srv.Serve(ctx, ln)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-served
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// Guards against a state query that waits only for a leader that has been succeeded.
func TestNextLeaderIsAskedAsWell(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	h := c.follower()
	silent, next := c.fakeLeader(""), c.fakeLeader("running")
	c.log.BreakReads("state", users.Silent)
	h.LearnLeader("silent", silent, 1<<40)
	reported := make(chan string, 1)
	go func() { reported <- c.stateAt(h, 0) }()
	time.Sleep(100 * time.Millisecond)
	h.LearnLeader("next", next, 1<<40+1)
	require.Equal(t, runningReply, <-reported)
}

// Guards against a state query that waits only for a leader that another host has fenced off.
func TestHostThatHasClaimedIsAskedAsWell(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	h := c.follower()
	silent, next := c.fakeLeader(""), c.fakeLeader("running")
	c.log.BreakReads("state", users.Silent)
	h.LearnLeader("silent", silent, 1<<40)
	h.SetPeerAddr("next", next.String())
	reported := make(chan string, 1)
	go func() { reported <- c.stateAt(h, 0) }()
	time.Sleep(100 * time.Millisecond)
	h.SetLeaderName("next")
	require.Equal(t, runningReply, <-reported)
}

// Guards against a leader that reports a job as missing because it could not decode the stored
// records.
func TestLeaderDoesNotReportAnUndecodableJobAsMissing(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	c.log.Put("jobs", jobID(0), fmt.Appendf(nil, `{"id":%q,"queue":{"name":"scan","service":"pass"},"steps":[{"tasks":1}]}`, jobID(0)))
	c.log.Put("state", jobID(0), []byte("{"))
	c.log.Put("jobs", jobID(1), []byte("{"))
	previous := c.leader()
	previous.Kill()
	delete(c.hosts, previous.cfg.Name)
	require.Eventually(t, func() bool { return c.leader() != nil }, waitTimeout, 10*time.Millisecond)
	require.Equal(t, unavailableReply, c.stateAt(c.leader(), 0))
	require.Equal(t, `200 {"state":"queued"}`, c.stateAt(c.leader(), 1))
}

// Guards against hosts that cannot report running jobs while the leader is reachable and does not
// answer.
func TestRunningJobsAreReportedWhileTheLeaderDoesNotAnswer(t *testing.T) {
	c := newCluster(t, 3, 4, time.Minute)
	c.submitMany(c.follower(), 0, 4)
	leader := c.leader()
	require.Eventually(t, func() bool { return c.statesAt(leader, 4)[runningReply] == 4 }, waitTimeout, 20*time.Millisecond)
	release := leader.BlockCore()
	defer release()
	for name, h := range c.hosts {
		require.Equal(t, map[string]int{runningReply: 4}, c.statesAt(h, 4), name)
	}
}

// Guards against pages that are read again for each ended job on them.
func TestFinalStatesOnAPageAreKept(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	for n := range 2 {
		c.putRecord(0, n, 1, "completed", time.Now())
	}
	c.withoutLeader()
	h := c.follower()
	require.Equal(t, completedReply, c.stateAt(h, 0))
	require.True(t, h.KnowsFinalStates(jobID(1)))
}

// Guards against a caller that is kept waiting by a host that reaches neither the leader nor the
// store.
func TestIsolatedHostRefusesBeforeTheDeadline(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	h := c.follower()
	h.LearnLeader("silent", c.fakeLeader(""), 1<<40)
	c.log.Break("", users.Silent)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.cfg.Listen.Caller.String()+prefix+jobID(0), http.NoBody)
	require.NoError(t, err)
	req.Host = callerHost
	req.Header.Set("X-Deadline-Ms", "600000")
	caller := http.Client{Timeout: waitTimeout}
	a, err := caller.Do(req)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
}

// Guards against a state query that keeps waiting although the host has learned the job's final
// state since.
func TestFinalStateLearnedDuringAQueryIsReported(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	h := c.follower()
	c.log.BreakReads("state", users.Silent)
	h.LearnLeader("silent", c.fakeLeader(""), 1<<40)
	reported := make(chan string, 1)
	go func() { reported <- c.stateAt(h, 0) }()
	time.Sleep(100 * time.Millisecond)
	h.SyncPositionAfter(peer.SyncReply{Lead: true, Term: 1 << 40, Ended: []peer.EndedJobs{{State: "completed", IDs: []string{jobID(0)}}}})
	require.Equal(t, completedReply, <-reported)
}
