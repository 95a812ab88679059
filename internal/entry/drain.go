package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainPoll is the time between two checks of the connections that are being drained.
const drainPoll = 10 * time.Millisecond

// callerConns tracks callers' connections. net/http counts a connection as idle until it has read
// a complete request header, and its Shutdown closes idle connections. A request that is arriving
// at that moment would be cut off, and its caller would not know whether the job is stored.
type callerConns struct {
	mu   sync.Mutex
	open map[net.Conn]*callerConn
}

// callerConn is one connection. arriving means that bytes have arrived since the last response,
// serving that a handler is working on a request.
type callerConn struct {
	net.Conn
	conns    *callerConns
	arriving bool
	serving  bool
}

func newCallerConns() *callerConns { return &callerConns{open: map[net.Conn]*callerConn{}} }

// callerListener tracks the connections that it accepts.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: raw, conns: l.conns}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[c] = c
	return c, nil
}

// Read reads a part of a request.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.setArriving(true)
	}
	return n, err
}

// Write writes a part of a response.
func (c *callerConn) Write(b []byte) (int, error) {
	c.setArriving(false)
	return c.Conn.Write(b)
}

func (c *callerConn) setArriving(arriving bool) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.arriving = arriving
}

// stateChanged is the ConnState hook of the server.
func (s *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.open[conn]
	switch {
	case !ok:
	case state == http.StateClosed || state == http.StateHijacked:
		delete(s.open, conn)
	default:
		c.serving = state == http.StateActive
	}
}

// drain closes the connections, each once it has no request that is arriving or being served. It
// returns the number of connections that are left when ctx ends.
func (s *callerConns) drain(ctx context.Context) int {
	for {
		left := s.closeUnused()
		if left == 0 || !sleep(ctx, drainPoll) {
			return left
		}
	}
}

// closeUnused closes the connections without a request and returns the number of the others.
func (s *callerConns) closeUnused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, c := range s.open {
		if !c.arriving && !c.serving {
			_ = conn.Close()
			delete(s.open, conn)
		}
	}
	return len(s.open)
}
