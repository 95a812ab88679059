package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/backend"
	"pollencroft/internal/call"
)

// server is a backend server that answers as its script says, over pipes in a
// synctest bubble, where time passes only when all goroutines are blocked.
type server struct {
	mu    sync.Mutex
	seen  []*http.Request
	conns []*discardingConn
	// script writes the answer to the n-th request. If it returns false the
	// server closes the connection.
	script func(w io.Writer, r *http.Request, n int) bool
}

// discardingConn is a connection that discards everything written to it once silent is set.
type discardingConn struct {
	net.Conn
	silent atomic.Bool
}

func (d *discardingConn) Write(b []byte) (int, error) {
	if d.silent.Load() {
		return len(b), nil
	}
	return d.Conn.Write(b)
}

func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	go s.serve(there)
	s.conns = append(s.conns, &discardingConn{Conn: here})
	return s.conns[len(s.conns)-1], nil
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	for br := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(r.Body)
		s.mu.Lock()
		s.seen = append(s.seen, r)
		n := len(s.seen)
		s.mu.Unlock()
		if !s.script(conn, r, n) {
			return
		}
	}
}

const most = 64

func (s *server) client(t *testing.T) *backend.Client {
	tr := backend.NewTransport(s.dial)
	t.Cleanup(tr.CloseIdleConnections)
	return backend.New(tr, most)
}

func do(c *backend.Client, id string, change ...func(r *call.Request)) (backend.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r := call.Request{ID: id, Method: http.MethodPost, Path: "/gate", Body: []byte("pass"), Key: "k"}
	for _, f := range change {
		f(&r)
	}
	return c.Do(ctx, netip.MustParseAddrPort("127.0.0.1:1"), r)
}

// whole writes the complete and correct answer to a request.
func whole(w io.Writer, r *http.Request) bool {
	id := r.Header.Get(backend.HeaderID)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nPollencroft-Request: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	return err == nil
}

// A backend server, or a proxy before it, gives a bad answer: for another
// request, truncated, without a length, or without an id. A visitor must not be
// let in because of the answer to another request, so the client also closes
// the connection and does not reuse it.
func TestBadAnswerIsDroppedWithItsConnection(t *testing.T) {
	const id = "Pollencroft-Request: a\r\n"
	var crossed *backend.CrossedError
	var none *backend.NoAnswerError
	var unlabelled *backend.UnlabelledError
	var unbounded *backend.UnboundedError
	var large *backend.LargeError
	var leaving *backend.LeavingError
	for name, c := range map[string]struct {
		answer string
		hangUp bool
		want   any
	}{
		"crossed":               {"200 OK\r\nPollencroft-Request: b\r\nContent-Length: 4\r\n\r\nbody", false, &crossed},
		"crossed, no body":      {"200 OK\r\nPollencroft-Request: b\r\nContent-Length: 0\r\n\r\n", false, &crossed},
		"short":                 {"200 OK\r\n" + id + "Content-Length: 9\r\n\r\nbody", true, &none},
		"short chunk":           {"200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true, &none},
		"cut in the header":     {"200 OK\r\nPollencroft-Req", true, &none},
		"nothing":               {"", true, &none},
		"no length":             {"200 OK\r\n" + id + "\r\nbody", true, &unbounded},
		"no id":                 {"200 OK\r\nContent-Length: 4\r\n\r\nbody", false, &unlabelled},
		"two ids":               {"200 OK\r\n" + id + id + "Content-Length: 4\r\n\r\nbody", false, &unlabelled},
		"too large":             {"200 OK\r\n" + id + "Content-Length: 65\r\n\r\n" + strings.Repeat("b", most+1), false, &large},
		"leaving":               {"503 Leaving\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true, &leaving},
		"leaving, but kept on":  {"503 Leaving\r\nContent-Length: 0\r\n\r\n", false, &unlabelled},
		"leaving, but to other": {"503 Leaving\r\nPollencroft-Request: b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true, &crossed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{script: func(w io.Writer, r *http.Request, n int) bool {
					if n > 1 {
						return whole(w, r)
					}
					if c.answer != "" {
						_, _ = io.WriteString(w, "HTTP/1.1 "+c.answer)
					}
					return !c.hangUp
				}}
				client := s.client(t)
				_, err := do(client, "a")
				require.Error(t, err)
				require.ErrorAs(t, err, c.want)
				answer, err := do(client, "c")
				require.NoError(t, err)
				require.Equal(t, "c", string(answer.Body))
				require.Len(t, s.conns, 2, "the connection of the bad answer must not be reused")
			})
		})
	}
}

