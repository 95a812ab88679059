package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/randtest"
	"pollencroft/internal/share"
)

const (
	longest = 10 * time.Second
	slots   = 8
)

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = share.Limits{LongestDeadline: longest, StartupWait: longest}
)

func TestMain(m *testing.M) { randtest.Main(m, 300, 100) }

type process struct {
	name string
	core *share.Shares
	dead bool
	quit bool
	list []string
}

// simulation runs several share state machines of one failure domain. For each slot it records
// until when each process may still have a request there.
type simulation struct {
	t             require.TestingT
	now           time.Time
	names         []string
	processes     []*process
	announcements []share.Announcement
	listed        map[string]bool
	until         [slots]map[*process]time.Time
}

func newSimulation(t require.TestingT, n int) *simulation {
	w := &simulation{t: t, now: start, listed: map[string]bool{}}
	for i := range slots {
		w.until[i] = map[*process]time.Time{}
	}
	for i := range n {
		w.names = append(w.names, fmt.Sprint("h", i))
	}
	return w
}

func (w *simulation) startProcess(i int) {
	name := w.names[i]
	others := append(append([]string{}, w.names[:i]...), w.names[i+1:]...)
	w.listed[name] = true
	w.processes = append(w.processes, &process{name: name, core: share.New(limits, name, w.now.UnixNano(), others, w.now)})
}

func (w *simulation) running(name string) *process {
	for _, p := range w.processes {
		if p.name == name && !p.dead {
			return p
		}
	}
	return nil
}

func (w *simulation) step(p *process, ev share.Event) {
	for _, a := range p.core.Step(w.now, ev) {
		if tell, ok := a.(share.SendAnnouncement); ok {
			w.announcements = append(w.announcements, tell.Announcement)
		}
	}
}

// sendRequests sends a request on every slot that a process may use, and checks that no slot has
// two users.
func (w *simulation) sendRequests() {
	for _, p := range w.processes {
		if p.dead {
			continue
		}
		for i := range slots {
			if p.core.MayUse("m", i) {
				w.until[i][p] = w.now.Add(longest)
			}
		}
	}
	for i := range slots {
		users := 0
		for _, end := range w.until[i] {
			if end.After(w.now) {
				users++
			}
		}
		require.LessOrEqual(w.t, users, 1, "slot %d at %s", i, w.now.Sub(start))
	}
}

func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.processes {
		if !p.dead {
			w.step(p, share.Tick{})
		}
	}
	w.sendRequests()
}

func (w *simulation) drain(p *process) {
	for i := range slots {
		if !p.core.MayUse("m", i) {
			delete(w.until[i], p)
		}
	}
	w.step(p, share.Drained{})
}

func (w *simulation) listedNames() []string {
	var names []string
	for _, name := range w.names {
		if w.listed[name] {
			names = append(names, name)
		}
	}
	return names
}

// converge lets every host receive the announcements of all others and read the list for long
// enough.
func (w *simulation) converge() {
	for range 8 {
		for _, p := range w.processes {
			if p.dead {
				continue
			}
			w.drain(p)
			w.step(p, share.HostsListed{Names: w.listedNames()})
			for _, o := range w.processes {
				if o != p && !o.dead {
					w.step(o, share.AnnouncementReceived{Announcement: p.core.Announcement()})
				}
			}
		}
		w.advance(longest / 4)
	}
}

func (w *simulation) inUse() int {
	n := 0
	for _, p := range w.processes {
		if !p.dead {
			n += p.core.UsableSlots("m", slots)
		}
	}
	return n
}

