package measure

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/ledger"
	"pollencroft/internal/peer"
)

// keyBody is the size in bytes of a stored answer in the benchmarks of the ledger.
const keyBody = 200

// Keys opens and closes n keys one after another in one ledger and returns the average number of
// bytes of memory that a stored key occupies.
func Keys(n int) float64 {
	limits := ledger.DefaultLimits
	limits.MaxKeys, limits.MaxBytes = n, int64(n)*keyBody*2
	now := time.Unix(1_700_000_000, 0)
	before := heapBytes()
	l := ledger.New(limits, now.Add(-time.Hour))
	for i := range n {
		key := cell.NewID()
		l.Step(now, ledger.Open{Key: key, Digest: 1, Attempt: 1, Try: strconv.Itoa(i), Host: "nord-0", Incarnation: 1})
		l.Step(now, ledger.Close{Key: key, Digest: 1, Try: strconv.Itoa(i), Answer: ledger.Answer{
			Outcome: cell.Done, Status: 200, Body: make([]byte, keyBody),
		}})
	}
	after := heapBytes()
	runtime.KeepAlive(l)
	return float64(after-before) / float64(n)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// SilentPeer sends requests to a peer on loopback through a proxy, which drops all data of the first
// connection after the first request. It returns how long the next request takes on the silent
// connection, and how long the one after it takes. TCP acknowledges the data that the proxy drops,
// so the operating system's own timeouts do not detect the failure.
func SilentPeer(ctx context.Context) (silent, next time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	target, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, errors.Wrap(err, "listen as peer")
	}
	go peer.NewServer(func(context.Context, peer.Message) (any, error) {
		return call.Reply{Outcome: cell.Done}, nil
	}).Serve(ctx, target)
	front, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, errors.Wrap(err, "listen as proxy")
	}
	defer front.Close()
	p := &droppingProxy{target: target.Addr().String()}
	go p.serve(ctx, front)
	clients := peer.NewClients(map[string]netip.AddrPort{"peer": netip.MustParseAddrPort(front.Addr().String())})
	defer clients.Close()
	ask := func() time.Duration {
		began := time.Now()
		var reply call.Reply
		_ = clients.Ask(ctx, "peer", peer.Relay{}, &reply)
		return time.Since(began)
	}
	ask()
	p.drop.Store(p.conns.Load())
	return ask(), ask(), nil
}

// droppingProxy is a TCP proxy that drops all data on its first connections, up to number drop.
type droppingProxy struct {
	target      string
	conns, drop atomic.Int64
}

func (p *droppingProxy) serve(ctx context.Context, ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		n := p.conns.Add(1)
		go p.pipe(in, out, n)
		go p.pipe(out, in, n)
	}
}

func (p *droppingProxy) pipe(from, to net.Conn, n int64) {
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		got, err := from.Read(b)
		if err != nil {
			return
		}
		if n <= p.drop.Load() {
			continue
		}
		if _, err := to.Write(b[:got]); err != nil {
			return
		}
	}
}
