package lead_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lead"
	"pollencroft/internal/lease"
	"pollencroft/internal/place"
	"pollencroft/internal/standin"
	"pollencroft/internal/table"
	"pollencroft/internal/takeover"
	"pollencroft/internal/trail"
	"pollencroft/internal/worker"
)

// pair is two hosts and their workers on a simulated clock. Outgoing requests of a host wait in its
// queue until the test runs them.
type pair struct {
	*testing.T
	now      time.Time
	workers  map[string]*standin.Worker
	machines []lead.Machine
	over     *standin.CopyChecker
	hosts    map[string]*lead.Leader
	queues   map[string][]func()
	// unreachable holds, by host, the worker that the host cannot reach.
	unreachable map[string]string
}

type transport struct {
	*pair
	from string
}

type unreachableError struct{}

func (unreachableError) Error() string { return "worker is unreachable" }

func (p transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if p.unreachable[p.from] == req.URL.Host {
		return nil, unreachableError{}
	}
	rec := httptest.NewRecorder()
	p.workers[req.URL.Host].Handler().ServeHTTP(rec, req)
	return rec.Result(), nil
}

var pairWorkerSize = cell.Size{CPU: 1000, Mem: 1000}

func newPair(t *testing.T, workers int) *pair {
	return newPairWithTransport(t, workers, io.Discard, func(p *pair, name string) http.RoundTripper { return transport{p, name} })
}

// newPairWithTransport returns a pair that logs to logs and whose hosts reach the workers through
// the given transports.
func newPairWithTransport(t *testing.T, workers int, logs io.Writer, through func(p *pair, name string) http.RoundTripper) *pair {
	p := &pair{
		T: t, now: time.Unix(1_700_000_000, 0), workers: map[string]*standin.Worker{}, over: standin.NewCopyChecker(),
		hosts: map[string]*lead.Leader{}, queues: map[string][]func(){}, unreachable: map[string]string{},
	}
	clock := func() time.Time { return p.now }
	var names []string
	for i := range workers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1+i))
		p.workers[addr.String()] = standin.NewWorker(pairWorkerSize, p.over, clock)
		p.machines = append(p.machines, lead.Machine{Name: addr.String(), Rack: "r", Address: addr, Size: pairWorkerSize})
		names = append(names, addr.String())
	}
	for _, name := range []string{"a", "b"} {
		l := lead.New(t.Context(), lead.Deps{
			Leases: lease.New(lease.DefaultLimits), Placer: place.New(place.DefaultLimits), Jobs: job.New(),
			Takeover: takeover.New(name, takeover.Limits{LongestLease: lease.DefaultLimits.TaskTTL, AskInterval: time.Second}),
			Workers:  worker.New(name, 1, through(p, name), clock), Row: func(string) (table.Row, int64) { return table.Row{}, 1 },
			History: trail.New(100), Clock: clock, Log: slog.New(slog.NewTextHandler(logs, nil)).With("host", name),
			Go: func(f func()) { p.queues[name] = append(p.queues[name], f) },
		})
		p.hosts[name] = l
		l.UpdateMachines(p.machines)
		l.SetDomain(names, nil)
	}
	p.hosts["a"].SetLedMachines(p.machines)
	// Both hosts wait until starts that an earlier holder may have sent to the workers have expired.
	p.run("ab", 10*time.Second)
	require.Len(t, p.hosts["a"].Held(), workers)
	return p
}

func (p *pair) runQueued(name string) {
	for len(p.queues[name]) > 0 {
		f := p.queues[name][0]
		p.queues[name] = p.queues[name][1:]
		f()
	}
}

// run advances the clock and ticks the named hosts; the other hosts are paused meanwhile.
func (p *pair) run(names string, d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		for _, n := range names {
			p.hosts[string(n)].Tick()
			p.hosts[string(n)].LogRead(p.now)
			p.runQueued(string(n))
		}
	}
}

func (p *pair) spec(id string) job.Spec {
	return job.Spec{ID: "d.r." + id, Row: "scan", Tasks: 1, Size: pairWorkerSize, Time: cell.Duration{Duration: time.Hour}, Tries: 3}
}

func (p *pair) submit(name, id string) {
	p.Helper()
	epoch, err := p.hosts[name].Check(p.spec(id))
	require.NoError(p, err)
	_, err = p.hosts[name].Submit(p.spec(id), epoch)
	require.NoError(p, err)
}

func (p *pair) handOver(from, to string, ids ...string) {
	p.Helper()
	token, err := p.hosts[to].ExpectHandover(from)
	require.NoError(p, err)
	jobs, _ := p.hosts[from].HandOver(ids)
	require.NoError(p, p.hosts[to].Adopt(from, token, jobs))
}

