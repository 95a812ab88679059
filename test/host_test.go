package test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// singleBackend is a failure domain with a single backend server behind two hosts.
var singleBackend = standin.Deployment{
	Name: "kronach", Domains: []string{"halle-nord"}, Hosts: []int{2},
	Backends: 1, Workers: 2, Racks: 1, Slots: 8, Worker: smallCell.Worker,
}

// none adds no settings to a host.
func none(string) string { return "" }

// A planned stop waits for requests in flight, also for one that hangs. An operator who cannot wait
// sends the signal a second time: the host must then exit at once, with a status that reports
// the unclean exit.
func TestSecondSignalEndsAHostAtOnce(t *testing.T) {
	b := newBenchOf(t, singleBackend, none)
	b.cell.Backends["minion-00"].SetFaults(standin.BackendFaults{Hole: true})
	n := b.nodes[0]
	go func() {
		_, _ = n.direct.Do(context.Background(), client.Request{Workload: b.names.Urgent, Method: http.MethodPost, Path: "/gate"})
	}()
	eventually(t, "request is sent", func() bool { return b.cell.Backends["minion-00"].Record().Most > 0 })
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "host is leaving", func() bool { return n.direct.Get(context.Background(), "/ready", nil) != nil })
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	require.Error(t, n.cmd.Wait())
	require.Equal(t, 1, n.cmd.ProcessState.ExitCode())
}

// Hundreds of callers send bodies of the largest size to a host whose backend server accepts them
// and never answers. The host must shed the requests that it cannot hold and stay below its memory
// limit; if it exceeds the limit, its machine kills it along with all its requests in flight.
func TestFloodOfBodiesStaysWithinTheMemoryOfAHost(t *testing.T) {
	b := newBenchOf(t, singleBackend, none)
	b.cell.Backends["minion-00"].SetFaults(standin.BackendFaults{Hole: true})
	n := b.nodes[0]
	body := []byte(strings.Repeat("x", 1<<20))
	var wg sync.WaitGroup
	var mu sync.Mutex
	byStatus := map[int]int{}
	for range 400 {
		wg.Go(func() {
			for range 3 {
				reply, _ := n.direct.Do(context.Background(), client.Request{
					Workload: b.names.Flood, Method: http.MethodPost, Path: "/page", Body: body, Deadline: maxDeadline,
				})
				mu.Lock()
				byStatus[reply.Status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	peak := peakMemory(t, n.cmd.Process.Pid)
	t.Logf("peak %d MiB, answers by status %v", peak>>20, byStatus)
	require.Less(t, peak, int64(256<<20))
	require.Positive(t, byStatus[http.StatusServiceUnavailable]+byStatus[http.StatusTooManyRequests], "no request was shed: %v", byStatus)
	require.NoError(t, n.direct.Get(context.Background(), "/live", nil))
}

// peakMemory returns the peak resident memory of a process, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(b), "VmHWM:")
	require.True(t, ok)
	kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	require.NoError(t, err)
	return kib << 10
}
