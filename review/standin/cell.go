package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"pollencroft/internal/standin/users"
)

const (
	// parts is the number of partitions of a topic.
	parts = 16
	// table is the manifest: one queue without a policy service.
	table = `{"version":3,"routes":[{"name":"prints","host":"jobs.example","pathPrefix":"/prints/","service":"passwerk","priority":2,
"maxAttempts":4,"stretch":2.2,"targetLatencyMs":1200}],"services":[{"name":"passwerk","admissionCheck":false}],"limits":{"maxBodyBytes":262144}}`
	service   = "passwerk"
	queueHost = "jobs.example"
	prefix    = "/prints/"
)

var zones = []string{"halle-nord", "halle-sued", "stadthalle"}

// settings is deploy/host.toml as the platform fills it in for a small deployment.
const settings = `name = %q
domain = %q
store = %q
parts = 16
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

// host is one process of the system.
type host struct {
	name   string
	file   string
	caller netip.AddrPort
	ready  netip.AddrPort
	front  *front
	cmd    *exec.Cmd
	exited chan struct{}
}

// cell is a small deployment: the project's program as separate processes, and stand-ins for the rest.
type cell struct {
	dir     string
	program string
	rec     *record
	log     *users.Log
	rule    *rule
	hist    *history
	hosts   []*host
	workers []*worker
	closing sync.Once
}

// newCell starts a cell and waits until all hosts are ready.
func newCell(program string, hosts, workers int, work workTime, rec *record) (*cell, error) {
	dir, err := os.MkdirTemp("", "pollencroft-review")
	if err != nil {
		return nil, err
	}
	c := &cell{dir: dir, program: program, rec: rec, log: users.NewLog(parts, time.Now), rule: &rule{}, hist: newHistory(rec)}
	stopWith(c)
	c.log.Put("op", "config", []byte(table))
	for i := range workers {
		w := newWorker(fmt.Sprintf("i-%08x", 0x51f3a90+i*977), zones[i%len(zones)], fmt.Sprintf("r%d-%d", i%len(zones)+1, i/24+1), work, c.hist)
		c.workers = append(c.workers, w)
		c.log.Put("servers", w.id, w.entry(service))
	}
	for i := range hosts {
		h, err := c.newHost(i)
		if err != nil {
			c.close()
			return nil, err
		}
		c.hosts = append(c.hosts, h)
		if err := c.start(h); err != nil {
			c.close()
			return nil, err
		}
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cell) newHost(i int) (*host, error) {
	zone := zones[i%len(zones)]
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1)}
	h.front = newFront(h.name, c.log, c.rec, c.rule)
	var addrs [4]netip.AddrPort
	for j := range addrs {
		a, err := users.FreeAddr()
		if err != nil {
			return nil, err
		}
		addrs[j] = a
	}
	h.caller, h.ready = addrs[0], addrs[1]
	h.file = filepath.Join(c.dir, h.name+".toml")
	text := fmt.Sprintf(settings, h.name, zone, h.front.addr(), addrs[0], addrs[1], addrs[2], addrs[3])
	return h, os.WriteFile(h.file, []byte(text), 0o600)
}

// start starts the process of a host as the deploy file does.
func (c *cell) start(h *host) error {
	out, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), c.program, "entry")
	cmd.Env = []string{"POLLENCROFT_CONFIG=" + h.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(gone)
	}()
	h.cmd, h.exited = cmd, gone
	c.rec.add("platform: process of %s started", h.name)
	return nil
}

// close ends everything that the case started.
func (c *cell) close() {
	c.closing.Do(c.end)
}

func (c *cell) end() {
	for _, h := range c.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
		h.front.close()
	}
	for _, w := range c.workers {
		w.close()
	}
	_ = os.RemoveAll(c.dir)
}

var errNotReady = errors.New("hosts are not ready")

func (c *cell) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range c.hosts {
			all = all && isReady(h)
		}
		if all {
			c.rec.add("platform: all hosts are ready")
			return nil
		}
	}
	return errNotReady
}

func isReady(h *host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready.String()+"/pollencroft/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// call makes a consumer's call. The code is zero if there was no answer within wait.
func (c *cell) call(h *host, method, id, body string, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.caller.String()+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	c.rec.add("consumer: %s %s sent to %s", method, id, h.name)
	// A consumer's call has a channel of its own.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		c.rec.add("consumer: %s %s has no answer: %v", method, id, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, _ = io.Copy(&b, resp.Body)
	c.rec.add("consumer: %s %s is answered %d %s", method, id, resp.StatusCode, strings.TrimSpace(b.String()))
	return resp.StatusCode, b.String()
}

// await waits until ok returns true, for limit at most.
func (c *cell) await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// begun returns how many tasks have begun.
func (c *cell) begun() int {
	c.hist.mu.Lock()
	defer c.hist.mu.Unlock()
	return len(c.hist.starts)
}
