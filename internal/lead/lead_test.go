package lead_test

import (
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
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

// A host is paused for longer than its leases and loses all its workers in one step. Capacity that
// the first lost worker frees must not lead to a start on the next worker, which is lost as well.
// That caused endless recursion, which crashed the host and reset the connections of its callers.
func TestAllWorkersLostAtOnce(t *testing.T) {
	var passed atomic.Int64
	clock := func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
	size := cell.Size{CPU: 1000, Mem: 1 << 30}
	var machines []lead.Machine
	for _, name := range []string{"w1", "w2"} {
		srv := httptest.NewServer(standin.NewWorker(size, standin.NewCopyChecker(), clock).Handler())
		t.Cleanup(srv.Close)
		machines = append(machines, lead.Machine{Name: name, Rack: "r", Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), Size: size})
	}
	row := table.Row{Limits: table.Limits{Tasks: 1}}
	l := lead.New(t.Context(), lead.Deps{
		Leases: lease.New(lease.DefaultLimits), Placer: place.New(place.DefaultLimits), Jobs: job.New(),
		Takeover: takeover.New("h", takeover.Limits{LongestLease: time.Minute, AskInterval: time.Second}), Workers: worker.New("h", 1, nil, clock),
		RequestInventory: func() {}, EndLogged: func(string) bool { return false }, StoreEnd: func(job.Ended, bool) {},
		Row:     func(string) (table.Row, int64) { return row, 1 },
		History: trail.New(10), Clock: clock, Log: slog.New(slog.DiscardHandler),
	})
	l.SetLedMachines(machines)
	require.Eventually(t, func() bool { l.Tick(); return len(l.Held()) == 2 }, 30*time.Second, 5*time.Millisecond)
	spec := func(id string) job.Spec {
		return job.Spec{ID: "d.r." + id, Tasks: 1, Size: size, Time: cell.Duration{Duration: 2 * time.Hour}, Tries: 1}
	}
	_, err := l.Submit(spec("a"), 1)
	require.NoError(t, err)
	_, err = l.Submit(spec("b"), 1)
	require.NoError(t, err)
	is := func(id, state string) func() bool {
		return func() bool { s, err := l.Status("d.r." + id); return err == nil && s.State == state }
	}
	require.Eventually(t, is("a", "running"), 30*time.Second, time.Millisecond)
	passed.Add(int64(time.Hour))
	l.Tick()
	require.Empty(t, l.Held())
}
