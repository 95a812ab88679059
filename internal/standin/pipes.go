package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Pipes is an in-memory network for tests with a virtual clock. With real connections the clock
// would stand still while a goroutine waits for network I/O.
type Pipes struct {
	mu sync.Mutex
	at map[netip.AddrPort]*Pipe
}

// Pipe is the listener for one address.
type Pipe struct {
	conns chan net.Conn
	over  chan struct{}
	once  sync.Once
}

// Listen returns a new listener for the address. It replaces an earlier listener there.
func (n *Pipes) Listen(addr netip.AddrPort) *Pipe {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.at == nil {
		n.at = map[netip.AddrPort]*Pipe{}
	}
	p := &Pipe{conns: make(chan net.Conn), over: make(chan struct{})}
	n.at[addr] = p
	return p
}

// Dial connects to an address. It returns ECONNREFUSED if there is no listener or it is closed.
func (n *Pipes) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	p, ok := n.at[addr]
	n.mu.Unlock()
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	here, there := net.Pipe()
	select {
	case p.conns <- there:
		return here, nil
	case <-p.over:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next connection and returns it.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.over:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed and refuses further connections.
func (p *Pipe) Close() error {
	p.once.Do(func() { close(p.over) })
	return nil
}

// Addr returns an empty address: no caller uses it, but net.Listener requires the method.
func (p *Pipe) Addr() net.Addr { return &net.TCPAddr{} }
