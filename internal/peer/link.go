package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Bounds of a connection to a peer. A question on a connection that has gone
// silent fails after lookEvery + doubtAfter + pingWait at the latest.
const (
	// checkInterval is how often a connection is looked at.
	checkInterval = 250 * time.Millisecond
	// suspectAfter is how long a question may go without any answer on its
	// connection before the connection is asked for a sign of life.
	suspectAfter = 250 * time.Millisecond
	// idleAfter is the same for a connection with no question open: heartbeats
	// have no answer, and without it they would go unheard for good.
	idleAfter = time.Second
	// spareAfter is the same for a further connection, which carries no
	// heartbeats; it bounds the traffic of pings.
	spareAfter = 30 * time.Second
	// pingTimeout is how long that sign may take.
	pingTimeout = time.Second
	// minRate is the rate in bytes a second at which what was sent before the
	// question may still be on its way.
	minRate = 256 << 10
	// largeWrite is how many bytes sent make that count.
	largeWrite = 16 << 10
)

// link is one connection to a peer. It watches over itself: a connection may
// go silent without a reset, and because questions to a peer share one
// connection all of them would wait on it until their deadlines.
type link struct {
	raw net.Conn
	rpc *jsonrpc2.Conn
	// ended tells that a question failed because the link has ended.
	ended atomic.Bool
	// open counts questions without an answer; good is when the last answer
	// came, in nanoseconds since began.
	open     atomic.Int64
	lastRead atomic.Int64
	began    time.Time
	// idle is how long the link may go without any answer and no question open.
	idle time.Duration
	// sent is how many bytes were written since the last sign of life.
	sent atomic.Int64
	// silent counts the links that were given up because they were silent.
	silent *atomic.Int64
}

func newLink(raw net.Conn, idle time.Duration, silent *atomic.Int64) *link {
	l := &link{raw: raw, began: time.Now(), idle: idle, silent: silent}
	l.rpc = jsonrpc2.NewConn(context.Background(), stream(meter{Conn: raw, link: l}, func(string) {}), jsonrpc2.HandlerWithError(rejectRequest), discardLog)
	go l.watch()
	return l
}

// meter takes what is read for a sign of life. Answers come whole from the
// library, and a large one on a slow way would be taken for silence.
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

// closed tells whether the link has ended. The library fails the questions under way
// before it says that the link has ended; whoever then asked again at once was given the
// same link, and heard a second time that nobody knows.
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

// close closes the socket first: a write that hangs holds the library's lock.
func (l *link) close() {
	_ = l.raw.Close()
	_ = l.rpc.Close()
}

func (l *link) call(ctx context.Context, m Message, into any) error {
	l.open.Add(1)
	defer l.open.Add(-1)
	if r, ok := m.(Relay); ok {
		// Counted before it is written: making the message takes time as well.
		l.sent.Add(int64(len(r.Request.Body)))
	}
	err := l.rpc.Call(ctx, m.method(), m, into)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		l.ended.Store(true)
	}
	return err
}

// answered tells whether an answer came, be it a refusal.
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

// ping asks for a sign of life. The question may hang in its write, so the
// time is kept outside of it.
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

// pingLimit is how long an answer may take. It grows while a large message is
// being written, which the question has to wait for.
func (l *link) pingLimit() time.Duration {
	sent := l.sent.Load()
	if sent < largeWrite {
		return pingTimeout
	}
	return pingTimeout + time.Duration(sent)*time.Second/minRate
}
