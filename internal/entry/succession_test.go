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

	"pollencroft/internal/entry"
	"pollencroft/internal/peer"
	"pollencroft/internal/standin/users"
)

// Of 44 hosts 6 are strong, and hosts are stopped in turn, the lead first. If a weak
// one took over, with a tenth of the link, every start would rest for as long as it
// reads, and again when it leaves the lead to a strong one; if one took over that
// is stopped next, again. Callers would see their jobs late three times in a row.
// The pattern is that of a rolling restart of a grown site.
func TestTheStrongestAndYoungestHostIsTheSuccessor(t *testing.T) {
	at := time.Unix(1000, 0)
	seen := map[string]entry.HostInfo{
		"weak":      {Power: 0.192, Began: at.Add(time.Hour)},
		"old":       {Power: 0.8, Began: at},
		"restarted": {Power: 0.8, Began: at.Add(time.Minute)},
		"also old":  {Power: 0.8, Began: at},
	}
	require.Equal(t, []string{"restarted", "also old", "old", "weak"}, entry.ByPower(seen))
}

// The lead of a cell of unlike hosts is stopped. The strongest of the others leads
// next, and no third one.
func TestAStoppedLeadIsFollowedByTheStrongest(t *testing.T) {
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

// The lead's failure domain is cut off: it answers nothing. Whoever is to lead asks
// it three times on the way to the claim. It waits for an answer once; three waits
// would leave every start at rest for half a second more.
func TestASilentLeadIsWaitedForOnce(t *testing.T) {
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

// Some hosts are much weaker than others. One of them that led would be so short of
// its processor that it could not even be asked to leave the lead to another, and
// nearly no job would be served in time. So it does not stand ready while enough
// strong ones do, and does again when they are gone.
func TestAWeakHostStandsReadyOnlyWithoutStrongOnes(t *testing.T) {
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
	require.Empty(t, c.checker.Wrongs())
}

// A new lead reads for seconds at a slow store, and a job is accepted meanwhile in a
// partition that it has read. It must not tell that there is no such job: what it
// knows is as old as the beginning of its reading. Callers were told that jobs they
// had handed in never were.
func TestALeadKnowsOnlyWhatWasStoredBeforeItRead(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	h := c.leader()
	require.False(t, h.IsUncertain(jobID(0)), "it has just read")
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

// The lead changes while a host stores a job. What the host tells the old lead is
// lost, and the new one has read the partition before. The job would wait for its
// next look through all partitions, nearly two seconds; here the new lead cannot
// look at all. It is told by the host as soon as that one knows who leads.
func TestAJobStoredWhileTheLeadChangesIsHandedToTheNextLead(t *testing.T) {
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

// The lead asks the policy service through the hosts that it heard of. After a loss
// of all power it has heard of none. A host that learns who leads tells it so at
// once; with its next regular question work would wait for up to a second.
func TestAHostMakesItselfKnownToANewLead(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	leader := c.leader()
	cfg := leader.cfg
	cfg.Name, cfg.Listen.Peer = "new", freePort(t)
	h, err := entry.New(cfg, slog.New(slog.DiscardHandler), time.Now)
	require.NoError(t, err)
	t.Cleanup(h.Kill)
	require.Zero(t, leader.RecentHostCount())
	h.LearnLeader(leader.cfg.Name, leader.cfg.Listen.Peer, 7)
	require.Eventually(t, func() bool { return leader.RecentHostCount() == 1 }, waitTimeout, 5*time.Millisecond)
}

// The announcement of a new lead is not stored at first. The other hosts go on asking
// the dead one, and none of them claims, since the new one says that it leads; their
// callers would be told for ever that no host leads.
func TestALeadIsAnnouncedUntilItIsStored(t *testing.T) {
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

// The group names a host while another one leads of which it has not heard. It leaves
// the lead to that one and follows it from then on.
func TestAHostFollowsTheLeadThatItFinds(t *testing.T) {
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

// After a loss of all power the lead hears of the other hosts one after the other, and
// everybody's work waits for answers of the policy service, which takes one question of a
// host at a time. A host that is heard of takes questions at once; with the lead's next
// round, up to a second later, all would go through the lead alone.
func TestALeadUsesAHostOnceItHearsOfIt(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	leader := c.leader()
	require.False(t, leader.UsesForPolicy("new"))
	leader.NoteHost("new", freePort(t))
	require.True(t, leader.UsesForPolicy("new"))
}

// The lead's process is killed. Its connections are closed and new ones refused, so that
// its heir knows at once and claims; with the group at the store alone nobody would lead
// until the dead host's place has lapsed, a second, and on a slow store three.
func TestTheHeirLeadsOnceTheLeadsProcessIsGone(t *testing.T) {
	c := newCluster(t, 3, 2, 50*time.Millisecond)
	c.waitReady()
	leader := c.leader()
	require.Eventually(t, func() bool {
		heirs := 0
		for _, h := range c.hosts {
			if h.Standby() != "" {
				heirs++
			}
		}
		return heirs == 2
	}, waitTimeout, 20*time.Millisecond)
	leader.Kill()
	delete(c.hosts, leader.cfg.Name)
	require.Eventually(t, func() bool { return c.leader() != nil }, waitTimeout, 5*time.Millisecond)
	// It leads a moment before its line is written.
	require.Eventually(t, func() bool { return strings.Count(c.logs.String(), "term begins") == 2 }, waitTimeout, time.Millisecond)
	require.Contains(t, c.logs.String(), `why="the lead's process is gone"`)
	require.Equal(t, http.StatusOK, c.submit(c.leader(), 0).code)
	c.waitCompleted(c.leader(), 1)
	require.Empty(t, c.checker.Wrongs())
}

// The lead's process dies. Its connections are closed before its port is, and the heir asks in
// between: a connection is still taken. Asked once, it would take the lead for alive, and
// callers would wait a second more for the next one.
func TestAProcessThatIsStillClosingIsGone(t *testing.T) {
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

// A lead is stopped as planned just after a failure domain was cut off, and the eight hosts that
// would succeed it best are in there. Asked one after the other they would use up its time to
// leave; it would name nobody, and nothing would be started until the group notices.
func TestSilentHostsDoNotKeepALeadFromNamingItsSuccessor(t *testing.T) {
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
		require.Equal(t, 1, asked, "b2 is not needed")
	})
}

// A lead's process comes back beside its heir, and asks other hosts whom they follow. The three
// next to it in the list are cut off with their failure domain; it would claim beside the heir.
func TestHostsThatAreAskedLieApart(t *testing.T) {
	require.Equal(t, []string{"a1", "b1", "c1"}, entry.SpacedSample([]string{"a1", "a2", "b1", "b2", "c1", "c2"}, 3))
	require.Equal(t, []string{"a1", "a2"}, entry.SpacedSample([]string{"a1", "a2"}, 3))
	require.Empty(t, entry.SpacedSample(nil, 3))
}

// A host starts, and reads from the store which hosts there are and who leads at the same time.
// The list was walked without its lock while the lead was added to it, which ends the process;
// callers would lose their connections there just when all hosts start again.
func TestHostsAreListedWhileTheLeadIsLearned(t *testing.T) {
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

// Guards against work that a host begins after its end has been waited for.
func TestALeadThatIsLostWhileItsHeirEndsIsNotSucceeded(t *testing.T) {
	log := users.NewLog(1, time.Now)
	for n := range 50 {
		f := entry.NewFollower(t, slog.New(slog.DiscardHandler), fmt.Sprint("b", n), nil, "a", log.For("b"), nil)
		var wg sync.WaitGroup
		wg.Go(func() { f.LoseLeader("a") })
		wg.Go(f.Kill)
		wg.Wait()
	}
}
