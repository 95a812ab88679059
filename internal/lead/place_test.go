package lead_test

import (
	"fmt"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
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

// fleet is a Leader with simulated workers that it reaches over HTTP.
type fleet struct {
	*lead.Leader
	t       *testing.T
	over    *standin.CopyChecker
	workers []*standin.Worker
	// addresses are the addresses of the workers, in the same order.
	addresses []netip.AddrPort
}

var fleetWorkerSize = cell.Size{CPU: 4000, Mem: 4 << 30}

func newFleet(t *testing.T, n int, rows map[string]table.Row) *fleet {
	f := &fleet{t: t, over: standin.NewCopyChecker()}
	var machines []lead.Machine
	for i := range n {
		w := standin.NewWorker(fleetWorkerSize, f.over, time.Now)
		srv := httptest.NewServer(w.Handler())
		t.Cleanup(srv.Close)
		f.workers = append(f.workers, w)
		addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
		f.addresses = append(f.addresses, addr)
		machines = append(machines, lead.Machine{Name: fmt.Sprintf("w%d", i), Rack: "r", Address: addr, Size: fleetWorkerSize})
	}
	f.Leader = lead.New(t.Context(), lead.Deps{
		Leases: lease.New(lease.DefaultLimits), Placer: place.New(place.DefaultLimits), Jobs: job.New(),
		Takeover: takeover.New("h", takeover.Limits{LongestLease: time.Minute, AskInterval: time.Second}), Workers: worker.New("h", 1, nil, time.Now),
		RequestInventory: func() {}, EndLogged: func(string) bool { return false }, StoreEnd: func(job.Ended, bool) {},
		Row:     func(name string) (table.Row, int64) { return rows[name], 1 },
		History: trail.New(1000), Clock: time.Now, Log: slog.New(slog.DiscardHandler),
	})
	f.SetLedMachines(machines)
	f.until(func() bool { return len(f.Held()) == n })
	return f
}

// until ticks the Leader until the condition holds.
func (f *fleet) until(holds func() bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { f.Tick(); return holds() }, 30*time.Second, 5*time.Millisecond)
}

func (f *fleet) submit(id, row string, class cell.Class, cpu int64, tasks int, run time.Duration) {
	f.t.Helper()
	_, err := f.Submit(job.Spec{
		ID: "d.r." + id, Row: row, Tasks: tasks, Size: cell.Size{CPU: cpu, Mem: 1 << 20}, Time: cell.Duration{Duration: run},
		Class: class, Tries: 5,
	}, 1)
	require.NoError(f.t, err)
}

func (f *fleet) hasState(id, state string) func() bool {
	return func() bool { s, err := f.Status("d.r." + id); return err == nil && s.State == state }
}

func (f *fleet) notes(id string) string {
	var all []string
	for _, n := range f.Explain("d.r." + id) {
		all = append(all, n.Message)
	}
	return strings.Join(all, "\n")
}

// requireConsistent checks the workers' own records: no task ran twice at once and no worker was
// overfilled.
func (f *fleet) requireConsistent() {
	f.t.Helper()
	require.Empty(f.t, f.over.Doubled())
	for _, w := range f.workers {
		require.Zero(f.t, w.Record().Overfilled)
	}
}

// Bulk work takes all capacity when an urgent job arrives. One bulk task is checkpointed and
// stopped, the urgent job runs in its place, and the bulk task runs again afterwards. The history
// of the bulk job shows the reason.
func TestUrgentJobPreemptsBulkTask(t *testing.T) {
	f := newFleet(t, 1, map[string]table.Row{"gate": {Class: "urgent"}, "badges": {Class: "bulk"}})
	f.submit("bulk", "badges", cell.Bulk, 900, 2, time.Hour)
	f.until(func() bool { s, _ := f.Status("d.r.bulk"); return s.Tasks["running"] == 2 })
	f.submit("gate", "gate", cell.Urgent, 1000, 1, 300*time.Millisecond)
	f.until(f.hasState("gate", "ended"))
	require.Contains(t, f.notes("bulk"), "urgent job d.r.gate found no room")
	f.until(func() bool { s, _ := f.Status("d.r.bulk"); return s.Tasks["running"] == 2 })
	f.requireConsistent()
}

// One worker fails every task at once and therefore always has free capacity. It must be
// quarantined after a few tasks instead of failing the whole queue, and all jobs must end.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	f := newFleet(t, 5, map[string]table.Row{"menu": {Class: "normal"}})
	f.workers[0].SetFaults(standin.WorkerFaults{FailAll: true})
	for i := range 200 {
		f.submit(fmt.Sprint(i), "menu", cell.Normal, 1000, 1, 50*time.Millisecond)
	}
	for i := range 200 {
		f.until(f.hasState(fmt.Sprint(i), "ended"))
	}
	require.LessOrEqual(t, len(f.workers[0].Record().Started), 12)
	f.requireConsistent()
}

// Explain names the limit that a waiting job has reached. A job that can never run is refused at
// once.
func TestExplainNamesWhatAJobWaitsFor(t *testing.T) {
	f := newFleet(t, 1, map[string]table.Row{"menu": {Class: "normal", Limits: table.Limits{Tasks: 1}}})
	f.submit("a", "menu", cell.Normal, 500, 1, time.Hour)
	f.submit("b", "menu", cell.Normal, 500, 1, time.Hour)
	require.Contains(t, f.notes("b"), "its row runs as many tasks as its limit allows")
	_, err := f.Check(job.Spec{ID: "d.r.c", Row: "menu", Tasks: 1, Size: cell.Size{CPU: 5000, Mem: 1}})
	var never *lead.InfeasibleError
	require.ErrorAs(t, err, &never)
	require.Contains(t, never.Reason, "cpu of the largest worker")
}
