// Package dial opens TCP connections that soon fail if the other end no longer
// knows them.
//
// A middlebox between the two ends may drop a connection's state without a
// reset. Data written to the connection is then never acknowledged, and without
// a limit the operating system retransmits for a quarter of an hour: requests
// hang on the old connection while those on new connections succeed. With the
// limits set here such a connection fails in about AckTimeout, whether it is idle or not.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Time limits of a connection.
const (
	// Timeout is how long opening a connection may take.
	Timeout = 500 * time.Millisecond
	// AckTimeout is how long sent data may stay unacknowledged before the connection fails.
	AckTimeout = time.Second
	// ProbeInterval is how long a connection is idle before it is probed, and the time
	// between probes.
	ProbeInterval = time.Second
	// probes is how many probes may go unanswered before the connection is closed.
	probes = 2
)

// New returns a dialer that sets the limits on its connections.
func New() *net.Dialer {
	return &net.Dialer{
		Timeout:         Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: ProbeInterval, Interval: ProbeInterval, Count: probes},
		Control:         setLimits,
	}
}

func setLimits(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) { err = setUserTimeout(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}

func setUserTimeout(fd int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(AckTimeout.Milliseconds()))
}

// SetLimits sets the limits on an accepted connection.
func SetLimits(conn net.Conn) {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = outer.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(New().KeepAliveConfig)
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setLimits("", "", raw)
	}
}
