package dial_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pollencroft/internal/dial"
)

func options(t *testing.T, conn net.Conn) (timeout, idle, interval, count int) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	get := func(opt int) (v int) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			v, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, opt)
		}))
		require.NoError(t, err)
		return v
	}
	return get(unix.TCP_USER_TIMEOUT), get(unix.TCP_KEEPIDLE), get(unix.TCP_KEEPINTVL), get(unix.TCP_KEEPCNT)
}

// A middlebox loses the state of a connection and drops everything sent on it.
// Without the limits on both ends, each request on that connection would wait
// until its deadline.
func TestBothEndsAreBounded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	out, err := dial.New().DialContext(context.Background(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in, err := ln.Accept()
	require.NoError(t, err)
	defer in.Close()
	dial.SetLimits(in)
	for _, conn := range []net.Conn{out, in} {
		timeout, idle, interval, count := options(t, conn)
		require.Equal(t, []int{1000, 1, 1, 2}, []int{timeout, idle, interval, count})
	}
}
