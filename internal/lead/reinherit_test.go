package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
)

// submitTasks submits a job of n tasks that use that much of each resource for the given time.
func (p *pair) submitTasks(name, id string, n int, size int64, runTime time.Duration) job.Spec {
	p.Helper()
	spec := p.spec(id)
	spec.Tasks, spec.Size, spec.Time = n, cell.Size{CPU: size, Mem: size}, cell.Duration{Duration: runTime}
	epoch, err := p.hosts[name].Check(spec)
	require.NoError(p, err)
	_, err = p.hosts[name].Submit(spec, epoch)
	require.NoError(p, err)
	return spec
}

// newPairWithMeasuredRow returns a pair whose host a has measured what the row's tasks use.
func newPairWithMeasuredRow(t *testing.T, workers int) *pair {
	t.Helper()
	p := newPair(t, workers)
	p.submitTasks("a", "measured", 8, 100, 2*time.Second)
	p.run("a", 20*time.Second)
	require.Equal(t, "ended", p.state("a", "measured"))
	return p
}

// Guards against tasks that run twice and overfilled workers: a host hands a job over without an
// answer, inherits the job itself, and relies on lists from before it started the job's tasks.
func TestHostThatInheritsItsOwnJobReadsItsWorkersFirst(t *testing.T) {
	p := newPairWithMeasuredRow(t, 1)
	a := p.hosts["a"]
	spec := p.submitTasks("a", "old", 5, 130, time.Minute)
	p.runQueued("a")
	require.Equal(t, map[string]int{"running": 5}, p.tasks("a", "old"))
	a.HandOver([]string{"d.r.old"})
	a.Inherit([]job.Spec{spec})
	p.now = p.now.Add(time.Millisecond)
	a.LogRead(p.now)
	require.Equal(t, []string{"d.r.old"}, a.AwaitingInventory())
	p.run("a", 5*time.Second)
	require.Equal(t, map[string]int{"running": 5}, p.tasks("a", "old"))
	p.requireConsistent()
}

// Guards against a task that runs twice, as above with a start that arrives after the worker was
// read again.
func TestHostThatInheritsItsOwnJobWaitsForStartsInFlight(t *testing.T) {
	p := newPair(t, 2)
	a := p.hosts["a"]
	p.submit("a", "old")
	require.NotEmpty(t, p.queues["a"])
	inFlight := p.queues["a"]
	p.queues["a"] = nil
	a.HandOver([]string{"d.r.old"})
	a.Inherit([]job.Spec{p.spec("old")})
	p.run("a", 500*time.Millisecond)
	p.queues["a"] = append(p.queues["a"], inFlight...)
	p.run("a", 10*time.Second)
	require.Equal(t, "running", p.state("a", "old"))
	p.requireConsistent()
}

func (p *pair) tasks(name, id string) map[string]int {
	s, _ := p.hosts[name].Status("d.r." + id)
	return s.Tasks
}
