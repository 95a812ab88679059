package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/call"
	"pollencroft/internal/minion"
)

// maxLostServers is how often a backend server may end under one request. One that crashes its server
// would else crash as many as its row allows tries.
const maxLostServers = 3

// LostError tells that a request was given up because backend servers ended under it.
type LostError struct{ Servers []string }

func (e *LostError) Error() string {
	return fmt.Sprintf("given up: connections to backend servers broke %d times under the request", len(e.Servers))
}

// connectionBroke tells whether a server, or the way to it, ended under a request that was sent.
func connectionBroke(err error) bool {
	var none *minion.NoAnswerError
	return errors.As(err, &none) && !errors.Is(err, context.DeadlineExceeded)
}

// giveUp ends a request under which too many backend servers ended. It may have run.
func (x *Relay) giveUp(req call.Request) call.Reply {
	err := &LostError{Servers: req.Lost}
	metrics.GetOrRegisterCounter("relay.lost", x.Metrics).Inc(1)
	x.Log.Warn("relay: request is given up.", "id", req.ID, "row", req.Row, "servers", err.Servers)
	return call.Unsure(http.StatusBadGateway, err.Error(), time.Second)
}
