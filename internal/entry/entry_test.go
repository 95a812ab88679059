package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/entry"
	"pollencroft/internal/peer"
	"pollencroft/internal/standin/users"
	"pollencroft/internal/store"
)

func TestJobIsAcceptedRunAndReportedCompleted(t *testing.T) {
	c := newCluster(t, 3, 4, 50*time.Millisecond)
	f := c.follower()
	require.Equal(t, http.StatusOK, c.submit(f, 0).code)
	c.waitCompleted(c.leader(), 1)
	require.Len(t, c.checker.Runs(), 7)
	require.Empty(t, c.checker.Violations())
	code, body := c.get(f.cfg.Listen.Caller, prefix)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, `{"pending":0}`, body)
}

// The leader's metrics show how long jobs waited until their first start, for what reasons, and
// how long the store took. They serve to find out why jobs were late.
func TestLeaderServesHistogramsOfWaits(t *testing.T) {
	c := newCluster(t, 1, 2, 50*time.Millisecond)
	leader := c.leader()
	require.Equal(t, http.StatusOK, c.submit(leader, 0).code)
	c.waitCompleted(leader, 1)
	code, body := c.get(leader.cfg.Listen.Metrics, "/metrics")
	require.Equal(t, http.StatusOK, code)
	for _, name := range []string{"caller.store", "lead.append", "job.start.rank0", "step.wait.rank0"} {
		require.Contains(t, body, "timer "+name+"\n")
	}
}

func TestUnknownQueuesAndJobsAreRefused(t *testing.T) {
	c := newCluster(t, 2, 1, 50*time.Millisecond)
	for _, h := range c.hosts {
		code, _ := c.get(h.cfg.Listen.Caller, "/nowhere/"+jobID(1))
		require.Equal(t, http.StatusNotFound, code)
		code, _ = c.get(h.cfg.Listen.Caller, prefix+jobID(1))
		require.Equal(t, http.StatusGone, code)
		require.Equal(t, http.StatusGone, c.call(h.cfg.Listen.Caller, http.MethodDelete, prefix+jobID(1), "").code)
	}
}

// A body that is not a valid job gets a 4xx reply that names the field, and nothing is stored.
func TestInvalidBodyIsRefusedAndNeverStored(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	h := c.leader()
	bad := map[string]string{
		`{"spec":5}`:                                   "spec",
		`{"steps":[]}`:                                 "steps",
		`{"steps":[{"count":0}]}`:                      "steps[0].count",
		`{"steps":[{"count":1,"cpu":-1}]}`:             "steps[0].size",
		`{"steps":[{"count":1,"after":[0]}]}`:          "steps[0].after",
		`{"steps":[{"count":1,"after":"x"}]}`:          "after",
		`not json`:                                     "decode",
		strings.Repeat(`{"steps":`, 3000):              "",
		`{"spec":"` + strings.Repeat("x", 5000) + `"}`: "spec",
	}
	for body, field := range bad {
		a := c.call(h.cfg.Listen.Caller, http.MethodPost, prefix+jobID(9), body)
		require.GreaterOrEqual(t, a.code, 400, body)
		require.Less(t, a.code, 500, body)
		require.Contains(t, a.body, field)
	}
	code, _ := c.get(h.cfg.Listen.Caller, prefix+jobID(9))
	require.Equal(t, http.StatusGone, code)
}

// The leader dies while tasks run. Another host takes over within seconds, continues with the
// running tasks, and starts nothing twice.
func TestAnotherHostLeadsAfterTheLeaderDies(t *testing.T) {
	c := newCluster(t, 3, 4, 600*time.Millisecond)
	f := c.follower()
	for n := range 6 {
		require.Equal(t, http.StatusOK, c.submit(f, n).code)
	}
	time.Sleep(300 * time.Millisecond)
	dead := c.leader()
	dead.Kill()
	delete(c.hosts, dead.cfg.Name)
	c.waitCompleted(f, 6)
	require.Empty(t, c.checker.Violations())
}

