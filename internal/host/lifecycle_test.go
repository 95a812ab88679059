package host_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/joblog"
	"pollencroft/internal/platform"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

func (c *cluster) setLogDown(down bool) {
	c.cell.Platform.SetFaults(standin.PlatformFaults{Down: down})
}

// fillWorkers occupies every worker with one large task, so that further jobs wait. It returns a
// function that frees the workers again.
func (c *cluster) fillWorkers() (free func()) {
	var ids []string
	c.waitFor("all workers are full", func() bool {
		full := 0
		for _, w := range c.cell.Workers {
			if len(w.Record().Started) > 0 {
				full++
			}
		}
		if full < len(c.cell.Workers) {
			ids = append(ids, c.submit(client.Job{Tasks: 1, Size: client.Size{CPU: 4000, Mem: 1 << 20}, Time: 3600}).ID)
		}
		return full == len(c.cell.Workers)
	})
	return func() {
		for _, id := range ids {
			var s client.JobStatus
			var err error
			c.Cleanup(func() {
				if c.Failed() {
					c.Log("blocker", id, s, err)
				}
			})
			c.waitFor("blocking job is cancelled", func() bool {
				s, err = c.anyClient("").Cancel(context.Background(), id)
				return err == nil && (s.Outcome == "stopped" || s.Outcome == "not run")
			})
		}
	}
}

// waitRenewals waits until the lease of every worker was renewed this many times more.
func (c *cluster) waitRenewals(times int) {
	for _, w := range c.cell.Workers {
		before := w.Record().Renewed
		c.waitFor("worker is renewed", func() bool { return w.Record().Renewed >= before+times })
	}
}

func (c *cluster) cancel(id string) string {
	outcome := ""
	c.waitFor("cancellation is answered", func() bool {
		s, err := c.anyClient("").Cancel(context.Background(), id)
		outcome = s.Outcome
		return err == nil
	})
	return outcome
}

// requireEndsOnce waits for the job's end and checks that each task ran to its end once.
func (c *cluster) requireEndsOnce(id string, tasks int) {
	c.Helper()
	c.waitFor("job ends", func() bool { return c.state(id) == "ended" })
	_, ended := c.countRuns(id)
	require.Equal(c, tasks, ended)
	c.requireNoDoubleRuns()
}

// The leader dies at each step of a job's life cycle, with the log unavailable before, during or
// after. What the caller was told must remain true: all tasks of an accepted job run to their
// end, and none runs in two places.
func TestLeaderDiesAtEveryStep(t *testing.T) {
	for name, scenario := range map[string]func(c *cluster){
		"accepted, no start sent": func(c *cluster) {
			free := c.fillWorkers()
			s := c.submit(smallJob(2, 0.2))
			c.kill(c.leaderOf(s.ID))
			free()
			c.requireEndsOnce(s.ID, 2)
		},
		"starts sent, answers lost": func(c *cluster) {
			for _, w := range c.cell.Workers {
				w.SetFaults(standin.WorkerFaults{LoseAnswers: 1})
			}
			s := c.submit(smallJob(8, 1))
			c.waitFor("tasks run", func() bool { started, _ := c.countRuns(s.ID); return started > 0 })
			c.kill(c.leaderOf(s.ID))
			c.requireEndsOnce(s.ID, 8)
		},
		"starts sent, workers paused": func(c *cluster) {
			for _, w := range c.cell.Workers {
				w.SetFaults(standin.WorkerFaults{Paused: true})
			}
			s := c.submit(smallJob(8, 1))
			c.kill(c.leaderOf(s.ID))
			for _, w := range c.cell.Workers {
				w.SetFaults(standin.WorkerFaults{})
			}
			c.requireEndsOnce(s.ID, 8)
		},
		"all tasks ended, end not in the log, both keepers die": func(c *cluster) {
			s := c.submit(smallJob(4, 0.3))
			c.waitFor("tasks run", func() bool { started, _ := c.countRuns(s.ID); return started == 4 })
			c.setLogDown(true)
			c.waitFor("the leader knows the end", func() bool { return c.state(s.ID) == "ended" })
			c.waitRenewals(2)
			c.kill(c.leaderOf(s.ID))
			// The first other host in order of name is the one that was told of the end.
			for _, name := range c.names {
				if c.hosts[name] != nil {
					c.kill(name)
					break
				}
			}
			c.setLogDown(false)
			c.requireEndsOnce(s.ID, 4)
			started, _ := c.countRuns(s.ID)
			require.Equal(c, 4, started, "an ended task ran again")
		},
		"kept by peers, log away before": func(c *cluster) {
			free := c.fillWorkers()
			c.setLogDown(true)
			s := c.submit(smallJob(2, 0.2))
			require.Equal(c, "peers", s.Kept)
			c.kill(c.leaderOf(s.ID))
			c.setLogDown(false)
			free()
			c.requireEndsOnce(s.ID, 2)
		},
		"tasks run, log away during and after": func(c *cluster) {
			s := c.submit(smallJob(8, 6))
			c.waitFor("tasks run", func() bool { started, _ := c.countRuns(s.ID); return started > 0 })
			c.setLogDown(true)
			c.kill(c.leaderOf(s.ID))
			c.waitFor("the next leader holds all workers", func() bool { return c.heldCount() == 4 })
			c.setLogDown(false)
			c.requireEndsOnce(s.ID, 8)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario(newCluster(t, 3))
		})
	}
}

