// Package demo runs a whole cell in one process. The entry hosts are real; the platform, the
// workers and the backend servers are fakes from package standin. The demo runs all four kinds of
// workload while it changes a row, kills a host and stops another host in a planned way. It counts
// violations from the records of the fakes, not from what the hosts report.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"pollencroft/internal/audit"
	"pollencroft/internal/host"
	"pollencroft/internal/settings"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// Timeouts and the schedule of the demo.
const (
	readyTimeout  = 5 * time.Second
	changeAt      = 3 * time.Second
	killAt        = 5 * time.Second
	stopAt        = 8 * time.Second
	loadDuration  = 12 * time.Second
	jobEndTimeout = 12 * time.Second

	// keyConfirmWait is how long after its start a host replies that the outcome of a new
	// idempotency key is unknown, because its previous incarnation may have run the request.
	keyConfirmWait     = 2100 * time.Millisecond
	leadTimeout        = 30 * time.Second
	jobEndPollInterval = 200 * time.Millisecond
)

// Number of simulated callers of each kind.
const (
	urgentCallers = 24
	floodCallers  = 480
	batchCallers  = 3
)

// UnknownDeploymentError reports that there is no deployment with this name.
type UnknownDeploymentError struct{ Name string }

func (e *UnknownDeploymentError) Error() string { return "no deployment is called " + e.Name }

// WorkersNotLedError reports that some workers still had no leading host when the timeout expired.
type WorkersNotLedError struct{ Led, Workers int }

func (e *WorkersNotLedError) Error() string {
	return fmt.Sprintf("only %d of %d workers are led", e.Led, e.Workers)
}

// Run runs the demo and prints its progress and result tables to out. It returns an
// audit.ViolationsError if any violation count of the last line is not zero.
func Run(out io.Writer, users string) error {
	for _, u := range []standin.Deployment{standin.Kronach, standin.Inzira} {
		if u.Name == users {
			return run(out, u)
		}
	}
	return &UnknownDeploymentError{Name: users}
}

// entry is a running entry host with the clients of its caller and operator listeners.
type entry struct {
	name, domain     string
	host             *host.Host
	caller, operator *client.Client
}

// demo is one run of the demo.
type demo struct {
	out       io.Writer
	startedAt time.Time
	cell      *standin.Cell
	entries   []*entry
	names     audit.RowNames
	tally     *audit.Tally
}

func run(out io.Writer, u standin.Deployment) error {
	local := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	c, err := standin.NewCell(u, local, time.Now)
	if err != nil {
		return err
	}
	defer c.Close()
	s := &demo{out: out, startedAt: time.Now(), cell: c, names: audit.RowNamesOf(u), tally: audit.NewTally()}
	if err := s.startAllHosts(); err != nil {
		return err
	}
	defer s.killAll()
	if err := s.writeTable(); err != nil {
		return err
	}
	s.logf("waiting until the hosts vouch for fresh keys")
	time.Sleep(keyConfirmWait)
	s.logf("waiting until the hosts lead the workers")
	if err := s.waitForWorkers(); err != nil {
		return err
	}
	s.load()
	return s.finish()
}

func (s *demo) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, "%5.1fs  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// waitForWorkers waits until every worker is led by a host. Hosts that start together delay
// leading workers.
func (s *demo) waitForWorkers() error {
	for end := time.Now().Add(leadTimeout); ; time.Sleep(100 * time.Millisecond) {
		led := 0
		for _, e := range s.entries {
			led += len(e.host.Held())
		}
		if led == len(s.cell.Workers) {
			return nil
		}
		if time.Now().After(end) {
			return &WorkersNotLedError{Led: led, Workers: len(s.cell.Workers)}
		}
	}
}

// startAllHosts opens the sockets of all hosts before it starts the first host, so that the settings
// of every host can list the addresses of its peers.
func (s *demo) startAllHosts() error {
	u := s.cell.Deployment
	var all []settings.Settings
	var sockets []host.Listeners
	any := netip.AddrPortFrom(s.cell.Address.Addr(), 0)
	for i, domain := range u.Domains {
		for n := range u.Hosts[i] {
			ls, err := host.Listen(settings.Listen{Caller: any, Operator: any, Peer: any})
			if err != nil {
				return err
			}
			sockets = append(sockets, ls)
			all = append(all, hostSettings(fmt.Sprintf("%s-%d", domain, n+1), domain, s.cell.Address, ls))
		}
	}
	for i := range all {
		for j, other := range all {
			if i != j {
				all[i].Peers = append(all[i].Peers, settings.Peer{Name: other.Name, Domain: other.Domain, Address: other.Listen.Peer})
			}
		}
		s.startHost(all[i], sockets[i])
	}
	return s.waitReady()
}

func hostSettings(name, domain string, plat netip.AddrPort, ls host.Listeners) settings.Settings {
	return settings.Settings{
		Name: name, Domain: domain, Platform: plat,
		Listen: settings.Listen{Caller: address(ls.Caller), Operator: address(ls.Operator), Peer: address(ls.Peer)},
		Limits: settings.Limits{Body: settings.DefaultBody, Queue: settings.DefaultQueue, Deadline: settings.DefaultDeadline, ShutdownDelay: settings.DefaultShutdownDelay, DrainTimeout: settings.DefaultDrain},
	}
}

