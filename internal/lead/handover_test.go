package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
	"pollencroft/internal/lead"
)

// inheritRequest is a question for the job that a peer wants to inherit.
var inheritRequest = lead.InventoryRequest{Jobs: []string{"d.r.old"}, Waits: []string{"d.r.old"}}

// newSplitPair gives host a the first worker and host b the second; a leads a job that runs on its own.
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

// Guards against a job with two leads: a hand-over lies in the sockets of a paused host, which
// first tells a third host that it does not lead the job, and then reads it.
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
	require.NoError(t, p.hosts["b"].Adopt("a", token, jobs), "sent anew it is taken")
}

// Guards against a job with two leads: the same without a question, since the third host has all
// workers by now and takes the paused one for gone.
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

// Guards against a job with two leads: a host that hands a job over is paused, loses all its
// workers, and goes on with the job as it knew it.
func TestJobFromBeforeTheLossOfAllWorkersIsNotTakenBack(t *testing.T) {
	p := newSplitPair(t)
	jobs, epoch := p.hosts["a"].HandOver([]string{"d.r.old"})
	p.run("b", 10*time.Second)
	p.run("ab", 5*time.Second)
	require.ErrorAs(t, p.hosts["a"].TakeBack(jobs, epoch), new(*lead.NoWorkerError))
	require.False(t, p.hosts["a"].HasJob("d.r.old"))
}

// Guards against a job with two leads: of two tokens that a host was given, only the later counts.
func TestSecondTokenReplacesTheFirst(t *testing.T) {
	p := newSplitPair(t)
	first, err := p.hosts["b"].ExpectHandover("a")
	require.NoError(t, err)
	second, err := p.hosts["b"].ExpectHandover("a")
	require.NoError(t, err)
	var none []job.Snapshot
	require.ErrorAs(t, p.hosts["b"].Adopt("a", first, none), new(*lead.StaleHandoverError))
	require.NoError(t, p.hosts["b"].Adopt("a", second, none))
	require.ErrorAs(t, p.hosts["b"].Adopt("a", second, none), new(*lead.StaleHandoverError), "it counts once")
}

// Guards against a task that runs twice: a host hands over a job whose next lead dies, and tells
// the one after it what a worker listed before the host had started the job's task there.
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
	require.Len(t, views, 1, "its list is read at once")
	require.Len(t, views[0].Tasks, 1)
}

// Guards against a job with two leads: a host puts its question together, finds a job that it
// should lead, and takes the answer for one about that job too.
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
