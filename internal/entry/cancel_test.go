package entry_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/entry"
	"pollencroft/internal/flow"
	"pollencroft/internal/standin/users"
	"pollencroft/internal/store"
)

const cancelledReply = `200 {"state":"cancelled"}`

// cancelAt cancels a job at a host.
func (c *cluster) cancelAt(h *testHost, n int) response {
	return c.call(h.cfg.Listen.Caller, http.MethodDelete, prefix+jobID(n), "")
}

// storeSubmission stores a submission that no host knows of, as a store does that answers late.
func (c *cluster) storeSubmission(n int) {
	step := flow.Step{Tasks: 1, Size: cell.Size{CPU: 500, Mem: 1 << 28}, EstimatedTime: 200 * time.Millisecond}
	spec, err := json.Marshal(flow.Spec{ID: jobID(n), Queue: flow.Queue{Name: "scan", Service: "pass", Attempts: 3}, Steps: []flow.Step{step}})
	require.NoError(c.t, err)
	c.log.Put("jobs", jobID(n), spec)
}

// storedRequests lists the keys of the requests in the store, except empty ones.
func (c *cluster) storedRequests() []string {
	var keys []string
	for part := range 16 {
		a, err := c.log.For("").Do(c.t.Context(), store.Call{Op: store.Newest, Topic: "jobs", Part: part})
		require.NoError(c.t, err)
		for _, r := range a.Records {
			keys = append(keys, r.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// killAll kills all hosts and starts them again.
func (c *cluster) killAll() {
	for _, h := range c.hosts {
		h.Kill()
	}
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		c.start(name)
	}
	c.waitReady()
}

// Guards against a job that runs although its caller was told that there is no such job when it was
// cancelled, because its submission was still under way.
func TestCancellationHoldsForASubmissionThatComesLater(t *testing.T) {
	submitAt := func(choose func(c *cluster, asked *testHost) *testHost) func(*cluster, *testHost) {
		return func(c *cluster, asked *testHost) {
			require.Equal(c.t, http.StatusOK, c.submit(choose(c, asked), 1).code)
		}
	}
	other := func(c *cluster, asked *testHost) *testHost {
		for _, h := range c.hosts {
			if h != asked {
				return h
			}
		}
		return nil
	}
	atOther := submitAt(other)
	for name, comes := range map[string]func(c *cluster, asked *testHost){
		"at_another_host":   atOther,
		"at_the_same_host":  submitAt(func(_ *cluster, asked *testHost) *testHost { return asked }),
		"at_the_leader":     submitAt(func(c *cluster, _ *testHost) *testHost { return c.leader() }),
		"late_in_the_store": func(c *cluster, _ *testHost) { c.storeSubmission(1) },
		"twice": func(c *cluster, asked *testHost) {
			atOther(c, asked)
			c.storeSubmission(1)
		},
		"after_the_leader_was_killed": func(c *cluster, asked *testHost) {
			leader := c.leader()
			leader.Kill()
			delete(c.hosts, leader.cfg.Name)
			c.waitReady()
			atOther(c, asked)
		},
		"while_no_host_leads": func(c *cluster, asked *testHost) {
			c.storeSubmission(1)
			leader := c.leader()
			leader.Kill()
			delete(c.hosts, leader.cfg.Name)
			c.waitReady()
		},
		"after_all_hosts_were_killed": func(c *cluster, asked *testHost) {
			c.killAll()
			atOther(c, asked)
		},
		"late_after_all_hosts_were_killed": func(c *cluster, _ *testHost) {
			c.killAll()
			c.storeSubmission(1)
		},
	} {
		for _, follower := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/follower_%t", name, follower), func(t *testing.T) {
				c := newCluster(t, 3, 1, 100*time.Millisecond)
				asked := c.leader()
				if follower {
					asked = c.follower()
				}
				require.Equal(t, http.StatusGone, c.cancelAt(asked, 1).code)
				c.waitForLog("cancelled before submission")
				comes(c, asked)
				require.Eventually(t, func() bool { return c.stateAt(c.leader(), 1) == cancelledReply }, waitTimeout, 20*time.Millisecond)
				time.Sleep(300 * time.Millisecond)
				require.Empty(t, c.checker.Runs())
			})
		}
	}
}

