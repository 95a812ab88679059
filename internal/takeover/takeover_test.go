package takeover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/takeover"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = takeover.Limits{LongestLease: 40 * time.Second, AskInterval: 250 * time.Millisecond}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// newWaiting returns a host that holds one of two workers, has one live peer, and inherits a job
// one second later.
func newWaiting(self string) *takeover.Takeover {
	t := takeover.New(self, limits)
	t.Step(at(0), takeover.SetWorkers{Names: []string{"w1", "w2"}})
	t.Step(at(0), takeover.SetPeers{Names: []string{"p"}})
	t.Step(at(0), takeover.WorkerHeld{Worker: "w1"})
	t.Step(at(1), takeover.FoundJob{Job: "j"})
	return t
}

func released(acts []takeover.Action) bool {
	for _, a := range acts {
		if _, ok := a.(takeover.ReleaseJob); ok {
			return true
		}
	}
	return false
}

func logRead(s float64) takeover.LogRead { return takeover.LogRead{Asked: at(s)} }

func peerAnswer(s float64, workers ...string) takeover.PeerAnswer {
	return takeover.PeerAnswer{Host: "p", Asked: at(s), Workers: workers}
}

// A leader is gone, and it is not known which of its tasks are running. Each source that could show
// this must be asked after the takeover began. If the next leader went on without one, a task could
// run twice.
func TestInventoryWaitsForAllSources(t *testing.T) {
	held := takeover.WorkerHeld{Worker: "w2"}
	for name, c := range map[string]struct {
		events []takeover.Event
		last   float64
		want   bool
	}{
		"all answered":                         {[]takeover.Event{logRead(2), peerAnswer(2), held}, 2.5, true},
		"answered for by the live holder":      {[]takeover.Event{logRead(2), peerAnswer(2, "w2")}, 2.5, true},
		"log not read":                         {[]takeover.Event{peerAnswer(2), held}, 2.5, false},
		"log read before":                      {[]takeover.Event{logRead(0.5), peerAnswer(2), held}, 2.5, false},
		"peer not asked":                       {[]takeover.Event{logRead(2), held}, 2.5, false},
		"peer asked before":                    {[]takeover.Event{logRead(2), peerAnswer(0.5), held}, 2.5, false},
		"worker not read":                      {[]takeover.Event{logRead(2), peerAnswer(2)}, 2.5, false},
		"worker answered for before":           {[]takeover.Event{peerAnswer(0.5, "w2"), logRead(2), peerAnswer(2)}, 2.5, false},
		"worker silent for the longest lease":  {[]takeover.Event{logRead(2), peerAnswer(2)}, 42, true},
		"worker gives signs but is not read":   {[]takeover.Event{logRead(2), peerAnswer(2), takeover.WorkerContact{Worker: "w2"}}, 41.9, false},
		"worker lost again":                    {[]takeover.Event{logRead(2), peerAnswer(2), takeover.WorkerLost{Worker: "w1"}, takeover.WorkerHeld{Worker: "w1"}, held}, 2.5, false},
		"peer leads the job":                   {[]takeover.Event{logRead(2), takeover.PeerAnswer{Host: "p", Asked: at(2), Leads: []string{"j"}}, held}, 2.5, false},
		"a host joined and was not asked":      {[]takeover.Event{logRead(2), peerAnswer(2), takeover.SetPeers{Names: []string{"p", "q"}}, held}, 2.5, false},
		"a host went after it was asked":       {[]takeover.Event{logRead(2), peerAnswer(2, "w2"), takeover.SetPeers{}}, 2.5, true},
		"a host went before the log was read":  {[]takeover.Event{peerAnswer(1.5, "w2"), takeover.SetPeers{}, logRead(1.6)}, 2.5, false},
		"its answer came after it had gone":    {[]takeover.Event{takeover.SetPeers{}, peerAnswer(2, "w2"), logRead(3)}, 3, false},
		"worker taken off the platform's list": {[]takeover.Event{logRead(2), peerAnswer(2), takeover.SetWorkers{Names: []string{"w1"}}}, 2.5, true},
	} {
		t.Run(name, func(t *testing.T) {
			tk := newWaiting("b")
			done := false
			for _, ev := range c.events {
				done = released(tk.Step(at(2.5), ev)) || done
			}
			done = released(tk.Step(at(c.last), takeover.Tick{})) || done
			require.Equal(t, c.want, done, tk.Missing(at(c.last), "j"))
		})
	}
}

