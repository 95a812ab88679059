package keys

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// Conn is a connection from a host whose certificate was verified.
type Conn struct {
	*tls.Conn
	peer string
}

// Peer returns the name of the host that the certificate belongs to.
func (c *Conn) Peer() string { return c.peer }

// maxHandshakes bounds the number of concurrent handshakes.
const maxHandshakes = 64

// listener returns connections only after their handshake. It performs handshakes
// concurrently, so that one that hangs does not delay the others.
type listener struct {
	net.Listener
	keys  *Keys
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// PeerListener returns a listener that accepts only connections from known hosts.
func (k *Keys) PeerListener(ln net.Listener) net.Listener {
	l := &listener{Listener: ln, keys: k, ready: make(chan net.Conn), done: make(chan struct{})}
	go l.accept()
	return l
}

func (l *listener) accept() {
	slots := make(chan struct{}, maxHandshakes)
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			_ = l.Close()
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			l.handshake(conn)
		}()
	}
}

func (l *listener) handshake(conn net.Conn) {
	c := tls.Server(conn, l.keys.peerConfig())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := c.HandshakeContext(ctx); err != nil {
		l.keys.count(reason(err))
		_ = conn.Close()
		return
	}
	select {
	case l.ready <- &Conn{Conn: c, peer: l.keys.knownHost(c.ConnectionState())}:
	case <-l.done:
		_ = conn.Close()
	}
}

// Accept returns the next connection whose certificate was verified.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops listening.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
