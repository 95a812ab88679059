package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
)

// newPairAfterExpiry returns a host whose only worker lists a task as expired: the host was paused
// for longer than the task's first lease. The host inherits the task's job.
func newPairAfterExpiry(t *testing.T) *delayingTransport {
	t.Helper()
	net := newDelayedPair(t)["a"]
	p, a := net.pair, net.hosts["a"]
	p.submit("a", "old")
	p.runQueued("a")
	require.Equal(t, "running", p.state("a", "old"))
	p.now = p.now.Add(4 * time.Second)
	a.Tick()
	p.runQueued("a")
	require.False(t, a.HasJob("d.r.old"), "the host lost its worker")
	a.Inherit([]job.Spec{p.spec("old")})
	return net
}

func (p *pair) starts(id string) int {
	return p.workers[p.machines[0].Name].Record().Started["d.r."+id+".0"]
}

// Guards against an overfilled worker: a job is handed over, and a list from before its task was
// started again frees the capacity of the task that runs.
func TestListFromBeforeAStartFreesNoCapacityOfADroppedJob(t *testing.T) {
	p := newPairAfterExpiry(t).pair
	for p.starts("old") < 2 {
		p.run("a", 100*time.Millisecond)
	}
	p.hosts["a"].HandOver([]string{"d.r.old"})
	p.hosts["a"].Inherit([]job.Spec{p.spec("other")})
	p.submit("a", "next")
	p.runQueued("a")
	p.requireConsistent()
}

// Guards against a task that runs twice on one worker, which it overfills: the last list is from
// before the task was started again, and is read again when another job is inherited.
func TestListFromBeforeAStartDoesNotEndIt(t *testing.T) {
	p := newPairAfterExpiry(t).pair
	for p.starts("old") < 2 {
		p.run("a", 100*time.Millisecond)
	}
	p.hosts["a"].Inherit([]job.Spec{p.spec("other")})
	p.run("a", 5*time.Second)
	require.Equal(t, "running", p.state("a", "old"))
	p.requireConsistent()
}

// The capacity of a dropped job's task is free again once its start has expired.
func TestCapacityOfAnExpiredStartOfADroppedJobIsFreed(t *testing.T) {
	net := newPairAfterExpiry(t)
	p := net.pair
	net.path = "/tasks"
	for len(net.held) == 0 {
		p.run("a", 100*time.Millisecond)
	}
	net.path = ""
	p.hosts["a"].HandOver([]string{"d.r.old"})
	p.submit("a", "next")
	p.run("a", 10*time.Second)
	net.deliverHeld()
	require.Equal(t, 1, p.starts("old"))
	require.Equal(t, "running", p.state("a", "next"))
	p.requireConsistent()
}
