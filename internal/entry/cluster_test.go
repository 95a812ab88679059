package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/entry"
	"pollencroft/internal/logs"
	"pollencroft/internal/standin/users"
	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
)

// waitTimeout limits how long a test waits. It decides no result on a machine that works at all,
// because what the tests wait for takes a second or two.
const waitTimeout = time.Minute

const (
	callerHost = "jobs.example"
	prefix     = "/scan/"
)

const tableText = `{"version":%d,"routes":[{"name":"scan","host":"jobs.example","pathPrefix":"/scan/","service":"pass","priority":0,
"maxAttempts":3,"stretch":1.5,"targetLatencyMs":250}%s],"services":[{"name":"pass"}],"limits":{"maxBodyBytes":20000}}`

// cluster is a few entry hosts, workers and the store on the loopback interface.
type cluster struct {
	t       *testing.T
	log     *users.Log
	checker *users.InvariantChecker
	workers []*users.Worker
	hosts   map[string]*testHost
	logs    *logBuffer
	// jsonLogs, if set, gets the hosts' log lines as the hosts write them in production.
	jsonLogs *logBuffer
	// workersPerCore is the setting agents.workers of the hosts.
	workersPerCore float64
	// deadline is the deadline that callers send; if it is zero, they send none.
	deadline time.Duration
	// network, if set, connects the hosts, and paths lead to the workers.
	network *network
	paths   []*path
	// born means that the workers report that they began an hour ago.
	born bool
	// change, if set, changes the settings of all hosts.
	change func(*entry.Settings)
	// lease, if set, is the longest lease of the workers.
	lease time.Duration
	// machines are hosts' machines that may be suspended, by host.
	machines map[string]*machine
}

type testHost struct {
	*entry.Host
	cfg   entry.Settings
	store *httptest.Server
}

// logBuffer collects the log lines of the hosts.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func newCluster(t *testing.T, hosts, workers int, work time.Duration) *cluster {
	return startCluster(t, hosts, workers, work, 0)
}

func startCluster(t *testing.T, hosts, workers int, work time.Duration, workersPerCore float64) *cluster {
	c := &cluster{workersPerCore: workersPerCore, t: t}
	c.startAll(hosts, workers, work)
	return c
}

// startAll starts all workers and hosts, and stops them when the test ends.
func (c *cluster) startAll(hosts, workers int, work time.Duration) {
	t := c.t
	c.log, c.checker, c.hosts, c.logs = users.NewLog(16, time.Now), users.NewInvariantChecker(), map[string]*testHost{}, &logBuffer{}
	for i := range workers {
		w := users.NewWorker(fmt.Sprintf("w%d", i), work, c.checker)
		t.Cleanup(w.Close)
		if c.born {
			w.ReportBornAt(time.Now().Add(-time.Hour))
		}
		c.workers = append(c.workers, w)
		addr := w.Address()
		if c.network != nil {
			c.paths = append(c.paths, newPath(t, addr))
			addr = addrOf(t, c.paths[i].server).String()
		}
		c.log.Put("servers", w.ID, w.EntryAt(addr, "pass", fmt.Sprintf("zone%d", i%3)))
	}
	c.log.Put("op", "config", fmt.Appendf(nil, tableText, 1, ""))
	for i := range hosts {
		c.start(fmt.Sprintf("h%d", i), func(s *entry.Settings) {
			if c.workersPerCore > 0 {
				s.Domain = fmt.Sprintf("zone%d", i%3)
			}
		})
	}
	c.waitReady()
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.Kill()
			h.store.CloseClientConnections()
			h.store.Close()
		}
		if t.Failed() {
			t.Log(c.logs.String())
		}
	})
}

func freePort(t *testing.T) netip.AddrPort {
	addr, err := users.FreeAddr()
	require.NoError(t, err)
	return addr
}

