package lead_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/standin"
)

func sixteenthSizeJob(id string, tasks int, gang bool) job.Spec {
	return job.Spec{
		ID: "d.r." + id, Row: "batch", Tasks: tasks, Gang: gang, Size: cell.Size{CPU: pairWorkerSize.CPU / 16, Mem: pairWorkerSize.Mem / 16},
		Time: cell.Duration{Duration: 2 * time.Second}, Tries: 3, Class: cell.Bulk,
	}
}

func (p *pair) submitSpec(name string, spec job.Spec) {
	p.Helper()
	epoch, err := p.hosts[name].Check(spec)
	require.NoError(p, err)
	_, err = p.hosts[name].Submit(spec, epoch)
	require.NoError(p, err)
}

func (p *pair) setFailing(all bool) {
	for _, m := range p.machines {
		p.workers[m.Name].SetFaults(standin.WorkerFaults{FailAll: all})
	}
}

// Guards against good jobs that use up all their tries at once on a worker that fails everything
// for a few seconds and that they cannot do without.
func TestRetriesOutlastAWorkerThatFailsEverything(t *testing.T) {
	for name, c := range map[string]struct {
		workers, tasks int
		gang           bool
	}{
		"a gang that needs both workers":    {2, 12, true},
		"one task on the only worker":       {1, 1, false},
		"many tasks on the only worker":     {1, 6, false},
		"a gang on the only worker":         {1, 6, true},
		"many tasks beside another's tasks": {2, 12, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, c.workers)
			p.workers[p.machines[0].Name].SetFaults(standin.WorkerFaults{FailAll: true})
			p.submitSpec("a", sixteenthSizeJob("good", c.tasks, c.gang))
			p.run("a", 5*time.Second)
			p.setFailing(false)
			p.run("a", time.Minute)
			require.Equal(t, "ended", p.state("a", "good"))
		})
	}
}

// Guards against a task that its next leader sends back at once to the worker on which it has
// failed.
func TestRetriesOutlastAFailingWorkerAcrossAHandover(t *testing.T) {
	p := newPair(t, 1)
	p.setFailing(true)
	p.submitSpec("a", sixteenthSizeJob("good", 1, false))
	p.run("a", 500*time.Millisecond)
	started := func() int { return p.workers[p.machines[0].Name].Record().Started["d.r.good.0"] }
	require.Equal(t, 1, started())
	token, err := p.hosts["b"].ExpectHandover("a")
	require.Error(t, err, "b holds no worker")
	require.Empty(t, token)
	jobs, epoch := p.hosts["a"].HandOver([]string{"d.r.good"})
	require.NoError(t, p.hosts["a"].TakeBack(jobs, epoch))
	p.run("a", 2*time.Second)
	require.Equal(t, 1, started())
	p.setFailing(false)
	p.run("a", time.Minute)
	require.Equal(t, "ended", p.state("a", "good"))
}

// Guards against a job that fails on every worker and is retried without end, or more often than
// its class allows.
func TestJobThatFailsWhereverItRunsIsGivenUp(t *testing.T) {
	for workers := 1; workers <= 4; workers++ {
		for _, gang := range []bool{false, true} {
			p := newPair(t, workers)
			p.setFailing(true)
			p.submitSpec("a", sixteenthSizeJob("bad", 4, gang))
			p.run("a", 2*time.Minute)
			require.Equal(t, "failed", p.state("a", "bad"))
			require.LessOrEqual(t, p.maxStarts(), 3)
		}
	}
}

// Guards against a retry delay that continues although the worker completes tasks again.
func TestWorkerThatEndsAnotherTaskIsTriedAgainAtOnce(t *testing.T) {
	p := newPair(t, 1)
	p.setFailing(true)
	p.submitSpec("a", sixteenthSizeJob("good", 1, false))
	p.run("a", 500*time.Millisecond)
	p.setFailing(false)
	other := sixteenthSizeJob("other", 1, false)
	other.Time.Duration = 100 * time.Millisecond
	p.submitSpec("a", other)
	p.run("a", 5*time.Second)
	require.Equal(t, "ended", p.state("a", "good"))
}

// Guards against tries that are used up at once on a worker that fails everything, because tasks that
// it had before the fault end well after each failure.
func TestRetriesOutlastAFailingWorkerWhoseEarlierTasksEnd(t *testing.T) {
	p := newPair(t, 1)
	for i := range 6 {
		early := sixteenthSizeJob(fmt.Sprintf("early%d", i), 1, false)
		early.Time.Duration = time.Duration(i+2) * 200 * time.Millisecond
		p.submitSpec("a", early)
	}
	p.run("a", 300*time.Millisecond)
	p.setFailing(true)
	p.submitSpec("a", sixteenthSizeJob("good", 2, false))
	p.run("a", 5*time.Second)
	p.setFailing(false)
	p.run("a", time.Minute)
	require.Equal(t, "ended", p.state("a", "good"))
}
