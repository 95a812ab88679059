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

// Bounds of a connection from a caller or an operator.
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

// trackState remembers connections that have not sent anything yet.
func (s *server) trackState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[conn] = true
		return
	}
	delete(s.unused, conn)
}

// stop ends what is in flight. Clients open connections ahead and may never use
// them; the library waits five seconds for a first request on each, and a stop
// would take that long with nothing to do. Reading on them ends at once instead.
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
