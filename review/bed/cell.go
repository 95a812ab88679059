package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"pollencroft/internal/standin/users"
)

// cell is a small deployment: entry hosts as processes, and stand-ins for all else.
type cell struct {
	ctx      context.Context
	record   *recorder
	dir      string
	log      *users.Log
	store    *httptest.Server
	hosts    []*host
	machines []*machine
	work     func(task string) work

	mu     sync.Mutex
	starts map[string][]start
	at     map[runKey]string
	// cpu is what a task of a job asks for in thousandths of a core.
	cpu map[string]int64
	// endedAt is when the runs of a task ended, in their order.
	endedAt map[string][]time.Time
}

// start is a run that a minion has begun.
type start struct {
	runKey
	minion string
	at     time.Time
}

type host struct {
	name         string
	front, probe netip.AddrPort
	cmd          *exec.Cmd
	out          *os.File
	exited       chan struct{}
}

var zones = []string{"halle-nord", "halle-sued", "stadthalle"}

func newCell(ctx context.Context, sc scenario, program string, r *recorder) (*cell, error) {
	c := &cell{ctx: ctx, record: r, work: sc.work, log: users.NewLog(parts, time.Now), starts: map[string][]start{}, at: map[runKey]string{}, endedAt: map[string][]time.Time{}, cpu: map[string]int64{}}
	dir, err := os.MkdirTemp("", "review-bed")
	if err != nil {
		return c, err
	}
	c.dir = dir
	c.store = newStore(c.log, r)
	c.log.Put("op", "config", table())
	for i := range sc.minions {
		m := &machine{cell: c, rack: fmt.Sprintf("r1-%d", 1+i*2/sc.minions), zone: zones[i%len(zones)], addr: "127.0.0.1:0"}
		c.machines = append(c.machines, m)
		if err := m.boot(i); err != nil {
			return c, err
		}
	}
	for i := range sc.hosts {
		if err := c.startHost(i, program); err != nil {
			return c, err
		}
	}
	if !await(ctx, 20*time.Second, c.allReady) {
		return c, fmt.Errorf("hosts are not ready: %w", ctx.Err())
	}
	r.note("all %d hosts are ready", len(c.hosts))
	return c, nil
}

// settings is the file that the platform makes of the deploy folder's template.
const settings = `name = %q
domain = %q
store = %q
parts = %d
readrate = 80.0
policy = ""
power = 0.4
memory = 284
log = "info"

[listen]
caller = %q
ready = %q
peer = %q
metrics = %q

[times]
lease = "10000ms"
stop = "900ms"
grace = "6s"
keep = "120s"
`

func (c *cell) startHost(i int, program string) error {
	var addrs [4]netip.AddrPort
	for k := range addrs {
		a, err := users.FreeAddr()
		if err != nil {
			return err
		}
		addrs[k] = a
	}
	zone := zones[i%len(zones)]
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, i), front: addrs[0], probe: addrs[1], exited: make(chan struct{})}
	file := filepath.Join(c.dir, h.name+".toml")
	text := fmt.Sprintf(settings, h.name, zone, strings.TrimPrefix(c.store.URL, "http://"), parts, addrs[0], addrs[1], addrs[2], addrs[3])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(c.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.out = out
	h.cmd = exec.Command(program, "entry", "--settings", file) //nolint:noctx // ended by close
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	c.hosts = append(c.hosts, h)
	c.record.note("host %s starts, process %d", h.name, h.cmd.Process.Pid)
	return nil
}

func (c *cell) allReady() bool {
	for _, h := range c.hosts {
		if !h.isReady(c.ctx) {
			return false
		}
	}
	return true
}

func (h *host) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.probe.String()+"/pollencroft/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and keeps the hosts' logs if KEEP_LOGS names a folder.
func (c *cell) close() {
	for _, h := range c.hosts {
		_ = h.cmd.Process.Kill()
		<-h.exited
		_ = h.out.Close()
	}
	for _, m := range c.machines {
		if n := m.current(); n != nil {
			n.crash()
		}
	}
	if c.store != nil {
		c.store.CloseClientConnections()
		c.store.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range c.hosts {
			if b, err := os.ReadFile(h.out.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(c.dir)
}

// checkIn writes a minion's entry until it is down, and removes it after three intervals of silence.
func (c *cell) checkIn(n *minion) {
	for c.ctx.Err() == nil {
		n.mu.Lock()
		down := n.down
		n.mu.Unlock()
		if down {
			break
		}
		c.log.Put("servers", n.id, n.entry())
		pause(c.ctx, checkIn)
	}
	pause(c.ctx, 2*checkIn)
	c.log.Put("servers", n.id, nil)
}

func (c *cell) noteStart(k runKey, minion string) {
	c.mu.Lock()
	c.starts[k.task] = append(c.starts[k.task], start{k, minion, time.Now()})
	c.at[k] = minion
	c.mu.Unlock()
	c.noteRun(k, minion, "begins")
}

func (c *cell) noteEnd(k runKey, minion, how string) {
	c.mu.Lock()
	c.endedAt[k.task] = append(c.endedAt[k.task], time.Now())
	delete(c.at, k)
	c.mu.Unlock()
	c.noteRun(k, minion, "ends as "+how)
}

// noteGone notes that a run ended with its minion.
func (c *cell) noteGone(k runKey, minion string) {
	c.mu.Lock()
	delete(c.at, k)
	c.mu.Unlock()
	c.noteRun(k, minion, "ended with its minion")
}

func (c *cell) noteRun(k runKey, minion, what string) {
	c.record.note("minion %s: %s run %d %s", minion, k.task, k.run, what)
}

// startedOf returns how many tasks of a job have ever begun.
func (c *cell) startedOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task := range c.starts {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}
