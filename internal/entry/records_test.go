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

// putRecord puts a job's progress into a partition.
func (c *cluster) putRecord(part, n, version int, state string, began time.Time) {
	c.t.Helper()
	v := fmt.Appendf(nil, `{"t":1,"a":%d,"s":%q,"b":%d}`, version, state, began.UnixMilli())
	_, err := c.log.For("").Do(c.t.Context(), store.Call{
		Op: store.Append, Topic: "state", Part: part, Keyed: true, Records: []store.Record{{Key: jobID(n), Value: v}},
	})
	require.NoError(c.t, err)
}

// stateAt is what a host answers to the question for a job.
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

// Guards against an older record that is told while a newer one lies in another partition.
func TestTheNewestOfAJobsRecordsIsTold(t *testing.T) {
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
		require.Equal(t, unavailableReply, c.stateAt(h, n), "a partition that is down may hold a newer one")
	}
	require.Equal(t, completedReply, c.stateAt(h, 2), "nothing is newer than the end")
}

// Guards against jobs that are not found as they stand on different pages.
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

// Guards against a job that is told as missing since its record cannot be read.
func TestAJobWhoseRecordCannotBeReadIsNotMissing(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	c.withoutLeader()
	c.log.Put("state", jobID(0), []byte("{"))
	require.Equal(t, unavailableReply, c.stateAt(c.follower(), 0))
}

// Guards against a job that was forgotten and is told as running from what one partition still has of it.
func TestAForgottenJobIsNotToldAsRunning(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	long := time.Now().Add(-time.Hour)
	c.putRecord(0, 0, 1, "running", long)
	c.putRecord(0, 1, 1, "running", long)
	c.log.Put("jobs", jobID(1), []byte("{}"))
	c.log.Put("jobs", jobID(2)+"!", []byte("1"))
	c.withoutLeader()
	h := c.follower()
	require.Equal(t, missingReply, c.stateAt(h, 0))
	require.Equal(t, runningReply, c.stateAt(h, 1), "it was accepted and not forgotten")
	require.Equal(t, missingReply, c.stateAt(h, 2), "it was cancelled and never accepted")
}

// fakeLeader is a host that leads a term and tells one state, or none.
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

// Guards against a question that stays with a lead that was succeeded.
func TestTheNextLeadIsAskedAsWell(t *testing.T) {
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

// Guards against a question that stays with a lead that another host has fenced off.
func TestAHostThatHasClaimedIsAskedAsWell(t *testing.T) {
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

// Guards against a job that a lead tells as missing since it could not read what is stored of it.
func TestALeadDoesNotTellAJobThatItCannotReadAsMissing(t *testing.T) {
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

// Guards against hosts that tell nothing of jobs that run while the lead is reached and does not answer.
func TestRunningJobsAreToldWhileTheLeadDoesNotAnswer(t *testing.T) {
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

// Guards against pages that are read again for each ended job that stands on them.
func TestEndsThatStandOnAPageAreKept(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	for n := range 2 {
		c.putRecord(0, n, 1, "completed", time.Now())
	}
	c.withoutLeader()
	h := c.follower()
	require.Equal(t, completedReply, c.stateAt(h, 0))
	require.True(t, h.KnowsFinalStates(jobID(1)))
}

// Guards against a caller who is kept waiting at a host that is cut off from lead and store.
func TestAHostThatIsCutOffRefusesBeforeTheDeadline(t *testing.T) {
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

// Guards against a question that stays open though the host has learned the job's end since.
func TestAnEndThatIsLearnedMeanwhileIsTold(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	h := c.follower()
	c.log.BreakReads("state", users.Silent)
	h.LearnLeader("silent", c.fakeLeader(""), 1<<40)
	reported := make(chan string, 1)
	go func() { reported <- c.stateAt(h, 0) }()
	time.Sleep(100 * time.Millisecond)
	h.SyncPositionAfter(peer.SyncReply{Lead: true, Term: 1 << 40, Ended: map[string][]string{"completed": {jobID(0)}}})
	require.Equal(t, completedReply, <-reported)
}
