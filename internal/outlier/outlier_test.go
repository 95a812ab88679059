package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/outlier"
)

var start = time.Unix(1_700_000_000, 0)

const serviceTime = 10 * time.Millisecond

// simulation sends one request after another to each server that may get one.
type simulation struct {
	o          *outlier.Detector
	now        time.Time
	n          int
	sent       map[string]int
	inProgress map[string]int
	faults     map[string]func(id string) // called instead of answering, by server
}

func newSimulation(n int) *simulation {
	b := &simulation{o: outlier.New(outlier.DefaultLimits), now: start, sent: map[string]int{}, inProgress: map[string]int{}, faults: map[string]func(string){}}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("m", i))
	}
	b.o.Step(start, outlier.ServersListed{Backends: names})
	return b
}

func (b *simulation) end(result outlier.Result) func(string) {
	return func(id string) { b.o.Step(b.now, outlier.Ended{ID: id, Result: result}) }
}

func (b *simulation) run(d time.Duration, servers int) {
	clear(b.sent)
	for end := b.now.Add(d); b.now.Before(end); {
		var ids [][2]string
		for i := range servers {
			name := fmt.Sprint("m", i)
			if b.inProgress[name] >= b.o.MaxSlots(name, 8) {
				continue
			}
			b.n++
			b.inProgress[name]++
			b.sent[name]++
			id := fmt.Sprint(b.n)
			b.o.Step(b.now, outlier.Sent{ID: id, Backend: name, Row: "scan"})
			ids = append(ids, [2]string{name, id})
		}
		b.now = b.now.Add(serviceTime)
		for _, id := range ids {
			does := b.faults[id[0]]
			if does == nil {
				does = b.end(outlier.Succeeded)
			}
			does(id[1])
			b.inProgress[id[0]]--
		}
		b.o.Step(b.now, outlier.Tick{})
	}
}

// One backend server fails all requests immediately, never answers them, is several times
// slower than the others, refuses connections or leaves. A failing server looks idle and
// would attract the visitors' scans. It must get almost no requests, and its full share again
// soon after it has recovered.
func TestOutlierIsQuarantinedAndReturns(t *testing.T) {
	for name, does := range map[string]func(*simulation) func(string){
		"fails":     func(b *simulation) func(string) { return b.end(outlier.Failed) },
		"swallows":  func(b *simulation) func(string) { return func(string) { b.inProgress["m0"]++ } },
		"unreached": func(b *simulation) func(string) { return b.end(outlier.Unreachable) },
		"leaves":    func(b *simulation) func(string) { return b.end(outlier.Leaving) },
		"slow": func(b *simulation) func(string) {
			return func(id string) {
				now := b.now
				b.now = now.Add(10 * serviceTime)
				b.end(outlier.Succeeded)(id)
				b.now = now
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSimulation(6)
			b.run(time.Second, 6)
			b.faults["m0"] = does(b)
			b.run(3*time.Second, 6)
			require.Zero(t, b.o.MaxSlots("m0", 8))
			b.run(10*time.Second, 6)
			require.LessOrEqual(t, b.sent["m0"], 10*b.sent["m1"]/100, "the outlier gets at most a few trial requests")
			require.Greater(t, b.sent["m1"], 900)
			delete(b.faults, "m0")
			b.inProgress["m0"] = 0
			b.run(time.Minute, 6)
			require.Equal(t, 8, b.o.MaxSlots("m0", 8))
		})
	}
}

// A row has a fault of its own and fails on all servers, or more servers fail than the others
// can replace. Quarantining all of them would end the service.
func TestQuarantineIsLimitedToMaxShare(t *testing.T) {
	for bad, most := range map[int]int{6: 0, 3: 2} {
		b := newSimulation(6)
		for i := range bad {
			b.faults[fmt.Sprint("m", i)] = b.end(outlier.Failed)
		}
		b.run(time.Minute, 6)
		require.LessOrEqual(t, len(b.o.UntrustedStates()), most, "%d of 6 servers fail", bad)
	}
}

// A backend server tells one host that it leaves while the host list still shows it. The
// other hosts must stop sending to it when that host announces this, and only as long as the
// announcement is recent: hosts that repeat each other's announcements would exclude the
// server forever.
func TestPeerAnnouncementStopsWorkForLeavingBackend(t *testing.T) {
	first, second := newSimulation(6), newSimulation(6)
	first.faults["m0"] = first.end(outlier.Leaving)
	first.run(serviceTime, 6)
	require.Equal(t, []string{"m0"}, first.o.LeavingServers(first.now))
	second.o.Step(start, outlier.LeavingReported{Leaving: first.o.LeavingServers(first.now)})
	require.Zero(t, second.o.MaxSlots("m0", 8))
	require.Empty(t, second.o.LeavingServers(start))
	require.Empty(t, first.o.LeavingServers(start.Add(time.Minute)))
	second.run(time.Minute, 6)
	require.Equal(t, 8, second.o.MaxSlots("m0", 8))
}
