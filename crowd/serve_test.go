//go:build crowd

package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

const (
	// serveMiB is the memory of a host that runs pollencroft serve.
	serveMiB = 256
	// serveBody is its largest legal body, and serveCrowd the size of the crowds.
	serveBody  = 1 << 20
	serveCrowd = 600
	// serveConns and serveMemory are the limits in its settings.
	serveConns, serveMemory = 400, 32 << 20
)

// startServe starts a host that serves the product's own interface, with its stand-ins.
func startServe(t *testing.T) *host {
	path, err := binary()
	require.NoError(t, err)
	cell, err := standin.NewCell(standin.Kronach, netip.MustParseAddrPort("127.0.0.1:0"), time.Now)
	require.NoError(t, err)
	t.Cleanup(cell.Close)
	h := &host{caller: freeAddr(t), ready: freeAddr(t), peer: freeAddr(t), exited: make(chan struct{}), memory: serveMiB}
	h.file = filepath.Join(t.TempDir(), "host.toml")
	text := fmt.Sprintf(`name = "nord-1"
domain = "halle-nord"
[listen]
caller = %q
operator = %q
peer = %q
[platform]
address = %q
[operator]
token = "secret"
[limits]
settle = "0s"
conns = %d
memory = %d
`, h.caller, h.ready, h.peer, cell.Address, serveConns, serveMemory)
	require.NoError(t, os.WriteFile(h.file, []byte(text), 0o600))
	h.start(t, exec.Command(path, "serve", "--settings", h.file))
	operator := client.New(h.ready, "secret", nil)
	require.Eventually(t, func() bool {
		return operator.SetRow(t.Context(), "scan", "", map[string]any{"class": "normal"}) == nil
	}, patience, 50*time.Millisecond)
	h.served = h.servesRequest
	require.Eventually(t, func() bool { return h.served(0) }, patience, 50*time.Millisecond)
	h.usage = watch(t, h)
	return h
}

// servesRequest reports whether a backend server answers an ordinary request.
func (h *host) servesRequest(int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := client.New(h.caller, "", oneUse).Do(ctx, client.Request{Workload: "scan", Method: "POST", Path: "/gate", Body: []byte("pass 7")})
	return err == nil && reply.Outcome == client.Done
}

// requireServeHolds checks the same of pollencroft serve as requireHolds.
func requireServeHolds(t *testing.T, do behaviour) {
	h := startServe(t)
	requireProcessHolds(t, h, h.caller, serveCrowd, do)
}

func scan(headers string) []byte {
	return fmt.Appendf(nil, "POST /do/scan/gate HTTP/1.1\r\nHost: x\r\n%s\r\n", headers)
}

var spaces = bytes.Repeat([]byte(" "), serveBody-missing)

// Guards against bodies that stop just short of their end, at the product's own interface.
func TestServeBodiesThatStopShort(t *testing.T) {
	requireServeHolds(t, sends(func(int64) []byte {
		return append(scan(fmt.Sprintf("Content-Length: %d\r\n", serveBody)), spaces...)
	}))
}

// Guards against bodies in chunks of one byte that do not end, at the product's own interface.
func TestServeTinyChunksWithoutEnd(t *testing.T) {
	requireServeHolds(t, sends(func(int64) []byte { return append(scan("Transfer-Encoding: chunked\r\n"), tiny...) }))
}

// Guards against headers that do not end, at the product's own interface.
func TestServeHeadersWithoutEnd(t *testing.T) { requireServeHolds(t, sends(manyHeaders)) }

// Guards against a header whose line does not end, at the product's own interface.
func TestServeHeaderLineWithoutEnd(t *testing.T) { requireServeHolds(t, sends(longHeader)) }

// Guards against whole legal bodies, again and again, at the product's own interface.
func TestServeWholeBodies(t *testing.T) {
	whole := append(append(scan(fmt.Sprintf("Content-Length: %d\r\n", serveBody)), spaces...), spaces[:missing]...)
	requireServeHolds(t, repeats(func(int64) []byte { return whole }))
}

// Guards against connections on which nothing is sent, at the product's own interface.
func TestServeSilentConnections(t *testing.T) { requireServeHolds(t, silent) }

// Guards against silent bodies that keep the memory for others, at the product's own interface.
func TestServeSilentBodies(t *testing.T) {
	requireServeHolds(t, sends(func(int64) []byte { return append(scan(fmt.Sprintf("Content-Length: %d\r\n", serveBody)), ' ') }))
}

// Guards against clients that send requests and read no answers, at the product's own interface.
func TestServeAnswersThatNobodyReads(t *testing.T) {
	requireServeHolds(t, readsNothing(bytes.Repeat(append(scan("Content-Length: 1\r\n"), 'x'), 20_000)))
}
