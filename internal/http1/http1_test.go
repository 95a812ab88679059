package http1_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/http1"
)

const (
	// testTimeout is how long a test waits for what has to happen.
	testTimeout = 10 * time.Second
	maxBody     = 256 << 10
)

// server is a server whose handler answers with the length of the body.
type server struct {
	t         *testing.T
	addr      string
	metrics   metrics.Registry
	maxHeader atomic.Int64
	// block keeps requests for /wait from being answered until it is closed.
	block chan struct{}
	// stalled counts the bodies that made no progress, handling the requests that are being served.
	stalled, handling atomic.Int64
}

func newServer(t *testing.T, l http1.Limits) *server {
	s := &server{t: t, metrics: metrics.NewRegistry(), block: make(chan struct{})}
	s.maxHeader.Store(http1.MaxHeader)
	ln, err := http1.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	s.addr = ln.Addr().String()
	if l.Conns == 0 {
		l.Conns = 100
	}
	if l.Bytes == 0 {
		l.Bytes = 8 << 20
	}
	l.Header, l.Idle = testTimeout, testTimeout
	srv := http1.New(l, http1.Deps{
		Handler: http.HandlerFunc(s.answer), MaxHeader: func() int { return int(s.maxHeader.Load()) },
		Name: "test", Metrics: s.metrics, Log: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return s
}

func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	s.handling.Add(1)
	defer s.handling.Add(-1)
	if r.URL.Path == "/wait" {
		<-s.block
	}
	b, err := http1.ReadBody(r, maxBody)
	var large *http1.TooLargeError
	var evicted *http1.EvictedError
	switch {
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.As(err, &evicted):
		w.WriteHeader(http.StatusServiceUnavailable)
	case http1.IsStalled(err):
		s.stalled.Add(1)
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		defer b.Release()
		_, _ = fmt.Fprintf(w, "%d %t", b.Len(), bytes.Equal(b.Append(nil), text(b.Len())))
	}
}

// text returns the first bytes of a body whose parts all differ.
func text(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		_, _ = fmt.Fprintf(&b, "%d,", i)
	}
	return b.Bytes()[:n]
}

func (s *server) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.metrics).Count()
}

// conns returns the number of open connections.
func (s *server) conns() int64 { return metrics.GetOrRegisterGauge("test.conns", s.metrics).Value() }

func (s *server) dial() net.Conn {
	conn, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	return conn
}

// send opens a connection and sends text on it.
func (s *server) send(text string) net.Conn {
	conn := s.dial()
	_, err := io.WriteString(conn, text)
	require.NoError(s.t, err)
	return conn
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", path, length)
}

// requireAnswer requires an answer with the given code and body.
func requireAnswer(t *testing.T, conn net.Conn, code int, body string) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, code, resp.StatusCode)
	if body != "" {
		require.Equal(t, body, string(b))
	}
}

// requireClosed requires that the server closes a connection without an answer.
func requireClosed(t *testing.T, conn net.Conn) {
	n, err := conn.Read(make([]byte, 1))
	require.Zero(t, n)
	require.Error(t, err)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection is open")
}

