package soak_test

import (
	"io"
	"net"
	"net/netip"
	"os"
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
	p := newPeers(func(netip.AddrPort) string { return "h0" })
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

// Guards against cuts that no connection belongs to.
func TestSocketOfAConnectionIsFound(t *testing.T) {
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	var d net.Dialer
	conn, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	addr, err := netip.ParseAddrPort(conn.LocalAddr().String())
	require.NoError(t, err)
	inode := connections()[addr.Port()]
	require.NotEmpty(t, inode)
	require.Contains(t, inodesOf(os.Getpid()), inode)
}