// Hosts start, die, stop in a planned way and return while announcements are lost, delayed and
// duplicated and each host reads an outdated host list. If two hosts took the same slot, a backend
// server would get a ninth request, and scans would wait inside it, where our queues can't put them
// first.
func TestNoSlotIsUsedTwiceWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.IntRange(2, 4).Draw(t, "hosts"))
		for i := range w.names {
			w.startProcess(i)
		}
		if rapid.Bool().Draw(t, "settled") {
			w.converge()
		}
		host := func() *process {
			return w.running(w.names[rapid.IntRange(0, len(w.names)-1).Draw(t, "host")])
		}
		live := func(f func(p *process)) func(*rapid.T) {
			return func(*rapid.T) {
				if p := host(); p != nil {
					f(p)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.sendRequests() },
			"die": live(func(p *process) {
				p.dead, w.listed[p.name] = true, false
			}),
			"begin": func(t *rapid.T) {
				if i := rapid.IntRange(0, len(w.names)-1).Draw(t, "host"); w.running(w.names[i]) == nil {
					w.startProcess(i)
				}
			},
			"quit":  live(func(p *process) { p.quit = true; w.step(p, share.Stopping{}) }),
			"drain": live(w.drain),
			"say":   live(func(p *process) { w.announcements = append(w.announcements, p.core.Announcement()) }),
			"hear": live(func(p *process) {
				if len(w.announcements) > 0 {
					w.step(p, share.AnnouncementReceived{Announcement: w.announcements[rapid.IntRange(0, len(w.announcements)-1).Draw(t, "word")]})
				}
			}),
			"read": live(func(p *process) { p.list = w.listedNames() }),
			"list": live(func(p *process) { w.step(p, share.HostsListed{Names: p.list}); p.list = w.listedNames() }),
			"talk": live(func(p *process) {
				for _, o := range w.processes {
					if o != p && !o.dead {
						w.step(o, share.AnnouncementReceived{Announcement: p.core.Announcement()})
					}
				}
			}),
			"look": live(func(p *process) { w.step(p, share.HostsListed{Names: w.listedNames()}) }),
			"pass": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "tenths")) * longest / 10) },
		})
	})
}

// One of three hosts dies for good, or stops in a planned way. Its slots must not stay empty
// forever, since callers of the other hosts would wait while backend servers are idle. When it
// returns it gets its slots again.
func TestSlotsOfAGoneHostAreTakenAndGivenBack(t *testing.T) {
	for _, planned := range []bool{false, true} {
		w := newSimulation(t, 3)
		for i := range w.names {
			w.startProcess(i)
		}
		require.Zero(t, w.inUse(), "hosts wait after their start")
		w.converge()
		require.Equal(t, slots, w.inUse())
		gone := w.processes[0]
		stale := gone.core.Announcement()
		if planned {
			w.step(gone, share.Stopping{})
			w.drain(gone)
			require.Len(t, w.announcements, 1)
			w.step(w.processes[1], share.AnnouncementReceived{Announcement: w.announcements[0]})
			w.step(w.processes[2], share.AnnouncementReceived{Announcement: w.announcements[0]})
			require.Equal(t, slots, w.inUse(), "released slots are used at once")
			w.step(w.processes[1], share.AnnouncementReceived{Announcement: stale})
			require.Equal(t, slots, w.inUse(), "a delayed announcement of the stopped host changes nothing")
		}
		gone.dead, w.listed[gone.name] = true, false
		if !planned {
			w.advance(time.Second)
			require.Less(t, w.inUse(), slots, "requests of the dead host may still run")
		}
		w.converge()
		require.Equal(t, slots, w.inUse())
		w.processes[1].dead, w.listed["h1"] = true, false
		w.converge()
		require.Equal(t, slots, w.inUse(), "the last host uses all slots")
		w.startProcess(0)
		w.converge()
		require.Equal(t, slots, w.inUse())
		require.Positive(t, w.running("h0").core.UsableSlots("m", slots))
	}
}

// A host returns while the host that took its slots still has requests in them, or after that host
// has just died and returned itself. The owner must wait for those requests, or the backend server
// gets a ninth one.
func TestReturningOwnerWaitsForRequestsInItsSlots(t *testing.T) {
	for _, otherDies := range []bool{false, true} {
		w := newSimulation(t, 2)
		w.startProcess(0)
		w.startProcess(1)
		w.converge()
		w.processes[0].dead, w.listed["h0"] = true, false
		w.step(w.processes[1], share.HostsListed{Names: w.listedNames()})
		for range 3 {
			w.advance(longest / 3)
		}
		w.advance(longest / 3)
		require.Equal(t, slots, w.inUse(), "the other host has taken the slots")
		w.startProcess(0)
		for range 3 {
			w.advance(longest * 3 / 10)
		}
		other := w.processes[1]
		if otherDies {
			other.dead = true
			w.startProcess(1)
			other = w.processes[3]
		}
		w.advance(longest / 5)
		w.step(other, share.AnnouncementReceived{Announcement: w.processes[2].core.Announcement()})
		w.step(w.processes[2], share.AnnouncementReceived{Announcement: other.core.Announcement()})
		w.sendRequests()
		w.converge()
		require.Equal(t, slots, w.inUse())
	}
}
