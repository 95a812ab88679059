package lead_test

import (
	"log/slog"
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

// A job changes its leader while one of its tasks runs on a worker of another host, and is then
// cancelled. The stop must reach that worker. Without its address the caller got the answer
// "unknown" for as long as the task ran.
func TestStopReachesAWorkerThatIsNotLedHere(t *testing.T) {
	size := cell.Size{CPU: 1000, Mem: 1 << 30}
	var machines []lead.Machine
	for _, name := range []string{"w1", "w2"} {
		srv := httptest.NewServer(standin.NewWorker(size, standin.NewCopyChecker(), time.Now).Handler())
		t.Cleanup(srv.Close)
		machines = append(machines, lead.Machine{Name: name, Rack: name, Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), Size: size})
	}
	other := worker.New("other", 1, nil, time.Now)
	_, err := other.Acquire(t.Context(), machines[1].Address, time.Minute)
	require.NoError(t, err)
	require.NoError(t, other.Start(t.Context(), machines[1].Address, worker.Start{
		ID: "d.w1.j.0", Job: "d.w1.j", Size: size, Run: time.Hour, TTL: time.Hour, Deadline: time.Now().Add(time.Hour),
	}))
	l := lead.New(t.Context(), lead.Deps{
		Leases: lease.New(lease.DefaultLimits), Placer: place.New(place.DefaultLimits), Jobs: job.New(),
		Takeover: takeover.New("h", takeover.Limits{LongestLease: time.Minute, AskInterval: time.Second}), Workers: worker.New("h", 1, nil, time.Now),
		RequestInventory: func() {}, EndLogged: func(string) bool { return false }, StoreEnd: func(job.Ended, bool) {},
		Row:     func(string) (table.Row, int64) { return table.Row{}, 1 },
		History: trail.New(10), Clock: time.Now, Log: slog.New(slog.DiscardHandler),
	})
	l.UpdateMachines(machines)
	l.SetLedMachines(machines[:1])
	require.Eventually(t, func() bool { l.Tick(); return len(l.Held()) == 1 }, 30*time.Second, 5*time.Millisecond)
	spec := job.Spec{ID: "d.w1.j", Tasks: 1, Size: size, Time: cell.Duration{Duration: time.Hour}, Tries: 1}
	token, err := l.ExpectHandover("other")
	require.NoError(t, err)
	require.NoError(t, l.Adopt("other", token, []job.Snapshot{{
		Spec: spec, State: "running", Began: time.Now(), First: time.Now(),
		Tasks: []job.TaskSnapshot{{State: "running", Worker: "w2", Tries: 1, Sent: true}},
	}}))
	_, err = l.Cancel(spec.ID)
	require.NoError(t, err)
	require.Eventually(t, func() bool { s, err := l.Status(spec.ID); return err == nil && s.State == "cancelled" }, 10*time.Second, time.Millisecond)
}
