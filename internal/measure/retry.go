package measure

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

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

// NoBudget is the baseline, in which every request may use all tries of its row.
var NoBudget = retry.Limits{Ratio: 1 << 10, Initial: 1 << 20, Max: 1 << 20}

// RetryLoad sends requests of an idempotent row through a relay to backend servers that fail all of
// them. It returns the average number of tries that reach the servers for each request.
func RetryLoad(ctx context.Context, limits retry.Limits, asked int) float64 {
	row := table.Row{Name: "badges", Class: "bulk", Weight: 1, Tries: 3, Idempotent: true}
	x := relay.New(relay.Deps{
		Name: "h1", Domain: "nord", Queue: queue.New(queue.DefaultLimits), Outliers: outlier.New(outlier.DefaultLimits),
		Retries: retry.New(limits), Ledger: ledger.New(ledger.DefaultLimits, time.Now()),
		Backends: backend.New(&http.Transport{}, 1<<20), Peers: peer.NewClients(nil),
		Row:        func(string) (table.Row, int64) { return row, 1 },
		LimitShare: func(_ string, limit int64) int64 { return limit },
		Members:    func() ([]string, []member.Heartbeat) { return []string{"h1"}, nil },
		Clock:      time.Now, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	var servers []relay.Server
	var standins []*standin.Backend
	for i := range 4 {
		m := standin.NewBackend(8)
		m.SetFaults(standin.BackendFaults{Fail: 100})
		srv := httptest.NewServer(m.Handler())
		defer srv.Close()
		at := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		standins = append(standins, m)
		servers = append(servers, relay.Server{Name: fmt.Sprint("m", i), Address: at, Slots: 8})
	}
	x.SetServers(servers)
	for range asked {
		x.Do(ctx, call.Request{
			ID: cell.NewID(), Row: row.Name, Method: http.MethodGet, Path: "/badge", Deadline: time.Now().Add(time.Minute),
		})
	}
	got := 0
	for _, m := range standins {
		for _, n := range m.Record().Ran {
			got += n
		}
	}
	return float64(got) / float64(asked)
}
