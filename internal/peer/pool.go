package peer

import (
	"context"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// maxIdle is how many idle goroutines a pool keeps.
const maxIdle = 64

// pool handles requests on goroutines that it uses again. A new goroutine begins with a small stack, and
// growing it costs more than most requests. The zero value is an empty pool.
type pool struct {
	mu sync.Mutex
	// conns is the number of open connections. No goroutine stays idle without one.
	conns int
	// idle are the channels of the goroutines that wait for a request. The last one is used first.
	idle []chan func()
}

// enter and leave begin and end the use of the pool by a connection.
func (p *pool) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns++
}

func (p *pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns--
	if p.conns > 0 {
		return
	}
	for _, next := range p.idle {
		close(next)
	}
	p.idle = nil
}

// run calls f on a goroutine of the pool, a new one if none is idle.
func (p *pool) run(f func()) {
	p.mu.Lock()
	n := len(p.idle) - 1
	if n < 0 {
		p.mu.Unlock()
		go p.work(f)
		return
	}
	next := p.idle[n]
	p.idle = p.idle[:n]
	p.mu.Unlock()
	next <- f
}

func (p *pool) work(f func()) {
	next := make(chan func(), 1)
	for f != nil {
		f()
		if !p.offer(next) {
			return
		}
		f = <-next
	}
}

// offer makes a goroutine idle. It returns false if that is not needed.
func (p *pool) offer(next chan func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == 0 || len(p.idle) >= maxIdle {
		return false
	}
	p.idle = append(p.idle, next)
	return true
}

// pooled is a handler whose requests are handled at the same time, on a pool.
type pooled struct {
	pool    *pool
	handler jsonrpc2.Handler
}

// Handle begins to handle a request.
func (h pooled) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.pool.run(func() { h.handler.Handle(ctx, conn, req) })
}
