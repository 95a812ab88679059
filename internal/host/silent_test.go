package host_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/platform"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// forwarder forwards connections. After silence, the existing ones stay open and carry nothing,
// while new ones work.
type forwarder struct {
	net.Listener
	mu     sync.Mutex
	silent chan struct{}
}

func forward(t *testing.T, to netip.AddrPort) *forwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &forwarder{Listener: ln, silent: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				continue
			}
			f.mu.Lock()
			silent := f.silent
			f.mu.Unlock()
			go copyUntilSilent(in, out, silent)
			go copyUntilSilent(out, in, silent)
		}
	}()
	return f
}

func copyUntilSilent(from, to net.Conn, silent chan struct{}) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		select {
		case <-silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(b[:n])
	}
}

func (f *forwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.silent)
	f.silent = make(chan struct{})
}

// A device between a host and the log drops the connection on which the host waits for the next
// record, without closing it. An accepted edit must still come into force on that host, over a
// new connection.
func TestEditReachesAHostWhoseLogConnectionWentSilent(t *testing.T) {
	c := newTestHosts(t, 2)
	f := forward(t, c.addr)
	c.settings[1].Platform, c.settings[1].Peers = netip.MustParseAddrPort(f.Addr().String()), nil
	c.startHost(0)
	c.startHost(1)
	c.waitReady(0)
	c.waitReady(1)
	f.silence()
	require.NoError(t, c.setRow(0, "scan", map[string]any{"weight": 7}))
	c.waitFor("the edit is in force", func() bool { return c.weight(1, "scan") == 7 })
}

// The log takes seconds for each answer, for hours. A host that gives up each request too early
// would never read an accepted edit.
func TestSlowLogIsStillRead(t *testing.T) {
	t.Parallel()
	c := newTestHosts(t, 2)
	f := forward(t, c.addr)
	c.settings[1].Platform, c.settings[1].Peers = netip.MustParseAddrPort(f.Addr().String()), nil
	c.startHost(0)
	c.waitReady(0)
	require.NoError(t, c.setRow(0, "scan", map[string]any{"weight": 7}))
	c.platform.SetFaults(standin.PlatformFaults{Slow: 1500 * time.Millisecond})
	c.startHost(1)
	c.waitFor("the edit is in force", func() bool { return c.weight(1, "scan") == 7 })
}

// A host dies after it has written an edit and before it could return the verdict. The operator
// has the edit's id and gets the verdict from any other host. An edit that is sent again under
// its id does not count twice.
func TestEditOfAHostThatDiesIsFoundAtAnother(t *testing.T) {
	c := newTestHosts(t, 2)
	f := forward(t, c.addr)
	c.settings[0].Platform = netip.MustParseAddrPort(f.Addr().String())
	c.settings[0].Peers = nil
	c.startHost(0)
	c.startHost(1)
	c.waitReady(0)
	c.waitReady(1)
	c.platform.SetFaults(standin.PlatformFaults{Deaf: true})
	c.waitFor("reads fail", func() bool { return c.hosts[0].Count("table.unread") > 0 })
	done := make(chan error, 1)
	go func() { done <- c.setRow(0, "scan", map[string]any{"weight": 7}) }()
	c.waitFor("written", func() bool { return c.platform.Appends() == 1 })
	c.hosts[0].Kill()
	var unsure *client.UnsureError
	require.ErrorAs(t, <-done, &unsure)
	c.platform.SetFaults(standin.PlatformFaults{})
	var state struct{ State string }
	c.waitFor("verdict", func() bool {
		return c.operator(1).Get(context.Background(), "/edits/"+unsure.ID, &state) == nil && state.State == "accepted"
	})
	require.Equal(t, int64(7), c.weight(1, "scan"))
}

// A backend server begins to leave. The host that reads the list notifies the others, and when
// that host has died, the next one reads the list. Requests that are still sent to the server
// would end as unknown.
func TestLeavingServerIsSeenByHostsThatDoNotReadTheList(t *testing.T) {
	c := newTestHosts(t, 2)
	m := standin.NewBackend(8)
	addr := serveBackend(t, m)
	list := func(leaving bool) {
		c.platform.SetHosts([]platform.HostEntry{{Name: "m", Kind: cell.BackendHost, Domain: "nord", Slots: 8, Address: addr, Leaving: leaving}})
	}
	list(false)
	for i := range c.settings {
		c.settings[i].Limits.StartupWait = time.Millisecond
		c.startHost(i)
		c.waitReady(i)
	}
	require.NoError(t, c.setRow(0, "scan", map[string]any{"class": "urgent"}))
	caller := client.New(addrOf(c.sockets[1].Caller), "", nil)
	outcome := func() string {
		r, _ := caller.Do(context.Background(), client.Request{Workload: "scan", Method: "GET", Deadline: 200 * time.Millisecond})
		return r.Outcome
	}
	c.waitFor("served", func() bool { return outcome() == client.Done })
	notified := c.hosts[1].Count("list.told")
	list(true)
	c.waitFor("requests are refused", func() bool { return outcome() == client.Refused })
	require.Greater(t, c.hosts[1].Count("list.told"), notified)
	c.hosts[0].Kill()
	list(false)
	c.waitFor("requests are served again", func() bool { return outcome() == client.Done })
	list(true)
	c.waitFor("requests are refused after the list's reader died", func() bool { return outcome() == client.Refused })
}
