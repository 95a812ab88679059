package soak_test

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"pollencroft/internal/standin/users"
)

// leaderFault is a kind of fault of the host that leads, as in fault.
type leaderFault struct {
	name string
	do   func(c *cell, h *host, r *rand.Rand, d time.Duration) func()
}

var leaderFaults = []leaderFault{
	{"leader is killed and comes back", func(c *cell, h *host, _ *rand.Rand, d time.Duration) func() { return c.restart(h, syscall.SIGKILL, d) }},
	{"leader is stopped as planned and comes back", func(c *cell, h *host, _ *rand.Rand, d time.Duration) func() {
		return c.restart(h, syscall.SIGTERM, d/4)
	}},
	{"leader is paused", func(_ *cell, h *host, _ *rand.Rand, d time.Duration) func() { return h.pause(d) }},
	{"leader is paused for longer than it is waited for", func(_ *cell, h *host, _ *rand.Rand, d time.Duration) func() {
		return h.pause(8*time.Second + d)
	}},
	{"leader is cut off from the store", func(c *cell, h *host, r *rand.Rand, d time.Duration) func() {
		return c.toxic(h.store, "timeout", stream(r), `"timeout":0`, 3*d)
	}},
	{"store turns the leader away", func(c *cell, h *host, r *rand.Rand, d time.Duration) func() {
		return c.store(h.name, []users.Fault{users.Busy, users.Silent, users.Lost}[r.IntN(3)], 2*d)
	}},
}

// pause stops the host's process for the time d.
func (h *host) pause(d time.Duration) func() {
	h.signal(syscall.SIGSTOP)
	return after(d, func() { h.signal(syscall.SIGCONT) })
}

// leader returns the host that stored progress last, or nil.
func (c *cell) leader() *host {
	name := c.log.LastWriter("state")
	for _, h := range c.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// strikeLeader strikes the host that leads every few seconds until ctx ends. It runs at the same time
// as the other faults.
func (c *cell) strikeLeader(ctx context.Context, r *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(1500+r.IntN(3500)) * time.Millisecond):
		}
		f, d := leaderFaults[r.IntN(len(leaderFaults))], time.Duration(300+r.IntN(2500))*time.Millisecond
		h := c.leader()
		if h == nil {
			continue
		}
		c.logFault("%s: %s, for %s", h.name, f.name, d)
		c.busy.Go(f.do(c, h, r, d))
	}
}
