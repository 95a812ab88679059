package worker_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/lease"
	"pollencroft/internal/standin"
	"pollencroft/internal/worker"
)

// bench is one worker stand-in whose clock the test sets.
type bench struct {
	worker *standin.Worker
	over   *standin.CopyChecker
	now    time.Time
	addr   netip.AddrPort
}

func newBench(t *testing.T) *bench {
	b := &bench{now: time.Unix(1_700_000_000, 0), over: standin.NewCopyChecker()}
	b.worker = standin.NewWorker(cell.Size{CPU: 1000, Mem: 1000}, b.over, func() time.Time { return b.now })
	srv := httptest.NewServer(b.worker.Handler())
	t.Cleanup(srv.Close)
	b.addr = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	return b
}

func (b *bench) client(name string, term int64) *worker.Client {
	return worker.New(name, term, nil, func() time.Time { return b.now })
}

func (b *bench) start(deadline time.Time) worker.Start {
	return worker.Start{ID: "t", Size: cell.Size{CPU: 1000, Mem: 1000}, Run: time.Hour, TTL: 3 * time.Second, Deadline: deadline}
}

// A host is replaced by another with the same name while a start sent by the
// predecessor is still in flight. The worker must treat the two as different
// holders. Otherwise the new host would fill the worker, and the old start
// would then overload it.
func TestSuccessorOfTheSameNameWaitsForTheLease(t *testing.T) {
	b, ctx := newBench(t), context.Background()
	_, err := b.client("a", 1).Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
	var held *worker.HeldError
	_, err = b.client("a", 2).Acquire(ctx, b.addr, 3*time.Second)
	require.ErrorAs(t, err, &held)
	b.now = b.now.Add(3 * time.Second)
	_, err = b.client("a", 2).Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
}

// A host releases a worker, but the message is delayed, and the host acquires
// the worker again in the meantime. The late message must not release the new lease.
func TestLateReleaseFreesNothing(t *testing.T) {
	b, ctx := newBench(t), context.Background()
	a := b.client("a", 1)
	first, err := a.Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
	second, err := a.Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
	require.NoError(t, a.Release(ctx, b.addr, first.Lease))
	_, err = b.client("b", 1).Acquire(ctx, b.addr, 3*time.Second)
	require.Error(t, err)
	require.NoError(t, a.Release(ctx, b.addr, second.Lease))
	_, err = b.client("b", 1).Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
}

// A start is delayed for longer than the anchor's lease. The worker must not
// carry it out, which its record shows. The worker's clock is hours off, so the
// deadline has to be in that clock.
func TestLateStartIsNotCarriedOut(t *testing.T) {
	b, ctx := newBench(t), context.Background()
	b.worker.SetFaults(standin.WorkerFaults{Skew: -7 * time.Hour})
	l := lease.New(lease.Limits{TTL: 3 * time.Second})
	a := b.client("a", 1)
	l.Step(b.now, lease.DomainWorkers{Workers: []string{"w"}})
	life, err := a.Incarnation(ctx, b.addr)
	require.NoError(t, err)
	l.Step(b.now, lease.IncarnationLearned{Worker: "w", Incarnation: life})
	b.now = b.now.Add(time.Minute)
	l.Step(b.now, lease.Wanted{Workers: []string{"w"}})
	r, err := a.Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
	l.Step(b.now, lease.Granted{Worker: "w", Reading: r})
	deadline, ok := l.Deadline(b.now, "w")
	require.True(t, ok)
	b.now = b.now.Add(3 * time.Second)
	_, err = b.client("b", 1).Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
	var late *worker.LateError
	require.ErrorAs(t, a.Start(ctx, b.addr, b.start(deadline)), &late)
	require.Equal(t, 1, b.worker.Record().Late)
	require.Empty(t, b.worker.Record().Started)
}

// A leader dies right after a renewal. Its tasks keep running under their longer
// leases until the next leader acquires the worker, lists the tasks and renews them.
func TestTasksOutliveTheirLeader(t *testing.T) {
	b, ctx := newBench(t), context.Background()
	a, next := b.client("a", 1), b.client("b", 1)
	_, err := a.Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
	require.NoError(t, a.Start(ctx, b.addr, b.start(b.now.Add(time.Second))))
	_, err = a.Renew(ctx, b.addr, lease.Renew{TTL: 3 * time.Second, TaskTTL: 10 * time.Second}, nil)
	require.NoError(t, err)
	b.now = b.now.Add(9 * time.Second)
	r, err := next.Acquire(ctx, b.addr, 3*time.Second)
	require.NoError(t, err)
	require.Equal(t, "running", r.Tasks[0].State)
	_, err = next.Renew(ctx, b.addr, lease.Renew{TTL: 3 * time.Second, TaskTTL: 10 * time.Second}, nil)
	require.NoError(t, err)
	b.now = b.now.Add(9 * time.Second)
	require.Empty(t, b.worker.Record().Ended)
}

// A task fails and is started again on the same worker. The request to discard
// the first start arrives late. It must not discard the second start, whose end
// the leader has not read yet.
func TestDiscardNamesTheStart(t *testing.T) {
	b, ctx := newBench(t), context.Background()
	a := b.client("a", 1)
	_, err := a.Acquire(ctx, b.addr, 30*time.Second)
	require.NoError(t, err)
	renew := lease.Renew{TTL: 30 * time.Second, TaskTTL: 30 * time.Second}
	require.NoError(t, a.Start(ctx, b.addr, b.start(b.now.Add(time.Second))))
	require.NoError(t, a.Stop(ctx, b.addr, "t"))
	r, err := a.Renew(ctx, b.addr, renew, nil)
	require.NoError(t, err)
	first := r.Tasks[0].Lease
	require.NoError(t, a.Start(ctx, b.addr, b.start(b.now.Add(time.Second))))
	require.NoError(t, a.Stop(ctx, b.addr, "t"))
	r, err = a.Renew(ctx, b.addr, renew, []string{first})
	require.NoError(t, err)
	require.Len(t, r.Tasks, 1)
	r, err = a.Renew(ctx, b.addr, renew, []string{r.Tasks[0].Lease})
	require.NoError(t, err)
	require.Equal(t, []string{"t"}, r.Removed)
}

// The stand-in prevents neither a second copy of a task nor an overload. It
// records both, so that other tests can detect them.
func TestStandinRecordsWhatItDoesNotPrevent(t *testing.T) {
	b, ctx := newBench(t), context.Background()
	a := b.client("a", 1)
	require.NoError(t, a.Start(ctx, b.addr, b.start(b.now.Add(time.Second))))
	require.NoError(t, a.Start(ctx, b.addr, b.start(b.now.Add(time.Second))))
	require.Equal(t, []string{"t"}, b.over.Doubled())
	require.Equal(t, 1, b.worker.Record().Overfilled)
}
