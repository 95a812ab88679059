package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/standin"
)

// maxLostServers is how many backend servers may fail under one request.
const maxLostServers = 3

// newBenchWithBudget returns a bench whose row allows many tries and has accumulated a
// retry budget.
func newBenchWithBudget(t *testing.T, backends int) *bench {
	t.Helper()
	b := newBench(t, backends, 8)
	b.row.Idempotent, b.row.Tries = true, 100
	for range 300 {
		require.Equal(t, cell.Done, b.Do(t.Context(), request()).Outcome)
	}
	return b
}

func (b *bench) setFaults(f standin.BackendFaults) {
	for _, m := range b.backends {
		m.SetFaults(f)
	}
}

// reached returns how many backend servers received a request, and how often they ran it.
func (b *bench) reached(id string) (servers, runs int) {
	for _, m := range b.backends {
		n := 0
		for _, key := range []string{id, id + ".2"} {
			n += m.Record().Ran[key]
		}
		runs += n
		servers += min(n, 1)
	}
	return servers, runs
}

// Guards against a request that crashes one backend server after another.
func TestRequestThatCrashesServersIsGivenUp(t *testing.T) {
	for _, backends := range []int{2, 12} {
		b := newBenchWithBudget(t, backends)
		b.setFaults(standin.BackendFaults{Lose: 1000})
		req := request()
		reply := b.Do(t.Context(), req)
		servers, runs := b.reached(req.ID)
		t.Logf("servers: %d, runs: %d", servers, runs)
		require.LessOrEqual(t, runs, maxLostServers)
		require.Equal(t, cell.Unknown, reply.Outcome, "the request may have run")
		require.Contains(t, reply.Reason, "backend servers")
	}
}

// Guards against a hedged request that crashes one backend server after another.
func TestHedgedRequestThatCrashesServersIsGivenUp(t *testing.T) {
	b := newBenchWithBudget(t, 12)
	b.setFaults(standin.BackendFaults{Lose: 1000, Slow: 1500 * time.Millisecond})
	req := request()
	req.Deadline = time.Now().Add(30 * time.Second)
	reply := b.Do(t.Context(), req)
	servers, runs := b.reached(req.ID)
	t.Logf("servers: %d, runs: %d", servers, runs)
	require.LessOrEqual(t, runs, maxLostServers)
	require.Equal(t, cell.Unknown, reply.Outcome, "the request may have run")
}

// Guards against giving up requests whose servers answer with failures: such requests are
// retried.
func TestErrorResponsesAreRetried(t *testing.T) {
	b := newBenchWithBudget(t, 12)
	b.setFaults(standin.BackendFaults{Fail: 100})
	req := request()
	reply := b.Do(t.Context(), req)
	_, runs := b.reached(req.ID)
	t.Logf("runs: %d", runs)
	require.Equal(t, http.StatusInternalServerError, reply.Status)
	require.Greater(t, runs, maxLostServers)
}
