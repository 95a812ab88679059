package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/platform"
)

// Deployment describes the failure domains of a cell and the machines in them.
type Deployment struct {
	Name    string
	Domains []string
	// Hosts is the number of entry hosts in each failure domain.
	Hosts []int
	// Backends, Workers and Racks are totals for the whole cell.
	Backends, Workers, Racks int
	Slots                    int
	Worker                   cell.Size
}

// The two deployments that the project is designed for.
var (
	Kronach = Deployment{
		Name: "kronach", Domains: []string{"halle-nord", "halle-sued", "stadthalle"}, Hosts: []int{3, 3, 2},
		Backends: 48, Workers: 48, Racks: 6, Slots: 8, Worker: cell.Size{CPU: 64_000, Mem: 256 << 30},
	}
	Inzira = Deployment{
		Name: "inzira", Domains: []string{"nyarugenge", "gasabo", "kicukiro"}, Hosts: []int{3, 2, 2},
		Backends: 48, Workers: 48, Racks: 6, Slots: 8, Worker: cell.Size{CPU: 32_000, Mem: 128 << 30},
	}
)

// Cell runs the stand-ins of one deployment on loopback sockets.
type Cell struct {
	Deployment  Deployment
	Platform    *Platform
	Address     netip.AddrPort
	Backends    map[string]*Backend
	Workers     map[string]*Worker
	CopyChecker *CopyChecker
	Machines    []platform.HostEntry

	servers []*http.Server
	wg      sync.WaitGroup
}

// NewCell starts the stand-ins. The platform listens on addr; if its port is zero, the operating
// system chooses one. The other stand-ins listen on the same IP address and on ports that the
// operating system chooses.
func NewCell(u Deployment, addr netip.AddrPort, clock func() time.Time) (*Cell, error) {
	c := &Cell{
		Deployment: u, Platform: NewPlatform(), Backends: map[string]*Backend{}, Workers: map[string]*Worker{}, CopyChecker: NewCopyChecker(),
	}
	if err := c.fill(addr, clock); err != nil {
		c.Close()
		return nil, err
	}
	c.Platform.SetHosts(c.Machines)
	return c, nil
}

func (c *Cell) fill(addr netip.AddrPort, clock func() time.Time) error {
	var err error
	if c.Address, err = c.serve(addr, c.routes()); err != nil {
		return err
	}
	any := netip.AddrPortFrom(addr.Addr(), 0)
	for i := range c.Deployment.Backends {
		name := fmt.Sprintf("minion-%02d", i)
		m := NewBackend(c.Deployment.Slots)
		c.Backends[name] = m
		if err := c.add(any, m.Handler(), platform.HostEntry{Name: name, Kind: cell.BackendHost, Domain: c.domain(i, c.Deployment.Backends), Slots: c.Deployment.Slots}); err != nil {
			return err
		}
	}
	for i := range c.Deployment.Workers {
		name := fmt.Sprintf("worker-%02d", i)
		w := NewWorker(c.Deployment.Worker, c.CopyChecker, clock)
		c.Workers[name] = w
		rack := fmt.Sprintf("r%d", i*c.Deployment.Racks/c.Deployment.Workers)
		if err := c.add(any, w.Handler(), platform.HostEntry{Name: name, Kind: cell.WorkerHost, Domain: c.domain(i, c.Deployment.Workers), Rack: rack, Size: c.Deployment.Worker}); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cell) domain(i, all int) string {
	return c.Deployment.Domains[i*len(c.Deployment.Domains)/all]
}

func (c *Cell) add(addr netip.AddrPort, h http.Handler, m platform.HostEntry) error {
	at, err := c.serve(addr, h)
	m.Address = at
	c.Machines = append(c.Machines, m)
	return err
}

func (c *Cell) serve(addr netip.AddrPort, h http.Handler) (netip.AddrPort, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	c.servers = append(c.servers, srv)
	c.wg.Go(func() { _ = srv.Serve(ln) })
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (c *Cell) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", c.Platform.Handler())
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, c.Report()) })
	return mux
}

// Report is the sum of the records of all stand-ins.
type Report struct {
	Overfilled int            `json:"overfilled"`
	Doubled    []string       `json:"doubled"`
	SlotsOver  int            `json:"over"`
	Ran        map[string]int `json:"ran"`
	// Tasks counts, by task id, the runs that ended successfully.
	Tasks map[string]int `json:"tasks"`
	// Started counts the starts by task id.
	Started map[string]int `json:"started"`
}

// Report returns the current sum of all records.
func (c *Cell) Report() Report {
	r := Report{Doubled: c.CopyChecker.Doubled(), Ran: map[string]int{}, Tasks: map[string]int{}, Started: map[string]int{}}
	for _, m := range c.Backends {
		rec := m.Record()
		r.SlotsOver += rec.Over
		for key, n := range rec.Ran {
			r.Ran[key] += n
		}
	}
	for _, w := range c.Workers {
		rec := w.Record()
		r.Overfilled += rec.Overfilled
		for id, n := range rec.Started {
			r.Started[id] += n
		}
		for id, state := range rec.Ended {
			if state == TaskEnded {
				r.Tasks[id]++
			}
		}
	}
	return r
}

// Close stops the servers of all stand-ins.
func (c *Cell) Close() {
	for _, srv := range c.servers {
		_ = srv.Close()
	}
	c.wg.Wait()
}
