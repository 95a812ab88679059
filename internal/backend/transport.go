package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits on the connections to one backend server, which accepts 64 from all
// entry hosts of its failure domain together.
const (
	idleConns = 8
	maxConns  = 16
	// idleWait is how long a connection may be idle. A middlebox may silently
	// drop the state of an idle connection, and a request on it would wait until
	// its deadline. Opening a new connection costs only a round trip of 1 ms.
	idleWait = time.Second
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns the transport to backend servers.
func NewTransport(dial Dial) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idleConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleWait,
		DialContext:         countingDial(dial),
		DisableCompression:  true,
	}
}

// countingConn counts the bytes written to it. If an idle connection proves to be
// closed just as a request is assigned to it, the transport does not report
// whether the request was sent, and its outcome would have to be unknown.
type countingConn struct {
	net.Conn
	closed  atomic.Bool
	written atomic.Int64
}

func countingDial(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// Write counts the bytes before it sends them, so that the count is never too low.
func (c *countingConn) Write(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Close closes the connection; any later Write fails.
func (c *countingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// assignedConn records the connection that one request was assigned and how many bytes
// had been written to it before.
type assignedConn struct {
	conn   *countingConn
	before int64
}

func (u *assignedConn) got(conn net.Conn) {
	if c, ok := conn.(*countingConn); ok {
		u.conn, u.before = c, c.written.Load()
	}
}

// unsent reports whether certainly no byte of the request was sent.
func (u *assignedConn) unsent() bool { return u.conn != nil && u.conn.written.Load() == u.before }

// drop closes the connection, so that no data that still arrives on it can be
// taken for the answer to a later request.
func (u *assignedConn) drop() {
	if u.conn != nil {
		_ = u.conn.Close()
	}
}
