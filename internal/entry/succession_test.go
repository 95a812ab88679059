package entry_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/entry"
	"pollencroft/internal/peer"
	"pollencroft/internal/standin/users"
	"pollencroft/internal/uptime"
)

// Of 44 hosts 6 are strong, and hosts are restarted one after the other, the leader first. If a
// weak host took over, with a tenth of the bandwidth, no task would start while it reads its
// state, and again when it hands over leadership to a strong one. The same would happen if a host
// took over that is restarted next. Callers would see their jobs late three times in a row. The
// pattern is that of a rolling restart of a site that has grown.
func TestStrongestAndNewestHostIsTheSuccessor(t *testing.T) {
	at := time.Unix(1000, 0)
	seen := map[string]entry.HostInfo{
		"weak":      {Power: 0.192, Began: at.Add(time.Hour)},
		"old":       {Power: 0.8, Began: at},
		"restarted": {Power: 0.8, Began: at.Add(time.Minute)},
		"also old":  {Power: 0.8, Began: at},
	}
	require.Equal(t, []string{"restarted", "also old", "old", "weak"}, entry.ByPower(seen))
	standby, _ := entry.ChooseStandby(seen)
	require.Equal(t, "restarted", standby)
}

// Guards against replies to hosts, each of which asks every second, that cost a leader of many hosts a
// list of all of them.
func TestStandbyIsChosenWithoutAListOfAllHosts(t *testing.T) {
	seen := map[string]entry.HostInfo{}
	for i := range 150 {
		seen[fmt.Sprintf("h%03d", i)] = entry.HostInfo{Power: float64(i % 7)}
	}
	standby, allocs := entry.ChooseStandby(seen)
	require.Equal(t, entry.ByPower(seen)[0], standby)
	require.Zero(t, allocs)
	standby, _ = entry.ChooseStandby(nil)
	require.Empty(t, standby)
}

// The leader of a cluster of unequal hosts is stopped. The strongest of the others leads next,
// and no third host does.
func TestStrongestHostSucceedsAStoppedLeader(t *testing.T) {
	c := newCluster(t, 1, 2, 50*time.Millisecond)
	power := func(p float64) func(*entry.Settings) { return func(cfg *entry.Settings) { cfg.Power = p } }
	c.start("a", power(0.2))
	strong := c.start("b", power(1))
	c.start("z", power(0.2))
	c.waitReady()
	leader := c.hosts["h0"]
	require.Eventually(t, func() bool { return leader.Leading() && leader.RecentHostCount() == 3 }, waitTimeout, 20*time.Millisecond)
	leader.Stop()
	leader.Kill()
	delete(c.hosts, "h0")
	require.Eventually(t, strong.Leading, waitTimeout, 20*time.Millisecond)
	for _, name := range []string{"a", "z"} {
		require.NotContains(t, c.logs.String(), "term begins.\" host="+name)
	}
}

// The leader's failure domain is cut off, and the leader answers nothing. The host that is to
// lead asks it three times on the way to the claim, but waits for an answer only once. Three
// waits would delay every start by half a second more.
func TestSilentLeaderIsWaitedForOnce(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	silent := peer.NewServer(func(ctx context.Context, _ peer.Message) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		silent.Serve(ctx, ln)
	}()
	h := c.leader()
	h.SetPeerAddr("dead", ln.Addr().String())
	require.True(t, h.WaitsForReply("dead"))
	require.False(t, h.WaitsForReply("dead"))
	require.False(t, h.WaitsForReply("dead"))
	cancel()
	<-served
}

// Some hosts are much weaker than others. If one of them led, it would be so short of CPU time
// that it could not even be asked to hand over leadership, and nearly no job would be finished in
// time. So a weak host is no candidate while there are enough strong ones, and becomes one when
// they are gone.
func TestWeakHostIsCandidateOnlyWithoutStrongOnes(t *testing.T) {
	c := newCluster(t, 3, 2, 50*time.Millisecond)
	weak := c.start("weak", func(cfg *entry.Settings) { cfg.Power = 0.2 })
	require.Eventually(t, func() bool { return !weak.IsCandidate() }, waitTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool { return !slices.Contains(c.candidates(), "weak") }, waitTimeout, 20*time.Millisecond)
	c.waitReady()
	for _, h := range []string{"h0", "h1", "h2"} {
		require.True(t, c.hosts[h].IsCandidate())
		c.hosts[h].Kill()
		delete(c.hosts, h)
	}
	require.Eventually(t, weak.Leading, waitTimeout, 20*time.Millisecond)
	require.Equal(t, http.StatusOK, c.submit(weak, 0).code)
	c.waitCompleted(weak, 1)
	require.Empty(t, c.checker.Violations())
}

