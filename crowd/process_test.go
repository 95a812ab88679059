//go:build crowd

package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin/users"
)

const (
	// memoryMiB and files are the limits of the machine of the host: its memory, and the descriptors
	// of a process.
	memoryMiB = 160
	files     = 1000
	// maxBody is the largest legal body.
	maxBody = 262_144
	// parts is the number of partitions of a topic.
	parts = 16
	// taskTime is how long a task runs.
	taskTime = 100 * time.Millisecond
	// patience is how long a test waits for what has to happen at some time.
	patience = time.Minute
	// callerHost and prefix select the queue.
	callerHost = "jobs.example"
	prefix     = "/scan/"
)

// table returns the operators' table with the given limits of requests.
func table(version, maxHeader, maxBody int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"scan","host":%q,"pathPrefix":%q,"service":"pass","priority":0,
"maxAttempts":3,"stretch":1.5,"targetLatencyMs":250}],"services":[{"name":"pass"}],
"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, callerHost, prefix, maxHeader, maxBody)
}

var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pollencroft-crowd")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "pollencroft")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "..").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// host is a host process with its store and a worker.
type host struct {
	caller, ready, metrics, peer netip.AddrPort
	file                         string
	cmd                          *exec.Cmd
	exited                       chan struct{}
	log                          *users.Log
	usage                        *usage
	// memory is the memory of the machine in MiB. served reports whether an ordinary caller is served;
	// its requests are told apart by a number.
	memory int64
	served func(n int) bool
}

func freeAddr(t *testing.T) netip.AddrPort {
	addr, err := users.FreeAddr()
	require.NoError(t, err)
	return addr
}

// platform is the platform of a cell: its log and a worker.
type platform struct{ log *users.Log }

func newPlatform(t *testing.T) *platform {
	p := &platform{log: users.NewLog(parts, time.Now)}
	p.log.Put("op", "config", table(1, 16_384, maxBody))
	w := users.NewWorker("w1", taskTime, users.NewInvariantChecker())
	t.Cleanup(w.Close)
	p.log.Put("servers", w.ID, w.EntryAt(w.Address(), "pass", "zone0"))
	return p
}

// startHost starts a host that serves callers. It leads, because there is no other.
func startHost(t *testing.T) *host { return newPlatform(t).startHost(t, "h0") }

// startHost starts a host of the cell.
func (p *platform) startHost(t *testing.T, name string) *host {
	path, err := binary()
	require.NoError(t, err)
	h := &host{caller: freeAddr(t), ready: freeAddr(t), metrics: freeAddr(t), peer: freeAddr(t), exited: make(chan struct{}), log: p.log, memory: memoryMiB}
	h.served = h.servesJob
	store := httptest.NewServer(p.log.Handler(func(*http.Request) string { return name }))
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	dir := t.TempDir()
	h.file = filepath.Join(dir, "host.toml")
	text := fmt.Sprintf(`name = %q
domain = "zone0"
store = %q
parts = %d
power = 1.0
memory = %d
files = %d
log = "info"
[listen]
caller = %q
ready = %q
peer = %q
metrics = %q
[times]
lease = "10s"
stop = "900ms"
grace = "6s"
keep = "120s"
`, name, strings.TrimPrefix(store.URL, "http://"), parts, memoryMiB, files, h.caller, h.ready, h.peer, h.metrics)
	require.NoError(t, os.WriteFile(h.file, []byte(text), 0o600))
	h.start(t, exec.Command(path, "entry", "--settings", h.file))
	require.Eventually(t, func() bool { return h.get(h.ready, "/pollencroft/ready") == http.StatusOK }, patience, 50*time.Millisecond)
	first := int(time.Now().UnixNano())
	require.Eventually(t, func() bool { return h.served(first) }, patience, 50*time.Millisecond)
	h.usage = watch(t, h)
	return h
}

// start starts the process. It is killed when the test ends.
func (h *host) start(t *testing.T, cmd *exec.Cmd) {
	out, err := os.Create(filepath.Join(t.TempDir(), "host.log"))
	require.NoError(t, err)
	h.cmd = cmd
	h.cmd.Stdout, h.cmd.Stderr = out, out
	require.NoError(t, h.cmd.Start())
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	t.Cleanup(func() {
		_ = h.cmd.Process.Kill()
		<-h.exited
		_ = out.Close()
		if t.Failed() {
			t.Log("end of the log of the host:\n" + lastLines(out.Name()))
		}
	})
}

// lastLines returns the end of a file.
func lastLines(path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	const most = 4000
	return string(b[max(len(b)-most, 0):])
}

// oneUse uses each connection once, as callers that are new to the host do.
var oneUse = &http.Transport{DisableKeepAlives: true}

// call sends a request and returns the status code; zero means that there was no answer.
func (h *host) call(ctx context.Context, method string, addr netip.AddrPort, path, body string) int {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = callerHost
	resp, err := (&http.Client{Transport: oneUse}).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (h *host) get(addr netip.AddrPort, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return h.call(ctx, http.MethodGet, addr, path, "")
}

// callTimeout is how long an ordinary caller waits for an answer.
const callTimeout = 3 * time.Second

// servesJob reports whether an ordinary job is accepted and its state is known.
func (h *host) servesJob(n int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	path := fmt.Sprintf("%s%016x", prefix, n)
	return h.call(ctx, http.MethodPost, h.caller, path, smallJob) == http.StatusOK && h.get(h.caller, path) == http.StatusOK
}

const smallJob = `{"spec":"s","steps":[{"count":2,"cpu":500,"memMb":256,"estimateMs":100}]}`

// requireServed requires that an ordinary caller is served that sends its requests again.
func (h *host) requireServed(t *testing.T) {
	n := int(time.Now().UnixNano())
	require.Eventually(t, func() bool { return h.served(n) }, patience, 100*time.Millisecond, "an ordinary caller is served")
}

// requireAlive requires that the process runs.
func (h *host) requireAlive(t *testing.T) {
	select {
	case <-h.exited:
		require.Fail(t, "the process has ended")
	default:
	}
}

// requireWithinLimits requires that the process has stayed within the limits of its machine.
func (h *host) requireWithinLimits(t *testing.T) {
	h.requireAlive(t)
	u := h.usage.peaks()
	t.Logf("peak: %d MiB with unread bytes, %d MiB resident, %d MiB unread, %d descriptors", u.total>>20, u.resident>>20, u.unread>>20, u.files)
	require.LessOrEqual(t, u.total>>20, h.memory, "memory with unread bytes, in MiB")
	require.LessOrEqual(t, u.files, files, "descriptors")
}

// requireStops requires that a planned stop ends the process.
func (h *host) requireStops(t *testing.T) {
	h.usage.end()
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-h.exited:
	case <-time.After(patience):
		require.Fail(t, "the process does not end after SIGTERM")
	}
	require.True(t, h.cmd.ProcessState.Success(), h.cmd.ProcessState.String())
}