func (p *pair) state(name, id string) string {
	s, _ := p.hosts[name].Status("d.r." + id)
	return s.State
}

// requireConsistent checks the workers' own records: no task ran twice at once and no worker was
// overfilled.
func (p *pair) requireConsistent() {
	p.Helper()
	require.Empty(p, p.over.Doubled())
	for _, w := range p.workers {
		require.Zero(p, w.Record().Overfilled)
	}
}

func (p *pair) lateStarts() int {
	n := 0
	for _, w := range p.workers {
		n += w.Record().Late
	}
	return n
}

// A host checks its lease and is then paused for longer than the lease lasts before it sends the
// start. By then another host has filled the worker.
func TestPauseBetweenCheckAndSend(t *testing.T) {
	p := newPair(t, 1)
	p.submit("a", "old")
	require.NotEmpty(t, p.queues["a"], "the start is decided and not sent")
	p.hosts["b"].SetLedMachines(p.machines)
	p.run("b", 10*time.Second)
	p.submit("b", "new")
	p.run("b", time.Second)
	require.Equal(t, "running", p.state("b", "new"))
	p.runQueued("a")
	p.run("ab", 5*time.Second)
	require.Equal(t, 1, p.lateStarts())
	require.Equal(t, "running", p.state("b", "new"))
	p.requireConsistent()
}

// A host resumes after a pause and is asked at once to cancel a job. Another host may have
// completed its inventory and run the job in the meantime, so the host must not answer that the job
// never ran. It answers that it does not know the job.
func TestResumedHostDecidesNothingOfItsFormerJobs(t *testing.T) {
	p := newPair(t, 1)
	p.submit("a", "full")
	p.run("a", time.Second)
	p.submit("a", "old")
	p.hosts["b"].SetLedMachines(p.machines)
	p.hosts["b"].Inherit([]job.Spec{p.spec("full"), p.spec("old")})
	notes := p.hosts["b"].Explain("d.r.old")
	require.Equal(t, "waits for its census: log", notes[len(notes)-1].Message)
	p.run("b", 10*time.Second)
	require.Equal(t, "running", p.state("b", "full"), "the running task is adopted")
	require.Contains(t, p.hosts["b"].Explain("d.r.full")[0].Message, "inherited")
	_, err := p.hosts["a"].Cancel("d.r.old")
	var unknown *job.UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Zero(t, p.hosts["a"].Epoch())
	p.requireConsistent()
}

// A host loses its connection to half of its rack and keeps the other half. The lost half goes to
// another host together with the tasks that run there, and no task runs twice.
func TestCutOffFromHalfOfTheRack(t *testing.T) {
	p := newPair(t, 2)
	p.submit("a", "one")
	p.submit("a", "two")
	p.run("a", 2*time.Second)
	p.unreachable["a"], p.unreachable["b"] = p.machines[0].Name, ""
	p.hosts["b"].SetLedMachines(p.machines)
	p.run("ab", 10*time.Second)
	require.Equal(t, []string{p.machines[1].Name}, p.hosts["a"].Held())
	require.Equal(t, []string{p.machines[0].Name}, p.hosts["b"].Held())
	p.submit("a", "three")
	p.submit("b", "four")
	for range 30 {
		p.run("ab", time.Second)
		for _, name := range []string{"a", "b"} {
			q := p.hosts[name].InventoryRequest()
			other := map[string]string{"a": "b", "b": "a"}[name]
			p.hosts[name].HandleInventory(other, q, p.hosts[other].Inventory(name, q))
		}
	}
	require.Equal(t, "running", p.state("a", "one"))
	require.Equal(t, "running", p.state("a", "two"))
	require.Equal(t, "waiting", p.state("a", "three"))
	require.Equal(t, "waiting", p.state("b", "four"))
	p.requireConsistent()
}

// The answer to a stop is lost. The host must repeat the stop until the worker confirms it;
// otherwise the caller would wait forever for the job to be reported as stopped.
func TestUnansweredStopIsRepeated(t *testing.T) {
	p := newPair(t, 1)
	p.submit("a", "old")
	p.run("a", time.Second)
	p.unreachable["a"] = p.machines[0].Name
	_, err := p.hosts["a"].Cancel("d.r.old")
	require.NoError(t, err)
	p.run("a", 500*time.Millisecond)
	require.Equal(t, "stopping", p.state("a", "old"))
	p.unreachable["a"] = ""
	p.run("a", 3*time.Second)
	require.Equal(t, "cancelled", p.state("a", "old"))
	for _, w := range p.workers {
		require.Equal(t, map[string]string{"d.r.old.0": "stopped"}, w.Record().Ended)
	}
}