// Guards against bodies that come out changed or are rejected because of how they are cut.
func TestLegalBodiesAreReadHoweverTheyAreCut(t *testing.T) {
	s := newServer(t, http1.Limits{})
	for _, n := range []int{1, http1.FreeBytes, http1.FreeBytes + 1, maxBody} {
		want := fmt.Sprintf("%d true", n)
		requireAnswer(t, s.send(post("/", n)+string(text(n))), http.StatusOK, want)
		for _, size := range []int{1, 700, n} {
			var b strings.Builder
			b.WriteString("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
			for rest := text(n); len(rest) > 0; {
				k := min(len(rest), size)
				_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", k, rest[:k])
				rest = rest[k:]
			}
			b.WriteString("0\r\n\r\n")
			requireAnswer(t, s.send(b.String()), http.StatusOK, want)
		}
	}
}

// Guards against a body above the limit that is read before it is rejected.
func TestDeclaredLengthAboveLimitIsRejectedAtOnce(t *testing.T) {
	s := newServer(t, http1.Limits{})
	requireAnswer(t, s.send(post("/", maxBody+1)), http.StatusRequestEntityTooLarge, "")
}

// Guards against large bodies that stall and keep others from being served.
func TestLargeBodyThatStallsMakesRoomForOthers(t *testing.T) {
	const whole, others = maxBody, 5
	s := newServer(t, http1.Limits{Bytes: 2 * maxBody})
	for range others {
		s.send(post("/", whole) + string(text(whole-1)))
	}
	require.Eventually(t, func() bool { return s.count("test.evicted") >= others-2 }, testTimeout, time.Millisecond)
	requireAnswer(t, s.send(post("/", whole)+string(text(whole))), http.StatusOK, fmt.Sprintf("%d true", whole))
}

// Guards against a full memory that keeps small requests from being served.
func TestSmallRequestsAreServedWhileTheMemoryIsFull(t *testing.T) {
	s := newServer(t, http1.Limits{Bytes: 1})
	const n = http1.FreeBytes / 2
	waiting := s.send(post("/", n) + string(text(n-1)))
	requireAnswer(t, s.send(post("/", maxBody)+string(text(maxBody/2))), http.StatusServiceUnavailable, "")
	_, err := waiting.Write(text(n)[n-1:])
	require.NoError(t, err)
	requireAnswer(t, waiting, http.StatusOK, fmt.Sprintf("%d true", n))
}

// Guards against memory that stays taken when requests have ended in any way.
func TestMemoryIsAvailableAgainAfterEachRequest(t *testing.T) {
	s := newServer(t, http1.Limits{Bytes: maxBody})
	for range 8 {
		kept := s.send(post("/", maxBody) + string(text(maxBody)))
		requireAnswer(t, kept, http.StatusOK, fmt.Sprintf("%d true", maxBody))
		gone := s.send(post("/", maxBody) + string(text(maxBody/2)))
		require.NoError(t, gone.Close())
		requireAnswer(t, s.send(post("/", maxBody+1)), http.StatusRequestEntityTooLarge, "")
		require.Eventually(t, func() bool { return s.handling.Load() == 0 }, testTimeout, time.Millisecond)
	}
	require.Zero(t, s.count("test.evicted"))
}

// Guards against connections without a request that keep new ones from being accepted.
func TestNewConnectionReplacesTheOneWithoutProgress(t *testing.T) {
	s := newServer(t, http1.Limits{Conns: 3})
	first := s.dial()
	for range 2 {
		s.dial()
	}
	require.Eventually(t, func() bool { return s.conns() == 3 }, testTimeout, time.Millisecond)
	requireAnswer(t, s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), http.StatusOK, "")
	requireClosed(t, first)
	require.Equal(t, int64(1), s.count("test.evicted"))
}

// Guards against a connection that is closed while its request is being served.
func TestConnectionsBeingServedAreNotReplaced(t *testing.T) {
	s := newServer(t, http1.Limits{Conns: 2})
	waiting := []net.Conn{s.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"), s.send(post("/wait", 2) + "0,")}
	require.Eventually(t, func() bool { return s.handling.Load() == 2 }, testTimeout, time.Millisecond)
	// The body of the second one has not been read, so its request is not complete for the server.
	requireAnswer(t, s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), http.StatusOK, "")
	requireClosed(t, waiting[1])
	close(s.block)
	requireAnswer(t, waiting[0], http.StatusOK, "")
}

// Guards against closing a connection while its second request is being served, which was read together
// with the first.
func TestConnectionWithRequestsInARowIsNotReplaced(t *testing.T) {
	s := newServer(t, http1.Limits{Conns: 1})
	conn := s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.handling.Load() == 1 }, testTimeout, time.Millisecond)
	requireClosed(t, s.dial())
	close(s.block)
	resp, err = http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against newcomers that wait for good while all connections are being served.
