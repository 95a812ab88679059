package keys

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// Conn is a connection from a host whose certificate was checked.
type Conn struct {
	*tls.Conn
	peer string
}

// Peer is the name of the host that its certificate gives.
func (c *Conn) Peer() string { return c.peer }

// maxHandshakes bounds the handshakes under way at once.
const maxHandshakes = 64

// listener hands out connections only after their handshake, and makes the
// handshakes beside each other: one that hangs must not hold up the others.
type listener struct {
	net.Listener
	keys  *Keys
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// PeerListener wraps a listener for peers.
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

// Accept returns the next connection whose certificate was checked.
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
