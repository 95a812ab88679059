// Package peer exchanges messages between entry hosts over JSON-RPC 2.0.
package peer

import (
	"context"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"pollencroft/internal/dial"
)

// Handler answers a message from a peer. The value is sent back as JSON; an error reaches the
// peer as a RefusedError.
type Handler func(ctx context.Context, m Message) (any, error)

// messages lists one of each message that may arrive.
var messages = []Message{
	Beat{},
	Relay{},
	OpenKey{},
	CloseKeys{},
	Submit{},
	AskJob{},
	CancelJob{},
	AskTrail{},
	KeepRecord{},
	Leave{},
	Inventory{},
	AskToken{},
	Handover{},
	Ping{},
	AwaitKey{},
	AnnounceSlots{},
	AskTable{},
	HostListChanged{},
	ForwardRecords{},
	AskState{},
	Sync{},
	Advise{},
	StoreCall{},
	AnnounceSuccessor{},
	Orders{},
	OrderResults{},
}

var messageTypes = func() map[string]reflect.Type {
	m := map[string]reflect.Type{}
	for _, msg := range messages {
		m[msg.method()] = reflect.TypeOf(msg)
	}
	return m
}()

// UnreachableError means that there was no connection to a peer, so the request was not sent.
type UnreachableError struct {
	Name  string
	Cause error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s not reached: %s", e.Name, e.Cause)
}

// Unwrap returns the transport's error.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NoAnswerError means that a request was sent and got no answer.
type NoAnswerError struct {
	Name  string
	Cause error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("peer %s did not answer: %s", e.Name, e.Cause)
}

// Unwrap returns the transport's error.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// RefusedError means that a peer answered with an error.
type RefusedError struct{ Name, Reason string }

func (e *RefusedError) Error() string { return fmt.Sprintf("peer %s refused: %s", e.Name, e.Reason) }

// Server serves messages from peers until its context ends.
type Server struct {
	handler Handler
	count   func(reason string)
	wg      sync.WaitGroup
	pool    pool
}

// NewServer returns a server that answers messages with a.
func NewServer(a Handler) *Server { return &Server{handler: a, count: func(string) {}} }

// OnRejected sets a function that is called with the reason for each message that is rejected.
func (s *Server) OnRejected(f func(reason string)) { s.count = f }

// Serve accepts connections on ln until ctx ends, then closes them all.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			s.wg.Wait()
			return
		}
		s.wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	dial.SetLimits(conn)
	s.pool.enter()
	defer s.pool.leave()
	c := jsonrpc2.NewConn(withSender(ctx, conn), stream(conn, s.count), pooled{&s.pool, jsonrpc2.HandlerWithError(s.handle)}, discardLog)
	select {
	case <-ctx.Done():
		_ = c.Close()
	case <-c.DisconnectNotify():
	}
}

// discardLog keeps the library from writing to standard error.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

func stream(conn net.Conn, count func(reason string)) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, boundedCodec{conn: conn, count: count})
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	typ, ok := messageTypes[req.Method]
	if !ok || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	v := reflect.New(typ)
	if err := decodeParams(*req.Params, v.Interface()); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if _, ok := v.Elem().Interface().(Ping); ok {
		return Ping{Unpacks: true}, nil
	}
	// The library cancels ctx when the connection ends, so a request that only waits here, in a
	// queue or for a key, frees its place.
	return s.handler(ctx, v.Elem().Interface().(Message))
}

// Each peer has up to maxConns connections. The library holds a lock while it writes a message,
// so on a single connection many simultaneous requests would wait for each other. Another
// connection is opened when all others are busy.
const (
	maxConns = 4
	// busyRequests is how many open requests make a connection busy.
	busyRequests = 4
)

type connKey struct {
	name  string
	index int
}

// Clients keeps connections to each peer. It is safe for concurrent use.
type Clients struct {
	mu    sync.Mutex
	addrs map[string]netip.AddrPort
	conns map[connKey]*link
	// silent counts connections that were closed because they were silent.
	silent       atomic.Int64
	dial         func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	idle         func(name string) time.Duration
	onDisconnect func(name string)
}

// NewClients returns clients for the peers at these addresses.
func NewClients(addrs map[string]netip.AddrPort) *Clients {
	return &Clients{addrs: addrs, conns: map[connKey]*link{}, dial: dialTCP, onDisconnect: func(string) {}}
}

