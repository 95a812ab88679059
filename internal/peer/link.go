package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Timing of a connection to a peer. A request on a connection that has gone silent fails after
// checkInterval + suspectAfter + pingTimeout at the latest.
const (
	// checkInterval is how often a connection is checked.
	checkInterval = 250 * time.Millisecond
	// suspectAfter is how long a connection with an open request may receive nothing before it is
	// pinged.
	suspectAfter = 250 * time.Millisecond
	// idleAfter is the same for a connection without an open request. Heartbeats have no answer,
	// so without this check they could be lost forever unnoticed.
	idleAfter = time.Second
	// spareAfter is the same for an additional connection, which carries no heartbeats. It bounds
	// the traffic of pings.
	spareAfter = 30 * time.Second
	// pingTimeout is how long the answer to a ping may take.
	pingTimeout = time.Second
	// minRate is the lowest expected rate, in bytes a second, at which data that was written
	// before the ping is transferred.
	minRate = 256 << 10
	// largeWrite is the number of written bytes from which the time for their transfer is added
	// to pingTimeout.
	largeWrite = 16 << 10
)

// link is one connection to a peer. It monitors itself, because a connection may go silent
// without a reset. Requests to a peer share one connection, so all of them would wait on it until
// their deadlines.
type link struct {
	raw net.Conn
	rpc *jsonrpc2.Conn
	// ended is set if a request failed because the link has ended.
	ended atomic.Bool
	// open counts the requests without an answer. lastRead is when data last arrived, in
	// nanoseconds since began.
	open     atomic.Int64
	lastRead atomic.Int64
	began    time.Time
	// idle is how long the link may receive nothing while no request is open.
	idle time.Duration
	// sent is how many bytes were written since data last arrived.
	sent atomic.Int64
	// silent counts the links that were closed because they were silent.
	silent *atomic.Int64
	// unpacks means that the peer unpacks messages, asked that it was asked about that.
	unpacks, asked atomic.Bool
}

func newLink(raw net.Conn, idle time.Duration, silent *atomic.Int64) *link {
	l := &link{raw: raw, began: time.Now(), idle: idle, silent: silent}
	l.rpc = jsonrpc2.NewConn(context.Background(), stream(meter{Conn: raw, link: l}, func(string) {}), jsonrpc2.HandlerWithError(rejectRequest), discardLog)
	go l.watch()
	return l
}

// meter records when data is read and how much is written. The library delivers an answer only
// when it is complete, so a large answer on a slow connection would look like silence.
type meter struct {
	net.Conn
	link *link
}

func (m meter) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if n > 0 {
		m.link.recordRead()
	}
	return n, err
}

func (m meter) Write(b []byte) (int, error) {
	m.link.sent.Add(int64(len(b)))
	return m.Conn.Write(b)
}

func (l *link) recordRead() {
	l.sent.Store(0)
	l.lastRead.Store(int64(time.Since(l.began)))
}

// closed reports whether the link has ended. The library fails the open requests before it
// signals that the link has ended. A caller that repeated its request at once got the same link,
// and failed a second time with an unknown outcome.
func (l *link) closed() bool {
	if l.ended.Load() {
		return true
	}
	select {
	case <-l.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// close closes the socket first, because a write that hangs holds the library's lock.
func (l *link) close() {
	_ = l.raw.Close()
	_ = l.rpc.Close()
}

func (l *link) call(ctx context.Context, m Message, into any) error {
	l.open.Add(1)
	defer l.open.Add(-1)
	if r, ok := m.(Relay); ok {
		// The bytes are counted before they are written, because encoding the message takes time
		// as well.
		l.sent.Add(int64(len(r.Request.Body)))
	}
	params, err := l.params(m)
	if err != nil {
		return err
	}
	err = l.rpc.Call(ctx, m.method(), params, into)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		l.ended.Store(true)
	}
	return err
}

// answered reports whether an answer came, even if it is a refusal.
func answered(err error) bool {
	var refused *jsonrpc2.Error
	return err == nil || errors.As(err, &refused)
}

func (l *link) watch() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-l.rpc.DisconnectNotify():
			return
		case <-t.C:
		}
		if l.isSuspect() && !l.ping() && !l.closed() {
			l.silent.Add(1)
			l.close()
			return
		}
	}
}

func (l *link) isSuspect() bool {
	quiet := time.Since(l.began) - time.Duration(l.lastRead.Load())
	if l.open.Load() > 0 {
		return quiet > suspectAfter
	}
	return quiet > l.idle
}

// ping reports whether the peer answers. The write of the ping itself may hang, so the timeout is
// enforced here.
func (l *link) ping() bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	good := make(chan bool, 1)
	go func() { good <- answered(l.rpc.Call(ctx, Ping{}.method(), Ping{}, nil)) }()
	began := time.Now()
	for {
		left := l.pingLimit() - time.Since(began)
		if left <= 0 {
			return false
		}
		select {
		case ok := <-good:
			return ok
		case <-time.After(min(left, checkInterval)):
		}
	}
}

// pingLimit returns how long an answer may take. The limit grows while a large message is being
// written, because the ping waits for that write.
func (l *link) pingLimit() time.Duration {
	sent := l.sent.Load()
	if sent < largeWrite {
		return pingTimeout
	}
	return pingTimeout + time.Duration(sent)*time.Second/minRate
}