// cancelWait is how long a cancellation waits for the end to be stored.
const cancelWait = time.Second

// A job is cancelled before it started, its caller is told that it did not run, and then the
// host that said so dies. The next leader finds the job in the log and must not run it. If the
// log takes longer than a caller is kept waiting, the caller gets "unknown" first, and "not run"
// only once the end is stored.
func TestNotRunStaysTrueAfterTheLeaderDied(t *testing.T) {
	t.Parallel()
	for name, slow := range map[string]time.Duration{"the log is quick": 0, "the log is slow": cancelWait + 200*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3)
			free := c.fillWorkers()
			s := c.submit(smallJob(2, 0.2))
			c.cell.Platform.SetFaults(standin.PlatformFaults{Slow: slow})
			began := time.Now()
			if outcome := c.cancel(s.ID); outcome != "not run" {
				require.Equal(t, "unknown", outcome)
				require.GreaterOrEqual(t, time.Since(began), cancelWait, "the cancellation did not wait for the end")
				c.waitFor("not run is reported", func() bool {
					got, err := c.anyClient("").Job(context.Background(), s.ID)
					return err == nil && got.Outcome == "not run"
				})
			}
			c.cell.Platform.SetFaults(standin.PlatformFaults{})
			c.kill(c.leaderOf(s.ID))
			free()
			after := c.submit(smallJob(1, 0.1))
			c.requireEndsOnce(after.ID, 1)
			c.waitFor("every host knows the end", func() bool { return c.state(s.ID) == "cancelled" })
			started, _ := c.countRuns(s.ID)
			require.Zero(t, started)
		})
	}
}

// The log is unavailable when a job is cancelled. The end is not stored anywhere where the next
// leader would certainly find it, so the caller gets "unknown", and "not run" only after the log
// contains the end.
func TestCancelWhileTheLogIsAwayIsUnknownAtFirst(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	free := c.fillWorkers()
	s := c.submit(smallJob(2, 0.2))
	require.Equal(t, "log", s.Kept)
	c.setLogDown(true)
	require.Equal(t, "unknown", c.cancel(s.ID))
	c.setLogDown(false)
	c.waitFor("not run is reported", func() bool {
		got, err := c.anyClient("").Job(context.Background(), s.ID)
		return err == nil && got.Outcome == "not run"
	})
	free()
	started, _ := c.countRuns(s.ID)
	require.Zero(t, started)
}

// Both hosts that remember a job die while the log is unavailable. The job is lost. Its caller
// was told that only peers kept it; it must not run, and no host may report that it did.
func TestBothHostsThatRememberAJobDie(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.fillWorkers()
	c.setLogDown(true)
	s := c.submit(smallJob(2, 0.2))
	require.Equal(t, "peers", s.Kept)
	lead := c.leaderOf(s.ID)
	c.kill(lead)
	for name, h := range c.hosts {
		if h.Remembers(s.ID) {
			c.kill(name)
		}
	}
	require.Len(t, c.hosts, 1)
	c.setLogDown(false)
	c.waitFor("the last host has read the log", func() bool { return c.heldCount() == 4 })
	_, err := c.anyClient("").Job(context.Background(), s.ID)
	require.ErrorContains(t, err, "404")
	started, _ := c.countRuns(s.ID)
	require.Zero(t, started)
}

