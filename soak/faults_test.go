package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin/users"
)

// fault is one kind of fault. The function do starts it and returns a function that waits until
// its time is over and ends it. Most faults last for d.
type fault struct {
	name string
	do   func(c *cell, r *rand.Rand, d time.Duration) func()
}

// faults lists the faults that may occur in every play, in any order, repeatedly and at the same time.
var faults = []fault{
	{"host is killed and comes back", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.restart(c.anyHost(r), syscall.SIGKILL, d)
	}},
	{"host is stopped as planned and comes back", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.restart(c.anyHost(r), syscall.SIGTERM, d/4)
	}},
	{"two hosts are stopped as planned in a row", func(c *cell, r *rand.Rand, d time.Duration) func() {
		i := r.IntN(len(c.hosts))
		return runAll(c.restart(c.hosts[i], syscall.SIGTERM, d/4), c.restart(c.hosts[(i+1)%len(c.hosts)], syscall.SIGTERM, d/2))
	}},
	{"all hosts are killed and come back", func(c *cell, _ *rand.Rand, d time.Duration) func() {
		var all []func()
		for _, h := range c.hosts {
			all = append(all, c.restart(h, syscall.SIGKILL, d/4))
		}
		return runAll(all...)
	}},
	{"host is paused", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.anyHost(r).pause(d)
	}},
	{"host is paused for longer than a lead is waited for", func(c *cell, r *rand.Rand, _ time.Duration) func() {
		return c.anyHost(r).pause(9 * time.Second)
	}},
	{"settings change", func(c *cell, r *rand.Rand, _ time.Duration) func() {
		h := c.anyHost(r)
		b, err := os.ReadFile(h.file)
		require.NoError(c.t, err)
		require.NoError(c.t, os.WriteFile(h.file, append(b, "# changed\n"...), 0o600))
		h.signal(syscall.SIGHUP)
		return func() {}
	}},
	{"way to the store is silent", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.toxic(c.anyHost(r).store, "timeout", stream(r), `"timeout":0`, d)
	}},
	{"way to the store is reset", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.toxic(c.anyHost(r).store, "reset_peer", stream(r), `"timeout":20`, d)
	}},
	{"ways to the store are slow", func(c *cell, _ *rand.Rand, d time.Duration) func() {
		var all []func()
		for _, h := range c.hosts {
			all = append(all, c.toxic(h.store, "latency", "downstream", `"latency":200,"jitter":50`, d))
		}
		return runAll(all...)
	}},
	{"callers' connections are reset", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.toxic(c.anyHost(r).caller, "reset_peer", "downstream", `"timeout":30`, d/2)
	}},
	{"worker does not answer", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.cut(c.worker(r.IntN(len(c.workers))), stream(r), d)
	}},
	{"worker answers late", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.toxic(c.worker(r.IntN(len(c.workers))).proxy, "latency", "downstream", `"latency":350,"jitter":300`, d)
	}},
	{"worker leaves orders without an answer", func(c *cell, r *rand.Rand, _ time.Duration) func() {
		c.worker(r.IntN(len(c.workers))).DropOrders(1+r.IntN(6), r.IntN(2) == 0)
		return func() {}
	}},
	{"worker crashes and comes back", func(c *cell, r *rand.Rand, _ time.Duration) func() {
		c.crash(r.IntN(len(c.workers)))
		return func() {}
	}},
	{"store refuses all", func(c *cell, _ *rand.Rand, d time.Duration) func() { return c.store("", users.Busy, d) }},
	{"store is silent", func(c *cell, _ *rand.Rand, d time.Duration) func() { return c.store("", users.Silent, d) }},
	{"store loses its answers", func(c *cell, _ *rand.Rand, d time.Duration) func() { return c.store("", users.Lost, d/2) }},
	{"store turns a host away", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.store(c.anyHost(r).name, []users.Fault{users.Busy, users.Silent, users.Lost}[r.IntN(3)], d)
	}},
	{"store is down for some partitions", func(c *cell, r *rand.Rand, d time.Duration) func() {
		f := []users.Fault{users.Busy, users.Silent}[r.IntN(2)]
		var down []int
		for p := range parts {
			if r.IntN(3) == 0 {
				down = append(down, p)
			}
		}
		set := func(f users.Fault) {
			for _, p := range down {
				c.log.BreakPart("state", p, f)
				c.log.BreakPart("jobs", p, f)
			}
		}
		set(f)
		return after(d, func() { set(users.None) })
	}},
}

func (c *cell) anyHost(r *rand.Rand) *host { return c.hosts[r.IntN(len(c.hosts))] }

func stream(r *rand.Rand) string { return []string{"upstream", "downstream"}[r.IntN(2)] }

func runAll(all ...func()) func() {
	return func() {
		for _, f := range all {
			f()
		}
	}
}

func after(d time.Duration, f func()) func() {
	return func() {
		time.Sleep(d)
		f()
	}
}

