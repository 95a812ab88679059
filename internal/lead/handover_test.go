package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
	"pollencroft/internal/lead"
)

// inheritRequest is the request of a peer that wants to inherit the job "old".
var inheritRequest = lead.InventoryRequest{Jobs: []string{"d.r.old"}, Waits: []string{"d.r.old"}}

// newSplitPair returns a pair in which host a holds the first worker and host b the second. Host a
// leads a job that runs on its worker.
func newSplitPair(t *testing.T) *pair {
	t.Helper()
	p := newPair(t, 2)
	p.hosts["a"].SetLedMachines(p.machines[:1])
	p.hosts["b"].SetLedMachines(p.machines[1:])
	p.run("ab", 5*time.Second)
	p.submit("a", "old")
	p.run("ab", time.Second)
	require.Equal(t, "running", p.state("a", "old"))
	return p
}

// Guards against a job with two leaders: a handover waits in the socket buffers of a paused host.
// The host first answers a third host that it does not lead the job, and then reads the handover.
func TestHandoverFromBeforeAnInventoryIsRefused(t *testing.T) {
	p := newSplitPair(t)
	token, err := p.hosts["b"].ExpectHandover("a")
	require.NoError(t, err)
	jobs, _ := p.hosts["a"].HandOver([]string{"d.r.old"})
	require.Empty(t, p.hosts["b"].Inventory("c", inheritRequest).Leads)
	require.ErrorAs(t, p.hosts["b"].Adopt("a", token, jobs), new(*lead.StaleHandoverError))
	require.False(t, p.hosts["b"].HasJob("d.r.old"))
	token, err = p.hosts["b"].ExpectHandover("a")
	require.NoError(t, err)
	require.NoError(t, p.hosts["b"].Adopt("a", token, jobs), "the handover is accepted with a new token")
}

// Guards against a job with two leaders, as above but without an inventory request: the third host
// already holds all workers and considers the paused host dead.
func TestHandoverFromBeforeTheLossOfAllWorkersIsRefused(t *testing.T) {
	p := newSplitPair(t)
	token, err := p.hosts["b"].ExpectHandover("a")
	require.NoError(t, err)
	jobs, _ := p.hosts["a"].HandOver([]string{"d.r.old"})
	p.run("a", 10*time.Second)
	p.run("ab", 5*time.Second)
	require.Len(t, p.hosts["b"].Held(), 1)
	require.ErrorAs(t, p.hosts["b"].Adopt("a", token, jobs), new(*lead.StaleHandoverError))
}

// Guards against a job with two leaders: a host that is handing over a job is paused, loses all its
// workers, and then continues the job from its outdated state.
func TestJobFromBeforeTheLossOfAllWorkersIsNotTakenBack(t *testing.T) {
	p := newSplitPair(t)
	jobs, epoch := p.hosts["a"].HandOver([]string{"d.r.old"})
	p.run("b", 10*time.Second)
	p.run("ab", 5*time.Second)
	require.ErrorAs(t, p.hosts["a"].TakeBack(jobs, epoch), new(*lead.NoWorkerError))
	require.False(t, p.hosts["a"].HasJob("d.r.old"))
}

// Guards against a job with two leaders: of two tokens issued to a host, only the later one is
// valid.
func TestSecondTokenReplacesTheFirst(t *testing.T) {
	p := newSplitPair(t)
	first, err := p.hosts["b"].ExpectHandover("a")
	require.NoError(t, err)
	second, err := p.hosts["b"].ExpectHandover("a")
	require.NoError(t, err)
	var none []job.Snapshot
	require.ErrorAs(t, p.hosts["b"].Adopt("a", first, none), new(*lead.StaleHandoverError))
	require.NoError(t, p.hosts["b"].Adopt("a", second, none))
	require.ErrorAs(t, p.hosts["b"].Adopt("a", second, none), new(*lead.StaleHandoverError), "a token is valid once")
}

// Guards against a task that runs twice: a host hands over a job whose next leader dies, and then
// reports to the leader after that a worker's list from before the job's task was started there.
func TestInventoryOmitsListsFromBeforeAStart(t *testing.T) {
	p := newPair(t, 1)
	a := p.hosts["a"]
	p.submit("a", "old")
	p.runQueued("a")
	require.Equal(t, "running", p.state("a", "old"))
	a.HandOver([]string{"d.r.old"})
	require.Empty(t, a.Inventory("b", inheritRequest).Workers)
	p.run("a", 300*time.Millisecond)
	views := a.Inventory("b", inheritRequest).Workers
	require.Len(t, views, 1, "the worker's list is read again at once")
	require.Len(t, views[0].Tasks, 1)
}

// Guards against a job with two leaders: a host builds an inventory request, then learns of a job
// that it should lead, and wrongly applies the answer to that job too.
func TestInventoryRequestedBeforeAJobDoesNotReleaseIt(t *testing.T) {
	p := newSplitPair(t)
	p.setBothAlive()
	b := p.hosts["b"]
	q := b.InventoryRequest()
	p.run("ab", 100*time.Millisecond)
	b.Inherit([]job.Spec{p.spec("old")})
	p.run("ab", 100*time.Millisecond)
	b.HandleInventory("a", q, p.hosts["a"].Inventory("b", q))
	p.run("ab", 100*time.Millisecond)
	require.Equal(t, []string{"d.r.old"}, b.AwaitingInventory())
}
