package host_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/host"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/platform"
	"pollencroft/internal/settings"
	"pollencroft/internal/standin"
)

// unavailableLog is a log that refuses every request.
type unavailableLog struct{}

// RoundTrip answers with status 503.
func (unavailableLog) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
}

// Guards against a job that runs after its caller was told that it was not accepted and never
// runs. The log is down, a peer remembers the job instead, and the peer's answer is lost. The
// peer writes the job to the log later.
func TestAJobThatAPeerMayRememberIsNotReportedAsNotRun(t *testing.T) {
	addr := func(i int) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1) }
	for name, tc := range map[string]struct {
		answer    peer.Handler
		notStored bool
	}{
		"its answer is lost": {func(ctx context.Context, _ peer.Message) (any, error) { <-ctx.Done(); return nil, ctx.Err() }, false},
		"it refuses":         {func(context.Context, peer.Message) (any, error) { return nil, &peer.RefusedError{Name: "nord-1"} }, true},
		"it is not there":    {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				var net standin.Pipes
				cfg := settings.Settings{Name: "nord-0", Domain: "nord", Limits: settings.Limits{Body: 1 << 20, Queue: 64, Deadline: time.Minute, DrainTimeout: testTimeout}}
				for i := 1; i <= 2; i++ {
					cfg.Peers = append(cfg.Peers, settings.Peer{Name: fmt.Sprint("nord-", i), Domain: "nord", Address: addr(i)})
				}
				h := host.New(cfg, slog.New(slog.DiscardHandler), time.Now)
				defer h.Kill()
				h.ConnectPeers(net.Listen(addr(0)), net.Dial)
				h.KeepJobs(unavailableLog{})
				if tc.answer != nil {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					ln := net.Listen(addr(1))
					go peer.NewServer(tc.answer).Serve(ctx, ln)
				}
				h.HandleHeartbeat(member.Heartbeat{Name: "nord-1", Incarnation: 1, Ack: true})
				err := h.KeepJob(t.Context(), "nord.r1.1")
				require.Error(t, err)
				require.Equal(t, tc.notStored, isNotWritten(err), "%v", err)
			})
		})
	}
}

func isNotWritten(err error) bool {
	var not *platform.NotWrittenError
	return errors.As(err, &not)
}
