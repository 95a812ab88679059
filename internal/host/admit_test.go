package host_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/pkg/client"
)

// Guards against a host that runs out of memory, or that locks urgent work out, when a batch
// sends many large bodies slowly and at the same time. The host must refuse bulk work above its
// budget, which has then not run, and serve a scan that arrives at the same moment.
func TestFloodOfBodiesIsShedByClass(t *testing.T) {
	c := newTestHosts(t, 1)
	c.addBackend(8)
	c.settings[0].Limits.Memory = 4 << 20
	c.startHost(0)
	c.waitReady(0)
	require.NoError(t, c.setRow(0, "scan", map[string]any{"class": "urgent"}))
	require.NoError(t, c.setRow(0, "print", map[string]any{"class": "bulk"}))
	c.waitFor("slots", func() bool { return isServed(c, "scan") })
	addr := c.sockets[0].Caller.Addr().String()
	var writers []*io.PipeWriter
	codes := make(chan int, 8)
	for range 8 {
		r, w := io.Pipe()
		writers = append(writers, w)
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/do/print/x", r)
			req.ContentLength = 1 << 19
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				codes <- 0
				return
			}
			_ = resp.Body.Close()
			require.Equal(t, client.Refused, resp.Header.Get("Pollencroft-Outcome"))
			codes <- resp.StatusCode
		}()
		go func() { _, _ = w.Write([]byte("x")) }()
	}
	c.waitFor("bulk requests are shed", func() bool { return c.hosts[0].Count("host.shed.bulk") >= 7 })
	require.LessOrEqual(t, c.hosts[0].InFlight(), int64(1))
	require.True(t, isServed(c, "scan"))
	for _, w := range writers {
		_ = w.CloseWithError(io.ErrUnexpectedEOF)
	}
	for range 8 {
		<-codes
	}
	c.waitFor("the budget is released", func() bool { return c.hosts[0].InFlight() == 0 })
}

func isServed(c *testHosts, row string) bool {
	reply, err := client.New(addrOf(c.sockets[0].Caller), "", nil).Do(context.Background(),
		client.Request{Workload: row, Method: "POST", Body: bytes.Repeat([]byte("x"), 100), Deadline: 5 * time.Second})
	return err == nil && reply.Outcome == client.Done
}

// Callers open more connections than the host allows. Those above the limit are closed at once,
// so that the callers try other hosts. Those within the limit are served, and when they are
// closed new ones are accepted again.
func TestConnectionsAboveTheBoundAreClosed(t *testing.T) {
	c := newTestHosts(t, 1)
	c.settings[0].Limits.Conns = 4
	c.startHost(0)
	c.waitReady(0)
	var conns []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", c.sockets[0].Caller.Addr().String())
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	c.waitFor("a connection above the limit is closed", func() bool {
		conn, err := net.Dial("tcp", c.sockets[0].Caller.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		_, err = conn.Read(make([]byte, 1))
		return err != nil && c.hosts[0].Count("host.conns.refused") > 0
	})
	_, err := conns[0].Write([]byte("GET /live HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	b := make([]byte, 12)
	_, err = io.ReadFull(conns[0], b)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200", string(b))
	for _, conn := range conns {
		_ = conn.Close()
	}
	c.waitFor("connections are accepted again", func() bool {
		return client.New(addrOf(c.sockets[0].Caller), "", nil).Get(context.Background(), "/live", nil) == nil
	})
}
