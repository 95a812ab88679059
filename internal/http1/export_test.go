package http1

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Pool gives tests the connections of a server without a server.
type Pool struct {
	*pool
	all []*conn
}

// NewPool returns a pool whose clock is now.
func NewPool(l Limits, now func() time.Time) *Pool {
	return &Pool{pool: newPool(l, Deps{Name: "test", Metrics: metrics.NewRegistry(), Log: slog.New(slog.DiscardHandler), Now: now})}
}

// Open opens a connection and reports whether there was room.
func (p *Pool) Open() bool {
	a, b := net.Pipe()
	_ = b.Close()
	c, closed := p.open(a)
	if closed != nil {
		_ = closed.Close()
	}
	if c != nil {
		p.all = append(p.all, c)
	}
	return c != nil
}

// Do applies the nth kind of event to the ith connection that was opened.
func (p *Pool) Do(event, i, n int) {
	c := p.all[i%len(p.all)]
	switch event {
	case 0:
		_ = p.received(c, n)
	case 1:
		p.arrived(c)
	case 2:
		p.served(c)
	case 3:
		p.stateChanged(c, http.StateIdle)
	case 4:
		p.stateChanged(c, http.StateActive)
	case 5:
		p.stateChanged(c, http.StateClosed)
	case 6:
		p.beginWrite(c)
	case 7:
		p.endWrite(c)
	default:
		p.answered(c)
	}
}

// Events is the number of kinds of events.
const Events = 9

// Held returns what the pool counts, what the connections hold, the same of evicted ones, and the number
// of connections.
func (p *Pool) Held() (used, held, ending, evicted int64, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		held += counted(c.held)
		if c.evicted {
			evicted += counted(c.held)
		}
	}
	return p.used, held, p.ending, evicted, len(p.conns)
}
