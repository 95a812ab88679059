package test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/audit"
	"pollencroft/internal/cell"
	"pollencroft/internal/standin"
)

// cellSlots limits the number of cells that run at the same time on one machine.
var cellSlots = make(chan struct{}, 3)

// Each scenario injects one fault, or two at once, into a whole cell of real processes under all
// kinds of work. The test counts four violations that a user would notice, from the records of the
// stand-ins: a lost scan, a scan that ran twice, a batch that ran although it was reported as not
// run, and an overfull worker.
func TestPromisesHoldUnderFaults(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			s.play(t)
		})
	}
}

// scenario is a fault and the function that ends it.
type scenario struct {
	name        string
	fault, heal func(b *bench)
}

// play runs the scenario in a cell of its own.
func (s scenario) play(t *testing.T) {
	t.Helper()
	cellSlots <- struct{}{}
	defer func() { <-cellSlots }()
	b := newBench(t)
	wrong := b.run(s.fault, s.heal)
	if wrong != (audit.ViolationsError{}) {
		b.logViolations()
	}
	require.Equal(t, audit.ViolationsError{}, wrong)
	require.Zero(t, b.cell.Report().SlotsOver, "requests beyond the slots of a backend server")
	asked, done := b.tally.Totals()
	require.Positive(t, done, "of %d asked", asked)
}

// nothing injects no fault.
func nothing(*bench) {}

// leaveWithin is the promised time after which a leaving backend server gets no new work.
const leaveWithin = 3 * time.Second

// silence drops all bytes of open and new connections without a reset.
func silence(b *bench, on []*toxiproxy.Proxy, streams ...string) {
	for _, stream := range streams {
		b.toxic("timeout", stream, `"timeout":0`, on...)
	}
}

const (
	up   = "upstream"
	down = "downstream"
)

func sameDomain(from, to *node) bool { return from.domain == to.domain }

// domainProxies returns the proxies on all connections between the failure domain of the first host
// and the other domains, and on those of its hosts to the platform.
func (b *bench) domainProxies() []*toxiproxy.Proxy {
	cut := b.nodes[0].domain
	paths := b.peerProxies(func(from, to *node) bool { return (from.domain == cut) != (to.domain == cut) })
	for _, n := range b.nodes {
		if n.domain == cut {
			paths = append(paths, n.platform)
		}
	}
	return paths
}

func platformFault(f standin.PlatformFaults) func(b *bench) {
	return func(b *bench) { b.cell.Platform.SetFaults(f) }
}

func killFirst(b *bench) { b.kill(b.nodes[0]) }

func pause(n *node) { _ = n.cmd.Process.Signal(syscall.SIGSTOP) }

func resume(n *node) { _ = n.cmd.Process.Signal(syscall.SIGCONT) }

func stopFirst(b *bench) { _ = b.nodes[0].cmd.Process.Signal(syscall.SIGTERM) }

func restartFirst(b *bench) {
	require.NoError(b.t, b.nodes[0].cmd.Wait(), "a planned stop exits with status 0")
	b.start(b.nodes[0])
}

// leave lists a backend server as leaving, waits for leaveWithin and records how many requests the
// server has run by then.
func (b *bench) leave(name string) {
	for i := range b.machines {
		if b.machines[i].Name == name {
			b.machines[i].Leaving = true
		}
	}
	b.cell.Platform.SetHosts(b.machines)
	wait(context.Background(), leaveWithin)
	b.ranBeforeLeaving = len(b.cell.Backends[name].Record().Ran)
}

// checkStillLeft checks that the backend server has got no request since leave returned.
func (b *bench) checkStillLeft(name string) {
	wait(context.Background(), time.Second)
	require.Equal(b.t, b.ranBeforeLeaving, len(b.cell.Backends[name].Record().Ran), "the leaving backend server has run new requests")
}

func replaceFirst(b *bench) { b.start(b.nodes[0]) }