// Guards against a cancellation that is kept for good for a job that never comes, and against one that
// a leader that takes over keeps for longer.
func TestCancellationOfAJobThatNeverComesIsForgotten(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover_%t", takeover), func(t *testing.T) {
			const keep = 4 * time.Second
			short := func(s *entry.Settings) { s.Times.Keep = entry.Duration(keep) }
			c := &cluster{t: t, change: short}
			c.startAll(2, 1, 20*time.Millisecond)
			began := time.Now()
			require.Equal(t, http.StatusGone, c.cancelAt(c.follower(), 1).code)
			require.Equal(t, []string{jobID(1) + "!"}, c.storedRequests())
			if takeover {
				time.Sleep(keep / 2)
				c.killAll()
			}
			require.Eventually(t, func() bool { return len(c.storedRequests()) == 0 }, waitTimeout, 20*time.Millisecond)
			require.Greater(t, time.Since(began), keep)
			require.Less(t, time.Since(began), 2*keep)
			require.Equal(t, http.StatusOK, c.submit(c.follower(), 1).code)
			require.Eventually(t, func() bool { return c.stateAt(c.leader(), 1) == completedReply }, waitTimeout, 20*time.Millisecond)
		})
	}
}

// Guards against callers that fill the store and the leader with cancellations of jobs that never come,
// and against jobs that cannot be cancelled meanwhile.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	c := newCluster(t, 2, 1, 10*time.Second)
	h := c.follower()
	require.Equal(t, http.StatusOK, c.submit(h, 0).code)
	require.Equal(t, http.StatusGone, c.cancelAt(h, 1).code)
	h.FillEarlyCancels()
	before := c.storedRequests()
	a := c.cancelAt(h, 2)
	require.Equal(t, http.StatusTooManyRequests, a.code)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Equal(t, before, c.storedRequests())
	require.Equal(t, http.StatusGone, c.cancelAt(h, 1).code, "it is stored already")
	require.Equal(t, http.StatusOK, c.cancelAt(h, 0).code, "the job is known")
	require.Equal(t, http.StatusGone, c.cancelAt(c.leader(), 2).code, "the other host stores its share")
}

// Guards against a share of the limit that never becomes free, and against callers who are told to
// return when it is not.
func TestShareOfEarlyCancellationsBecomesFree(t *testing.T) {
	const keep, limit = time.Minute, 3
	e, now := entry.NewEarlyCancels(keep), time.Unix(1_000_000, 0)
	for i := range 2 * limit {
		wait, full := e.Take(now, limit, jobID(i))
		require.Equal(t, i >= limit, full, i)
		if full {
			require.Equal(t, keep-time.Duration(i)*time.Second, wait)
		}
		now = now.Add(time.Second)
	}
	now = now.Add(keep - 2*limit*time.Second + time.Millisecond)
	_, full := e.Take(now, limit, jobID(9))
	require.False(t, full, "the first one has expired")
	_, full = e.Take(now, limit, jobID(10))
	require.True(t, full)
}

// Guards against a caller who cancels another organisation's job before that job comes.
func TestCancellationOfAnUnknownJobBelongsToItsOrganisation(t *testing.T) {
	c := organisationsCluster(t, 2)
	for _, path := range []string{prefix, "/open/"} {
		key := map[string]string{prefix: "kb"}[path]
		require.Equal(t, http.StatusGone, c.callAs(c.follower(), key, http.MethodDelete, path+jobID(1), "").code)
	}
	require.Equal(t, http.StatusOK, c.callAs(c.leader(), "ka", http.MethodPost, prefix+jobID(1), oneTask).code)
	c.waitCompletedAs(c.follower(), "ka", prefix+jobID(1))
	require.Equal(t, http.StatusGone, c.callAs(c.follower(), "ka", http.MethodDelete, prefix+jobID(2), "").code)
	require.Eventually(t, func() bool { return strings.Count(c.logs.String(), "cancelled before submission") == 3 }, waitTimeout, 20*time.Millisecond)
	require.Equal(t, http.StatusOK, c.callAs(c.leader(), "ka", http.MethodPost, prefix+jobID(2), oneTask).code)
	require.Eventually(t, func() bool {
		return c.callAs(c.follower(), "ka", http.MethodGet, prefix+jobID(2), "").body == `{"state":"cancelled"}`
	}, waitTimeout, 20*time.Millisecond)
	require.Len(t, c.checker.Runs(), 1)
}

// Guards against a host that reports a job as missing whose submission it has sent to the store without
// an answer.
func TestSubmissionWithoutAnAnswerIsNotReportedMissing(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Millisecond)
	c.deadline = 500 * time.Millisecond
	h := c.follower()
	c.log.BreakAppends("jobs", users.Silent)
	require.Equal(t, http.StatusGatewayTimeout, c.submit(h, 1).code)
	require.Equal(t, unavailableReply, c.stateAt(h, 1))
	require.Equal(t, missingReply, c.stateAt(h, 2))
	c.log.BreakAppends("jobs", users.None)
	codes := map[int]bool{}
	for until := time.Now().Add(waitTimeout); !codes[http.StatusOK] && time.Now().Before(until); {
		codes[c.cancelAt(h, 1).code] = true
	}
	require.True(t, codes[http.StatusOK])
	require.NotContains(t, codes, http.StatusGone)
}
