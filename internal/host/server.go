package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is one HTTP listener of a host.
type server struct {
	*http.Server
	mu     sync.Mutex
	unused map[net.Conn]bool
}

// Limits for a connection from a caller or an operator.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

func (h *Host) serve(ln net.Listener, handler http.Handler) {
	s := &server{unused: map[net.Conn]bool{}}
	s.Server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackState, ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
	h.servers = append(h.servers, s)
	h.wg.Go(func() { _ = s.Serve(ln) })
}

// trackState keeps track of the connections that have not sent anything yet.
func (s *server) trackState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[conn] = true
		return
	}
	delete(s.unused, conn)
}

// stop waits for requests in flight and closes the server. Clients open connections in advance
// and may never use them. The http package waits five seconds for the first request on each, so
// that a stop would take as long without any work to do. Therefore reads on these connections
// are ended at once.
func (s *server) stop(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		for conn := range s.unused {
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		}
		s.mu.Unlock()
		select {
		case err := <-done:
			return err
		case <-t.C:
		}
	}
}
