package users

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The operating system assigns ephemeral ports from 32,768 upwards, so ports below are safe to
// reserve. A free port of the ephemeral range could be taken by any connection before the host that
// it is reserved for listens on it, or while that host is down.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var portsTried atomic.Int64

// ErrNoPort reports that no port in the range is free.
var ErrNoPort = errors.New("no port is free")

// FreeAddr returns an address on the loopback interface on which no process listens. It tries the
// ports of the range in turn, so an address is repeated in a process only after the whole range.
func FreeAddr() (netip.AddrPort, error) {
	span := int64(lastPort - firstPort)
	var lc net.ListenConfig
	for range span {
		// Processes start at different ports, so that they rarely choose the same one.
		port := firstPort + (int64(os.Getpid())*97+portsTried.Add(1))%span
		ln, err := lc.Listen(context.Background(), "tcp", net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10)))
		if err != nil {
			continue
		}
		addr, err := netip.ParseAddrPort(ln.Addr().String())
		_ = ln.Close()
		return addr, errors.Wrap(err, "parse listener address")
	}
	return netip.AddrPort{}, ErrNoPort
}