// restart ends a host's process with signal s and starts a new one d after the process has exited.
func (c *cell) restart(h *host, s syscall.Signal, d time.Duration) func() {
	gone := h.signal(s)
	return func() {
		<-gone
		time.Sleep(d)
		path, err := binary()
		require.NoError(c.t, err)
		h.mu.Lock()
		again := h.exited == gone
		h.mu.Unlock()
		// Two faults may have ended the same process; only the first of them starts a new one.
		if again {
			h.start(c.t, path)
		}
	}
}

func (c *cell) store(name string, f users.Fault, d time.Duration) func() {
	c.log.Break(name, f)
	return after(d, func() { c.log.Break(name, users.None) })
}

// cut lets nothing pass on one way between the hosts and a worker.
func (c *cell) cut(w *worker, way string, d time.Duration) func() {
	w.Cut(d)
	return c.toxic(w.proxy, "timeout", way, `"timeout":0`, d)
}

// toxic adds a fault to the traffic through a proxy. The function that it returns waits for d and
// removes the fault.
func (c *cell) toxic(p *toxiproxy.Proxy, kind, stream, attributes string, d time.Duration) func() {
	name := fmt.Sprintf("%s %s %d", kind, stream, time.Now().UnixNano())
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{%s}}`, name, kind, stream, attributes)
	if !json.Valid([]byte(text)) {
		c.t.Errorf("toxic %s", text)
	}
	_, err := p.Toxics.AddToxicJson(strings.NewReader(text))
	if err != nil {
		c.t.Errorf("toxic %s: %s", text, err)
	}
	return after(d, func() { _ = p.Toxics.RemoveToxic(context.Background(), name) })
}

// disturb starts one of the faults every few hundred milliseconds until ctx ends.
func (c *cell) disturb(ctx context.Context, r *rand.Rand, faults []fault) {
	for {
		f, d := faults[r.IntN(len(faults))], time.Duration(300+r.IntN(4000))*time.Millisecond
		pause := time.Duration(100+r.IntN(1500)) * time.Millisecond
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		c.logFault("%s, for %s", f.name, d)
		end := f.do(c, r, d)
		c.busy.Go(end)
	}
}

// fullCapacity is the capacity, in tasks, of a worker that has not shrunk.
const fullCapacity = 128

// resizeSome resizes random workers until ctx ends. It runs at the same time as the faults and has
// its own random generator.
func (c *cell) resizeSome(ctx context.Context, r *rand.Rand) {
	for {
		i, tasks := r.IntN(len(c.workers)), []int64{0, 1, 2, 5, fullCapacity}[r.IntN(5)]
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(100+r.IntN(1500)) * time.Millisecond):
			c.resize(i, tasks)
		}
	}
}

// foreignEntries are worker entries of another writer. None names a usable worker.
var foreignEntries = []string{
	"\x00\xff", "[]", `{"service":7}`, `{"service":"pass","address":"nowhere","state":"ready"}`,
	`{"service":"pass","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":64000,"memMb":262144},"born":"soon"}`,
	`{"service":"other","address":"127.0.0.1:1","state":"asleep","capacity":{"cpu":64000,"memMb":262144},"born":1.5}`,
}

// restartSome restarts random workers under their IDs until ctx ends, and stores foreign entries,
// some under the ID of a worker. Entries follow late, and for a while a former one is listed. Like
// resizeSome it runs at the same time as the faults.
func (c *cell) restartSome(ctx context.Context, r *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(200+r.IntN(1800)) * time.Millisecond):
		}
		w, pause := c.worker(r.IntN(len(c.workers))), time.Duration(r.IntN(1500))*time.Millisecond
		if r.IntN(3) == 0 {
			id := fmt.Sprintf("foreign%d", n%5)
			if r.IntN(2) == 0 {
				id = w.ID
			}
			c.log.Put("servers", id, []byte(foreignEntries[r.IntN(len(foreignEntries))]))
		} else {
			c.logFault("%s restarts", w.ID)
			w.Restart()
		}
		c.busy.Go(func() { c.listLater(w, pause) })
	}
}

// cutWorkers cuts off several workers in short series that overlap until ctx ends, so that workers
// return whose tasks have copies elsewhere. Workers take long to stop those. Like resizeSome it runs
// at the same time as the faults.
func (c *cell) cutWorkers(ctx context.Context, r *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(300+r.IntN(1500)) * time.Millisecond):
		}
		for _, i := range r.Perm(len(c.workers))[:2+r.IntN(len(c.workers)/2)] {
			w, way, stop := c.worker(i), stream(r), time.Duration(20+r.IntN(500))*time.Millisecond
			pause, d := time.Duration(r.IntN(700))*time.Millisecond, time.Duration(800+r.IntN(2200))*time.Millisecond
			w.SetStopTime(stop)
			c.busy.Go(func() {
				time.Sleep(pause)
				c.cut(w, way, d)()
			})
		}
	}
}

// endFaults ends the remaining faults: the store works, no host is paused and workers have full capacity.
func (c *cell) endFaults() {
	c.log.Break("", users.None)
	for i := range c.workers {
		c.resize(i, fullCapacity)
	}
	for _, h := range c.hosts {
		h.signal(syscall.SIGCONT)
	}
}
