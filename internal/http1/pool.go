package http1

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// progressStep is how many bytes count as progress. A client that sends a byte now and then makes none.
const progressStep = 4 << 10

// pool holds the open connections and what their requests take. It is safe for concurrent use.
type pool struct {
	limits Limits
	Deps
	refused, evictions metrics.Counter
	gauge              metrics.Gauge

	mu    sync.Mutex
	conns map[*conn]struct{}
	// used is what counts towards Limits.Bytes, ending the part of it that evicted requests hold.
	used, ending int64
}

func newPool(l Limits, d Deps) *pool {
	return &pool{
		limits: l, Deps: d, conns: map[*conn]struct{}{},
		refused:   metrics.GetOrRegisterCounter(d.Name+".conns.refused", d.Metrics),
		evictions: metrics.GetOrRegisterCounter(d.Name+".evicted", d.Metrics),
		gauge:     metrics.GetOrRegisterGauge(d.Name+".conns", d.Metrics),
	}
}

// counted returns how much of a request counts towards Limits.Bytes.
func counted(held int64) int64 { return max(held-FreeBytes, 0) }

// open adds a connection. If there is no room, it returns the connection to close for it, and no
// connection if all others are being served.
func (p *pool) open(raw net.Conn) (added, toClose *conn) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.limits.Conns {
		toClose = slowest(p.conns, now)
		if toClose == nil {
			p.refused.Inc(1)
			p.Log.Info(p.Name+": refused a connection, all others are being served.", "connections", len(p.conns))
			return nil, nil
		}
		p.evictions.Inc(1)
		p.Log.Info(p.Name+": closed a connection to accept another one.", "connections", len(p.conns), "idle", now.Sub(toClose.progressAt), "held", toClose.held)
		p.remove(toClose)
	}
	c := &conn{Conn: raw, pool: p, state: life.Start(), progressAt: now}
	p.conns[c] = struct{}{}
	p.gauge.Update(int64(len(p.conns)))
	return c, toClose
}

// received notes that bytes of a request have arrived. If the memory for all requests is used up, it
// ends the requests that hold most of it for longest without progress; it returns an error if that is
// the connection's own.
func (p *pool) received(c *conn, n int) error {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.unanswered = true
	if c.evicted || c.state == closed {
		return &EvictedError{Held: c.held}
	}
	if c.state == waiting {
		c.apply(begin)
		c.progressAt = now
	}
	if (c.held+int64(n))/progressStep > c.held/progressStep {
		c.progressAt = now
	}
	p.used += counted(c.held+int64(n)) - counted(c.held)
	c.held += int64(n)
	for !c.evicted && p.used-p.ending > p.limits.Bytes {
		v := heaviest(p.conns, now)
		// Requests that were ended hold their memory until their handlers return.
		if v == nil || p.ending > p.limits.Bytes/2 {
			v = c
		}
		p.evict(v, now)
	}
	if c.evicted {
		return &EvictedError{Held: c.held}
	}
	return nil
}

// evict ends a request. mu is held.
func (p *pool) evict(c *conn, now time.Time) {
	c.evicted = true
	p.ending += counted(c.held)
	p.evictions.Inc(1)
	p.Log.Info(p.Name+": ended a request, too many large ones are arriving.", "held", c.held, "idle", now.Sub(c.progressAt), "all", p.used)
	_ = c.Conn.SetReadDeadline(farPast)
}

// evicted returns the error of a request that was ended; nil if it was not.
func (p *pool) evicted(c *conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.evicted {
		return nil
	}
	return &EvictedError{Held: c.held}
}

// release makes the memory of a request available to others. mu is held.
func (p *pool) release(c *conn) {
	p.used -= counted(c.held)
	if c.evicted {
		p.ending -= counted(c.held)
	}
	c.held = 0
}

// remove forgets a connection. mu is held.
func (p *pool) remove(c *conn) {
	if c.state == closed {
		return
	}
	c.apply(end)
	p.release(c)
	delete(p.conns, c)
	p.gauge.Update(int64(len(p.conns)))
}

func (p *pool) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(c)
}

// arrived notes that the whole request has been read.
func (p *pool) arrived(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.evicted {
		c.apply(arrive)
	}
}

// served notes that the handler of a request has returned.
func (p *pool) served(c *conn) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(c)
	c.apply(idle)
	c.progressAt = now
}

// answered notes that a connection was answered for the last time and is about to be closed.
func (p *pool) answered(c *conn) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.apply(answer)
	c.progressAt = now
}

// lingerOnClose notes that a connection is closed while its client may still be sending.
func (p *pool) lingerOnClose(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lingers = true
}

// beginLinger reports whether a connection that is closed has to linger, once.
func (p *pool) beginLinger(c *conn) bool {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.lingers || c.state == closed {
		return false
	}
	c.lingers = false
	c.apply(answer)
	c.progressAt = now
	return true
}

func (p *pool) heldBy(c *conn) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.held
}

// stalledAt returns when the body that is arriving counts as stalled.
func (p *pool) stalledAt(c *conn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.progressAt.Add(p.limits.Stall)
}

// beginWrite notes that an answer is written, and returns until when its client has to read it.
func (p *pool) beginWrite(c *conn) time.Time {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.unanswered, c.writingSince = false, now
	return now.Add(p.limits.Write)
}

func (p *pool) endWrite(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.writingSince = time.Time{}
}

// stateChanged is the ConnState hook of the server.
func (p *pool) stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateActive:
		c.handling = true
	case http.StateIdle:
		p.release(c)
		c.apply(idle)
		c.handling, c.progressAt = false, now
	case http.StateClosed, http.StateHijacked:
		p.remove(c)
	default:
	}
}

// closeUnused closes the connections without a request and returns the number of the others. net/http
// counts a connection as idle until it has read a complete header, and its Shutdown would cut off a
// request that is arriving.
func (p *pool) closeUnused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if !c.unanswered && !c.handling {
			p.remove(c)
			_ = c.Conn.Close()
		}
	}
	return len(p.conns)
}
