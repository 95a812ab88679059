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

// keyBody is the size of a stored answer in the ledger's benchmarks.
const keyBody = 200

// Keys opens and closes n keys one after another in one home and returns how
// many bytes of memory a kept key takes.
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

// SilentPeer asks a peer over loopback through a proxy, lets the connection go
// silent, and returns how long the question on it took and how long the next.
// The proxy acknowledges what it drops, so the system's own bounds do not help.
func SilentPeer(ctx context.Context) (told, next time.Duration, err error) {
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
	p := &swallower{target: target.Addr().String()}
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

// swallower is a proxy that drops everything on its first connections.
type swallower struct {
	target      string
	conns, drop atomic.Int64
}

func (p *swallower) serve(ctx context.Context, ln net.Listener) {
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

func (p *swallower) pipe(from, to net.Conn, n int64) {
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