// A backend server answers twice, or late, on a connection that stays open. The
// extra answer must not be returned to the next caller.
func TestDoubledAndLateAnswersReachNobody(t *testing.T) {
	for name, script := range map[string]func(w io.Writer, r *http.Request, n int) bool{
		"doubled at once": func(w io.Writer, r *http.Request, _ int) bool {
			whole(w, r)
			return whole(w, r)
		},
		"late": func(w io.Writer, r *http.Request, n int) bool {
			if n%2 == 1 {
				time.Sleep(3 * time.Second)
			}
			return whole(w, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{script: script}
				client := s.client(t)
				own := 0
				for i := range 20 {
					id := fmt.Sprintf("r%d", i)
					answer, err := do(client, id)
					if err == nil {
						require.Equal(t, id, string(answer.Body))
						own++
					}
				}
				require.GreaterOrEqual(t, own, 10)
				time.Sleep(time.Minute)
			})
		})
	}
}

// A backend server closes a reused connection after it has read a request. The
// standard library would resend some requests automatically, and a scan would
// use up a pass twice.
func TestTransportNeverSendsTwice(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS"} {
		for _, body := range []string{"", "pass"} {
			for _, key := range []string{"", "k"} {
				synctest.Test(t, func(t *testing.T) {
					s := &server{script: func(w io.Writer, r *http.Request, n int) bool {
						return n == 1 && whole(w, r)
					}}
					client := s.client(t)
					_, err := do(client, "a")
					require.NoError(t, err)
					_, err = do(client, "b", func(r *call.Request) { r.Method, r.Body, r.Key = method, []byte(body), key })
					var none *backend.NoAnswerError
					require.ErrorAs(t, err, &none, "%s %q %q", method, body, key)
					require.Len(t, s.seen, 2, "%s %q %q", method, body, key)
				})
			}
		}
	}
}

// An idle connection stops delivering data without being closed. The next caller
// must not be delayed: a connection that was idle for a second is not reused.
func TestIdleConnectionThatWentSilentIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: func(w io.Writer, r *http.Request, _ int) bool { return whole(w, r) }}
		client := s.client(t)
		_, err := do(client, "a")
		require.NoError(t, err)
		s.conns[0].silent.Store(true)
		time.Sleep(1100 * time.Millisecond)
		began := time.Now()
		_, err = do(client, "b")
		require.NoError(t, err)
		require.Zero(t, time.Since(began))
	})
}

// A connection stops delivering data before a request is written to it. The
// request fails without an answer at its deadline, and the next request uses a
// new connection.
func TestSilentConnectionUnderARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: func(w io.Writer, r *http.Request, _ int) bool { return whole(w, r) }}
		client := s.client(t)
		_, err := do(client, "a")
		require.NoError(t, err)
		s.conns[0].silent.Store(true)
		began := time.Now()
		_, err = do(client, "b")
		require.Equal(t, 2*time.Second, time.Since(began))
		var none *backend.NoAnswerError
		require.ErrorAs(t, err, &none)
		answer, err := do(client, "c")
		require.NoError(t, err)
		require.Equal(t, "c", string(answer.Body))
	})
}

// Complete answers of every form are returned whole over one connection, and the
// server is told the time left until the deadline.
func TestWholeAnswersAndTheTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bodies := []string{"", strings.Repeat("b", most)}
		s := &server{script: func(w io.Writer, r *http.Request, n int) bool {
			length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(bodies[n%2]), bodies[n%2])
			if n > 2 {
				length = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
			}
			if r.Method == http.MethodHead {
				length = "\r\n"
			}
			_, err := fmt.Fprintf(w, "HTTP/1.1 201 OK\r\nPollencroft-Request: %s\r\n%s", r.Header.Get(backend.HeaderID), length)
			return err == nil
		}}
		client := s.client(t)
		for _, want := range []string{bodies[1], bodies[0], "body"} {
			answer, err := do(client, "a")
			require.NoError(t, err)
			require.Equal(t, want, string(answer.Body))
			require.Equal(t, 201, answer.Status)
		}
		_, err := do(client, "a", func(r *call.Request) { r.Method, r.Body = http.MethodHead, nil })
		require.NoError(t, err)
		require.Equal(t, "2s", s.seen[0].Header.Get(backend.HeaderDeadline))
		require.Len(t, s.conns, 1)
	})
}
