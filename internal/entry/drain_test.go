package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowRequest sends the first bytes of a request on an open connection, and the rest after a
// pause, as a caller on a slow link does.
func slowRequest(t *testing.T, conn net.Conn, text string, pause time.Duration) {
	const first = 8
	_, err := io.WriteString(conn, text[:first])
	require.NoError(t, err)
	time.AfterFunc(pause, func() { _, _ = io.WriteString(conn, text[first:]) })
}

// A planned stop that closes a connection on which a request has begun to arrive, so that the
// caller never learns whether its job is stored.
func TestPlannedStopAnswersRequestThatIsArriving(t *testing.T) {
	c := newCluster(t, 3, 4, 50*time.Millisecond)
	f := c.follower()
	addr := f.cfg.Listen.Caller.String()
	text := fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, jobID(1), callerHost)
	require.Equal(t, http.StatusOK, c.submit(f, 1).code)
	var conns []net.Conn
	// Connections that begin a request at different times of the stop. Grace allows for half a
	// second of serving before idle connections are closed.
	for i := range 12 {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		if i%2 == 0 {
			_, err = io.WriteString(conn, text)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
		}
		conns = append(conns, conn)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Stop()
	}()
	for i, conn := range conns {
		time.AfterFunc(time.Duration(i)*30*time.Millisecond+100*time.Millisecond, func() {
			slowRequest(t, conn, text, 500*time.Millisecond)
		})
	}
	for i, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "connection %d", i)
		require.True(t, resp.Close, "the caller is told to use another connection")
		_ = resp.Body.Close()
	}
	<-done
	delete(c.hosts, f.cfg.Name)
	f.Kill()
}

// A host that stops waits for good for callers that keep their connections open and send nothing,
// or only a part of a request.
func TestPlannedStopDoesNotWaitForSilentConnections(t *testing.T) {
	c := newCluster(t, 3, 4, 50*time.Millisecond)
	f := c.follower()
	for _, text := range []string{"", "GET /scan/"} {
		conn, err := net.Dial("tcp", f.cfg.Listen.Caller.String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
	}
	began := time.Now()
	f.Stop()
	require.Less(t, time.Since(began), time.Duration(f.cfg.Times.Grace)+waitTimeout/10)
	delete(c.hosts, f.cfg.Name)
	f.Kill()
}