// A new leader reads for seconds from a slow store, and in the meantime a job is accepted in a
// partition that it has already read. It must not report that this job does not exist, because
// what it knows is as old as the beginning of its read. Callers used to be told that jobs that
// they had submitted did not exist.
func TestLeaderKnowsOnlyWhatWasStoredBeforeItsRead(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	h := c.leader()
	require.False(t, h.IsUncertain(jobID(0)), "the leader has just read the jobs")
	h.BeginTerm(1<<40, time.Now().Add(-3*time.Second))
	require.True(t, h.IsUncertain(jobID(0)))
	c.log.BreakReads("jobs", users.Busy)
	code, _ := c.get(h.cfg.Listen.Caller, prefix+jobID(0))
	require.Equal(t, http.StatusServiceUnavailable, code)
	c.log.BreakReads("jobs", users.None)
	c.log.Put("jobs", jobID(0), fmt.Appendf(nil, `{"id":%q,"queue":{"name":"scan","service":"pass"},"steps":[{"tasks":1}]}`, jobID(0)))
	code, body := c.get(h.cfg.Listen.Caller, prefix+jobID(0))
	require.Equal(t, http.StatusOK, code, body)
}

// The leader changes while a host stores a job. The host's notification to the old leader is
// lost, and the new leader has already read the partition. The job would wait for the new
// leader's next poll of all partitions, nearly two seconds; in this test the new leader cannot
// poll at all. The host notifies the new leader as soon as it knows which host leads.
func TestNextLeaderIsNotifiedOfAJobStoredDuringTheChange(t *testing.T) {
	c := newCluster(t, 3, 2, 50*time.Millisecond)
	leader, f := c.leader(), c.follower()
	c.log.BreakReads("jobs", users.Busy)
	for name := range c.hosts {
		if name != leader.cfg.Name && name != f.cfg.Name {
			f.SetLeaderName(name)
		}
	}
	require.Equal(t, http.StatusOK, c.submit(f, 0).code)
	require.Never(t, func() bool { return leader.KnowsJob(jobID(0)) }, 300*time.Millisecond, 20*time.Millisecond)
	f.SetLeaderName(leader.cfg.Name)
	require.Eventually(t, func() bool { return leader.KnowsJob(jobID(0)) }, waitTimeout, 20*time.Millisecond)
	c.log.BreakReads("jobs", users.None)
	c.waitCompleted(f, 1)
}

// The leader asks the policy service through the hosts that have contacted it. After a power
// failure of all hosts none has. A host that learns of a leader contacts it at once; if it waited
// for its next periodic sync, work would wait for up to a second.
func TestHostContactsANewLeader(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	leader := c.leader()
	cfg := leader.cfg
	cfg.Name, cfg.Listen.Peer = "new", freePort(t)
	h, err := entry.New(cfg, slog.New(slog.DiscardHandler), time.Now, uptime.NewSteady(time.Now))
	require.NoError(t, err)
	t.Cleanup(h.Kill)
	require.Zero(t, leader.RecentHostCount())
	h.LearnLeader(leader.cfg.Name, leader.cfg.Listen.Peer, 7)
	require.Eventually(t, func() bool { return leader.RecentHostCount() == 1 }, waitTimeout, 5*time.Millisecond)
}

