package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// results returns the results of n holds of workers with four runs each.
func results(n int) OrderResults {
	m := OrderResults{Term: 7}
	for i := range n {
		r := OrderResult{ID: int64(i), Clock: 1_790_000_000_000}
		for k := range 4 {
			r.Running = append(r.Running, ListedRun{Task: fmt.Sprintf("%016x.0.1.%d", i, k), Run: 1, Percent: 40, Metric: 14_000})
		}
		r.Ended = []EndedRun{{Number: 17, Task: fmt.Sprintf("%016x.0.0.1", i), Run: 1, How: 1}}
		m.All = append(m.All, r)
	}
	return m
}

// received sends messages to a server and returns what arrives.
func received(t *testing.T, sent ...Message) (all []Message) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(_ context.Context, m Message) (any, error) {
			all = append(all, m)
			return nil, nil
		})
		for _, m := range sent {
			require.NoError(t, p.Notify(context.Background(), "peer", m))
			synctest.Wait()
		}
	})
	return all
}

// Guards against messages that the peer reads otherwise than they were sent, before it is known that
// it unpacks them and after that.
func TestMessagesArriveAsSent(t *testing.T) {
	born := int64(0)
	orders := Orders{From: "lead", Addr: netip.MustParseAddrPort("[::1]:7"), Term: 3, Texts: map[string]string{"a": "text"}, All: []Order{
		{ID: 1, Kind: StartOrder, Worker: "w", Born: &born, Addr: netip.MustParseAddrPort("10.0.0.1:8"), Task: "a.0.0.1", Run: 2, Checkpoint: "c", Ticket: "y", Deadline: 4},
		{ID: 2, Kind: HoldOrder, Worker: "w", Addr: netip.MustParseAddrPort("10.0.0.1:8"), AckedEnd: 5, Wait: 600, Probe: true},
	}}
	sent := []Message{orders, results(3), orders, results(3), Leave{}, results(3)}
	require.Equal(t, sent, received(t, sent...))
}

// A host of an older build does not unpack messages. Guards against messages that it takes for empty.
func TestMessagesAreNotPackedForOlderBuilds(t *testing.T) {
	l := &link{}
	l.asked.Store(true)
	for _, m := range []Message{Orders{}, results(1)} {
		params, err := l.params(m)
		require.NoError(t, err)
		require.Equal(t, m, params)
	}
	l.unpacks.Store(true)
	params, err := l.params(results(1))
	require.NoError(t, err)
	require.IsType(t, packed{}, params)
}

// The leader's processor bounds how many tasks a cell starts. Guards against a transport that works on
// each part of a message besides decoding it once.
func TestReadingAMessageTakesLittleMoreThanDecodingIt(t *testing.T) {
	perResult := func(f func(n int) float64) float64 { return (f(200) - f(20)) / 180 }
	once := perResult(func(n int) float64 {
		b, err := json.Marshal(results(n))
		require.NoError(t, err)
		return testing.AllocsPerRun(20, func() {
			var got OrderResults
			_ = json.Unmarshal(b, &got)
		})
	})
	whole := perResult(func(n int) float64 {
		s := NewServer(nil)
		arrived := make(chan bool)
		s.handler = func(context.Context, Message) (any, error) {
			arrived <- true
			return nil, nil
		}
		c := newServed(t, s)
		m := results(n)
		send := func() {
			require.NoError(t, c.Notify(t.Context(), "peer", m))
			<-arrived
		}
		send()
		c.awaitUnpacks(t)
		return testing.AllocsPerRun(20, send)
	})
	require.LessOrEqual(t, whole, 2*once, "allocations for each result of a message")
}

// Guards against packed messages that stop the host which reads them.
func FuzzDecodeParams(f *testing.F) {
	for _, m := range []Message{results(2), Orders{From: "lead"}} {
		l := &link{}
		l.unpacks.Store(true)
		p, err := l.params(m)
		require.NoError(f, err)
		b, err := json.Marshal(p)
		require.NoError(f, err)
		f.Add(b)
		b, err = json.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		var r OrderResults
		_ = decodeParams(b, &r)
		var o Orders
		_ = decodeParams(b, &o)
	})
}

// served is a client of a server over a pipe.
type served struct{ *Clients }

func newServed(t *testing.T, s *Server) served {
	c := NewClients(map[string]netip.AddrPort{"peer": {}})
	c.dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		here, there := net.Pipe()
		go s.serveConn(t.Context(), there)
		return here, nil
	}
	t.Cleanup(c.Close)
	return served{c}
}

// awaitUnpacks waits until it is known that the peer unpacks messages.
func (c served) awaitUnpacks(t *testing.T) {
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, l := range c.conns {
			if l.unpacks.Load() {
				return true
			}
		}
		return false
	}, 10*time.Second, time.Millisecond)
}