var scenarios = []scenario{
	{"calm", nothing, nothing},
	{
		"latency between hosts and to minions",
		func(b *bench) {
			b.toxic("latency", down, `"latency":40,"jitter":20`, b.peerProxies(sameDomain)...)
			b.toxic("latency", down, `"latency":40,"jitter":20`, b.proxiesOfKind(cell.BackendHost, 6)...)
		},
		func(b *bench) {
			b.clear(b.peerProxies(sameDomain)...)
			b.clear(b.proxiesOfKind(cell.BackendHost, 6)...)
		},
	},
	{
		"hosts silent one way",
		func(b *bench) { silence(b, b.peerProxies(sameDomain), down) },
		func(b *bench) { b.clear(b.peerProxies(sameDomain)...) },
	},
	{
		"two minions silent",
		func(b *bench) { silence(b, b.proxiesOfKind(cell.BackendHost, 2), up, down) },
		func(b *bench) { b.clear(b.proxiesOfKind(cell.BackendHost, 2)...) },
	},
	{
		"minion answers cut after some bytes",
		func(b *bench) { b.toxic("limit_data", down, `"bytes":2000`, b.proxiesOfKind(cell.BackendHost, 3)...) },
		func(b *bench) { b.clear(b.proxiesOfKind(cell.BackendHost, 3)...) },
	},
	{
		"callers' connections reset",
		func(b *bench) { b.toxic("reset_peer", down, `"timeout":5`, b.nodes[0].caller, b.nodes[2].caller) },
		func(b *bench) { b.clear(b.nodes[0].caller, b.nodes[2].caller) },
	},
	{
		"connections close slowly",
		func(b *bench) {
			b.toxic("slow_close", down, `"delay":1000`, b.nodes[0].caller, b.nodes[2].caller)
			b.toxic("slow_close", down, `"delay":1000`, b.proxiesOfKind(cell.BackendHost, 3)...)
		},
		func(b *bench) {
			b.clear(b.nodes[0].caller, b.nodes[2].caller)
			b.clear(b.proxiesOfKind(cell.BackendHost, 3)...)
		},
	},
	{
		"workers silent",
		func(b *bench) { silence(b, b.proxiesOfKind(cell.WorkerHost, 3), down) },
		func(b *bench) { b.clear(b.proxiesOfKind(cell.WorkerHost, 3)...) },
	},
	{
		"host paused",
		func(b *bench) { pause(b.nodes[0]) },
		func(b *bench) { resume(b.nodes[0]) },
	},
	{"host killed and replaced", killFirst, replaceFirst},
	{
		"failure domain cut off",
		func(b *bench) { silence(b, b.domainProxies(), up, down) },
		func(b *bench) { b.clear(b.domainProxies()...) },
	},
	{"log down", platformFault(standin.PlatformFaults{Down: true}), platformFault(standin.PlatformFaults{})},
	{"log answers lost", platformFault(standin.PlatformFaults{LoseAnswers: 20, Slow: 50 * time.Millisecond}), platformFault(standin.PlatformFaults{})},
	{
		"host killed while the log is down",
		func(b *bench) { platformFault(standin.PlatformFaults{Down: true})(b); killFirst(b) },
		func(b *bench) { platformFault(standin.PlatformFaults{})(b); replaceFirst(b) },
	},
	{
		"host killed while the host list is frozen and a minion is silent",
		func(b *bench) {
			platformFault(standin.PlatformFaults{FreezeHosts: true})(b)
			silence(b, b.proxiesOfKind(cell.BackendHost, 1), down)
			killFirst(b)
		},
		func(b *bench) {
			platformFault(standin.PlatformFaults{})(b)
			b.clear(b.proxiesOfKind(cell.BackendHost, 1)...)
			replaceFirst(b)
		},
	},
	{
		"minions leave",
		func(b *bench) {
			b.cell.Backends["minion-03"].SetFaults(standin.BackendFaults{Leaving: true})
			b.leave("minion-00")
		},
		func(b *bench) { b.checkStillLeft("minion-00") },
	},
	{
		"workers fail everything and one rack is silent",
		func(b *bench) {
			b.cell.Workers["worker-00"].SetFaults(standin.WorkerFaults{FailAll: true})
			silence(b, b.proxiesOfKind(cell.WorkerHost, 12)[2:4], up, down)
		},
		func(b *bench) {
			b.cell.Workers["worker-00"].SetFaults(standin.WorkerFaults{})
			b.clear(b.proxiesOfKind(cell.WorkerHost, 12)[2:4]...)
		},
	},
	{
		"planned stop while the log is down and a peer is paused",
		func(b *bench) {
			platformFault(standin.PlatformFaults{Down: true})(b)
			pause(b.nodes[1])
			stopFirst(b)
		},
		func(b *bench) {
			platformFault(standin.PlatformFaults{})(b)
			resume(b.nodes[1])
			restartFirst(b)
		},
	},
	{
		"planned stop while a worker fails everything and log answers are lost",
		func(b *bench) {
			b.cell.Workers["worker-00"].SetFaults(standin.WorkerFaults{FailAll: true})
			platformFault(standin.PlatformFaults{LoseAnswers: 10})(b)
			stopFirst(b)
		},
		func(b *bench) {
			b.cell.Workers["worker-00"].SetFaults(standin.WorkerFaults{})
			platformFault(standin.PlatformFaults{})(b)
			restartFirst(b)
		},
	},
	{
		"minion leaves while the host that reads the list is killed",
		func(b *bench) {
			killFirst(b)
			b.leave("minion-00")
		},
		func(b *bench) { b.checkStillLeft("minion-00"); replaceFirst(b) },
	},
	{
		"planned stop",
		stopFirst, restartFirst,
	},
}

// Guards against an all-at-once job that waits for minutes for a worker that is well again: its leader
// had the workers of a dead peer as well, so that it could quarantine the one that failed.
func TestGangEndsAfterAWorkerFailedEverythingBesideADeadHost(t *testing.T) {
	b := newBench(t)
	first, second := b.nodes[0], b.nodes[1]
	b.kill(second)
	for _, worker := range []string{"worker-00", "worker-01", "worker-02", "worker-03"} {
		eventually(t, first.name+" leads "+worker, func() bool { return b.ledBy(first, worker) })
	}
	wrong := b.run(
		func(b *bench) { b.cell.Workers["worker-00"].SetFaults(standin.WorkerFaults{FailAll: true}) },
		func(b *bench) {
			b.cell.Workers["worker-00"].SetFaults(standin.WorkerFaults{})
			b.start(second)
		},
	)
	if wrong != (audit.ViolationsError{}) {
		b.logViolations()
	}
	require.Equal(t, audit.ViolationsError{}, wrong)
}
