package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/call"
	"pollencroft/internal/cell"
)

// silentConn drops what is written to it or what arrives, as selected. Neither end sees an error.
type silentConn struct {
	net.Conn
	out, in atomic.Bool
}

func (d *silentConn) Write(b []byte) (int, error) {
	if d.out.Load() {
		return len(b), nil
	}
	return d.Conn.Write(b)
}

func (d *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := d.Conn.Read(b)
		if err != nil || !d.in.Load() {
			return n, err
		}
	}
}

// pair is a client whose connections to one server can go silent.
type pair struct {
	*Clients
	conns []*silentConn
}

func newPair(t *testing.T, answer Handler) *pair {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pair{Clients: NewClients(map[string]netip.AddrPort{"peer": {}})}
	s := NewServer(answer)
	p.dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		here, there := net.Pipe()
		go s.serveConn(ctx, there)
		p.conns = append(p.conns, &silentConn{Conn: here})
		return p.conns[len(p.conns)-1], nil
	}
	t.Cleanup(func() { cancel(); p.Close() })
	return p
}

func echo(_ context.Context, m Message) (any, error) {
	if r, ok := m.(Relay); ok {
		return call.Reply{Outcome: cell.Done, Body: []byte(r.Request.ID)}, nil
	}
	return nil, nil
}

func (p *pair) relay(id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var reply call.Reply
	err := p.Ask(ctx, "peer", Relay{Request: call.Request{ID: id}}, &reply)
	return string(reply.Body), err
}

const silentBound = checkInterval + suspectAfter + pingTimeout

// A connection between two entry hosts goes silent without a reset, in both directions or in one,
// while a request is open. The caller must get an unknown outcome within the bound, not after its
// deadline, and the next request uses a new connection.
func TestSilentConnectionUnderARequest(t *testing.T) {
	for name, cut := range map[string]func(d *silentConn){
		"both ways":   func(d *silentConn) { d.out.Store(true); d.in.Store(true) },
		"to the peer": func(d *silentConn) { d.out.Store(true) },
		"from it":     func(d *silentConn) { d.in.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair(t, echo)
				_, err := p.relay("a")
				require.NoError(t, err)
				cut(p.conns[0])
				began := time.Now()
				_, err = p.relay("b")
				var silent *NoAnswerError
				require.ErrorAs(t, err, &silent, "it must be unknown whether the request ran")
				require.LessOrEqual(t, time.Since(began), silentBound)
				require.EqualValues(t, 1, p.Silent())
				t.Logf("the request failed after %s", time.Since(began))
				body, err := p.relay("c")
				require.NoError(t, err)
				require.Equal(t, "c", body)
			})
		})
	}
}

// A connection goes silent while no request is open. Heartbeats have no answer, so a live host
// would be regarded as dead if they were lost forever.
func TestSilentIdleConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heard := 0
		p := newPair(t, func(_ context.Context, m Message) (any, error) {
			if _, ok := m.(Leave); ok {
				heard++
			}
			return nil, nil
		})
		require.NoError(t, p.Notify(context.Background(), "peer", Leave{}))
		synctest.Wait()
		require.Equal(t, 1, heard)
		p.conns[0].out.Store(true)
		time.Sleep(idleAfter + pingTimeout + 2*checkInterval)
		require.NoError(t, p.Notify(context.Background(), "peer", Leave{}))
		synctest.Wait()
		require.Equal(t, 2, heard)
		require.Len(t, p.conns, 2)
	})
}

// A peer is slow, not silent: its connection and the requests on it are kept.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(ctx context.Context, m Message) (any, error) {
			time.Sleep(20 * time.Second)
			return echo(ctx, m)
		})
		body, err := p.relay("a")
		require.NoError(t, err)
		require.Equal(t, "a", body)
		require.Len(t, p.conns, 1)
	})
}

// A large plan is being sent over a slow connection. The connection is not silent, and the
// request must not end with an unknown outcome. The test uses real time: a write that hangs holds
// a lock, and synctest's fake clock does not advance while a goroutine waits for a lock.
func TestSlowTransferIsNotSilence(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(func(context.Context, Message) (any, error) { return call.Reply{Outcome: cell.Done}, nil })
	go s.Serve(t.Context(), ln)
	c := NewClients(map[string]netip.AddrPort{"peer": netip.MustParseAddrPort(ln.Addr().String())})
	defer c.Close()
	c.dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		conn, err := dialTCP(ctx, addr)
		return slow{conn}, err
	}
	var reply call.Reply
	require.NoError(t, c.Ask(t.Context(), "peer", Relay{Request: call.Request{Body: make([]byte, 1<<20)}}, &reply))
	require.Equal(t, cell.Done, reply.Outcome)
	require.Zero(t, c.Silent())
}

// slow takes 2 s for a large write.
type slow struct{ net.Conn }

func (s slow) Write(b []byte) (int, error) {
	time.Sleep(2 * time.Second * time.Duration(len(b)) / (1 << 20))
	return s.Conn.Write(b)
}

// A peer answers a request whose sender gave up long ago. The answer must not be delivered to the
// next request on the same connection.
func TestAnswerToARequestThatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(ctx context.Context, m Message) (any, error) {
			if r, ok := m.(Relay); ok && r.Request.ID == "late" {
				time.Sleep(500 * time.Millisecond)
			}
			return echo(ctx, m)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		err := p.Ask(ctx, "peer", Relay{Request: call.Request{ID: "late"}}, nil)
		var silent *NoAnswerError
		require.ErrorAs(t, err, &silent)
		for i := range 20 {
			id := string(rune('a' + i))
			body, err := p.relay(id)
			require.NoError(t, err)
			require.Equal(t, id, body)
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// An entry host dies while its caller's request waits in a peer's queue. The place in the queue
// must be freed, because the answer cannot be delivered any more.
func TestPeersRequestEndsWithItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		freed := false
		p := newPair(t, func(ctx context.Context, _ Message) (any, error) {
			<-ctx.Done()
			freed = true
			return nil, ctx.Err()
		})
		go func() { _, _ = p.relay("a") }()
		synctest.Wait()
		p.conns[0].Close()
		synctest.Wait()
		require.True(t, freed)
	})
}

// Many requests to one peer are open at once. They must not all wait for the lock of one
// connection, or keyed requests would get slower with every additional caller.
func TestBusyPeerGetsMoreConnections(t *testing.T) {
	asked, letGo := make(chan struct{}, 100), make(chan struct{})
	p := newPair(t, func(context.Context, Message) (any, error) {
		asked <- struct{}{}
		<-letGo
		return struct{}{}, nil
	})
	done := make(chan error, 100)
	for i := range busyRequests * (maxConns + 1) {
		go func() { done <- p.Ask(context.Background(), "peer", OpenKey{}, nil) }()
		<-asked
		require.Len(t, p.conns, min(i/busyRequests+1, maxConns))
	}
	close(letGo)
	for range busyRequests * (maxConns + 1) {
		require.NoError(t, <-done)
	}
	require.NoError(t, p.Ask(context.Background(), "peer", OpenKey{}, nil))
	require.Len(t, p.conns, maxConns)
}
