package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/backend"
	"pollencroft/internal/call"
)

// maxLostServers is how many backend servers may fail under one request. A request that
// crashes its server could otherwise crash one server for each try that its row allows.
const maxLostServers = 3

// LostError reports that a request was given up because connections to too many backend
// servers broke under it.
type LostError struct{ Servers []string }

func (e *LostError) Error() string {
	return fmt.Sprintf("given up: connections to backend servers broke %d times under the request", len(e.Servers))
}

// connectionBroke reports whether the server, or the connection to it, failed under a
// request that was sent.
func connectionBroke(err error) bool {
	var none *backend.NoAnswerError
	return errors.As(err, &none) && !errors.Is(err, context.DeadlineExceeded)
}

// giveUp ends a request under which too many backend servers failed. The request may have
// run.
func (x *Relay) giveUp(req call.Request) call.Reply {
	err := &LostError{Servers: req.Lost}
	metrics.GetOrRegisterCounter("relay.lost", x.Metrics).Inc(1)
	x.Log.Warn("relay: gave up a request, too many backend servers failed under it.", "id", req.ID, "row", req.Row, "servers", err.Servers)
	return call.Unsure(http.StatusBadGateway, err.Error(), time.Second)
}
