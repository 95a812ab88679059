package host_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/host"
	"pollencroft/internal/settings"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// testTimeout is how long a test waits for a state. No check depends on a shorter time.
const testTimeout = 30 * time.Second

// cluster is one failure domain: simulated platform and workers, and real hosts, in this
// process.
type cluster struct {
	*testing.T
	cell    *standin.Cell
	hosts   map[string]*host.Host
	clients map[string]*client.Client
	names   []string
	// operators contains the operators' addresses by host.
	operators []netip.AddrPort
}

// logBuffer collects the log output of a cluster's hosts.
type logBuffer struct {
	mu  sync.Mutex
	all strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	users := standin.Deployment{Name: "one", Domains: []string{"nord"}, Hosts: []int{n}, Workers: 4, Racks: 4, Worker: cell.Size{CPU: 4000, Mem: 4 << 30}}
	c, err := standin.NewCell(users, local, time.Now)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	logs := &logBuffer{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	cl := &cluster{T: t, cell: c, hosts: map[string]*host.Host{}, clients: map[string]*client.Client{}}
	var all []settings.Settings
	var socks []host.Listeners
	for i := range n {
		ls, err := host.Listen(settings.Listen{Caller: local, Operator: local, Peer: local})
		require.NoError(t, err)
		socks = append(socks, ls)
		at := func(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }
		all = append(all, settings.Settings{
			Name: fmt.Sprintf("h%d", i), Domain: "nord", Platform: c.Address,
			Listen: settings.Listen{Caller: at(ls.Caller), Operator: at(ls.Operator), Peer: at(ls.Peer)},
			Limits: settings.Limits{Body: settings.DefaultBody, Queue: settings.DefaultQueue, Deadline: settings.DefaultDeadline, DrainTimeout: settings.DefaultDrain},
		})
	}
	for i, cfg := range all {
		for j, other := range all {
			if i != j {
				cfg.Peers = append(cfg.Peers, settings.Peer{Name: other.Name, Domain: other.Domain, Address: other.Listen.Peer})
			}
		}
		h := host.New(cfg, slog.New(slog.NewTextHandler(logs, nil)).With("host", cfg.Name), time.Now)
		h.Start(socks[i])
		t.Cleanup(h.Kill)
		cl.hosts[cfg.Name], cl.clients[cfg.Name] = h, client.New(cfg.Listen.Caller, "", nil)
		cl.names = append(cl.names, cfg.Name)
		cl.operators = append(cl.operators, cfg.Listen.Operator)
	}
	cl.waitFor("hosts share all workers", func() bool {
		for _, h := range cl.hosts {
			if n > 1 && len(h.Held()) > 2 {
				return false
			}
		}
		return cl.heldCount() == 4
	})
	require.NoError(t, client.New(all[0].Listen.Operator, "", nil).SetRow(context.Background(), "print", "", map[string]any{"class": "normal"}))
	cl.waitFor("row is in force", func() bool {
		for _, h := range cl.hosts {
			if _, v := h.Row("print"); v == 0 {
				return false
			}
		}
		return true
	})
	return cl
}

func (c *cluster) waitFor(what string, f func() bool) {
	c.Helper()
	require.Eventually(c, f, testTimeout, 10*time.Millisecond, what)
}

// heldCount returns the number of workers that live hosts hold.
func (c *cluster) heldCount() int {
	n := 0
	for _, h := range c.hosts {
		n += len(h.Held())
	}
	return n
}

func (c *cluster) kill(name string) {
	c.hosts[name].Kill()
	delete(c.hosts, name)
	delete(c.clients, name)
}

// anyClient returns the client of a live host other than not.
func (c *cluster) anyClient(not string) *client.Client {
	for _, name := range c.names {
		if name != not && c.clients[name] != nil {
			return c.clients[name]
		}
	}
	return nil
}

func (c *cluster) submit(j client.Job) client.JobStatus {
	c.Helper()
	var s client.JobStatus
	j.Workload = "print"
	c.waitFor("job is accepted", func() bool {
		var err error
		s, err = c.anyClient("").Submit(context.Background(), j)
		return err == nil
	})
	return s
}

// leaderOf waits until a host leads a job and returns that host's name.
func (c *cluster) leaderOf(id string) string {
	c.Helper()
	name := ""
	c.waitFor("job has a leader", func() bool {
		for n, h := range c.hosts {
			if h.Leads(id) {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func (c *cluster) state(id string) string {
	s, err := c.anyClient("").Job(context.Background(), id)
	if err != nil {
		return ""
	}
	return s.State
}

// countRuns counts the starts and ends of a job's tasks on all workers.
func (c *cluster) countRuns(id string) (started, ended int) {
	r := c.cell.Report()
	for task, n := range r.Started {
		if strings.HasPrefix(task, id+".") {
			started += n
		}
	}
	for task, n := range r.Tasks {
		if strings.HasPrefix(task, id+".") {
			ended += n
		}
	}
	return started, ended
}

// requireNoDoubleRuns checks the workers' own records: no worker is overfilled, and no task ran
// in two places.
func (c *cluster) requireNoDoubleRuns() {
	c.Helper()
	r := c.cell.Report()
	require.Zero(c, r.Overfilled, "a worker was given more than it holds")
	require.Empty(c, r.Doubled, "a task ran in two places")
}

func smallJob(tasks int, seconds float64) client.Job {
	return client.Job{Tasks: tasks, Size: client.Size{CPU: 1000, Mem: 1 << 20}, Time: seconds}
}

// A leader dies while tasks run and others wait for free capacity. Without any action of the
// caller, every task must run to its end exactly once.
func TestJobOfAKilledLeaderGoesOn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	s := c.submit(smallJob(24, 1))
	c.waitFor("tasks run", func() bool { started, _ := c.countRuns(s.ID); return started > 0 })
	c.kill(c.leaderOf(s.ID))
	c.waitFor("job ends under its next leader", func() bool { return c.state(s.ID) == "ended" })
	_, ended := c.countRuns(s.ID)
	require.Equal(t, 24, ended)
	c.requireNoDoubleRuns()
}

// A planned stop hands jobs over. No lease has to expire, and the running tasks are neither
// stopped nor started again.
func TestPlannedStopHandsJobsOver(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	s := c.submit(smallJob(12, 2))
	c.waitFor("tasks run", func() bool { started, _ := c.countRuns(s.ID); return started > 0 })
	name := c.leaderOf(s.ID)
	require.NoError(c, c.hosts[name].Stop(context.Background()))
	delete(c.hosts, name)
	delete(c.clients, name)
	for _, h := range c.hosts {
		require.True(t, h.Leads(s.ID), "the other host leads the job when the stop is over")
	}
	c.waitFor("job ends", func() bool { return c.state(s.ID) == "ended" })
	started, ended := c.countRuns(s.ID)
	require.Equal(t, 12, ended)
	require.Equal(t, 12, started, "a task was started twice")
	c.requireNoDoubleRuns()
}
