package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// link is the way from one host to another.
type link struct{ from, to string }

// peers carries the connections between the hosts of a cell and cuts single links. It listens once for
// each host, at the address that the host advertises.
type peers struct {
	// sender returns the host that opened a connection from an address, or an empty string.
	sender func(way) string
	mu     sync.Mutex
	// cuts counts the faults that cut each link, changed is closed when that changes.
	cuts    map[link]int
	changed chan struct{}
	closed  chan struct{}
}

func newPeers(sender func(way) string) *peers {
	return &peers{sender: sender, cuts: map[link]int{}, changed: make(chan struct{}), closed: make(chan struct{})}
}

// listen carries connections to the host of that name, which listens on upstream, until ln is closed.
func (p *peers) listen(ln net.Listener, name, upstream string) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go p.carry(conn, name, upstream)
	}
}

func (p *peers) carry(conn net.Conn, name, upstream string) {
	defer conn.Close()
	from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	to, _ := netip.ParseAddrPort(conn.LocalAddr().String())
	l := link{p.sender(way{from.Port(), to.Port()}), name}
	if !p.await(l) {
		return
	}
	var d net.Dialer
	up, err := d.DialContext(context.Background(), "tcp", upstream)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{conn, up}, {up, conn}} {
		go func() {
			p.copy(way[1], way[0], l)
			done <- struct{}{}
		}()
	}
	<-done
}

// copy copies bytes while the link is not cut.
func (p *peers) copy(w io.Writer, r io.Reader, l link) {
	b := make([]byte, 32*1024)
	for {
		n, err := r.Read(b)
		if err != nil || !p.await(l) {
			return
		}
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
	}
}

// await returns once a link is not cut, and false if the cell has ended.
func (p *peers) await(l link) bool {
	for {
		p.mu.Lock()
		cut, changed := p.cuts[l] > 0, p.changed
		p.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-p.closed:
			return false
		}
	}
}

func (p *peers) add(links []link, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range links {
		p.cuts[l] += n
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// cut lets nothing pass on the links for the time d.
func (p *peers) cut(links []link, d time.Duration) func() {
	p.add(links, 1)
	return after(d, func() { p.add(links, -1) })
}

// linksOf returns all links from and to a host.
func (c *cell) linksOf(h *host) []link {
	var all []link
	for _, o := range c.hosts {
		if o != h {
			all = append(all, link{h.name, o.name}, link{o.name, h.name})
		}
	}
	return all
}

// peerFaults lists the faults of the connections between hosts.
var peerFaults = []fault{
	{"host is cut off from the other hosts", func(c *cell, r *rand.Rand, d time.Duration) func() {
		return c.peers.cut(c.linksOf(c.anyHost(r)), d)
	}},
	{"leader is cut off from the other hosts", func(c *cell, _ *rand.Rand, d time.Duration) func() {
		h := c.leader()
		if h == nil {
			return func() {}
		}
		return c.peers.cut(c.linksOf(h), 2*d)
	}},
	{"leader is cut off from the store and the other hosts", func(c *cell, _ *rand.Rand, d time.Duration) func() {
		h := c.leader()
		if h == nil {
			return func() {}
		}
		return runAtOnce(c.peers.cut(c.linksOf(h), 3*d), c.toxic(h.store, "timeout", "upstream", `"timeout":0`, 3*d))
	}},
	{"two hosts are cut off from each other", func(c *cell, r *rand.Rand, d time.Duration) func() {
		i, j := r.IntN(len(c.hosts)), r.IntN(len(c.hosts)-1)
		if j >= i {
			j++
		}
		a, b := c.hosts[i].name, c.hosts[j].name
		return c.peers.cut([]link{{a, b}, {b, a}}, 2*d)
	}},
	{"hosts are cut into two halves", func(c *cell, r *rand.Rand, d time.Duration) func() {
		var links []link
		order := r.Perm(len(c.hosts))
		for _, i := range order[:len(order)/2] {
			for _, j := range order[len(order)/2:] {
				a, b := c.hosts[i].name, c.hosts[j].name
				links = append(links, link{a, b}, link{b, a})
			}
		}
		return c.peers.cut(links, d)
	}},
}

// runAtOnce waits for all functions, which run at the same time.
func runAtOnce(all ...func()) func() {
	return func() {
		var wg sync.WaitGroup
		for _, f := range all {
			wg.Go(f)
		}
		wg.Wait()
	}
}

// scanInterval is the minimum time between two scans of the sockets, which take long on a machine with
// many connections.
const scanInterval = 100 * time.Millisecond

// sockets holds which host has the connection from each local port, as of the time at.
type sockets struct {
	mu    sync.Mutex
	at    time.Time
	hosts map[way]string
}

// way is the ports of a connection. One local port may have connections to several others.
type way struct{ from, to uint16 }

// sender returns the host whose process has that end of a connection, or an empty string.
func (c *cell) sender(w way) string {
	asked := time.Now()
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.sockets.at.Before(asked) {
		time.Sleep(time.Until(c.sockets.at.Add(scanInterval)))
		c.sockets.at = time.Now()
		c.sockets.hosts = c.scanSockets()
	}
	return c.sockets.hosts[w]
}

// listenForPeers carries the connections between the hosts. All hosts are known by then.
func (c *cell) listenForPeers() {
	for _, h := range c.hosts {
		if h.ln != nil {
			go c.peers.listen(h.ln, h.name, h.peer.String())
		}
	}
}

// scanSockets returns the host that has each connection.
func (c *cell) scanSockets() map[way]string {
	names := map[string]string{}
	for _, h := range c.hosts {
		for _, inode := range inodesOf(h.pid()) {
			names[inode] = h.name
		}
	}
	all := map[way]string{}
	for w, inode := range connections() {
		if name, ok := names[inode]; ok {
			all[w] = name
		}
	}
	return all
}

// inodesOf returns the inodes of the sockets of a process.
func inodesOf(pid int) []string {
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	var all []string
	for _, fd := range fds {
		at, err := os.Readlink(fd)
		inode, ok := strings.CutPrefix(at, "socket:[")
		if err == nil && ok {
			all = append(all, strings.TrimSuffix(inode, "]"))
		}
	}
	return all
}

// established is the state of a connection in /proc/net/tcp.
const established = "01"

// connections returns the inodes of the established connections.
func connections() map[way]string {
	all := map[way]string{}
	b, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] != established {
			continue
		}
		from, err := portOf(fields[1])
		to, err2 := portOf(fields[2])
		if err == nil && err2 == nil {
			all[way{from, to}] = fields[9]
		}
	}
	return all
}

// portOf returns the port of an address in /proc/net/tcp.
func portOf(addr string) (uint16, error) {
	_, port, _ := strings.Cut(addr, ":")
	n, err := strconv.ParseUint(port, 16, 16)
	return uint16(n), err
}

// pid returns the id of the host's process, or zero before its first start.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	return h.cmd.Process.Pid
}
