package test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/audit"
	"pollencroft/internal/cell"
	"pollencroft/internal/platform"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// smallCell is a cell of three failure domains with two entry hosts each.
var smallCell = standin.Deployment{
	Name: "kronach", Domains: []string{"halle-nord", "halle-sued", "stadthalle"}, Hosts: []int{2, 2, 2},
	Backends: 6, Workers: 12, Racks: 6, Slots: 8, Worker: cell.Size{CPU: 64_000, Mem: 256 << 30},
}

// node is one entry host that runs as a process, with the proxies in front of it and on its
// connections to the platform and to its peers.
type node struct {
	name, domain string
	file         string
	cmd          *exec.Cmd
	direct       *client.Client
	operator     *client.Client
	viaProxy     *client.Client
	ready        atomic.Bool

	caller   *toxiproxy.Proxy
	platform *toxiproxy.Proxy
	peers    map[string]*toxiproxy.Proxy
}

// bench is a whole cell: the stand-ins run in this process, each host runs as a process of its own,
// and every connection between them goes through a proxy that can inject faults.
type bench struct {
	t            *testing.T
	proxies      *toxiproxy.ApiServer
	cell         *standin.Cell
	users        standin.Deployment
	moreSettings func(host string) string
	machines     []platform.HostEntry
	machine      map[string]*toxiproxy.Proxy
	nodes        []*node
	tally        *audit.Tally
	names        audit.RowNames
	// ranBeforeLeaving is the number of requests that a leaving backend server had run when
	// leaveWithin was over.
	ranBeforeLeaving int
	stop             context.CancelFunc
	watch            sync.WaitGroup
}

// newBench starts the cell smallCell.
func newBench(t *testing.T) *bench {
	t.Helper()
	return newBenchOf(t, smallCell, func(string) string { return "" })
}

// newBenchOf starts a cell for the given users; more returns lines to add to the settings of a host.
func newBenchOf(t *testing.T, users standin.Deployment, more func(host string) string) *bench {
	t.Helper()
	c, err := standin.NewCell(users, netip.MustParseAddrPort("127.0.0.1:0"), time.Now)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	ctx, stop := context.WithCancel(context.Background())
	b := &bench{
		t: t, cell: c, machine: map[string]*toxiproxy.Proxy{}, tally: audit.NewTally(), names: audit.RowNamesOf(users), stop: stop, users: users, moreSettings: more,
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop()),
	}
	for _, m := range c.Machines {
		p := b.proxy(m.Name, m.Address.String())
		b.machine[m.Name] = p
		m.Address = netip.MustParseAddrPort(p.Listen)
		b.machines = append(b.machines, m)
	}
	c.Platform.SetHosts(b.machines)
	b.makeNodes()
	for _, n := range b.nodes {
		b.start(n)
	}
	t.Cleanup(func() {
		stop()
		b.watch.Wait()
		for _, n := range b.nodes {
			b.kill(n)
		}
		b.logUnexpectedLines()
	})
	b.watch.Go(func() { b.pollReadiness(ctx) })
	b.setTable()
	return b
}

func (b *bench) proxy(name, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(b.proxies, name, "127.0.0.1:0", upstream)
	require.NoError(b.t, p.Start())
	b.t.Cleanup(p.Stop)
	return p
}

