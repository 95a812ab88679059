package http1

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/chart"
)

// life is the life cycle of a connection: waiting for a request, a request that is arriving or being
// served, and closing after the last answer. A request that was read together with the one before
// arrives as a whole.
var life = chart.MustLoad("connection")

// States and events of the life cycle.
const (
	arriving chart.State = "arriving"
	serving  chart.State = "serving"
	waiting  chart.State = "waiting"
	closed   chart.State = "closed"

	begin  chart.Event = "begin"
	arrive chart.Event = "arrive"
	idle   chart.Event = "idle"
	answer chart.Event = "answer"
	end    chart.Event = "close"
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	pool *pool
	// The pool's mu guards the fields below.
	state chart.State
	// handling means that a handler is at work on a request that has begun to arrive.
	handling bool
	// unanswered means that bytes have arrived since the last part of an answer was written.
	unanswered bool
	// progressAt is when the connection last made progress: it was opened or answered, a request
	// began, or progressStep bytes of it have arrived since.
	progressAt time.Time
	// writingSince is when the write in progress began; zero if there is none.
	writingSince time.Time
	// held is the number of bytes of the request that have arrived.
	held int64
	// evicted means that the connection has to end because others need the memory.
	evicted bool
	// lingers means that the client may still be sending when the connection is closed.
	lingers bool
}

// apply applies an event. What the life cycle does not allow has been overtaken by another event.
func (c *conn) apply(ev chart.Event) {
	if next, err := life.Next(c.state, ev); err == nil {
		c.state = next
	}
}

// farPast is a deadline that ends a read or write at once.
var farPast = time.Unix(1, 0)

// Read reads a part of a request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if evicted := c.pool.received(c, n); evicted != nil {
			return 0, evicted
		}
	}
	return n, err
}

// Write writes a part of an answer.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(c.pool.beginWrite(c)); err != nil {
		return 0, errors.Wrap(err, "set deadline")
	}
	defer c.pool.endWrite(c)
	return c.Conn.Write(b)
}

// SetReadDeadline sets the deadline of reads, unless the connection has to end.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.evicted {
		at = farPast
	}
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite tells the client that nothing follows. The server calls it before it closes a connection
// whose client may still be sending.
func (c *conn) CloseWrite() error {
	c.pool.answered(c)
	return c.endWrites()
}

func (c *conn) endWrites() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(tcp.CloseWrite(), "close for writing")
	}
	return nil
}

// Close closes the connection and makes room for another. A connection that is closed with unread bytes
// is reset, and the client may lose the answer, so what it still sends is read first.
func (c *conn) Close() error {
	if c.pool.beginLinger(c) && c.endWrites() == nil {
		c.linger()
	}
	c.pool.forget(c)
	return c.Conn.Close()
}

// lingerTime is how long a client that is still sending has to read the answer.
const lingerTime = 500 * time.Millisecond

// linger reads what the client still sends until it closes the connection.
func (c *conn) linger() {
	if err := c.Conn.SetReadDeadline(c.pool.Now().Add(lingerTime)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// listener accepts connections within the limit. Beyond it, it closes the connection that has made no
// progress for longest: in the backlog, new ones would wait behind those that are of no use.
type listener struct {
	net.Listener
	pool *pool
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, replaced := l.pool.open(raw)
		if replaced != nil {
			_ = replaced.Conn.Close()
		}
		if c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}