func address(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

func (s *demo) startHost(cfg settings.Settings, ls host.Listeners) {
	h := host.New(cfg, slog.New(slog.DiscardHandler), time.Now)
	h.Start(ls)
	rt := &http.Transport{MaxIdleConnsPerHost: 256}
	s.entries = append(s.entries, &entry{
		name: cfg.Name, domain: cfg.Domain, host: h,
		caller: client.New(cfg.Listen.Caller, "", rt), operator: client.New(cfg.Listen.Operator, "", nil),
	})
}

// NotReadyError reports that a host did not become ready before the timeout.
type NotReadyError struct{ Name string }

func (e *NotReadyError) Error() string { return "host " + e.Name + " is not ready" }

func (s *demo) waitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, e := range s.entries {
		for !e.host.Ready() {
			if time.Now().After(end) {
				return &NotReadyError{Name: e.name}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	s.logf("%d entry hosts in %d failure domains are ready", len(s.entries), len(s.cell.Deployment.Domains))
	return nil
}

func (s *demo) killAll() {
	for _, e := range s.entries {
		e.host.Kill()
	}
}

func (s *demo) writeTable() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for row, fields := range s.names.Rows() {
		if err := s.entries[0].operator.SetRow(ctx, row, "", fields); err != nil {
			return errors.Wrapf(err, "set row %s", row)
		}
	}
	for _, e := range s.entries {
		for row := range s.names.Rows() {
			for _, version := e.host.Row(row); version == 0; _, version = e.host.Row(row) {
				if ctx.Err() != nil {
					return &NotReadyError{Name: e.name}
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	s.logf("%d rows are in force on every host", len(s.names.Rows()))
	return nil
}

// load runs all workloads and injects the faults until the load duration has passed.
func (s *demo) load() {
	ctx, cancel := context.WithTimeout(context.Background(), loadDuration)
	defer cancel()
	var g errgroup.Group
	play := audit.Load{
		Names: s.names, Domains: s.cell.Deployment.Domains, Pick: s.pickClient, Tally: s.tally,
		Urgent: urgentCallers, Flood: floodCallers, Batch: batchCallers,
	}
	g.Go(func() error { play.Run(ctx); return nil })
	g.Go(func() error { s.injectFaults(ctx); return nil })
	g.Go(func() error { s.progress(ctx); return nil })
	_ = g.Wait()
}

// pickClient returns the client of a random ready host in the domain, as the platform's load balancer
// would. If no host of the domain is ready, it returns the client of the first host.
func (s *demo) pickClient(r *rand.Rand, domain string) *client.Client {
	var in []*entry
	for _, e := range s.entries {
		if e.domain == domain && e.host.Ready() {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		return s.entries[0].caller
	}
	return in[r.IntN(len(in))].caller
}

func (s *demo) injectFaults(ctx context.Context) {
	begin := time.Now()
	sleep(ctx, changeAt-time.Since(begin))
	err := s.entries[0].operator.SetRow(ctx, s.names.Flood, "", map[string]any{"weight": 5, "limits": map[string]any{"slots": 100}})
	s.logf("row %s is changed while it runs: %s", s.names.Flood, outcome(err))
	sleep(ctx, killAt-time.Since(begin))
	s.entries[1].host.Kill()
	s.logf("host %s is killed without warning", s.entries[1].name)
	sleep(ctx, stopAt-time.Since(begin))
	leaving := s.entries[len(s.entries)-1]
	stop, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	began := time.Now()
	err = leaving.host.Stop(stop)
	s.logf("host %s is stopped in a planned way in %.1f s: %s", leaving.name, time.Since(began).Seconds(), outcome(err))
}

func outcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "accepted"
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (s *demo) progress(ctx context.Context) {
	t := time.NewTicker(2 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			asked, done := s.tally.Totals()
			s.logf("asked %d, done %d", asked, done)
		}
	}
}

// controlBytesPerSecond returns the average control traffic of one host in bytes per second.
func (s *demo) controlBytesPerSecond() float64 {
	sum := int64(0)
	for _, e := range s.entries {
		sum += e.host.ControlBytes()
	}
	return float64(sum) / time.Since(s.startedAt).Seconds() / float64(len(s.entries))
}

// cpuPacking returns the average fraction of the workers' processor time that tasks occupied.
func (s *demo) cpuPacking() float64 {
	sum := 0.0
	for _, w := range s.cell.Workers {
		sum += w.Utilization(s.startedAt)
	}
	return sum / float64(len(s.cell.Workers))
}

// finish waits until the accepted jobs have ended or the wait times out, prints the result tables and
// returns an audit.ViolationsError if there were violations.
func (s *demo) finish() error {
	end := time.Now().Add(jobEndTimeout)
	w := s.tally.Violations(s.cell.Report())
	for w.Lost > 0 && time.Now().Before(end) {
		time.Sleep(jobEndPollInterval)
		w = s.tally.Violations(s.cell.Report())
	}
	s.logf("load is over")
	s.tally.Print(s.out, s.names.Urgent, s.names.Flood, s.names.Batch, s.names.Gang, s.names.Watch)
	_, _ = fmt.Fprintf(s.out, "packing %.1f %% of processor time, control %.0f bytes a second a host\n", 100*s.cpuPacking(), s.controlBytesPerSecond())
	_, _ = fmt.Fprintln(s.out, "demo: "+w.Error())
	if w != (audit.ViolationsError{}) {
		return &w
	}
	return nil
}