func TestConnectionIsRefusedWhileAllOthersAreBeingServed(t *testing.T) {
	s := newServer(t, http1.Limits{Conns: 2})
	var waiting []net.Conn
	for range 2 {
		waiting = append(waiting, s.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"))
	}
	require.Eventually(t, func() bool { return s.handling.Load() == 2 }, testTimeout, time.Millisecond)
	requireClosed(t, s.dial())
	require.Equal(t, int64(1), s.count("test.conns.refused"))
	close(s.block)
	for _, conn := range waiting {
		requireAnswer(t, conn, http.StatusOK, "")
	}
	requireAnswer(t, s.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), http.StatusOK, "")
}

// Guards against headers above the limit that is in force, and against a limit that stays in force
// after it was changed.
func TestHeaderAboveLimitIsRejected(t *testing.T) {
	s := newServer(t, http1.Limits{})
	request := "GET / HTTP/1.1\r\nHost: x\r\nX-Filler: " + strings.Repeat("a", 20<<10) + "\r\n\r\n"
	requireAnswer(t, s.send(request), http.StatusOK, "")
	s.maxHeader.Store(8 << 10)
	requireAnswer(t, s.send(request), http.StatusRequestHeaderFieldsTooLarge, "")
	s.maxHeader.Store(http1.MaxHeader)
	requireAnswer(t, s.send(request), http.StatusOK, "")
}

// Guards against a body that holds memory for good by a byte now and then, and against ending one
// that is slow but makes progress.
func TestBodyWithoutProgressEnds(t *testing.T) {
	const stall = 400 * time.Millisecond
	s := newServer(t, http1.Limits{Stall: stall})
	slow, drip := s.send(post("/", 64<<10)), s.send(post("/", 64<<10))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 100 {
			if _, err := drip.Write([]byte("0")); err != nil {
				return
			}
			time.Sleep(stall / 10)
		}
	}()
	for rest := text(64 << 10); len(rest) > 0; rest = rest[4<<10:] {
		_, err := slow.Write(rest[:4<<10])
		require.NoError(t, err)
		time.Sleep(stall / 8)
	}
	requireAnswer(t, slow, http.StatusOK, fmt.Sprintf("%d true", 64<<10))
	requireAnswer(t, drip, http.StatusRequestTimeout, "")
	require.Equal(t, int64(1), s.stalled.Load())
	_ = drip.Close()
	<-ended
}

// Guards against answers that nobody reads and that keep their connections for good.
func TestAnswerThatNobodyReadsEnds(t *testing.T) {
	s := newServer(t, http1.Limits{Write: 50 * time.Millisecond})
	conn := s.dial()
	go func() {
		for range 1 << 20 {
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				return
			}
		}
	}()
	require.Eventually(t, func() bool {
		return s.conns() == 1
	}, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		return s.conns() == 0
	}, testTimeout, time.Millisecond)
}

// Guards against a refusal that is reset before its client reads it, because the client is still
// sending.
func TestRefusalReachesClientThatIsSending(t *testing.T) {
	s := newServer(t, http1.Limits{})
	for range 20 {
		requireAnswer(t, s.send(post("/", maxBody+1)+string(text(32<<10))), http.StatusRequestEntityTooLarge, "")
	}
}

// Guards against a body that is sent although the request is rejected without it.
func TestNoContinueForBodyAboveLimit(t *testing.T) {
	s := newServer(t, http1.Limits{})
	head := "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n"
	requireAnswer(t, s.send(fmt.Sprintf(head, maxBody+1)), http.StatusRequestEntityTooLarge, "")
	conn := s.send(fmt.Sprintf(head, 2))
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
}

// Guards against requests that are lost when they are sent in a row on one connection.
func TestRequestsInARowAreAnsweredInOrder(t *testing.T) {
	s := newServer(t, http1.Limits{Bytes: maxBody})
	var all strings.Builder
	for n := 1; n <= 40; n++ {
		all.WriteString(post("/", n*100) + string(text(n*100)))
	}
	conn := s.send(all.String())
	r := bufio.NewReader(conn)
	for n := 1; n <= 40; n++ {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("%d true", n*100), string(b))
	}
}