// The answer to an append is lost after the write. The caller gets "unknown" and submits the job
// with its key again. It must get the same job, and the job must run once.
func TestRepeatOfAJobWithAKeyFindsIt(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	j := smallJob(2, 0.3)
	j.Workload, j.Key = "print", "batch-7"
	c.cell.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
	ids := map[string]bool{}
	for _, name := range []string{"h0", "h1", "h0"} {
		c.waitFor("job is accepted", func() bool {
			s, err := c.clients[name].Submit(context.Background(), j)
			if err == nil {
				ids[s.ID] = true
			}
			return err == nil
		})
	}
	require.Len(t, ids, 1)
	for id := range ids {
		c.requireEndsOnce(id, 2)
		started, _ := c.countRuns(id)
		require.Equal(t, 2, started)
	}
	j.Tasks = 3
	_, err := c.clients["h0"].Submit(context.Background(), j)
	require.ErrorContains(t, err, "409")
}

// Guards against a job that runs after its repeated submission was refused: the first submission was
// written to the log without an answer, and the log refuses the second one.
func TestRefusedRepetitionOfAnUnansweredJobIsNotARefusal(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	j := smallJob(2, 0.3)
	j.Workload, j.Key = "print", "batch-8"
	// The reads that wait for records when the fault begins are still answered.
	c.cell.Platform.SetFaults(standin.PlatformFaults{FailReads: true})
	time.Sleep(2 * time.Second)
	c.cell.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1000, FailReads: true})
	var lost, refused *client.StatusError
	_, err := c.clients["h0"].Submit(context.Background(), j)
	require.ErrorAs(t, err, &lost)
	require.Equal(t, client.Unknown, lost.Outcome)
	c.cell.Platform.SetFaults(standin.PlatformFaults{Down: true})
	_, err = c.clients["h0"].Submit(context.Background(), j)
	require.ErrorAs(t, err, &refused)
	require.Equal(t, client.Unknown, refused.Outcome, "%v", err)
	j.Key = "batch-9"
	_, err = c.clients["h0"].Submit(context.Background(), j)
	require.ErrorAs(t, err, &refused)
	require.Equal(t, client.Refused, refused.Outcome, "%v", err)
	c.cell.Platform.SetFaults(standin.PlatformFaults{})
	j.Key = "batch-8"
	s := client.JobStatus{}
	c.waitFor("job is found", func() bool {
		s, err = c.clients["h0"].Submit(context.Background(), j)
		return err == nil
	})
	c.requireEndsOnce(s.ID, 2)
}

// A host is stopped as planned while the log is unavailable. Its jobs go to the next leader at
// once nevertheless, because their state is sent from host to host.
func TestPlannedStopWhileTheLogIsAway(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	s := c.submit(smallJob(12, 2))
	c.waitFor("tasks run", func() bool { started, _ := c.countRuns(s.ID); return started > 0 })
	c.setLogDown(true)
	name := c.leaderOf(s.ID)
	require.NoError(t, c.hosts[name].Stop(context.Background()))
	c.kill(name)
	for _, h := range c.hosts {
		require.True(t, h.Leads(s.ID))
	}
	c.setLogDown(false)
	c.requireEndsOnce(s.ID, 12)
	started, _ := c.countRuns(s.ID)
	require.Equal(t, 12, started)
}

// The log keeps records for a limited time, and a watcher job runs for longer. Its record must
// be written again before it is trimmed, so that a host that starts afterwards learns about the
// job, but not over and over.
func TestRecordOfALongJobOutlivesTheLogsRetention(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	watcher := c.submit(smallJob(1, 3600))
	c.cell.Platform.SetFaults(standin.PlatformFaults{Retain: 12})
	for range 20 {
		id := c.submit(smallJob(1, 3600)).ID
		c.waitFor("job is stopped", func() bool { return c.cancel(id) != "unknown" })
	}
	var l *joblog.Log
	c.waitFor("a new reader of the log finds the watcher", func() bool {
		l = joblog.New()
		_, err := platform.New(c.cell.Address, nil).Read(context.Background(), joblog.Stream, 1, 0)
		var trimmed *platform.TrimmedError
		require.ErrorAs(t, err, &trimmed)
		page, err := platform.New(c.cell.Address, nil).Read(context.Background(), joblog.Stream, trimmed.Oldest, 0)
		if err != nil {
			return false
		}
		for _, e := range page.Entries {
			l.Fold(e.Offset, e.Body)
		}
		_, found := l.Spec(watcher.ID)
		return found
	})
	require.Less(t, l.Next(), int64(80), "the record is written over and over")
}