// makeNodes creates the hosts with their proxies, clients and settings, but does not start them.
func (b *bench) makeNodes() {
	addrs := freeAddrs(b.t, 3*6)
	dir := b.t.ArtifactDir()
	for i, domain := range b.users.Domains {
		for k := range b.users.Hosts[i] {
			n := &node{name: fmt.Sprintf("%s-%d", domain, k+1), domain: domain, peers: map[string]*toxiproxy.Proxy{}}
			at := addrs[3*len(b.nodes):]
			n.file = filepath.Join(dir, n.name+".toml")
			n.caller = b.proxy("caller "+n.name, at[0])
			n.platform = b.proxy("platform "+n.name, b.cell.Address.String())
			n.direct = client.New(netip.MustParseAddrPort(at[0]), "", nil)
			n.operator = client.New(netip.MustParseAddrPort(at[1]), "secret", nil)
			n.viaProxy = client.New(netip.MustParseAddrPort(n.caller.Listen), "", &http.Transport{MaxIdleConnsPerHost: 64})
			b.nodes = append(b.nodes, n)
		}
	}
	for i, n := range b.nodes {
		var s strings.Builder
		fmt.Fprintf(&s, "name = %q\ndomain = %q\nlog = \"info\"\n[listen]\ncaller = %q\noperator = %q\npeer = %q\n",
			n.name, n.domain, addrs[3*i], addrs[3*i+1], addrs[3*i+2])
		fmt.Fprintf(&s, "[platform]\naddress = %q\n[operator]\ntoken = \"secret\"\n", n.platform.Listen)
		for j, o := range b.nodes {
			if i == j {
				continue
			}
			n.peers[o.name] = b.proxy(n.name+" to "+o.name, addrs[3*j+2])
			fmt.Fprintf(&s, "[[peers]]\nname = %q\ndomain = %q\naddress = %q\n", o.name, o.domain, n.peers[o.name].Listen)
		}
		fmt.Fprintf(&s, "[limits]\ndeadline = %q\n", maxDeadline.String())
		s.WriteString(b.moreSettings(n.name))
		require.NoError(b.t, os.WriteFile(n.file, []byte(s.String()), 0o600))
	}
}

func (b *bench) start(n *node) {
	n.cmd = start(b.t, "pollencroft", "serve", "--settings", n.file)
	log, err := os.OpenFile(n.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(b.t, err)
	defer log.Close()
	n.cmd.Stderr = log
	require.NoError(b.t, n.cmd.Start())
}

// logUnexpectedLines prints the unexpected lines in the logs of the hosts: errors, panics and data
// races.
func (b *bench) logUnexpectedLines() {
	for _, n := range b.nodes {
		if told := b.logLines(n, isUnexpected); len(told) > 0 {
			b.t.Logf("%s:\n%s", n.name, strings.Join(told, "\n"))
		}
	}
}

func isUnexpected(line string) bool {
	return line != "" && !strings.Contains(line, " level=INFO ") && !strings.Contains(line, " level=WARN ")
}

// logLines returns the log lines of a host for which wanted returns true.
func (b *bench) logLines(n *node, wanted func(line string) bool) []string {
	text, err := os.ReadFile(n.logFile())
	require.NoError(b.t, err)
	return slices.DeleteFunc(strings.Split(string(text), "\n"), func(line string) bool { return !wanted(line) })
}

// logFile is the path of the log of all incarnations of the host.
func (n *node) logFile() string { return n.file + ".log" }

// maxLogLines limits the log lines that are printed for each host and violation.
const maxLogLines = 120

// logViolations prints the lost jobs and what ran twice, with the log lines of the hosts about them.
func (b *bench) logViolations() {
	r := b.cell.Report()
	lost, twice := b.tally.LostJobs(r), b.tally.Doubled(r)
	b.t.Logf("lost jobs %v, twice %v", lost, twice)
	for _, id := range slices.Concat(lost, twice) {
		job := jobOf(id)
		b.t.Logf("%s, what its leader reports:\n%s", id, b.jobHistory(job))
		b.t.Logf("%s, what workers did:\n%s", id, b.taskHistory(id))
		for _, n := range b.nodes {
			if told := b.logLines(n, func(line string) bool { return strings.Contains(line, job) || b.aboutWorkers(n, line, job) }); len(told) > 0 {
				b.t.Logf("%s of %s, the first %d of %d lines:\n%s", n.name, id, maxLogLines, len(told), strings.Join(told[:min(len(told), maxLogLines)], "\n"))
			}
		}
	}
}

// aboutWorkers reports whether a log line says which workers a host in the job's failure domain leads.
func (b *bench) aboutWorkers(n *node, line, job string) bool {
	return strings.HasPrefix(job, n.domain+".") && strings.Contains(line, `msg="lead: worker `)
}

// taskHistory lists the steps that the workers recorded for a task.
func (b *bench) taskHistory(id string) string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(b.cell.Workers)) {
		for _, s := range b.cell.Workers[name].History(id) {
			all = append(all, fmt.Sprintf("%s %s %s for %s, lease %q, deadline in %s",
				s.At.Format("15:04:05.000"), name, s.What, s.Holder, s.Lease, s.Left))
		}
	}
	slices.Sort(all)
	return strings.Join(all, "\n")
}