// All hosts die at once, right after jobs were acknowledged, so that only the records in the
// store remain. Every job that was reported as accepted completes.
func TestAcceptedJobsSurviveAllHosts(t *testing.T) {
	c := newCluster(t, 3, 4, 300*time.Millisecond)
	for n := range 6 {
		require.Equal(t, http.StatusOK, c.submit(c.follower(), n).code)
	}
	for _, h := range c.hosts {
		h.Kill()
	}
	for name := range c.hosts {
		c.start(name)
	}
	c.waitReady()
	c.waitCompleted(c.follower(), 6)
	require.Empty(t, c.checker.Violations())
	for task, n := range c.checker.Runs() {
		require.Equal(t, 1, n, task)
	}
}

// The leader is stopped as planned under load. Callers that keep sending to the other hosts see
// no failure.
func TestPlannedStopOfTheLeaderFailsNoRequest(t *testing.T) {
	c := newCluster(t, 3, 4, 200*time.Millisecond)
	old, f := c.leader(), c.follower()
	done := make(chan struct{})
	go func() {
		defer close(done)
		old.Stop()
	}()
	jobs := 0
	for stopped := false; !stopped || jobs < 10; jobs++ {
		select {
		case <-done:
			stopped = true
		default:
		}
		require.Equal(t, http.StatusOK, c.submit(f, jobs).code)
		time.Sleep(50 * time.Millisecond)
	}
	delete(c.hosts, old.cfg.Name)
	old.Kill()
	c.waitCompleted(f, jobs)
	require.Empty(t, c.checker.Violations())
}

// The store refuses one host and serves the others. Callers of that host are still served,
// through a peer.
func TestHostRefusedByTheStoreServesThroughAPeer(t *testing.T) {
	c := newCluster(t, 3, 3, 50*time.Millisecond)
	f := c.follower()
	for i, fault := range []users.Fault{users.Busy, users.Silent, users.Lost} {
		c.log.Break(f.cfg.Name, fault)
		require.Equal(t, http.StatusOK, c.submit(f, i).code, "fault %d", fault)
		c.log.Break(f.cfg.Name, users.None)
	}
	c.waitCompleted(f, 3)
	require.Empty(t, c.checker.Violations())
}

// The store refuses all hosts. Callers are told so at once and not at their deadline, with a time
// for a retry. The refused job does not run later.
func TestStoreOutageIsReportedAtOnce(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	h := c.follower()
	c.log.Break("", users.Busy)
	began := time.Now()
	a := c.submit(h, 0)
	require.Equal(t, http.StatusServiceUnavailable, a.code)
	require.Equal(t, "1", a.header.Get("Retry-After"))
	require.Less(t, time.Since(began), 1500*time.Millisecond)
	require.Eventually(t, func() bool {
		code, _ := c.get(h.cfg.Listen.Ready, "/pollencroft/ready")
		return code == http.StatusServiceUnavailable
	}, waitTimeout, 20*time.Millisecond, "a host that cannot accept jobs is not ready")
	c.log.Break("", users.None)
	c.waitReady()
	code, _ := c.get(h.cfg.Listen.Caller, prefix+jobID(0))
	require.Equal(t, http.StatusGone, code)
}

// The store executes appends, but no answer arrives. The job may run, so it must not be reported
// as refused.
func TestAppendWithoutAnAnswerIsNeverARefusal(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	h := c.follower()
	c.log.Break("", users.Lost)
	a := c.submit(h, 0)
	require.Equal(t, http.StatusGatewayTimeout, a.code)
	c.log.Break("", users.None)
	c.waitReady()
	c.waitCompleted(h, 1)
}

// Guards against a job that is reported as refused although an earlier request for it may be stored:
// the request that a caller sends again after it had no answer is refused.
func TestRefusedRepetitionOfAnUnansweredRequestIsNotARefusal(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	h := c.follower()
	c.log.BreakAppends("jobs", users.Lost)
	require.Equal(t, http.StatusGatewayTimeout, c.submit(h, 0).code)
	c.log.BreakAppends("jobs", users.Busy)
	require.Eventually(t, func() bool { return c.submit(h, 1).code == http.StatusServiceUnavailable }, waitTimeout, 20*time.Millisecond)
	a := c.submit(h, 0)
	require.Equal(t, http.StatusGatewayTimeout, a.code)
	require.Equal(t, "1", a.header.Get("Retry-After"))
	c.log.BreakAppends("jobs", users.None)
	c.waitCompleted(h, 1)
}

