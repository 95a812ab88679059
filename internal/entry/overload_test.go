//go:build !race

// The runtime of the race detector sometimes fails with so many timers in virtual time: one of
// its own checks fails, or there is a fault in a timer's channel. The code that these tests run
// is also run with the race detector, in real time, by the tests of whole clusters.

package entry_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/entry"
	"pollencroft/internal/standin"
	"pollencroft/internal/standin/users"
)

// CPU costs of a host in the clusters below, like those of a leader with 350 workers: a unit of
// the leader's own work, which ends in an append, a reply to a peer, and the backlog of a new
// leader.
const (
	workInterval = 20 * time.Millisecond
	answerCost   = 500 * time.Microsecond
	catchUpCost  = 900 * time.Millisecond
)

// processor executes one task after the other.
type processor struct{ turn chan struct{} }

func newProcessor() processor { return processor{make(chan struct{}, 1)} }

func (p processor) do(ctx context.Context, cost time.Duration) bool {
	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-p.turn }()
	return sleep(ctx, cost)
}

// busyCluster is a cluster whose leader is short of CPU time.
type busyCluster struct {
	ctx  context.Context
	log  *users.Log
	logs logBuffer
	// logText is what was logged until the end of the run.
	logText string
	net     standin.Pipes
	hosts   []*busyHost
	// load is the share of its CPU that the leader's own work takes. late is how much later than
	// that it answers.
	load     float64
	late     time.Duration
	mu       sync.Mutex
	workDone int
}

type busyHost struct {
	*entry.Host
	cluster *busyCluster
	cpu     processor
	mu      sync.Mutex
	// A silent host answers nobody, a frozen one does nothing at all.
	silent, frozen bool
}

func (b *busyHost) faults() (silent, frozen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent, b.frozen
}

// delayReply spends the time that a request costs before it is answered.
func (b *busyHost) delayReply(ctx context.Context) {
	if silent, frozen := b.faults(); silent || frozen {
		<-ctx.Done()
		return
	}
	if b.Leading() {
		sleep(ctx, b.cluster.late)
	}
	b.cpu.do(ctx, answerCost)
}

// doLeaderWork does the work of a host while it leads. The units arrive at their rate and wait
// for the processor in the same queue as requests.
func (b *busyHost) doLeaderWork() {
	led := false
	for n := 0; sleep(b.cluster.ctx, workInterval); n++ {
		if _, frozen := b.faults(); frozen {
			continue
		}
		leads := b.Leading()
		if leads && !led && b.cluster.load > 0 {
			b.addBacklog(catchUpCost)
		}
		if led = leads; !leads || b.cluster.load == 0 {
			continue
		}
		go b.doUnit(n)
	}
}

func (b *busyHost) doUnit(n int) {
	if b.cpu.do(b.cluster.ctx, time.Duration(b.cluster.load*float64(workInterval))) && b.StoreProgress(fmt.Sprintf("%s-%d", b.Name(), n)) {
		b.cluster.mu.Lock()
		b.cluster.workDone++
		b.cluster.mu.Unlock()
	}
}

// addBacklog gives the host work at once, in units that end in an append each.
func (b *busyHost) addBacklog(d time.Duration) {
	const piece = 10 * time.Millisecond
	for n := range int(d / piece) {
		go func() {
			if b.cpu.do(b.cluster.ctx, piece) {
				b.StoreProgress(fmt.Sprintf("%s-late-%d-%d", b.Name(), time.Now().UnixNano(), n))
			}
		}()
	}
}

// runBusyCluster runs a cluster of twelve hosts for d. It calls each function in then at its
// time.
func runBusyCluster(t *testing.T, c *busyCluster, seed uint64, d time.Duration, then map[time.Duration]func(c *busyCluster)) *busyCluster {
	// The metrics library's ticker for all meters has to start outside of the virtual time,
	// because it never stops.
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c.ctx = ctx
		c.log = users.NewLog(16, time.Now)
		rng := rand.New(rand.NewPCG(seed, 1))
		for i := range 12 {
			c.add(t, i)
		}
		began := time.Now()
		dealt := began
		for time.Since(began) < d {
			time.Sleep(50 * time.Millisecond)
			if time.Since(dealt) > time.Second {
				dealt = time.Now()
				c.log.Reassign("hosts", func(m []string) string { return m[rng.IntN(len(m))] })
			}
			for at, f := range then {
				if time.Since(began) >= at {
					delete(then, at)
					f(c)
				}
			}
		}
		c.logText = c.logs.String()
		cancel()
		for _, h := range c.hosts {
			h.Kill()
		}
		time.Sleep(time.Minute)
	})
	return c
}

func (c *busyCluster) add(t *testing.T, i int) {
	b := &busyHost{cluster: c, cpu: newProcessor()}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
	p := c.net.Listen(addr)
	cfg := entry.Settings{Name: fmt.Sprintf("h%02d", i), Parts: 16, Power: 1}
	cfg.Listen.Peer = addr
	h, err := entry.NewWithTransport(cfg, slog.New(slog.NewTextHandler(&c.logs, nil)).With("host", cfg.Name), c.log.For(cfg.Name), c.net.Dial, p, b.delayReply)
	require.NoError(t, err)
	b.Host = h
	c.hosts = append(c.hosts, b)
	go b.doLeaderWork()
}

// leader returns the host that leads, or nil if there is none that works.
func (c *busyCluster) leader() *busyHost {
	for _, h := range c.hosts {
		if silent, frozen := h.faults(); h.Leading() && !silent && !frozen {
			return h
		}
	}
	return nil
}

