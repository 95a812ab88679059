package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// network connects the hosts of a cluster to each other. A host that is cut off reaches no other
// host, and none reaches it.
type network struct {
	mu    sync.Mutex
	cut   map[string]bool
	names map[netip.AddrPort]string
	conns map[string][]net.Conn
}

func newNetwork() *network {
	return &network{cut: map[string]bool{}, names: map[netip.AddrPort]string{}, conns: map[string][]net.Conn{}}
}

// dialer returns the function with which a host connects to others.
func (n *network) dialer(from string, own netip.AddrPort) func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[own] = from
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		if n.isCut(from, addr) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, name := range []string{from, n.names[addr]} {
			n.conns[name] = append(n.conns[name], conn)
		}
		return conn, nil
	}
}

func (n *network) isCut(from string, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[from] || n.cut[n.names[to]]
}

// isolate cuts a host off from the others.
func (n *network) isolate(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = true
	for _, conn := range n.conns[name] {
		_ = conn.Close()
	}
}

// path is the way to a worker. It may be closed for all terms above a limit, so that only a former
// leader reaches the worker, or for all below, so that only its successors do.
type path struct {
	server *httptest.Server
	mu     sync.Mutex
	closed bool
	limit  int64
	least  int64
}

func newPath(t *testing.T, worker string) *path {
	to, err := url.Parse("http://" + worker)
	require.NoError(t, err)
	p, proxy := &path{}, httputil.NewSingleHostReverseProxy(to)
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		var order struct{ FencingToken int64 }
		if err != nil || json.Unmarshal(b, &order) != nil || !p.lets(order.FencingToken) {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
	})
	return p
}

func (p *path) lets(term int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && (p.limit == 0 || term <= p.limit) && term >= p.least
}

// restrict closes the path for the orders of all terms, or of those above a limit.
func (p *path) restrict(closed bool, limit int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.limit = closed, limit
}

// restrictBelow closes the path for the orders of the terms below the given one.
func (p *path) restrictBelow(least int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.least = least
}
