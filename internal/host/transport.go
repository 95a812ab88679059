package host

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/dial"
	"pollencroft/internal/keys"
	"pollencroft/internal/peer"
	"pollencroft/internal/settings"
)

// connsPerServer is how many idle connections to one server are kept open.
const connsPerServer = 16

// countingDialer counts the bytes of all connections that it opens.
type countingDialer struct{ bytes *atomic.Int64 }

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// NetConn returns the wrapped connection, as tls.Conn does.
func (c countingConn) NetConn() net.Conn { return c.Conn }

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := dial.New().DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: c.bytes}, nil
}

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

// LoadKeys reads the host's keys and certificates, if the settings name any. It must be called
// before Start. The error is a keys.FileError.
func (h *Host) LoadKeys() error {
	if h.cfg.TLS == (settings.TLS{}) {
		return nil
	}
	names := map[string]string{}
	for _, p := range h.cfg.Peers {
		names[keys.Name(p.Name, p.Domain)] = p.Name
	}
	var err error
	h.keys, err = keys.New(keys.Files(h.cfg.TLS), names, h.countKeys, h.clock)
	return err
}

func (h *Host) countKeys(reason string) {
	metrics.GetOrRegisterCounter("keys."+reason, h.metrics).Inc(1)
	h.log.Warn("keys: TLS event counted.", "reason", reason)
}

func (h *Host) peerListener(ln net.Listener) net.Listener {
	ln = h.limitConns(countingListener{ln, &h.peerBytes})
	if h.keys == nil {
		return h.plainListener(ln)
	}
	return h.keys.PeerListener(ln)
}

// plainListener returns the listener without TLS, but closes it if the settings ask for TLS:
// otherwise anyone who can reach the port could impersonate any host.
func (h *Host) plainListener(ln net.Listener) net.Listener {
	if h.cfg.TLS != (settings.TLS{}) {
		h.log.Error("keys: keys are not loaded, the listener is closed.", "address", ln.Addr())
		_ = ln.Close()
	}
	return ln
}

func (h *Host) operatorListener(ln net.Listener) net.Listener {
	if h.keys == nil {
		return h.plainListener(ln)
	}
	return tls.NewListener(ln, h.keys.OperatorConfig())
}

// dialPeer opens a connection to a peer.
func (h *Host) dialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	conn, err := peer.DialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	counted := countingConn{Conn: conn, bytes: &h.peerBytes}
	if h.keys == nil {
		return counted, nil
	}
	return h.keys.ConnectPeer(ctx, counted, h.certName(addr))
}

func (h *Host) certName(addr netip.AddrPort) string {
	for _, p := range h.cfg.Peers {
		if p.Address == addr {
			return keys.Name(p.Name, p.Domain)
		}
	}
	return ""
}

// PeerBytes returns how many bytes this host has exchanged with its peers in both directions,
// including relayed requests of callers.
func (h *Host) PeerBytes() int64 { return h.peerBytes.Load() }

func newTransport(bytes *atomic.Int64) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: connsPerServer,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         countingDialer{bytes: bytes}.dial,
		DisableCompression:  true,
	}
}

// ControlBytes returns how many bytes this host has exchanged with the platform and with
// workers, without callers' requests.
func (h *Host) ControlBytes() int64 { return h.controlBytes.Load() }
