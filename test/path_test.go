// Package test contains end-to-end tests that run the hosts as real processes.
package test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/pkg/client"
)

// waitLimit bounds each wait for a state of the running processes.
const waitLimit = 30 * time.Second

// bin is the directory of the binaries that TestMain builds.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "pollencroft")
	if err != nil {
		panic(err)
	}
	bin = dir
	build := exec.Command("go", "build", "-o", dir, "pollencroft", "pollencroft/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// start returns the command for a binary of bin; the caller starts it.
func start(t *testing.T, name string, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(filepath.Join(bin, name), args...)
	cmd.Stderr = os.Stderr
	// The process must not outlive a test that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// usedAddrs counts the loopback addresses that freeAddrs has used.
var usedAddrs atomic.Uint32

// freeAddrs returns n addresses with ports that are free now, chosen by the system. They are on a
// loopback address that nothing else in this process uses. On a shared address, another socket
// could take a port before the host that it is meant for starts.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%250, usedAddrs.Add(1)%250)
	addrs := make([]string, n)
	for i := range addrs {
		ln, err := net.Listen("tcp", ip)
		require.NoError(t, err)
		defer ln.Close()
		addrs[i] = ln.Addr().String()
	}
	return addrs
}

// startStandin starts the stand-in of the platform and returns its address.
func startStandin(t *testing.T) string {
	t.Helper()
	cmd := start(t, "standin", "--listen", "127.0.0.1:0")
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSpace(strings.TrimPrefix(line, "platform "))
}

// process is a host that runs as a process, with clients for its two listeners.
type process struct {
	cmd              *exec.Cmd
	caller, operator *client.Client
	callerAddr       string
}

// startHosts starts n hosts of one failure domain.
func startHosts(t *testing.T, platform string, n int) []process {
	t.Helper()
	addrs := freeAddrs(t, 3*n)
	dir := t.TempDir()
	var all []process
	for i := range n {
		var b strings.Builder
		fmt.Fprintf(&b, "name = \"nord-%d\"\ndomain = \"halle-nord\"\nlog = \"error\"\n", i)
		fmt.Fprintf(&b, "[listen]\ncaller = %q\noperator = %q\npeer = %q\n", addrs[3*i], addrs[3*i+1], addrs[3*i+2])
		fmt.Fprintf(&b, "[platform]\naddress = %q\n[operator]\ntoken = \"secret\"\n[limits]\nsettle = \"0s\"\n", platform)
		for j := range n {
			if j != i {
				fmt.Fprintf(&b, "[[peers]]\nname = \"nord-%d\"\ndomain = \"halle-nord\"\naddress = %q\n", j, addrs[3*j+2])
			}
		}
		file := filepath.Join(dir, fmt.Sprintf("host%d.toml", i))
		require.NoError(t, os.WriteFile(file, []byte(b.String()), 0o600))
		cmd := start(t, "pollencroft", "serve", "--settings", file)
		require.NoError(t, cmd.Start())
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		all = append(all, process{
			cmd: cmd, callerAddr: addrs[3*i],
			caller:   client.New(netip.MustParseAddrPort(addrs[3*i]), "", nil),
			operator: client.New(netip.MustParseAddrPort(addrs[3*i+1]), "secret", nil),
		})
	}
	return all
}

// eventually waits until f returns true, and fails the test after waitLimit.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, waitLimit, 20*time.Millisecond, what)
}

func waitReady(t *testing.T, all []process) {
	t.Helper()
	for _, p := range all {
		eventually(t, "host is ready", func() bool {
			return p.caller.Get(context.Background(), "/ready", nil) == nil
		})
	}
}

// A row that one host stores takes effect on another, which then serves a request; a job that one
// host accepts is reported as ended by the other, and a planned stop exits with status 0.
func TestRequestJobAndRowGoFromEndToEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	hosts := startHosts(t, startStandin(t), 2)
	waitReady(t, hosts)

	require.NoError(t, hosts[0].operator.SetRow(ctx, "scan", "", map[string]any{"class": "urgent"}))
	eventually(t, "row is in force on the other host", func() bool {
		return hosts[1].operator.Get(ctx, "/table/scan", nil) == nil
	})

	eventually(t, "request is served", func() bool {
		reply, err := hosts[1].caller.Do(ctx, client.Request{
			Workload: "scan", Method: http.MethodPost, Path: "/gate", Key: cell.NewID(), Body: []byte("pass 7"),
		})
		return err == nil && reply.Outcome == client.Done && strings.HasSuffix(string(reply.Body), "pass 7")
	})

	var job client.JobStatus
	eventually(t, "job is accepted", func() bool {
		var err error
		job, err = hosts[0].caller.Submit(ctx, client.Job{Workload: "scan", Tasks: 2, Size: client.Size{CPU: 100, Mem: 1 << 20}, Time: 0.2})
		return err == nil
	})
	require.Equal(t, "log", job.Kept)
	eventually(t, "job has ended", func() bool {
		s, err := hosts[1].caller.Job(ctx, job.ID)
		return err == nil && s.State == "ended"
	})

	require.NoError(t, hosts[0].cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, hosts[0].cmd.Wait(), "a planned stop exits with status 0")
}

// The answer to invalid input must have a 4xx status, say that the request was refused and name
// the invalid field.
func TestWrongInputGetsA4xxThatNamesTheField(t *testing.T) {
	hosts := startHosts(t, startStandin(t), 1)
	waitReady(t, hosts)
	ctx := context.Background()
	require.NoError(t, hosts[0].operator.SetRow(ctx, "scan", "", map[string]any{"class": "urgent"}))
	wrong := []struct{ body, status, field string }{
		{`{`, "400", "body"},
		{`{"workload":"none"}`, "404", "workload"},
		{`{"workload":"scan","colour":1}`, "400", "colour"},
		{`{"workload":"scan","tasks":"two"}`, "400", "tasks"},
		{`{"workload":"scan","time":1,"size":{"cpu":-1,"mem":1}}`, "400", "size.cpu"},
		{`{"workload":"scan","time":-1}`, "400", "time"},
		{strings.Repeat(" ", 70<<10), "413", "body"},
	}
	for _, w := range wrong {
		resp, err := http.Post("http://"+hosts[0].callerAddr+"/jobs", "application/json", strings.NewReader(w.body))
		require.NoError(t, err)
		text, err := bufio.NewReader(resp.Body).ReadString('\n')
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Contains(t, resp.Status, w.status, w.body)
		require.Contains(t, text, w.field)
		require.Contains(t, text, `"outcome":"refused"`)
	}
	reply, err := hosts[0].caller.Do(ctx, client.Request{Workload: "none", Method: http.MethodGet})
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, reply.Status)
	require.Equal(t, client.Refused, reply.Outcome)
}
