package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/backend"
	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/ledger"
	"pollencroft/internal/member"
	"pollencroft/internal/outlier"
	"pollencroft/internal/peer"
	"pollencroft/internal/queue"
	"pollencroft/internal/relay"
	"pollencroft/internal/retry"
	"pollencroft/internal/standin"
	"pollencroft/internal/table"
)

// bench is one relay with stand-in backend servers and a row that tests can change.
type bench struct {
	*relay.Relay
	backends []*standin.Backend
	servers  []relay.Server
	mu       sync.Mutex
	row      table.Row
	version  int64
	ahead    time.Duration
}

func newBench(t *testing.T, backends, slots int) *bench {
	t.Helper()
	b := &bench{version: 1, row: table.Row{Name: "scan", Class: "urgent", Weight: 1, Tries: 3}}
	b.Relay = relay.New(relay.Deps{
		Name: "h1", Domain: "d", Queue: queue.New(queue.DefaultLimits), Outliers: outlier.New(outlier.DefaultLimits),
		Retries: retry.New(retry.DefaultLimits), Ledger: ledger.New(ledger.DefaultLimits, time.Now()),
		Backends: backend.New(&http.Transport{}, 1<<20), Peers: peer.NewClients(nil),
		Row: func(string) (table.Row, int64) {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.row, b.version
		},
		LimitShare: func(_ string, limit int64) int64 { return limit },
		Members:    func() ([]string, []member.Heartbeat) { return []string{"h1"}, nil },
		Clock: func() time.Time {
			b.mu.Lock()
			defer b.mu.Unlock()
			return time.Now().Add(b.ahead)
		},
		MaxPause: time.Minute, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	for i := range backends {
		m := standin.NewBackend(slots)
		srv := httptest.NewServer(m.Handler())
		t.Cleanup(srv.Close)
		b.backends = append(b.backends, m)
		b.servers = append(b.servers, relay.Server{
			Name: fmt.Sprint("m", i), Slots: slots, Address: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")),
		})
	}
	b.SetServers(b.servers)
	return b
}

func request() call.Request {
	return call.Request{ID: cell.NewID(), Row: "scan", Method: http.MethodPost, Path: "/gate", Deadline: time.Now().Add(10 * time.Second)}
}

func (b *bench) ran() int {
	n := 0
	for _, m := range b.backends {
		n += len(m.Record().Ran)
	}
	return n
}

// A backend server refuses connections or replies that it is leaving, while the host still
// lists it. Such a request certainly did not run; another backend server answers it, and
// the caller notices nothing.
func TestRequestThatDidNotRunIsTriedElsewhere(t *testing.T) {
	for name, breaks := range map[string]func(b *bench){
		"refuses connections": func(b *bench) {
			b.servers[0].Address = netip.MustParseAddrPort("127.0.0.1:1")
			b.SetServers(b.servers)
		},
		"leaves": func(b *bench) { b.backends[0].SetFaults(standin.BackendFaults{Leaving: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, 8)
			breaks(b)
			for range 20 {
				require.Equal(t, cell.Done, b.Do(t.Context(), request()).Outcome)
			}
			require.Equal(t, 20, b.ran())
		})
	}
}

// A backend server runs a request and closes the connection without an answer. The request
// must not be sent again, because it may have run, unless its row is idempotent.
func TestOnlyIdempotentRowsRetryWhatMayHaveRun(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		b := newBench(t, 2, 8)
		b.row.Idempotent = idempotent
		b.backends[0].SetFaults(standin.BackendFaults{Lose: 1})
		reply := b.Do(t.Context(), request())
		require.Equal(t, map[bool]cell.Outcome{false: cell.Unknown, true: cell.Done}[idempotent], reply.Outcome)
		require.Equal(t, map[bool]int{false: 1, true: 2}[idempotent], b.ran())
	}
}

// The first try of an idempotent request runs without an answer, and the second finds every
// backend server leaving. The outcome "refused" would be false, because the request may
// have run.
func TestRefusedRetryDoesNotHideAnEarlierTry(t *testing.T) {
	b := newBench(t, 2, 8)
	b.row.Idempotent = true
	b.backends[0].SetFaults(standin.BackendFaults{Lose: 1})
	b.backends[1].SetFaults(standin.BackendFaults{Leaving: true})
	req := request()
	b.row.Tries = 2
	require.Equal(t, cell.Unknown, b.Do(t.Context(), req).Outcome)
	require.Equal(t, 1, b.ran())
}

// Every backend server answers every request with a failure. Retries must not multiply the
// load, which would keep the backend servers down.
func TestNoRetryStormWhileEverythingFails(t *testing.T) {
	b := newBench(t, 3, 8)
	b.row.Idempotent = true
	for _, m := range b.backends {
		m.SetFaults(standin.BackendFaults{Fail: 100})
	}
	const asked = 1000
	before := 0
	for range asked {
		reply := b.Do(t.Context(), request())
		require.Equal(t, http.StatusInternalServerError, reply.Status)
	}
	for _, m := range b.backends {
		for _, n := range m.Record().Ran {
			before += n
		}
	}
	require.Greater(t, before, asked, "some requests must be retried")
	require.LessOrEqual(t, before, asked*11/10)
}

// A caller hangs up. If its request is still waiting, its place in the queue is released
// and nothing runs. If the request was sent, it runs to its end.
func TestHangUpCancelsOnlyWaitingRequests(t *testing.T) {
	b := newBench(t, 1, 1)
	slow := request()
	slow.Header = map[string]string{standin.HeaderCost: "300ms"}
	ctx, hangUp := context.WithCancel(t.Context())
	sent := make(chan call.Reply, 1)
	go func() { sent <- b.Do(ctx, slow) }()
	require.Eventually(t, func() bool { free, _ := b.Load(); return free == 0 }, 5*time.Second, time.Millisecond)
	waits := make(chan call.Reply, 1)
	go func() { waits <- b.Do(ctx, request()) }()
	require.Eventually(t, func() bool { _, waiting := b.Load(); return waiting == 1 }, 5*time.Second, time.Millisecond)
	hangUp()
	require.Equal(t, cell.Refused, (<-waits).Outcome)
	_, waiting := b.Load()
	require.Zero(t, waiting)
	require.Equal(t, cell.Done, (<-sent).Outcome)
	require.Equal(t, 1, b.ran())
}

// An operator changes the limit of a row while its requests are waiting. The next tick
// applies the new limit to them.
func TestLimitChangeAppliesToWaitingRequests(t *testing.T) {
	b := newBench(t, 1, 2)
	b.row.Limits.Slots = 1
	var wg sync.WaitGroup
	slow := func() {
		req := request()
		req.Header = map[string]string{standin.HeaderCost: "200ms"}
		b.Do(t.Context(), req)
	}
	for range 2 {
		wg.Go(slow)
	}
	require.Eventually(t, func() bool { _, waiting := b.Load(); return waiting == 1 }, 5*time.Second, time.Millisecond)
	b.mu.Lock()
	b.row.Limits.Slots, b.version = 2, 2
	b.mu.Unlock()
	b.Tick()
	_, waiting := b.Load()
	require.Zero(t, waiting)
	wg.Wait()
	require.Equal(t, 2, b.backends[0].Record().Most)
}

// A host is paused for an hour while a request arrives. Other hosts have taken over its
// slots meanwhile, so it must send nothing until it knows which slots it has; otherwise a
// backend server with 8 slots would get a ninth request.
func TestPausedHostSendsNothingUntilItKnowsItsSlots(t *testing.T) {
	b := newBench(t, 1, 8)
	require.Equal(t, cell.Done, b.Do(t.Context(), request()).Outcome)
	b.mu.Lock()
	b.ahead = time.Hour
	b.mu.Unlock()
	req := request()
	req.Deadline = req.Deadline.Add(time.Hour)
	reply := make(chan call.Reply, 1)
	go func() { reply <- b.Do(t.Context(), req) }()
	require.Eventually(t, func() bool { _, waiting := b.Load(); return waiting == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, b.ran())
	b.SetServers(b.servers)
	require.Equal(t, cell.Done, (<-reply).Outcome)
}

// A backend server, or the connection to it, accepts requests and answers nothing. A
// request of an idempotent row is sent to another backend server well before its deadline,
// within the row's budget. Any other request is not, and its outcome stays unknown.
func TestOnlyIdempotentRowsAreHedged(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		b := newBench(t, 2, 8)
		b.row.Idempotent = idempotent
		for _, m := range b.backends[:1] {
			m.SetFaults(standin.BackendFaults{Hole: true})
		}
		req := request()
		req.Deadline = time.Now().Add(3 * time.Second)
		began := time.Now()
		reply := b.Do(t.Context(), req)
		require.Equal(t, map[bool]cell.Outcome{false: cell.Unknown, true: cell.Done}[idempotent], reply.Outcome)
		require.Equal(t, map[bool]int{false: 1, true: 2}[idempotent], b.ran())
		t.Logf("idempotent %t: replied after %s", idempotent, time.Since(began).Round(10*time.Millisecond))
	}
}
