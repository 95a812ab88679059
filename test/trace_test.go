package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"pollencroft/internal/cell"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// span is one span as it is encoded in the trace file.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Resource    []struct {
		Key   string
		Value struct{ Value string }
	}
}

// readSpans returns all spans of a trace file.
func readSpans(t *testing.T, file string) []span {
	t.Helper()
	f, err := os.Open(file)
	require.NoError(t, err)
	defer f.Close()
	var all []span
	for d := json.NewDecoder(f); ; {
		var s span
		if err := d.Decode(&s); errors.Is(err, io.EOF) {
			return all
		}
		require.NoError(t, err)
		all = append(all, s)
	}
}

// chain returns the spans from the root of the trace, which is the caller's span, down to s.
func chain(byID map[string]span, s span) []span {
	up := []span{s}
	for parent, ok := byID[s.Parent.SpanID]; ok; parent, ok = byID[s.Parent.SpanID] {
		up = append(up, parent)
		s = parent
	}
	slices.Reverse(up)
	return up
}

// A host that has no free slot relays a scan to a second host. The trace that an operator reads must
// contain every hop in a single trace, and no hop may last longer than the one that waits for it.
func TestTraceOfAScanThroughTwoHosts(t *testing.T) {
	dir := t.TempDir()
	users := standin.Deployment{
		Name: "kronach", Domains: []string{"halle-nord"}, Hosts: []int{2},
		Backends: 1, Workers: 2, Racks: 1, Slots: 2, Worker: cell.Size{CPU: 1000, Mem: 1 << 30},
	}
	b := newBenchOf(t, users, func(host string) string {
		return fmt.Sprintf("[trace]\nfile = %q\n", filepath.Join(dir, host))
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	scan := func() bool {
		reply, err := b.nodes[0].direct.Do(ctx, client.Request{
			Workload: b.names.Urgent, Method: http.MethodPost, Path: "/gate", Key: uuid.Must(uuid.NewV7()).String(),
			Header: http.Header{standin.HeaderCost: {"50ms"}}, Body: []byte("pass"),
		})
		if err != nil || reply.Outcome != client.Done {
			t.Logf("status %d, again %s, %v: %s", reply.Status, reply.Again, err, reply.Body)
			return false
		}
		return true
	}
	var g errgroup.Group
	for range 4 {
		g.Go(func() error {
			for range 10 {
				assert.True(t, scan())
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	var all []span
	for _, n := range b.nodes {
		require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, n.cmd.Wait())
		all = append(all, readSpans(t, filepath.Join(dir, n.name))...)
	}
	checkTraces(t, all)
}

// checkTraces checks the path to every span of a backend server.
func checkTraces(t *testing.T, all []span) {
	t.Helper()
	byID := map[string]span{}
	for _, s := range all {
		byID[s.SpanContext.SpanID] = s
	}
	through := 0
	for _, s := range all {
		if s.Name != "minion" {
			continue
		}
		hops := chain(byID, s)
		var names []string
		for i, hop := range hops {
			names = append(names, hop.Name)
			require.Equal(t, s.SpanContext.TraceID, hop.SpanContext.TraceID)
			if i > 0 {
				require.False(t, hop.StartTime.Before(hops[i-1].StartTime), names)
				require.False(t, hop.EndTime.After(hops[i-1].EndTime), "%s: %+v", names, hops)
			}
		}
		if slices.Contains(names, "peer") {
			require.Equal(t, []string{"caller", "host", "peer", "host", "minion"}, names)
			through++
			continue
		}
		require.Equal(t, []string{"caller", "host", "minion"}, names)
	}
	require.Positive(t, through, "no scan went through two hosts")
}
