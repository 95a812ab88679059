package host_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/platform"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// addBackend adds a backend server to the failure domain.
func (c *testHosts) addBackend(slots int) *standin.Backend {
	m := standin.NewBackend(slots)
	c.platform.SetHosts([]platform.HostEntry{{
		Name: "m", Kind: cell.BackendHost, Domain: "nord", Slots: slots, Conns: 64, Address: serveBackend(c.t, m),
	}})
	return m
}

func serveBackend(t *testing.T, m *standin.Backend) netip.AddrPort {
	t.Helper()
	srv := httptest.NewServer(m.Handler())
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func maxRunning(m *standin.Backend) int { return m.Record().Most }

// A host is stopped while it serves a plain request, a keyed one, one that a peer relayed, and
// connections that clients opened in advance and never used. Each request must get its complete
// answer, and nothing may delay the stop for long afterwards.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := newTestHosts(t, 2)
	m := c.addBackend(8)
	for i := range c.settings {
		c.settings[i].Limits.ShutdownDelay, c.settings[i].Limits.StartupWait = 50*time.Millisecond, time.Millisecond
		c.startHost(i)
		c.waitReady(i)
	}
	require.NoError(t, c.setRow(0, "scan", map[string]any{"class": "urgent"}))
	c.waitFor("the row is in force on both hosts", func() bool { return c.weight(1, "scan") == 1 })
	callers := []*client.Client{client.New(addrOf(c.sockets[0].Caller), "", nil), client.New(addrOf(c.sockets[1].Caller), "", nil)}
	ask := func(i int, key, cost string) (client.Reply, error) {
		return callers[i].Do(context.Background(), client.Request{
			Workload: "scan", Method: "POST", Path: "/x", Key: key, Deadline: testTimeout, Body: []byte("pass"),
			Header: http.Header{standin.HeaderCost: {cost}},
		})
	}
	c.waitFor("both hosts have slots", func() bool {
		for i := range callers {
			reply, err := callers[i].Do(context.Background(), client.Request{Workload: "scan", Method: "POST", Path: "/x", Key: cell.NewID()})
			if err != nil || reply.Outcome != client.Done {
				return false
			}
		}
		return true
	})
	type end struct {
		reply client.Reply
		err   error
	}
	ends := make(chan end, 16)
	send := func(i int, key, cost string) {
		go func() {
			reply, err := ask(i, key, cost)
			ends <- end{reply, err}
		}()
	}
	// Four of the eight slots belong to host 0. The four of host 1 are occupied first, so that
	// host 1 relays further requests to host 0.
	for range 4 {
		send(1, "", "2s")
	}
	c.waitFor("the slots of host 1 are in use", func() bool { return maxRunning(m) >= 4 })
	// The relayed request ends last, when host 0 has no requests of its own any more.
	send(1, "", "3s")
	send(0, "", "1s")
	send(0, cell.NewID(), "1s")
	c.waitFor("all requests run", func() bool { return maxRunning(m) >= 7 })
	unused, err := net.Dial("tcp", c.sockets[0].Caller.Addr().String())
	require.NoError(t, err)
	defer unused.Close()

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, c.hosts[0].Stop(ctx))
	for range 7 {
		e := <-ends
		require.NoError(t, e.err)
		require.Equal(t, client.Done, e.reply.Outcome, string(e.reply.Body))
	}
	<-c.hosts[0].Stopped()
}

// A request in flight never ends. The stop must give up at its time limit and report that it cut
// work, rather than block for ever or report a clean end.
func TestStopThatCutsWorkSaysSo(t *testing.T) {
	c := newTestHosts(t, 1)
	m := c.addBackend(8)
	c.startHost(0)
	c.waitReady(0)
	require.NoError(t, c.setRow(0, "scan", map[string]any{"class": "urgent"}))
	caller := client.New(addrOf(c.sockets[0].Caller), "", nil)
	done := make(chan struct{})
	c.waitFor("runs", func() bool {
		r, err := caller.Do(context.Background(), client.Request{Workload: "scan", Method: "GET"})
		return err == nil && r.Outcome == client.Done
	})
	m.SetFaults(standin.BackendFaults{Hole: true})
	go func() {
		defer close(done)
		_, _ = caller.Do(context.Background(), client.Request{Workload: "scan", Method: "POST", Deadline: 2 * time.Second})
	}()
	c.waitFor("in flight", func() bool { return c.hosts[0].InFlight() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, c.hosts[0].Stop(ctx))
	<-done
}

// A load balancer keeps connections open that it never uses. The http package waits five seconds
// for the first request on each. The stop of an idle host must not spend its time limit on that.
func TestUnusedConnectionsDoNotHoldUpAStop(t *testing.T) {
	c := newTestHosts(t, 1)
	c.startHost(0)
	c.waitReady(0)
	unused, err := net.Dial("tcp", c.sockets[0].Caller.Addr().String())
	require.NoError(t, err)
	defer unused.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	require.NoError(t, c.hosts[0].Stop(ctx))
}
