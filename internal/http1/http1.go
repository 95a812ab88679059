// Package http1 serves HTTP/1.1 to clients that may not behave. It limits the connections, memory and
// time that all of them take together, so that none can keep others from being served.
package http1

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// ReceiveBuffer is the size of a connection's receive buffer. What has arrived and was not read
	// counts as memory of the process.
	ReceiveBuffer = 8 << 10
	// FreeBytes is how many bytes of a request do not count towards Limits.Bytes. Small requests are
	// served however full the memory is.
	FreeBytes = 8 << 10
	// ConnCost is the memory that a connection takes at most, besides what counts towards
	// Limits.Bytes. The kernel doubles the size of the receive buffer.
	ConnCost = 2*ReceiveBuffer + FreeBytes + 16<<10
	// MaxHeader is the largest header of a request that a server can be set to accept.
	MaxHeader = 64 << 10
	// readAhead is how many bytes of a body the server may have read with the header.
	readAhead = 4 << 10
)

// Limits are the limits of a server.
type Limits struct {
	// Conns is the number of open connections. Bytes is the memory of all requests that are arriving
	// or being served, without FreeBytes of each.
	Conns int
	Bytes int64
	// Header is the time in which a header has to arrive. Idle is how long a connection may be open
	// without a request.
	Header, Idle time.Duration
	// Stall is how long a body may make no progress, and Write how long a client may read nothing of
	// an answer.
	Stall, Write time.Duration
}

// Times without Limits of their own.
const (
	defaultStall = 30 * time.Second
	defaultWrite = 10 * time.Second
)

// Deps holds what a server depends on.
type Deps struct {
	Handler http.Handler
	// MaxHeader returns the largest header of a request in bytes; at most MaxHeader.
	MaxHeader func() int
	// Name begins the names of the metrics and the log lines.
	Name    string
	Metrics metrics.Registry
	Log     *slog.Logger
	Now     func() time.Time
}

// Server is an HTTP server with limits.
type Server struct {
	deps Deps
	srv  *http.Server
	pool *pool
}

// New returns a server that does not listen yet.
func New(l Limits, d Deps) *Server {
	if l.Stall <= 0 {
		l.Stall = defaultStall
	}
	if l.Write <= 0 {
		l.Write = defaultWrite
	}
	s := &Server{deps: d, pool: newPool(l, d)}
	s.srv = &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: l.Header, IdleTimeout: l.Idle, MaxHeaderBytes: MaxHeader,
		ErrorLog: slog.NewLogLogger(d.Log.Handler(), slog.LevelDebug), ConnState: s.pool.stateChanged,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
	}
	return s
}

type connKey struct{}

// Listen opens a listener whose connections have small receive buffers.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// A system that cannot change the size keeps its own, so the error does not matter.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBuffer)
		})
	}}
	ln, err := lc.Listen(ctx, "tcp", addr.String())
	return ln, errors.Wrapf(err, "listen on %s", addr)
}

// Serve serves the connections of a listener.
func (s *Server) Serve(ln net.Listener) error { return s.srv.Serve(&listener{ln, s.pool}) }

// Shutdown stops the server when its requests are answered.
func (s *Server) Shutdown(ctx context.Context) error { return s.srv.Shutdown(ctx) }

// Close closes the server with all its connections.
func (s *Server) Close() error { return s.srv.Close() }

// Drain closes the connections, each once it has no request that is arriving or being served. It
// returns the number of connections that are left when ctx ends.
func (s *Server) Drain(ctx context.Context) int {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for {
		left := s.pool.closeUnused()
		if left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-poll.C:
		}
	}
}

// drainPoll is the time between two checks of the connections that are being drained.
const drainPoll = 10 * time.Millisecond

// serve passes a request on, and notes when it has arrived and when it has been served.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		s.deps.Handler.ServeHTTP(w, r)
		return
	}
	a := &responder{ResponseWriter: w}
	if r.Body == nil || r.Body == http.NoBody {
		s.pool.arrived(c)
	} else {
		a.body = &body{ReadCloser: r.Body, c: c, large: r.ContentLength < 0 || r.ContentLength > FreeBytes}
		r.Body = a.body
		// The server reads what the handler leaves of a small body.
		_ = a.body.extend()
	}
	if s.pool.heldBy(c) > int64(s.deps.MaxHeader())+readAhead {
		rejectHeader(a)
	} else {
		s.deps.Handler.ServeHTTP(a, r)
	}
	s.pool.served(c)
	if a.closes {
		s.pool.lingerOnClose(c)
	}
}

// rejectHeader answers a request whose header is too large.
func rejectHeader(w http.ResponseWriter) {
	const code = http.StatusRequestHeaderFieldsTooLarge
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", strconv.Itoa(len(http.StatusText(code))))
	w.WriteHeader(code)
	_, _ = io.WriteString(w, http.StatusText(code))
}

// responder writes the answer to a request. An answer that is sent before a large body has arrived does not
// wait for the rest of the body; the connection cannot carry another request then.
type responder struct {
	http.ResponseWriter
	body          *body
	begun, closes bool
}

// WriteHeader writes the header of the answer.
func (a *responder) WriteHeader(code int) {
	if !a.begun && code >= http.StatusOK {
		a.begun = true
		if a.body != nil && a.body.large && !a.body.complete {
			a.closes = true
			a.Header().Set("Connection", "close")
		}
	}
	a.ResponseWriter.WriteHeader(code)
}

// Write writes a part of the answer.
func (a *responder) Write(b []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(b)
}

// Unwrap returns the server's writer, for http.ResponseController.
func (a *responder) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// EvictedError means that a request was ended because the memory for all requests is used up.
type EvictedError struct{ Held int64 }

func (e *EvictedError) Error() string { return "too many large requests are arriving" }

// Timeout reports that the request did not arrive in time for others.
func (e *EvictedError) Timeout() bool { return true }

// Temporary reports that the client may try again.
func (e *EvictedError) Temporary() bool { return true }

// IsStalled reports whether reading a body failed because the body made no progress.
func IsStalled(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