// jobOf returns the job of a task. The id of a task consists of the id of its job, a dot and a
// number. The id of a job contains dots too, but its last part is not a number.
func jobOf(id string) string {
	i := strings.LastIndex(id, ".")
	if i < 0 {
		return id
	}
	if _, err := strconv.Atoi(id[i+1:]); err != nil {
		return id
	}
	return id[:i]
}

// jobHistory returns the current state of a job, as its callers get it, and the history of the
// decisions on it.
func (b *bench) jobHistory(job string) string {
	ctx, cancel := context.WithTimeout(context.Background(), maxDeadline)
	defer cancel()
	var all []string
	for _, path := range []string{"/jobs/" + job, "/jobs/" + job + "/trail"} {
		var got json.RawMessage
		err := b.nodes[0].direct.Get(ctx, path, &got)
		all = append(all, fmt.Sprintf("%s: %s %v", path, strings.ReplaceAll(string(got), "},{", "},\n{"), err))
	}
	return strings.Join(all, "\n")
}

// kill kills the process of a host, which may be paused or may have exited.
func (b *bench) kill(n *node) {
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
}

// pollReadiness stands in for the load balancer of the platform: it polls the readiness of each host.
func (b *bench) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range b.nodes {
			c, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			n.ready.Store(n.direct.Get(c, "/ready", nil) == nil)
			cancel()
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// pick returns a client for a random ready host of a failure domain, or for its first host if none
// is ready.
func (b *bench) pick(r *rand.Rand, domain string) *client.Client {
	var in []*node
	for _, n := range b.nodes {
		if n.domain == domain && n.ready.Load() {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		return b.nodes[slices.IndexFunc(b.nodes, func(n *node) bool { return n.domain == domain })].viaProxy
	}
	return in[r.IntN(len(in))].viaProxy
}

// setTable stores the rows of the table and waits until every host serves requests by them and
// every worker has a leader.
func (b *bench) setTable() {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for _, n := range b.nodes {
		eventually(b.t, n.name+" is ready", n.ready.Load)
	}
	rows := b.names.Rows()
	rows[contendedRow] = map[string]any{"limits": map[string]any{"queue": 1}}
	for row, fields := range rows {
		require.NoError(b.t, b.nodes[0].operator.SetRow(ctx, row, "", fields))
	}
	for _, n := range b.nodes {
		for row := range rows {
			eventually(b.t, row+" is in force", func() bool { return n.operator.Get(ctx, "/table/"+row, nil) == nil })
		}
		eventually(b.t, n.name+" serves keyed requests", func() bool {
			reply, err := n.direct.Do(ctx, client.Request{
				Workload: b.names.Urgent, Method: http.MethodPost, Path: "/gate", Key: cell.NewID(), Body: []byte("pass"),
			})
			return err == nil && reply.Outcome == client.Done
		})
	}
	for name := range b.cell.Workers {
		eventually(b.t, name+" has a leader", func() bool { return b.led(name) })
	}
}

// led reports whether any host has logged that it leads the worker. Hosts that start together wait
// before they lead a worker.
func (b *bench) led(worker string) bool {
	line := `msg="lead: worker is led." worker=` + worker + " "
	return slices.ContainsFunc(b.nodes, func(n *node) bool {
		return len(b.logLines(n, func(told string) bool { return strings.Contains(told, line) })) > 0
	})
}

// ledBy reports whether the last that a host has logged of a worker is that it leads it.
func (b *bench) ledBy(n *node, worker string) bool {
	told := b.logLines(n, func(line string) bool {
		return strings.Contains(line, `msg="lead: worker is `) && strings.Contains(line+" ", " worker="+worker+" ")
	})
	return len(told) > 0 && strings.Contains(told[len(told)-1], "worker is led.")
}

// maxDeadline is the longest deadline of a request. A host that was replaced waits for this time at
// most before it uses its slots again.
const maxDeadline = 3 * time.Second

// Durations of the phases of a scenario.
const (
	calmFor    = 1500 * time.Millisecond
	faultFor   = 3 * time.Second
	healedFor  = 1500 * time.Millisecond
	settleFor  = 90 * time.Second
	settlePoll = 200 * time.Millisecond
)

// run simulates the callers and operators, meanwhile injects a fault and ends it, and returns the
// violations after it has given all accepted jobs time to end.
func (b *bench) run(fault func(b *bench), heal func(b *bench)) audit.ViolationsError {
	ctx, cancel := context.WithTimeout(context.Background(), calmFor+faultFor+healedFor)
	defer cancel()
	var wg sync.WaitGroup
	load := audit.Load{
		Names: b.names, Domains: b.users.Domains, Pick: b.pick, Tally: b.tally, Urgent: 9, Flood: 18, Batch: 3,
	}
	edits := &operators{b: b}
	wg.Go(func() { load.Run(ctx) })
	wg.Go(func() { edits.run(ctx) })
	wait(ctx, calmFor)
	fault(b)
	wait(ctx, faultFor)
	heal(b)
	wg.Wait()
	w := b.settle()
	edits.check()
	return w
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// settle waits until no job counts as lost, for at most settleFor, and returns the violations.
func (b *bench) settle() audit.ViolationsError {
	end := time.Now().Add(settleFor)
	w := b.tally.Violations(b.cell.Report())
	for w.Lost > 0 && time.Now().Before(end) {
		time.Sleep(settlePoll)
		w = b.tally.Violations(b.cell.Report())
	}
	return w
}

const toxicName = "fault"

// toxic adds one kind of fault to proxies. The stream "upstream" carries the bytes towards the
// server, "downstream" those of its answers.
func (b *bench) toxic(kind, stream, attributes string, on ...*toxiproxy.Proxy) {
	for _, p := range on {
		text := fmt.Sprintf(`{"name":"%s-%s","type":%q,"stream":%q,"attributes":{%s}}`, toxicName, stream, kind, stream, attributes)
		_, err := p.Toxics.AddToxicJson(strings.NewReader(text))
		require.NoError(b.t, err)
	}
}

// clear removes all faults from proxies.
func (b *bench) clear(on ...*toxiproxy.Proxy) {
	for _, p := range on {
		p.Toxics.ResetToxics(context.Background())
	}
}

// peerProxies returns the proxies on the connections for which between returns true.
func (b *bench) peerProxies(between func(from, to *node) bool) []*toxiproxy.Proxy {
	var all []*toxiproxy.Proxy
	for _, from := range b.nodes {
		for _, to := range b.nodes {
			if from != to && between(from, to) {
				all = append(all, from.peers[to.name])
			}
		}
	}
	return all
}

// proxiesOfKind returns the proxies of the first machines of a kind, at most most of them.
func (b *bench) proxiesOfKind(kind cell.Kind, most int) []*toxiproxy.Proxy {
	var all []*toxiproxy.Proxy
	for _, m := range b.machines {
		if m.Kind == kind && len(all) < most {
			all = append(all, b.machine[m.Name])
		}
	}
	return all
}
