//go:build crowd

package crowd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// usage watches what a process uses of its machine.
type usage struct {
	done chan struct{}
	stop sync.Once
	wg   sync.WaitGroup
	mu   sync.Mutex
	peak measure
}

// measure is what a process uses: its resident memory, the bytes that were received for it and not
// yet read, both together, and open descriptors.
type measure struct {
	resident, unread, total int64
	files                   int
}

// lethal is the resident memory at which a process is killed, so that the machine of the test lives on.
const lethal = 2 << 30

// sampleInterval is the time between two measurements.
const sampleInterval = 50 * time.Millisecond

func watch(t *testing.T, h *host) *usage {
	u := &usage{done: make(chan struct{})}
	ports := map[uint16]bool{}
	for _, a := range []netip.AddrPort{h.caller, h.ready, h.metrics, h.peer} {
		ports[a.Port()] = true
	}
	u.wg.Go(func() {
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			u.add(h.cmd.Process.Pid, ports)
			select {
			case <-u.done:
				return
			case <-tick.C:
			}
		}
	})
	t.Cleanup(u.end)
	return u
}

func (u *usage) end() {
	u.stop.Do(func() { close(u.done) })
	u.wg.Wait()
}

func (u *usage) peaks() measure {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak
}

func (u *usage) add(pid int, ports map[uint16]bool) {
	resident, unread := residentBytes(pid), unreadBytes(ports)
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return
	}
	if resident > lethal {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peak.resident = max(u.peak.resident, resident)
	u.peak.unread = max(u.peak.unread, unread)
	u.peak.total = max(u.peak.total, resident+unread)
	u.peak.files = max(u.peak.files, len(open))
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the bytes in the receive queues of the connections to local ports. The queue of
// a listener counts connections and is left out.
func unreadBytes(ports map[uint16]bool) int64 {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const listening = "0A"
	sum := int64(0)
	for s := bufio.NewScanner(bytes.NewReader(b)); s.Scan(); {
		f := strings.Fields(s.Text())
		if len(f) < 5 || f[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(f[1], ":")
		n, err := strconv.ParseUint(port, 16, 16)
		if err != nil || !ports[uint16(n)] {
			continue
		}
		_, received, _ := strings.Cut(f[4], ":")
		q, _ := strconv.ParseInt(received, 16, 64)
		sum += q
	}
	return sum
}
