package host_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/host"
	"pollencroft/internal/platform"
	"pollencroft/internal/settings"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// domain is three real hosts with backend servers, on a host list that tests change.
type domain struct {
	t         *testing.T
	cell      *standin.Cell
	hosts     []*host.Host
	operators []*client.Client
	cfgs      []settings.Settings
}

func newDomain(t *testing.T) *domain {
	t.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	c, err := standin.NewCell(standin.Deployment{Domains: []string{"nord"}, Backends: 2, Slots: 8}, local, time.Now)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	d := &domain{t: t, cell: c}
	var socks []host.Listeners
	for i := range 3 {
		ls, err := host.Listen(settings.Listen{Caller: local, Operator: local, Peer: local})
		require.NoError(t, err)
		socks = append(socks, ls)
		at := func(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }
		d.cfgs = append(d.cfgs, settings.Settings{
			Name: fmt.Sprint("h", i), Domain: "nord", Platform: c.Address,
			Listen: settings.Listen{Caller: at(ls.Caller), Operator: at(ls.Operator), Peer: at(ls.Peer)},
			Limits: settings.Limits{Body: 1 << 20, Queue: 100, Deadline: 4 * time.Second, DrainTimeout: 5 * time.Second},
		})
	}
	d.setListed("h0", "h1", "h2")
	for i, cfg := range d.cfgs {
		for j, other := range d.cfgs {
			if i != j {
				cfg.Peers = append(cfg.Peers, settings.Peer{Name: other.Name, Domain: other.Domain, Address: other.Listen.Peer})
			}
		}
		h := host.New(cfg, slog.New(slog.DiscardHandler), time.Now)
		h.Start(socks[i])
		t.Cleanup(h.Kill)
		d.hosts = append(d.hosts, h)
		d.operators = append(d.operators, client.New(cfg.Listen.Operator, "", nil))
	}
	return d
}

// setListed puts entry hosts on the platform's list in addition to the backend servers.
func (d *domain) setListed(names ...string) {
	all := append([]platform.HostEntry{}, d.cell.Machines...)
	for _, name := range names {
		all = append(all, platform.HostEntry{Name: name, Kind: cell.EntryHost, Domain: "nord"})
	}
	d.cell.Platform.SetHosts(all)
}

// waitSlotsShared waits until these hosts together may use all slots of each backend server.
func (d *domain) waitSlotsShared(what string, hosts ...int) {
	require.Eventually(d.t, func() bool {
		sum := map[string]int{}
		for _, i := range hosts {
			var v struct {
				Slots map[string]int `json:"slots"`
			}
			if d.operators[i].Get(context.Background(), "/hosts", &v) != nil {
				return false
			}
			for name, n := range v.Slots {
				sum[name] += n
			}
		}
		return sum["minion-00"] == 8 && sum["minion-01"] == 8
	}, testTimeout, 20*time.Millisecond, what)
}

// One host dies and another one performs a planned stop. The last host must get all slots.
// Otherwise its callers would wait for ever while backend servers are idle.
func TestSlotsOfGoneHostsAreTakenOver(t *testing.T) {
	d := newDomain(t)
	d.waitSlotsShared("all hosts share the slots at the start", 0, 1, 2)
	d.hosts[0].Kill()
	d.setListed("h1", "h2")
	d.waitSlotsShared("the other hosts get the dead host's slots", 1, 2)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, d.hosts[1].Stop(ctx))
	d.waitSlotsShared("the last host gets the slots of the stopped one", 2)
}

// callers creates an urgent row and returns clients of the hosts.
func (d *domain) callers() []*client.Client {
	ctx := context.Background()
	require.NoError(d.t, d.operators[0].SetRow(ctx, "scan", "", map[string]any{"class": "urgent"}))
	var all []*client.Client
	for i, cfg := range d.cfgs {
		require.Eventually(d.t, func() bool { _, v := d.hosts[i].Row("scan"); return v > 0 }, testTimeout, 10*time.Millisecond, "row is in force")
		all = append(all, client.New(cfg.Listen.Caller, "", nil))
	}
	return all
}

// All callers use one host, whose own share is a third of the slots. The other slots must not
// stay idle while callers wait, and no backend server may get a ninth request.
func TestOneHostsCallersUseAllSlotsAndNoMore(t *testing.T) {
	d := newDomain(t)
	d.waitSlotsShared("all hosts share the slots", 0, 1, 2)
	callers := d.callers()
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			reply, err := callers[0].Do(context.Background(), client.Request{
				Workload: "scan", Method: http.MethodPost, Path: "/gate", Header: http.Header{standin.HeaderCost: {"2s"}},
			})
			require.NoError(t, err)
			require.Equal(t, client.Done, reply.Outcome, string(reply.Body))
		})
	}
	wg.Wait()
	for name, m := range d.cell.Backends {
		require.Equal(t, 8, m.Record().Most, name)
		require.Zero(t, m.Record().Over, name)
	}
}

// A backend server tells one host that it is leaving, and the host list never shows it. The
// other hosts must learn of it and send it nothing more.
func TestLeavingBackendIsAvoidedByAllHosts(t *testing.T) {
	d := newDomain(t)
	d.waitSlotsShared("all hosts share the slots", 0, 1, 2)
	callers := d.callers()
	d.cell.Backends["minion-00"].SetFaults(standin.BackendFaults{Leaving: true})
	aside := func(i int) bool {
		var v struct {
			Aside map[string]string `json:"aside"`
		}
		return d.operators[i].Get(context.Background(), "/hosts", &v) == nil && v.Aside["minion-00"] == "gone"
	}
	require.Eventually(t, func() bool {
		reply, err := callers[0].Do(context.Background(), client.Request{Workload: "scan", Method: http.MethodPost, Path: "/gate"})
		require.NoError(t, err)
		require.Equal(t, client.Done, reply.Outcome, "the other backend server answers")
		return aside(0)
	}, testTimeout, time.Millisecond)
	for i := range callers {
		require.Eventually(t, func() bool { return aside(i) }, testTimeout, 10*time.Millisecond)
	}
}
