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

// Ports that the system gives to nobody by itself begin below 32,768. A port from
// its own range that is free now may be taken by any connection before the host that
// it is meant for listens, or while that one is down.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var portsTried atomic.Int64

// ErrNoPort tells that no port was free.
var ErrNoPort = errors.New("no port is free")

// FreeAddr returns an address on the loopback interface that nobody listens on and
// that was not returned before in this process.
func FreeAddr() (netip.AddrPort, error) {
	span := int64(lastPort - firstPort)
	var lc net.ListenConfig
	for range span {
		// Other processes begin elsewhere.
		port := firstPort + (int64(os.Getpid())*97+portsTried.Add(1))%span
		ln, err := lc.Listen(context.Background(), "tcp", net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10)))
		if err != nil {
			continue
		}
		addr, err := netip.ParseAddrPort(ln.Addr().String())
		_ = ln.Close()
		return addr, errors.Wrap(err, "read own address")
	}
	return netip.AddrPort{}, ErrNoPort
}
