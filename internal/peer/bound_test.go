package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// A peer, or anybody who can reach the port, announces a message of a terabyte or sends something
// that is not a message. The connection is closed and the message counted before memory is
// allocated. Other peers are still answered.
func TestOversizedAndBrokenMessagesCloseTheConnection(t *testing.T) {
	var size, broken atomic.Int64
	s := NewServer(func(context.Context, Message) (any, error) { return TableReply{}, nil })
	s.OnRejected(func(reason string) {
		if reason == "size" {
			size.Add(1)
		} else {
			broken.Add(1)
		}
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Serve(ctx, ln)
	for _, text := range [][]byte{binary.AppendUvarint(nil, 1<<40), []byte("\x05GET / HTTP")} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write(text)
		require.NoError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = conn.Read(make([]byte, 1))
		var late net.Error
		require.Error(t, err)
		require.False(t, errors.As(err, &late) && late.Timeout(), "the connection must be closed")
	}
	require.Equal(t, int64(1), size.Load())
	require.Equal(t, int64(1), broken.Load())
	c := NewClients(map[string]netip.AddrPort{"a": netip.MustParseAddrPort(ln.Addr().String())})
	defer c.Close()
	require.NoError(t, c.Ask(ctx, "a", AskTable{}, nil))
}

// A peer begins a message and sends one byte a second forever. Waiting for the end of the message
// would occupy the connection, and the memory of what was read, forever. The read fails after ten
// seconds.
func TestNeverEndingMessageIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		counted := 0
		codec := boundedCodec{conn: ours, count: func(string) { counted++ }}
		done := make(chan error, 1)
		began := time.Now()
		go func() {
			var v any
			done <- codec.ReadObject(bufio.NewReader(ours), &v)
		}()
		var wg sync.WaitGroup
		wg.Go(func() {
			_, _ = theirs.Write(append(binary.AppendUvarint(nil, 1000), '"'))
			for {
				time.Sleep(time.Second)
				if _, err := theirs.Write([]byte("x")); err != nil {
					return
				}
			}
		})
		require.ErrorIs(t, <-done, os.ErrDeadlineExceeded)
		require.Equal(t, messageTimeout, time.Since(began))
		require.Equal(t, 1, counted)
		require.NoError(t, theirs.Close())
		require.NoError(t, ours.Close())
		wg.Wait()
	})
}
