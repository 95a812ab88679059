// Package measure holds the loads and baselines of the benchmarks. Some run whole cells against
// stand-ins for the platform, workers and backend servers. Where the speed of the machine could
// change a verdict, a load runs on a simulated clock instead.
package measure

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/host"
	"pollencroft/internal/member"
	"pollencroft/internal/settings"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// Fleet is a cell of entry hosts in this process, spread over failure domains.
type Fleet struct {
	Cell  *standin.Cell
	Hosts []*host.Host
	All   []settings.Settings
}

// startWait limits how long Until waits, for example for a fleet to start.
const startWait = 30 * time.Second

// LateError reports that a fleet did not reach a state in time.
type LateError struct{ What string }

func (e *LateError) Error() string { return "fleet did not reach a state in time: " + e.What }

// NewFleet starts n hosts in the given number of failure domains, with the given number of workers
// in total. The hosts are independent except that they share the process's processor time and
// memory.
func NewFleet(n, domains, workers int) (*Fleet, error) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	users := standin.Deployment{Name: "fleet", Workers: workers, Racks: max(1, workers/8), Slots: 8, Worker: cell.Size{CPU: 64_000, Mem: 256 << 30}}
	for d := range domains {
		users.Domains = append(users.Domains, fmt.Sprint("domain-", d))
	}
	c, err := standin.NewCell(users, local, time.Now)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Cell: c}
	var sockets []host.Listeners
	for i := range n {
		ls, err := host.Listen(settings.Listen{Caller: local, Operator: local, Peer: local})
		if err != nil {
			return nil, err
		}
		sockets = append(sockets, ls)
		f.All = append(f.All, fleetSettings(i, users.Domains[i%domains], c.Address, ls))
	}
	for i := range f.All {
		for j, o := range f.All {
			if i != j {
				f.All[i].Peers = append(f.All[i].Peers, settings.Peer{Name: o.Name, Domain: o.Domain, Address: o.Listen.Peer})
			}
		}
		h := host.New(f.All[i], slog.New(slog.DiscardHandler), time.Now)
		h.Start(sockets[i])
		f.Hosts = append(f.Hosts, h)
	}
	return f, f.Until("ready", func() bool {
		for _, h := range f.Hosts {
			if !h.Ready() {
				return false
			}
		}
		return true
	})
}

func fleetSettings(i int, domain string, plat netip.AddrPort, ls host.Listeners) settings.Settings {
	at := func(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }
	return settings.Settings{
		Name: fmt.Sprintf("host-%02d", i), Domain: domain, Platform: plat,
		Listen: settings.Listen{Caller: at(ls.Caller.Addr().String()), Operator: at(ls.Operator.Addr().String()), Peer: at(ls.Peer.Addr().String())},
		Limits: settings.Limits{Body: settings.DefaultBody, Queue: settings.DefaultQueue, Deadline: settings.DefaultDeadline, DrainTimeout: settings.DefaultDrain},
	}
}

// Until waits until ok returns true. If that takes too long, it returns a LateError that names what.
func (f *Fleet) Until(what string, ok func() bool) error {
	for end := time.Now().Add(startWait); time.Now().Before(end); {
		if ok() {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return &LateError{What: what}
}

// Close stops all hosts and stand-ins.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Kill()
	}
	f.Cell.Close()
}

// Cost is the average cost of control work per host: traffic and processor time per second, and memory.
type Cost struct {
	// Peers and Rest are bytes a second in both directions: Peers between hosts, Rest between the
	// host and the platform and workers. Core is a fraction of one processor core.
	Peers, Rest, Core float64
	// Heap is the heap bytes in use per host, including those of the stand-ins.
	Heap float64
}

// WarmUp waits long enough for every host to send a heartbeat to every other. Earlier, connections
// that are not open yet would make a large cell look cheaper than it is.
func (f *Fleet) WarmUp() { time.Sleep(member.FarPeriod(len(f.Hosts)) + time.Second) }

// Idle measures for d what a fleet costs that runs no work and only controls its workers. The
// processor time is that of the whole process, including the stand-ins.
func (f *Fleet) Idle(d time.Duration) Cost {
	peers, rest := f.bytes()
	cpu := processorTime()
	began := time.Now()
	time.Sleep(d)
	took := time.Since(began).Seconds()
	cpu = processorTime() - cpu
	peers2, rest2 := f.bytes()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	n := float64(len(f.Hosts))
	return Cost{
		Peers: float64(peers2-peers) / took / n, Rest: float64(rest2-rest) / took / n,
		Core: cpu.Seconds() / took / n, Heap: float64(m.HeapInuse) / n,
	}
}

func (f *Fleet) bytes() (peers, rest int64) {
	for _, h := range f.Hosts {
		peers += h.PeerBytes()
		rest += h.ControlBytes()
	}
	return peers, rest
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Slope fits y = a + b·x by least squares and returns a and b.
func Slope(x, y []float64) (a, b float64) {
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	n := float64(len(x))
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}

// Spread changes the weight of a row through one host. It returns the time until the host accepts
// the change, and the time from then until every host applies it.
func (f *Fleet) Spread(ctx context.Context, weight int64) (accepted, everywhere time.Duration, err error) {
	began := time.Now()
	c := client.New(f.All[0].Listen.Operator, "", nil)
	if err := c.SetRow(ctx, "scan", "", map[string]any{"weight": weight}); err != nil {
		return 0, 0, errors.Wrap(err, "change row weight")
	}
	accepted = time.Since(began)
	err = f.Until("row is in force", func() bool {
		for _, h := range f.Hosts {
			if row, _ := h.Row("scan"); row.Weight != weight {
				return false
			}
		}
		return true
	})
	return accepted, time.Since(began) - accepted, err
}
