package soak_test

import (
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against cuts between hosts that let something pass, or that last.
func TestCutLinkLetsNothingPass(t *testing.T) {
	var lc net.ListenConfig
	up, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer up.Close()
	go func() {
		for {
			conn, err := up.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	p := newPeers(func(way) string { return "h0" })
	defer close(p.closed)
	go p.listen(ln, "h1", up.Addr().String())
	dial := func() net.Conn {
		var d net.Dialer
		conn, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	answers := func(conn net.Conn) bool {
		_, err := conn.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		_, err = conn.Read(make([]byte, 1))
		return err == nil
	}
	old := dial()
	require.True(t, answers(old))
	p.add([]link{{"h1", "h0"}}, 1)
	require.True(t, answers(old), "the other way of connections is not cut")
	p.add([]link{{"h0", "h1"}}, 1)
	require.False(t, answers(old))
	require.False(t, answers(dial()))
	p.add([]link{{"h0", "h1"}}, -1)
	require.True(t, answers(dial()))
	require.True(t, answers(old))
}

// Guards against cuts that no connection belongs to, or another one of the same local port.
func TestSocketOfAConnectionIsFound(t *testing.T) {
	reuse := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
	}
	// All connections have the same local port.
	d := net.Dialer{Control: reuse, LocalAddr: net.TCPAddrFromAddrPort(freeAddr(t))}
	inodes := map[string]bool{}
	for range 3 {
		var lc net.ListenConfig
		ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		conn, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		from, err := netip.ParseAddrPort(conn.LocalAddr().String())
		require.NoError(t, err)
		to, err := netip.ParseAddrPort(conn.RemoteAddr().String())
		require.NoError(t, err)
		inode := connections()[way{from.Port(), to.Port()}]
		require.NotEmpty(t, inode)
		require.Contains(t, inodesOf(os.Getpid()), inode)
		inodes[inode] = true
	}
	require.Len(t, inodes, 3)
}