// Guards against a repeated request for a stored job that is reported as refused while the store is
// down.
func TestRefusedRepetitionOfAStoredRequestIsAccepted(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	h := c.follower()
	require.Equal(t, http.StatusOK, c.submit(h, 0).code)
	c.log.BreakAppends("jobs", users.Busy)
	require.Equal(t, http.StatusServiceUnavailable, c.submit(h, 1).code)
	require.Equal(t, http.StatusOK, c.submit(h, 0).code)
	c.log.BreakAppends("jobs", users.None)
	c.waitCompleted(h, 1)
	code, _ := c.get(h.cfg.Listen.Caller, prefix+jobID(1))
	require.Equal(t, http.StatusGone, code)
}

// Orders to workers get no answer, whether they were executed or not. Each task runs in one place
// at a time and completes.
func TestOrdersWithoutAnAnswerRunNothingTwice(t *testing.T) {
	for _, done := range []bool{true, false} {
		c := newCluster(t, 1, 3, 300*time.Millisecond)
		for _, w := range c.workers {
			w.DropOrders(3, done)
		}
		require.Equal(t, http.StatusOK, c.submit(c.leader(), 0).code)
		c.waitCompleted(c.leader(), 1)
		require.Empty(t, c.checker.Violations())
	}
}

// Other writers store worker entries too: undecodable bytes, fields of a wrong type, values that are
// nested too deeply or out of range, unknown states and services. Such entries are ignored, and the valid ones are used.
func TestUndecodableWorkerEntryIsIgnored(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	for i, text := range []string{"\x00\xff", `{}`, `[]`, `{"service":5}`, `{"service":"pass","address":"nowhere","state":"ready"}`,
		`{"service":"pass","address":"127.0.0.1:1","state":"asleep","capacity":{"cpu":1,"memMb":1}}`,
		`{"service":"pass","address":"127.0.0.1:1","state":"ready"}`,
		strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000), `{"service":"pass","address":"127.0.0.1:70000","state":"ready","capacity":{"cpu":1,"memMb":1}}`,
		`{"service":"pass","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":1e400,"memMb":1}}`} {
		c.log.Put("servers", fmt.Sprintf("bad%d", i), []byte(text))
	}
	require.Eventually(t, func() bool { return strings.Count(c.logs.String(), "entry passed over") == 10 }, waitTimeout, 20*time.Millisecond)
	require.Equal(t, http.StatusOK, c.submit(c.leader(), 0).code)
	c.waitCompleted(c.leader(), 1)
}

// Guards against a list of workers that the next leader can't read for one record that is nested too deeply.
func TestLeaderReadsAListWithADeeplyNestedRecord(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	c.log.Put("servers", "w0a", []byte(`{}`))
	c.log.AddField("w0a", strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000))
	old := c.leader()
	delete(c.hosts, old.cfg.Name)
	old.Kill()
	require.Eventually(t, func() bool { return c.follower() == nil }, waitTimeout, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, c.submit(c.leader(), 0).code)
	c.waitCompleted(c.leader(), 1)
}

// Guards against tasks that are started beyond the capacity of a worker that has shrunk.
func TestAWorkerThatShrinksIsNotOverfilled(t *testing.T) {
	c := newCluster(t, 1, 1, time.Second)
	w, h := c.workers[0], c.leader()
	resize := func(cpu int64) {
		w.Resize(cpu, 0)
		c.log.Put("servers", w.ID, w.Entry("pass", "zone0"))
	}
	require.Equal(t, http.StatusOK, c.submit(h, 0).code)
	require.Eventually(t, func() bool { return w.Running() == 4 }, waitTimeout, 10*time.Millisecond)
	resize(2 * users.TaskCPU)
	require.Eventually(t, func() bool { return strings.Contains(c.logs.String(), "worker resized") }, waitTimeout, 10*time.Millisecond)
	for n := range 3 {
		require.Equal(t, http.StatusOK, c.submit(h, 1+n).code)
	}
	c.waitCompleted(h, 2)
	resize(64 * users.TaskCPU)
	c.waitCompleted(h, 4)
	for task, n := range c.checker.Runs() {
		require.Equal(t, 1, n, task)
	}
	require.Empty(t, c.checker.Violations())
}