// OnDisconnect sets a function that is called when a connection to a peer has ended, for whatever
// reason. It must be called before the first message.
func (c *Clients) OnDisconnect(f func(name string)) { c.onDisconnect = f }

// Reachability is the result of opening a new connection to a peer.
type Reachability int

// Listening means that the connection was accepted. ConnRefused means that the host is up but
// nothing listens there. NoAnswer means that nothing came back in time: the host is down or cut
// off.
const (
	Listening Reachability = iota
	ConnRefused
	NoAnswer
)

// CheckReach opens a new connection to a peer, closes it, and reports the result.
func (c *Clients) CheckReach(ctx context.Context, name string) Reachability {
	c.mu.Lock()
	addr := c.addrs[name]
	c.mu.Unlock()
	raw, err := c.dial(ctx, addr)
	switch {
	case err == nil:
		_ = raw.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return ConnRefused
	default:
		return NoAnswer
	}
}

// SetAddr sets the address of a peer. A host that comes back at another address keeps its name.
func (c *Clients) SetAddr(name string, addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addrs[name] == addr {
		return
	}
	c.addrs[name] = addr
	for at, conn := range c.conns {
		if at.name == name {
			conn.close()
			delete(c.conns, at)
		}
	}
}

// SetDialer sets how connections are made. It must be called before the first message.
func (c *Clients) SetDialer(d func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) {
	c.dial = d
}

// SetIdleTime sets how long a connection to a peer may receive nothing before it is pinged. It
// must be called before the first message. In a large cell, a ping a second to every peer costs
// more than all heartbeats.
func (c *Clients) SetIdleTime(idle func(name string) time.Duration) { c.idle = idle }

func (c *Clients) idleFor(at connKey) time.Duration {
	switch {
	case at.index > 0:
		return spareAfter
	case c.idle == nil:
		return idleAfter
	}
	return max(idleAfter, c.idle(at.name))
}

// DialTCP makes a plain TCP connection, which is the default dialer of Clients.
func DialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) { return dialTCP(ctx, addr) }

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return dial.New().DialContext(ctx, "tcp", addr.String())
}

// Ask sends a message and decodes the answer into into, which may be nil.
func (c *Clients) Ask(ctx context.Context, name string, m Message, into any) error {
	conn, err := c.conn(ctx, name)
	if err != nil {
		return &UnreachableError{Name: name, Cause: err}
	}
	err = conn.call(ctx, m, into)
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return &RefusedError{Name: name, Reason: refused.Message}
	default:
		return &NoAnswerError{Name: name, Cause: err}
	}
}

// Notify sends a message that has no answer.
func (c *Clients) Notify(ctx context.Context, name string, m Message) error {
	conn, err := c.conn(ctx, name)
	if err != nil {
		return &UnreachableError{Name: name, Cause: err}
	}
	params, err := conn.params(m)
	if err != nil {
		return err
	}
	if err := conn.rpc.Notify(ctx, m.method(), params); err != nil {
		return &NoAnswerError{Name: name, Cause: err}
	}
	return nil
}

func (c *Clients) conn(ctx context.Context, name string) (*link, error) {
	c.mu.Lock()
	at := c.pickConn(name)
	conn, addr := c.conns[at], c.addrs[name]
	c.mu.Unlock()
	if conn != nil && !conn.closed() {
		return conn, nil
	}
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	return c.storeConn(at, conn, newLink(raw, c.idleFor(at), &c.silent)), nil
}

// pickConn returns the first connection slot that is not busy, or the one with the fewest open
// requests if all are busy. The caller holds mu.
func (c *Clients) pickConn(name string) connKey {
	best, least := connKey{name: name}, int64(math.MaxInt64)
	for i := range maxConns {
		at := connKey{name: name, index: i}
		conn := c.conns[at]
		if conn == nil || conn.closed() || conn.open.Load() < busyRequests {
			return at
		}
		if n := conn.open.Load(); n < least {
			best, least = at, n
		}
	}
	return best
}

// storeConn stores a new connection unless another one was made in the meantime.
func (c *Clients) storeConn(at connKey, old, fresh *link) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cur := c.conns[at]; cur != nil && cur != old {
		fresh.close()
		return cur
	}
	c.conns[at] = fresh
	go func() {
		<-fresh.rpc.DisconnectNotify()
		c.onDisconnect(at.name)
	}()
	return fresh
}

func rejectRequest(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

// Silent returns how many connections were closed because they were silent.
func (c *Clients) Silent() int64 { return c.silent.Load() }

// Close closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.close()
	}
}