// The announcement of a new leader is not stored at first. The other hosts continue to ask the
// dead leader, and none of them claims, because the new one answers that it leads. If the
// announcement were not repeated, their callers would be told forever that no host leads.
func TestAnnouncementIsRepeatedUntilItIsStored(t *testing.T) {
	c := newCluster(t, 3, 2, 50*time.Millisecond)
	c.log.BreakPart("lead", 0, users.Busy)
	dead := c.leader()
	dead.Kill()
	delete(c.hosts, dead.cfg.Name)
	require.Eventually(t, func() bool { return c.leader() != nil }, waitTimeout, 20*time.Millisecond)
	c.log.BreakPart("lead", 0, users.None)
	f := c.follower()
	require.Equal(t, http.StatusOK, c.submit(f, 0).code)
	c.waitCompleted(f, 1)
}

// The candidate group names a host while another host leads that it does not know of. It leaves
// leadership to that host and follows it from then on.
func TestHostFollowsTheLeaderThatItFinds(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	other := peer.NewServer(func(context.Context, peer.Message) (any, error) {
		return peer.SyncReply{Leading: true, Lead: true, Served: true, Term: 1 << 40}, nil
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		other.Serve(ctx, ln)
	}()
	h := c.leader()
	h.Kill()
	c.log.Put("state", "!", fmt.Appendf(nil, "other %s life 1 nonce", ln.Addr()))
	h = c.start(h.cfg.Name)
	require.Eventually(t, func() bool { return h.LeaderName() == "other" }, waitTimeout, 20*time.Millisecond)
	cancel()
	<-served
}

// After a power failure of all hosts the leader hears from the other hosts one after the other,
// and all work waits for answers of the policy service, which takes one request of a host at a
// time. The leader uses a host as soon as it hears from it. If it did so only at its next
// periodic sync, up to a second later, all requests would go through the leader alone until then.
func TestLeaderUsesAHostOnceItHearsFromIt(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	leader := c.leader()
	require.False(t, leader.UsesForPolicy("new"))
	leader.NoteHost("new", freePort(t))
	require.True(t, leader.UsesForPolicy("new"))
}

// The leader's process is killed. Its connections are closed and new ones are refused, so its
// standby knows at once and claims. With the candidate group at the store alone, no host would
// lead until the dead host's membership has expired, which takes a second, and three on a slow
// store.
func TestStandbyLeadsOnceTheLeadersProcessHasEnded(t *testing.T) {
	c := newCluster(t, 3, 2, 50*time.Millisecond)
	c.waitReady()
	leader := c.leader()
	require.Eventually(t, func() bool {
		standbys := 0
		for _, h := range c.hosts {
			if h.Standby() != "" {
				standbys++
			}
		}
		return standbys == 2
	}, waitTimeout, 20*time.Millisecond)
	leader.Kill()
	delete(c.hosts, leader.cfg.Name)
	require.Eventually(t, func() bool { return c.leader() != nil }, waitTimeout, 5*time.Millisecond)
	// It leads a moment before its line is written.
	require.Eventually(t, func() bool { return strings.Count(c.logs.String(), "term begins") == 2 }, waitTimeout, time.Millisecond)
	require.Contains(t, c.logs.String(), `why="the lead's process is gone"`)
	require.Equal(t, http.StatusOK, c.submit(c.leader(), 0).code)
	c.waitCompleted(c.leader(), 1)
	require.Empty(t, c.checker.Violations())
}

// The leader's process dies. Its connections are closed before its listener is, and the standby
// checks in between: a new connection is still accepted. If it checked only once, it would take
// the leader for alive, and callers would wait a second more for the next leader.
func TestProcessThatIsStillClosingCountsAsEnded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	h := c.leader()
	h.SetPeerAddr("dying", ln.Addr().String())
	taken := make(chan struct{})
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			_ = conn.Close()
		}
		_ = ln.Close()
		close(taken)
	}()
	require.True(t, h.IsProcessGone("dying"))
	<-taken
}

// A leader is stopped as planned just after a failure domain was cut off that contains the eight
// best successors. If they were asked one after the other, they would use up the time that the
// leader has to step down; it would name no successor, and nothing would be started until the
// candidate group notices.
func TestSilentHostsDoNotKeepALeaderFromNamingItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		asked := 0
		hosts := []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "b1", "b2"}
		got := entry.FirstAccepting(ctx, hosts, func(ctx context.Context, name string) bool {
			if name[0] == 'a' {
				<-ctx.Done()
				return false
			}
			asked++
			return ctx.Err() == nil
		})
		require.Equal(t, "b1", got)
		require.Equal(t, 1, asked, "b2 need not be asked")
	})
}

