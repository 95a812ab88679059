//go:build crowd

package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crowdSize is how many clients most crowds have, and stay how long they misbehave.
	crowdSize = 900
	stay      = 6 * time.Second
	// returnAfter is how long a client waits that was refused.
	returnAfter = 500 * time.Millisecond
	// pieceSize is the size of the pieces of what is sent piece by piece, piecePause the time between
	// two of them.
	pieceSize  = 8 << 10
	piecePause = 10 * time.Millisecond
)

// behaviour is what a client does on a connection. It returns when the connection is of no use any
// more, at the latest when the connection is closed.
type behaviour func(conn net.Conn, n int64)

// clients are a crowd of clients of one kind.
type clients struct {
	done  chan struct{}
	stop  sync.Once
	wg    sync.WaitGroup
	opens atomic.Int64
}

// gather starts a crowd. Each client opens a connection, and another one when that has ended.
func gather(t *testing.T, size int, addr netip.AddrPort, do behaviour) *clients {
	c := &clients{done: make(chan struct{})}
	for range size {
		c.wg.Go(func() {
			for c.once(addr, do) {
			}
		})
	}
	t.Cleanup(c.leave)
	return c
}

// once uses one connection. It returns false when the crowd leaves.
func (c *clients) once(addr netip.AddrPort, do behaviour) bool {
	var d net.Dialer
	conn, err := d.Dial("tcp", addr.String())
	if err == nil {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			do(conn, c.opens.Add(1))
		}()
		select {
		case <-ended:
		case <-c.done:
		}
		// A reset leaves no address behind that can't be used for a while.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		<-ended
	}
	select {
	case <-c.done:
		return false
	case <-time.After(returnAfter):
		return true
	}
}

// leave ends the crowd.
func (c *clients) leave() {
	c.stop.Do(func() { close(c.done) })
	c.wg.Wait()
}

// untilClosed waits until the other end closes the connection.
func untilClosed(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// sends returns clients that send the given text and then keep the connection open.
func sends(text func(n int64) []byte) behaviour {
	return func(conn net.Conn, n int64) {
		if _, err := conn.Write(text(n)); err == nil {
			untilClosed(conn)
		}
	}
}

// sendsInPieces is like sends, but sends piece by piece.
func sendsInPieces(text func(n int64) []byte) behaviour {
	return func(conn net.Conn, n int64) {
		b := text(n)
		for len(b) > 0 {
			k := min(len(b), pieceSize)
			if _, err := conn.Write(b[:k]); err != nil {
				return
			}
			b = b[k:]
			time.Sleep(piecePause)
		}
		untilClosed(conn)
	}
}

// repeats returns clients that send the given text again and again, and read the answers.
func repeats(text func(n int64) []byte) behaviour {
	return func(conn net.Conn, n int64) {
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { untilClosed(conn) })
		for i := int64(0); ; i++ {
			if _, err := conn.Write(text(n<<20 + i)); err != nil {
				return
			}
		}
	}
}

// silent is a client that sends nothing.
func silent(conn net.Conn, _ int64) { untilClosed(conn) }

// readsNothing returns clients that send a text and read no answer.
func readsNothing(text []byte) behaviour {
	return func(conn net.Conn, _ int64) {
		_, _ = conn.Write(text)
		// Reads would make room for answers.
		time.Sleep(stay)
	}
}

// abandons returns clients that send a text and reset the connection soon after.
func abandons(text func(n int64) []byte) behaviour {
	return func(conn net.Conn, n int64) {
		_, _ = conn.Write(text(n))
		time.Sleep(2 * piecePause)
	}
}

func post(n int64, headers string) []byte {
	return fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n", prefix, n, callerHost, headers)
}

// missing is how many bytes a body lacks that stops short of its end.
const missing = 100

// shortBody is a request whose body of legal size stops just short of its end.
func shortBody(n int64) []byte {
	return append(post(n, fmt.Sprintf("Content-Length: %d\r\n", maxBody)), filler[:maxBody-missing]...)
}