// termCount returns how many terms began during the run. The log is cut at the end of the run,
// because after that hosts are killed one after the other, and the leader's standby may claim
// before it is killed.
func (c *busyCluster) termCount() int { return strings.Count(c.logText, "lead: term begins.") }

func (c *busyCluster) workCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workDone
}

// A leader is short of CPU time, a burst of work puts it a second behind, and the candidate group
// is reassigned all the time, as it is while hosts are restarted one after the other. The host
// that the group names asks the leader whether it leads. A leader that was taken for dead because
// of one late answer would be fenced off; the next one would have to catch up with all open work,
// be even later, and be fenced off in turn. No host would lead for long, and no submitted job
// would start for minutes.
func TestLeaderShortOfCPUIsNotFencedOff(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8, 0.9} {
		t.Run(fmt.Sprintf("load %d percent", int(100*load)), func(t *testing.T) {
			var before, after int
			c := runBusyCluster(t, &busyCluster{load: load}, 1, 60*time.Second, map[time.Duration]func(*busyCluster){
				10 * time.Second: func(c *busyCluster) { c.leader().addBacklog(1200 * time.Millisecond) },
				50 * time.Second: func(c *busyCluster) { before = c.workCount() },
				59 * time.Second: func(c *busyCluster) { after = c.workCount() },
			})
			require.LessOrEqual(t, c.termCount(), 2, c.logs.String())
			require.Greater(t, after-before, 8*int(time.Second/workInterval), "the leader keeps up with the work that arrives in nine seconds")
		})
	}
}

// A leader of a large cluster is so short of CPU time that it neither answers nor stores anything
// for most of a second every few seconds. If it were fenced off, the next one would do the same
// with even more open work. One such change may be a mistake, but each makes the hosts wait
// longer, and from the third one on the leader stays.
func TestStallingLeaderIsNotFencedOffRepeatedly(t *testing.T) {
	for seed := range uint64(4) {
		stalls := map[time.Duration]func(*busyCluster){}
		for at := 4 * time.Second; at < time.Minute; at += 2300 * time.Millisecond {
			stalls[at] = func(c *busyCluster) {
				if h := c.leader(); h != nil {
					go h.cpu.do(c.ctx, 800*time.Millisecond)
				}
			}
		}
		c := runBusyCluster(t, &busyCluster{load: 0.5}, seed, time.Minute, stalls)
		require.LessOrEqual(t, c.termCount(), 3, c.logs.String())
	}
}

// A leader is short of CPU time and has nothing to store at the moment: all its workers are busy
// with long tasks, or it waits for the policy service. It answers every request, half a second
// late. The host that the candidate group names has received the late answer when it is about to
// claim.
func TestLeaderThatAnswersLateIsNotFencedOff(t *testing.T) {
	c := runBusyCluster(t, &busyCluster{late: 500 * time.Millisecond}, 1, 30*time.Second, nil)
	require.Equal(t, 1, c.termCount(), c.logs.String())
}

// A leader really is dead: its process is frozen, or no host receives anything from it any more
// while the store still does. Callers wait until another host leads. That host waits for a leader
// that is only slow, but not for long.
func TestDeadLeaderIsSucceeded(t *testing.T) {
	for name, tc := range map[string]struct {
		harm  func(b *busyHost)
		bound time.Duration
	}{
		"it stands still": {func(b *busyHost) { b.setFaults(false, true) }, 3 * time.Second},
		"it is unheard":   {func(b *busyHost) { b.setFaults(true, false) }, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				const harmed = 10 * time.Second
				var next *busyHost
				runBusyCluster(t, &busyCluster{load: 0.5}, seed, harmed+tc.bound+time.Second, map[time.Duration]func(*busyCluster){
					harmed:            func(c *busyCluster) { tc.harm(c.leader()) },
					harmed + tc.bound: func(c *busyCluster) { next = c.leader() },
				})
				require.NotNil(t, next, "seed %d", seed)
			}
		})
	}
}

func (b *busyHost) setFaults(silent, frozen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent, b.frozen = silent, frozen
}

// The leader changed three times in a row, and this time its process really has ended: nothing
// listens at its address. Hosts whose timeout has grown would leave callers without a leader for
// three seconds.
func TestEndedLeaderProcessIsNotWaitedFor(t *testing.T) {
	log := users.NewLog(1, time.Now)
	f := entry.NewFollower(t, slog.New(slog.DiscardHandler), "b1", nil, "", log.For("b1"), nil)
	defer f.Stop()
	for term := range int64(4) {
		f.LearnLeader(fmt.Sprintf("c%d", term), netip.MustParseAddrPort("127.0.0.1:1"), term+1)
	}
	began := time.Now()
	require.False(t, f.LeaderAlive())
	require.Less(t, time.Since(began), 2*time.Second, "a silent leader would get three seconds")
}

// The store is unavailable to all hosts for six seconds. The leader answers all the time, but
// reports that the store does not serve it. When the store is back and the leader is busy with
// the backlog, its answers are late. The leader used to be considered silent since before the
// outage, and was replaced without need.
func TestRepliesCountWhileTheStoreDoesNotServeTheLeader(t *testing.T) {
	c := runBusyCluster(t, &busyCluster{load: 0.5}, 1, 30*time.Second, map[time.Duration]func(*busyCluster){
		10 * time.Second: func(c *busyCluster) { c.log.Break("", users.Silent) },
		16 * time.Second: func(c *busyCluster) {
			c.log.Break("", users.None)
			c.leader().addBacklog(1500 * time.Millisecond)
		},
	})
	require.Equal(t, 1, c.termCount(), c.logs.String())
}
