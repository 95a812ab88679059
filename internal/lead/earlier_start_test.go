package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/lead"
	"pollencroft/internal/standin"
)

// idleWorker returns the worker that has not started any task.
func (p *pair) idleWorker() lead.Machine {
	p.Helper()
	for _, m := range p.machines {
		if len(p.workers[m.Name].Record().Started) == 0 {
			return m
		}
	}
	p.Fatal("no worker is idle")
	return lead.Machine{}
}

// startedOn returns the worker that started a job's task.
func (p *pair) startedOn(id string) lead.Machine {
	p.Helper()
	for _, m := range p.machines {
		if p.workers[m.Name].Record().Started["d.r."+id+".0"] > 0 {
			return m
		}
	}
	p.Fatal("no worker has started " + id)
	return lead.Machine{}
}

// newPairAfterFailure returns a pair in which host a has handed the job "old" over to host b. Its
// task has failed on the worker bad, which still lists the failure but works again. Host b leads
// another worker, which runs the job "two".
func newPairAfterFailure(t *testing.T) (p *pair, bad lead.Machine) {
	p = newPair(t, 3)
	a, b := p.hosts["a"], p.hosts["b"]
	p.submit("a", "one")
	p.submit("a", "two")
	p.run("a", time.Second)
	bad = p.idleWorker()
	a.SetLedMachines([]lead.Machine{p.startedOn("one"), bad})
	b.SetLedMachines([]lead.Machine{p.startedOn("two")})
	p.run("ab", 5*time.Second)
	p.workers[bad.Name].SetFaults(standin.WorkerFaults{FailAll: true})
	p.submit("a", "old")
	waiting := func() int { s, _ := a.Status("d.r.old"); return s.Tasks["waiting"] }
	for p.run("a", 100*time.Millisecond); waiting() == 0; {
		p.run("a", 100*time.Millisecond)
	}
	p.workers[bad.Name].SetFaults(standin.WorkerFaults{})
	p.handOver("a", "b", "d.r.old", "d.r.two")
	return p, bad
}

// Guards against a task that runs twice: a new leader starts a task on a worker that still lists an
// earlier, failed start of it, and mistakes that entry for the end of the new start.
func TestListedEarlierStartDoesNotEndTheNextStart(t *testing.T) {
	p, bad := newPairAfterFailure(t)
	a, b := p.hosts["a"], p.hosts["b"]
	a.SetLedMachines([]lead.Machine{p.startedOn("one")})
	b.SetLedMachines([]lead.Machine{p.startedOn("two"), bad})
	p.run("ab", 300*time.Millisecond)
	_, err := b.Cancel("d.r.two")
	require.NoError(t, err)
	p.run("ab", 30*time.Second)
	require.Equal(t, "running", p.state("b", "old"))
	p.requireConsistent()
}

// Guards against an overfilled worker: the entry of a task's earlier, failed start frees the
// capacity reserved for the start in flight, and another job gets that capacity.
func TestListedEarlierStartFreesNoCapacity(t *testing.T) {
	p, bad := newPairAfterFailure(t)
	a, b := p.hosts["a"], p.hosts["b"]
	p.submit("b", "next")
	a.SetLedMachines([]lead.Machine{p.startedOn("one")})
	b.SetLedMachines([]lead.Machine{p.startedOn("two"), bad})
	p.run("ab", 30*time.Second)
	p.requireConsistent()
}