// A host that holds no worker has no way to notice that others have declared it dead. It must not
// decide about any job.
func TestHostWithoutWorkersReleasesNothing(t *testing.T) {
	tk := takeover.New("b", limits)
	tk.Step(at(0), takeover.SetWorkers{Names: []string{"w1"}})
	tk.Step(at(0), takeover.SetPeers{Names: []string{"p"}})
	tk.Step(at(1), takeover.FoundJob{Job: "j"})
	tk.Step(at(2), logRead(2))
	require.False(t, released(tk.Step(at(2), peerAnswer(2, "w1"))))
	require.True(t, released(tk.Step(at(3), takeover.WorkerHeld{Worker: "w1"})))
}

// Two hosts disagree about which hosts are live, and both inherit the job. In whatever order they
// ask each other, at most one of them may resume it.
func TestTwoHostsInheritOneJob(t *testing.T) {
	for order := range 1 << 12 {
		hosts := map[string]*takeover.Takeover{}
		leads := map[string]bool{}
		answers := map[string]takeover.PeerAnswer{}
		for _, name := range []string{"a", "b"} {
			hosts[name] = takeover.New(name, limits)
			hosts[name].Step(at(0), takeover.SetWorkers{Names: []string{"w-" + name}})
			hosts[name].Step(at(0), takeover.SetPeers{Names: []string{map[string]string{"a": "b", "b": "a"}[name]}})
			hosts[name].Step(at(0), takeover.WorkerHeld{Worker: "w-" + name})
		}
		hosts["a"].Step(at(1), takeover.FoundJob{Job: "j"})
		hosts["b"].Step(at(1+2.05*float64(order%3)), takeover.FoundJob{Job: "j"})
		for bit := range 12 {
			now := 3 + float64(bit)
			asker, asked := "a", "b"
			if order>>bit&1 == 1 {
				asker, asked = "b", "a"
			}
			if ev, ok := answers[asker]; ok && released(hosts[asker].Step(at(now), ev)) {
				leads[asker] = true
			}
			hosts[asked].Step(at(now+0.1), takeover.PeerAsked{Host: asker, Jobs: hosts[asker].Waiting()})
			ev := takeover.PeerAnswer{Host: asked, Asked: at(now + 0.1), Waits: hosts[asked].Waiting()}
			if leads[asked] {
				ev.Leads = []string{"j"}
			}
			answers[asker] = ev
			for name, h := range hosts {
				leads[name] = released(h.Step(at(now+0.2), logRead(now+0.2))) || leads[name]
			}
			require.False(t, leads["a"] && leads["b"], "order %b", order)
		}
		if order>>8 == 0 {
			require.True(t, leads["a"] || leads["b"], "one host must resume the job: order %b", order)
		}
	}
}

// A worker that another host holds dies while it runs tasks of this host's job. After the longest
// lease none of them can be running, and they must be started elsewhere instead of waiting forever.
func TestWatchedWorkerIsTakenForSilentAfterTheLongestLease(t *testing.T) {
	tk := newWaiting("b")
	tk.Step(at(1), takeover.GoneJob{Job: "j"})
	tk.Step(at(2), takeover.WatchWorkers{Workers: []string{"w2"}})
	require.Equal(t, []takeover.Action{takeover.AskPeers{}}, tk.Step(at(30), takeover.Tick{}))
	tk.Step(at(30), peerAnswer(30, "w2"))
	require.NotContains(t, tk.Step(at(69), takeover.Tick{}), takeover.WorkerSilent{Worker: "w2"})
	require.Contains(t, tk.Step(at(71), takeover.Tick{}), takeover.WorkerSilent{Worker: "w2"})
}
