package measure

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/lease"
	"pollencroft/internal/standin"
	"pollencroft/internal/worker"
)

// RenewBytes holds the bytes on the wire, including headers, of one exchange with a worker that runs
// some tasks.
type RenewBytes struct {
	// Renewal is an exchange that renews all leases and reports no change.
	Renewal float64
	// Whole is the same exchange without a cursor, so that the reply lists all tasks.
	Whole float64
	// Start is the start of a task, on average over all tasks.
	Start float64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// CountRenewal counts the bytes of exchanges over loopback with a worker that runs the given number
// of tasks.
func CountRenewal(ctx context.Context, tasks int) (RenewBytes, error) {
	w := standin.NewWorker(cell.Size{CPU: 64_000, Mem: 256 << 30}, standin.NewCopyChecker(), time.Now)
	srv := httptest.NewServer(w.Handler())
	defer srv.Close()
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	bytes := new(atomic.Int64)
	rt := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countedConn{conn, bytes}, err
	}}
	defer rt.CloseIdleConnections()
	c := worker.New("halle-nord-1", time.Now().UnixMilli(), rt, time.Now)
	r, err := c.Acquire(ctx, addr, time.Minute)
	before := bytes.Load()
	for i := 0; i < tasks && err == nil; i++ {
		err = c.Start(ctx, addr, worker.Start{
			ID: cell.JobID(cell.Home{Domain: "halle-nord", Rack: "r0"}) + fmt.Sprintf(".%d", i), Row: "print",
			Size: cell.Size{CPU: 1000, Mem: 1 << 30}, Run: time.Hour, TTL: time.Minute, Deadline: r.Clock.Add(time.Minute),
		})
	}
	if err != nil {
		return RenewBytes{}, err
	}
	got := RenewBytes{Start: float64(bytes.Load()-before) / float64(tasks)}
	if got.Whole, err = renewals(ctx, c, addr, bytes, false); err != nil {
		return got, err
	}
	got.Renewal, err = renewals(ctx, c, addr, bytes, true)
	return got, err
}

// renewals returns the average number of bytes of a renewal. With marks set, each renewal asks only
// for changes since the cursor of the last reply.
func renewals(ctx context.Context, c *worker.Client, addr netip.AddrPort, bytes *atomic.Int64, marks bool) (float64, error) {
	const n = 20
	ask := lease.Renew{TTL: time.Minute, TaskTTL: time.Minute}
	r, err := c.Renew(ctx, addr, ask, nil)
	if err != nil {
		return 0, err
	}
	before := bytes.Load()
	for range n {
		if marks {
			ask.Since = r.Cursor
		}
		if r, err = c.Renew(ctx, addr, ask, nil); err != nil {
			return 0, err
		}
	}
	return float64(bytes.Load()-before) / n, nil
}