// A leader's process restarts while its standby takes over, and asks other hosts which leader
// they follow. The three hosts next to it in the list are cut off with their failure domain. If
// it asked only those, it would claim at the same time as the standby.
func TestAskedHostsAreSpacedApart(t *testing.T) {
	require.Equal(t, []string{"a1", "b1", "c1"}, entry.SpacedSample([]string{"a1", "a2", "b1", "b2", "c1", "c2"}, 3))
	require.Equal(t, []string{"a1", "a2"}, entry.SpacedSample([]string{"a1", "a2"}, 3))
	require.Empty(t, entry.SpacedSample(nil, 3))
}

// A host starts, and reads from the store at the same time which hosts there are and which host
// leads. The list used to be iterated without its lock while the leader was added to it, which
// crashes the process; callers would lose their connections to it just when all hosts restart.
func TestHostsAreReplacedWhileALeaderIsLearned(t *testing.T) {
	log := users.NewLog(1, time.Now)
	f := entry.NewFollower(t, slog.New(slog.DiscardHandler), "b1", nil, "", log.For("b1"), nil)
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 300 {
			all := map[string]netip.AddrPort{}
			for i := range 40 {
				all[fmt.Sprintf("a%d", i)] = addr
			}
			f.SetHosts(all)
		}
	})
	wg.Go(func() {
		for term := range int64(300) {
			f.LearnLeader(fmt.Sprintf("c%d", term), addr, term+1)
		}
	})
	wg.Wait()
	f.Stop()
}

// Guards against work that a host starts after its shutdown has been waited for.
func TestStandbyThatIsStoppingDoesNotTakeOver(t *testing.T) {
	log := users.NewLog(1, time.Now)
	for n := range 50 {
		f := entry.NewFollower(t, slog.New(slog.DiscardHandler), fmt.Sprint("b", n), nil, "a", log.For("b"), nil)
		var wg sync.WaitGroup
		wg.Go(func() { f.LoseLeader("a") })
		wg.Go(f.Kill)
		wg.Wait()
	}
}

// The leader stops, and the host that it asked to lead is stopped as well while it still tries to
// begin its term, as when all hosts are replaced one after the other. The others leave the
// leadership to that host, and nobody leads for many seconds.
func TestHostThatStopsDuringItsClaimPassesItOn(t *testing.T) {
	c := newCluster(t, 4, 3, 50*time.Millisecond)
	old := c.leader()
	require.Eventually(t, func() bool { return old.RecentHostCount() == 3 }, waitTimeout, 20*time.Millisecond)
	c.log.BreakReads("jobs", users.Silent)
	done := make(chan struct{}, 2)
	stop := func(h *testHost) {
		h.Stop()
		done <- struct{}{}
	}
	go stop(old)
	var next *testHost
	require.Eventually(t, func() bool {
		for _, h := range c.hosts {
			if h.Claiming() {
				next = h
			}
		}
		return next != nil
	}, waitTimeout, time.Millisecond)
	go stop(next)
	c.waitForLog("lead: claim passed on.")
	c.log.BreakReads("jobs", users.None)
	<-done
	<-done
	for _, h := range []*testHost{old, next} {
		delete(c.hosts, h.cfg.Name)
		h.Kill()
	}
	c.waitReady()
	f := c.leader()
	require.Equal(t, http.StatusOK, c.submit(f, 0).code)
	c.waitCompleted(f, 1)
	require.Empty(t, c.checker.Violations())
}

// A host that does not lead asks a stronger one to lead. It cannot know whether the previous leader
// has stopped; if the successor assumed so, it could start tasks elsewhere whose leases that leader
// still renews.
func TestSuccessorOfAnUnknownLeaderWaitsForItsLeases(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	h := c.leader()
	require.Nil(t, h.HandoverBoundsAfter(peer.AnnounceSuccessor{Term: 1, Successor: h.cfg.Name}))
	require.NotNil(t, h.HandoverBoundsAfter(peer.AnnounceSuccessor{Term: 1, Successor: h.cfg.Name, Bounds: map[string]cell.Duration{}}))
}