// Guards against new starts, and lost runs, on a worker whose entry can no longer be decoded.
func TestWorkerWhoseEntryTurnsInvalidKeepsItsRuns(t *testing.T) {
	for name, text := range map[string]string{
		"unreadable": "\x00\xff", "no capacity": `{"service":"pass","address":%q,"state":"ready"}`,
		"no state": `{"service":"pass","address":%q,"capacity":{"cpu":64000,"memMb":262144}}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1, 2*time.Second)
			w, h := c.workers[0], c.leader()
			require.Equal(t, http.StatusOK, c.submit(h, 0).code)
			require.Eventually(t, func() bool { return w.Running() == 4 }, waitTimeout, 10*time.Millisecond)
			if strings.Contains(text, "%q") {
				text = fmt.Sprintf(text, w.Address())
			}
			c.log.Put("servers", w.ID, []byte(text))
			require.Eventually(t, func() bool { return strings.Contains(c.logs.String(), "entry passed over") }, waitTimeout, 10*time.Millisecond)
			require.Equal(t, http.StatusOK, c.submit(h, 1).code)
			require.Never(t, func() bool { return w.Running() > 4 }, time.Second, 10*time.Millisecond)
			c.log.Put("servers", w.ID, w.Entry("pass", "zone0"))
			c.waitCompleted(h, 2)
			for task, n := range c.checker.Runs() {
				require.Equal(t, 1, n, task)
			}
			require.Empty(t, c.checker.Violations())
		})
	}
}

// Operators publish a table that adds a queue, and afterwards an older record and a damaged one
// are stored. Every host follows the newest table and none goes back.
func TestTableIsFollowedAndNeverGoesBack(t *testing.T) {
	c := newCluster(t, 2, 1, 50*time.Millisecond)
	more := `,{"name":"print","host":"jobs.example","pathPrefix":"/print/","service":"pass"}`
	c.log.Put("op", "config", fmt.Appendf(nil, tableText, 5, more))
	for _, h := range c.hosts {
		require.Eventually(t, func() bool {
			code, _ := c.get(h.cfg.Listen.Caller, "/print/")
			return code == http.StatusOK
		}, waitTimeout, 10*time.Millisecond)
	}
	c.log.Put("op", "config", fmt.Appendf(nil, tableText, 4, ""))
	c.log.Put("op", "config", []byte("{"))
	time.Sleep(100 * time.Millisecond)
	for _, h := range c.hosts {
		code, _ := c.get(h.cfg.Listen.Caller, "/print/")
		require.Equal(t, http.StatusOK, code)
	}
}

// A job is cancelled while it runs. Its tasks are stopped, and it stays cancelled under the next
// leader.
func TestCancelledJobStaysCancelled(t *testing.T) {
	c := newCluster(t, 2, 2, 5*time.Second)
	h, f := c.leader(), c.follower()
	require.Equal(t, http.StatusOK, c.submit(h, 0).code)
	running := func() int { return c.workers[0].Running() + c.workers[1].Running() }
	require.Eventually(t, func() bool { return running() == 4 }, waitTimeout, 5*time.Millisecond)
	require.Equal(t, http.StatusOK, c.call(h.cfg.Listen.Caller, http.MethodDelete, prefix+jobID(0), "").code)
	require.Eventually(t, func() bool { return running() == 0 }, waitTimeout, 5*time.Millisecond)
	h.Kill()
	delete(c.hosts, h.cfg.Name)
	require.Eventually(t, func() bool {
		_, body := c.get(f.cfg.Listen.Caller, prefix+jobID(0))
		return body == `{"state":"cancelled"}`
	}, waitTimeout, 20*time.Millisecond)
	require.Zero(t, running())
}

// Hosts differ in power. The leader has the most work, so leadership goes to a host that is much
// stronger; on a weak host every start would wait for CPU time.
func TestStrongestHostLeads(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	strong := c.start("strong", func(cfg *entry.Settings) { cfg.Power = 4 })
	require.Eventually(t, strong.Leading, waitTimeout, 20*time.Millisecond)
	c.waitReady()
	require.Equal(t, http.StatusOK, c.submit(c.follower(), 0).code)
	c.waitCompleted(c.follower(), 1)
	require.Empty(t, c.checker.Violations())
}

// A host claims leadership and takes seconds to read the state that it takes over, and the
// candidate group names another host in the meantime. If that host claimed as well, the two would
// fence each other off in turn, nothing would be scheduled, and callers would wait forever.
func TestNoHostClaimsDuringAnotherClaim(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	busy := peer.NewServer(func(context.Context, peer.Message) (any, error) { return peer.SyncReply{Claiming: true}, nil })
	served := make(chan struct{})
	go func() {
		defer close(served)
		busy.Serve(ctx, ln)
	}()
	h := c.leader()
	h.Kill()
	c.log.Put("state", "!", fmt.Appendf(nil, "other %s life 1 nonce", ln.Addr()))
	c.log.Put("lead", "0", fmt.Appendf(nil, `{"name":"other","addr":"%s","term":999}`, ln.Addr()))
	h = c.start(h.cfg.Name)
	require.Never(t, h.Leading, 2*time.Second, 50*time.Millisecond)
	cancel()
	<-served
	require.Eventually(t, h.Leading, waitTimeout, 20*time.Millisecond)
}

// The candidate group lists a host with much more power that cannot be reached. The others may
// ask it to lead once, and then one of them leads.
func TestUnreachableStrongHostIsNotAskedForever(t *testing.T) {
	c := newCluster(t, 2, 1, 50*time.Millisecond)
	join := store.Call{Op: store.Join, Group: "hosts", Member: "ghost 127.0.0.1:1 life 100", Topics: []string{"lead"}, TTL: time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		for ctx.Err() == nil {
			_, _ = c.log.For("ghost").Do(ctx, join)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	dead, f := c.leader(), c.follower()
	dead.Kill()
	delete(c.hosts, dead.cfg.Name)
	require.Eventually(t, f.Leading, waitTimeout, 20*time.Millisecond)
	cancel()
	<-joined
}

// Guards against a host that reports an earlier state of a job than the leader reported before.
func TestUnknownStateIsNotReported(t *testing.T) {
	c := newCluster(t, 2, 2, 700*time.Millisecond)
	leader, f := c.leader(), c.follower()
	require.Equal(t, http.StatusOK, c.submit(f, 0).code)
	require.Eventually(t, func() bool {
		_, body := c.get(leader.cfg.Listen.Caller, prefix+jobID(0))
		return body == `{"state":"running"}`
	}, waitTimeout, 10*time.Millisecond)
	c.log.Break("", users.Silent)
	leader.Kill()
	delete(c.hosts, leader.cfg.Name)
	for range 10 {
		a := c.call(f.cfg.Listen.Caller, http.MethodGet, prefix+jobID(0), "")
		require.Equal(t, http.StatusServiceUnavailable, a.code, a.body)
		require.NotEmpty(t, a.header.Get("Retry-After"))
	}
	c.log.Break("", users.None)
	c.waitCompleted(f, 1)
}

// Guards against a host that forgets a final state that it has already reported.
func TestReportedFinalStateIsReportedAgain(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	leader, f := c.leader(), c.follower()
	require.Equal(t, http.StatusOK, c.submit(f, 0).code)
	c.waitCompleted(f, 1)
	c.log.Break("", users.Silent)
	leader.Kill()
	delete(c.hosts, leader.cfg.Name)
	for range 10 {
		require.Equal(t, map[string]int{completedReply: 1}, c.statesAt(f, 1))
	}
}

// A caller moves to another failure domain and sends its jobs again there with the same ids, while
// they run and after they have ended. Each task runs once, and all hosts report the same state.
func TestJobSentAgainElsewhereRunsOnce(t *testing.T) {
	const jobs = 12
	c := newCluster(t, 3, 4, 150*time.Millisecond)
	send := func(h *testHost) {
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() {
				if a := c.submit(h, n); a.code != http.StatusOK {
					t.Errorf("job %d at %s: %d", n, h.cfg.Name, a.code)
				}
			})
		}
		wg.Wait()
	}
	for _, name := range []string{"h0", "h1", "h2"} {
		send(c.hosts[name])
	}
	c.waitCompleted(c.hosts["h2"], jobs)
	send(c.hosts["h0"])
	for n := range jobs {
		want := ""
		for _, h := range c.hosts {
			code, body := c.get(h.cfg.Listen.Caller, prefix+jobID(n))
			require.Equal(t, http.StatusOK, code)
			require.Contains(t, body, "completed")
			if want == "" {
				want = body
			}
			require.Equal(t, want, body, h.cfg.Name)
		}
	}
	require.Empty(t, c.checker.Violations())
	for task, n := range c.checker.Runs() {
		require.Equal(t, 1, n, task)
	}
}