// shortChunk is like shortBody, with a body in one chunk.
func shortChunk(n int64) []byte {
	b := fmt.Appendf(post(n, "Transfer-Encoding: chunked\r\n"), "%x\r\n", maxBody)
	return append(b, filler[:maxBody-missing]...)
}

// tinyChunks is a request with a body in chunks of one byte, without its end.
func tinyChunks(n int64) []byte { return append(post(n, "Transfer-Encoding: chunked\r\n"), tiny...) }

var (
	filler = bytes.Repeat([]byte(" "), maxBody)
	tiny   = bytes.Repeat([]byte("1\r\n \r\n"), 120_000)
	// headers are 0.9 MB of headers.
	headers = bytes.Repeat(append(append([]byte("X-Filler: "), filler[:80]...), "x\r\n"...), 9_600)
	// line is a line of 4 MB.
	line = bytes.Repeat([]byte("a"), 4_000_000)
)

func manyHeaders(n int64) []byte {
	return append(fmt.Appendf(nil, "GET %s%016x HTTP/1.1\r\nHost: %s\r\n", prefix, n, callerHost), headers...)
}

func longHeader(n int64) []byte {
	return append(fmt.Appendf(nil, "GET %s%016x HTTP/1.1\r\nHost: %s\r\nX-Filler: ", prefix, n, callerHost), line...)
}

func longRequestLine(int64) []byte { return append([]byte("GET "+prefix), line...) }

// emptyLines are empty lines without end before a request.
func emptyLines(int64) []byte { return bytes.Repeat([]byte("\r\n"), 400_000) }

// emptyLinesAfterRequest are empty lines without end after a request that was complete.
func emptyLinesAfterRequest(n int64) []byte {
	b := append(post(n, "Content-Length: 2\r\n"), "{}"...)
	return append(b, emptyLines(n)...)
}

// whole returns a complete request with a body.
func whole(n int64, body []byte) []byte {
	return append(post(n, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body...)
}

// jobOf returns a body with the given steps, filled up to the largest legal size.
func jobOf(steps []byte) []byte {
	b := fmt.Appendf(nil, `{"spec":"s","steps":[%s]}`, steps)
	return append(b, filler[:maxBody-len(b)]...)
}

var (
	// manySteps is a legal body with 21,000 steps.
	manySteps = jobOf(bytes.TrimSuffix(bytes.Repeat([]byte(`{"count":1},`), 21_000), []byte(",")))
	// longSteps is a legal body whose steps name a long image.
	longSteps = jobOf(bytes.TrimSuffix(bytes.Repeat(fmt.Appendf(nil, `{"count":1,"cpu":500,"memMb":256,"image":%q},`, bytes.Repeat([]byte("i"), 4000)), 60), []byte(",")))
	// manyTasks is a small legal body with 9,000 tasks.
	manyTasks = []byte(`{"spec":"s","steps":[{"count":9000,"cpu":500,"memMb":256,"estimateMs":100}]}`)
	// manyRounds is a small legal body of a job whose repetitions are all due.
	manyRounds = []byte(`{"spec":"s","steps":[{"count":100,"cpu":500,"memMb":256,"estimateMs":100}],"repeatCount":1000000000,"firstMs":1000,"intervalMs":1}`)
	// escaped is a legal body whose text takes six times its size when it is encoded for the web.
	escaped = jobOf(fmt.Appendf(nil, `{"count":1,"cpu":500,"memMb":256,"image":%q}`, bytes.Repeat([]byte("<"), maxBody-100)))
	// manyNumbers is a legal body whose last step lists 125,000 earlier steps.
	manyNumbers = jobOf(append(append([]byte(`{"count":1},{"count":1,"after":[0`), bytes.Repeat([]byte(",0"), 125_000)...), "]}"...))
)

// questions are 20,000 requests in a row.
var questions = bytes.Repeat(fmt.Appendf(nil, "GET %s%016x HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, 0, callerHost), 20_000)