// start starts a host, or a new incarnation of it at the same addresses.
func (c *cluster) start(name string, change ...func(*entry.Settings)) *testHost {
	r, ok := c.hosts[name]
	if !ok {
		r = &testHost{store: httptest.NewServer(c.log.Handler(func(*http.Request) string { return name }))}
		r.cfg = entry.Settings{Name: name, Domain: "zone0", Store: addrOf(c.t, r.store), Parts: 16}
		r.cfg.Listen.Caller, r.cfg.Listen.Ready, r.cfg.Listen.Peer = freePort(c.t), freePort(c.t), freePort(c.t)
		r.cfg.Listen.Metrics = freePort(c.t)
		r.cfg.Times.Lease, r.cfg.Times.Stop = entry.Duration(10*time.Second), entry.Duration(900*time.Millisecond)
		r.cfg.Times.Grace, r.cfg.Times.Keep = entry.Duration(3*time.Second), entry.Duration(2*time.Minute)
		if c.lease > 0 {
			r.cfg.Times.Lease = entry.Duration(c.lease)
		}
		r.cfg.Power, r.cfg.Agents.Workers = 1, c.workersPerCore
		if c.change != nil {
			c.change(&r.cfg)
		}
		for _, f := range change {
			f(&r.cfg)
		}
		c.hosts[name] = r
	}
	log := slog.New(slog.NewTextHandler(c.logs, nil)).With("host", name)
	if c.jsonLogs != nil {
		log = slog.New(logs.NewHandler(slog.NewJSONHandler(c.jsonLogs, nil), time.Now)).With("hostname", name, "domain", r.cfg.Domain)
	}
	now, up := time.Now, uptime.New()
	if m, ok := c.machines[name]; ok {
		now, up = m.now, m.uptime()
	}
	h, err := entry.New(r.cfg, log, now, up)
	require.NoError(c.t, err)
	if c.network != nil {
		h.SetDialer(c.network.dialer(name, r.cfg.Listen.Peer))
	}
	require.NoError(c.t, h.Start())
	r.Host = h
	return r
}

func addrOf(t *testing.T, s *httptest.Server) netip.AddrPort {
	a, err := netip.ParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	require.NoError(t, err)
	return a
}

// waitReady waits until one host leads and all hosts are ready.
func (c *cluster) waitReady() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		leads := 0
		for _, h := range c.hosts {
			if h.Leading() {
				leads++
			}
			if code, _ := c.get(h.cfg.Listen.Ready, "/pollencroft/ready"); code != http.StatusOK {
				return false
			}
		}
		return leads == 1
	}, waitTimeout, 20*time.Millisecond)
}

func (c *cluster) leader() *testHost {
	for _, h := range c.hosts {
		if h.Leading() {
			return h
		}
	}
	return nil
}

func (c *cluster) follower() *testHost {
	for _, h := range c.hosts {
		if !h.Leading() {
			return h
		}
	}
	return nil
}

type response struct {
	code   int
	body   string
	header http.Header
}

func (c *cluster) call(addr netip.AddrPort, method, path, body string) response {
	return c.callWithHeader(addr, http.Header{}, method, path, body)
}

func (c *cluster) callWithHeader(addr netip.AddrPort, header http.Header, method, path, body string) response {
	req, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+addr.String()+path, strings.NewReader(body))
	require.NoError(c.t, err)
	req.Host, req.Header = callerHost, header
	if c.deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return response{code: resp.StatusCode, body: string(b), header: resp.Header}
}

func (c *cluster) get(addr netip.AddrPort, path string) (int, string) {
	a := c.call(addr, http.MethodGet, path, "")
	return a.code, a.body
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

const twoSteps = `{"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":200},{"count":3,"cpu":500,"memMb":256,"estimateMs":200,"after":[0]}]}`

func (c *cluster) submit(h *testHost, n int) response {
	return c.call(h.cfg.Listen.Caller, http.MethodPost, prefix+jobID(n), twoSteps)
}

// waitCompleted waits until all jobs are shown as completed at a host.
func (c *cluster) waitCompleted(h *testHost, jobs int) {
	c.t.Helper()
	for n := range jobs {
		require.Eventually(c.t, func() bool {
			_, body := c.get(h.cfg.Listen.Caller, prefix+jobID(n))
			return body == `{"state":"completed"}`
		}, waitTimeout, 20*time.Millisecond, "job %d", n)
	}
}

// candidates lists the hosts in the candidate group.
func (c *cluster) candidates() []string {
	a, err := c.log.For("").Do(c.t.Context(), store.Call{Op: store.Owners, Group: "hosts"})
	require.NoError(c.t, err)
	var all []string
	for _, s := range a.Shares {
		name, _, _ := strings.Cut(s.Member, " ")
		all = append(all, name)
	}
	return all
}

// waitForLog waits until a host has logged a line with the text.
func (c *cluster) waitForLog(text string) {
	require.Eventually(c.t, func() bool { return strings.Contains(c.logs.String(), text) }, waitTimeout, 20*time.Millisecond, text)
}
