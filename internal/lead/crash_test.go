package lead_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/standin"
)

// setCrashRow makes each task of a row crash its worker the given time after its start.
func (p *pair) setCrashRow(row string, after time.Duration) {
	for _, w := range p.workers {
		w.SetFaults(standin.WorkerFaults{CrashRow: row, CrashAfter: after})
	}
}

// crashCount returns the number of crashes of all workers.
func (p *pair) crashCount() int {
	n := 0
	for _, w := range p.workers {
		n += w.Record().Crashed
	}
	return n
}

// maxStarts returns how often the task with the most starts was started.
func (p *pair) maxStarts() int {
	starts := map[string]int{}
	n := 0
	for _, w := range p.workers {
		for id, s := range w.Record().Started {
			starts[id] += s
			n = max(n, starts[id])
		}
	}
	return n
}

func quarterSizeJob(id, row string, tasks int, gang bool) job.Spec {
	return job.Spec{
		ID: "d.r." + id, Row: row, Tasks: tasks, Size: cell.Size{CPU: 250, Mem: 250},
		Time: cell.Duration{Duration: 5 * time.Second}, Tries: 3, Gang: gang,
	}
}

// submitQuarterSize submits a job whose tasks take a quarter of a worker each.
func (p *pair) submitQuarterSize(id, row string, tasks int, gang bool) {
	p.Helper()
	spec := quarterSizeJob(id, row, tasks, gang)
	epoch, err := p.hosts["a"].Check(spec)
	require.NoError(p, err)
	_, err = p.hosts["a"].Submit(spec, epoch)
	require.NoError(p, err)
}

// Guards against a task that is retried without end and crashes one worker after another.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, after := range []time.Duration{0, 10 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			p := newPair(t, 4)
			p.setCrashRow("bad", after)
			p.submitQuarterSize("bad", "bad", 1, false)
			p.run("a", 5*time.Minute)
			t.Logf("crashes: %d, starts of one task: %d", p.crashCount(), p.maxStarts())
			require.Equal(t, "failed", p.state("a", "bad"))
			require.LessOrEqual(t, p.crashCount(), 3)
			require.LessOrEqual(t, p.maxStarts(), 3)
		})
	}
}

// Guards against a gang that is retried without end and crashes workers each time.
func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	p := newPair(t, 4)
	p.setCrashRow("bad", 10*time.Millisecond)
	p.submitQuarterSize("bad", "bad", 3, true)
	p.run("a", 10*time.Minute)
	t.Logf("crashes: %d, starts of one task: %d", p.crashCount(), p.maxStarts())
	require.Equal(t, "failed", p.state("a", "bad"))
	require.LessOrEqual(t, p.crashCount(), 9)
}

// Guards against good jobs that fail, or never end, because they run beside jobs that crash
// workers.
func TestNeighboursOfCrashingTasksEnd(t *testing.T) {
	p := newPair(t, 8)
	p.setCrashRow("bad", 500*time.Millisecond)
	for i := range 20 {
		if i%10 == 0 {
			p.submitQuarterSize(fmt.Sprint("bad", i), "bad", 3, false)
		}
		p.submitQuarterSize(fmt.Sprint("good", i), "good", 2, false)
	}
	p.run("a", 10*time.Minute)
	t.Logf("crashes: %d, starts of one task: %d", p.crashCount(), p.maxStarts())
	for i := range 20 {
		if i%10 == 0 {
			require.Equal(t, "failed", p.state("a", fmt.Sprint("bad", i)))
		}
		require.Equal(t, "ended", p.state("a", fmt.Sprint("good", i)), i)
	}
	require.LessOrEqual(t, p.crashCount(), 18)
}

// Guards against a task that crashes the only worker of its leader again and again.
func TestCrashOfTheLastWorkerCounts(t *testing.T) {
	p := newPair(t, 1)
	p.setCrashRow("bad", 10*time.Millisecond)
	p.submitQuarterSize("bad", "bad", 1, false)
	p.runAndInherit(5*time.Minute, quarterSizeJob("bad", "bad", 1, false))
	t.Logf("crashes: %d, starts of one task: %d", p.crashCount(), p.maxStarts())
	require.Equal(t, "failed", p.state("a", "bad"))
	require.LessOrEqual(t, p.crashCount(), 3)
}

// Guards against crashes that are not counted because the worker stays away for longer than a
// lease.
func TestCrashOfAWorkerThatStaysAwayCounts(t *testing.T) {
	p := newPair(t, 4)
	for _, w := range p.workers {
		w.SetFaults(standin.WorkerFaults{CrashRow: "bad", CrashAfter: 10 * time.Millisecond, CrashAway: time.Minute})
	}
	p.submitQuarterSize("bad", "bad", 1, false)
	p.run("a", 20*time.Minute)
	t.Logf("crashes: %d, starts of one task: %d", p.crashCount(), p.maxStarts())
	require.Equal(t, "failed", p.state("a", "bad"))
	require.LessOrEqual(t, p.crashCount(), 5)
}

// moveToSecondRack puts all but the first workers into another rack.
func (p *pair) moveToSecondRack(first int) {
	for i := range p.machines[first:] {
		p.machines[first+i].Rack = "s"
	}
	p.hosts["a"].SetLedMachines(p.machines)
}

// runAndInherit advances the clock for host a, which keeps inheriting the jobs that it dropped, as
// real hosts do.
func (p *pair) runAndInherit(d time.Duration, specs ...job.Spec) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.run("a", 500*time.Millisecond)
		p.hosts["a"].Inherit(specs)
	}
}

// Guards against good jobs that fail because their rack loses power.
func TestLossOfAWholeRackDoesNotCountAgainstItsTasks(t *testing.T) {
	for _, others := range []int{0, 2} {
		p := newPair(t, 4+others)
		p.moveToSecondRack(4)
		specs := []job.Spec{quarterSizeJob("good", "good", 12, false), quarterSizeJob("gang", "good", 3, true)}
		for _, s := range specs {
			p.submitQuarterSize(strings.TrimPrefix(s.ID, "d.r."), s.Row, s.Tasks, s.Gang)
		}
		for range 4 {
			p.runAndInherit(3*time.Second, specs...)
			for _, m := range p.machines[:4] {
				p.workers[m.Name].Crash()
			}
		}
		p.runAndInherit(time.Minute, specs...)
		require.Equal(t, "ended", p.state("a", "good"), others)
		require.Equal(t, "ended", p.state("a", "gang"), others)
	}
}

// Guards against a job that is retried without end because it crashes all workers of a rack at
// once, which looks like a power loss.
func TestGangThatCrashesAWholeRackIsGivenUp(t *testing.T) {
	p := newPair(t, 2)
	p.setCrashRow("bad", 10*time.Millisecond)
	p.submitQuarterSize("bad", "bad", 8, true)
	p.runAndInherit(10*time.Minute, quarterSizeJob("bad", "bad", 8, true))
	t.Logf("crashes: %d, starts of one task: %d", p.crashCount(), p.maxStarts())
	require.Equal(t, "failed", p.state("a", "bad"))
	require.LessOrEqual(t, p.maxStarts(), 6)
}

// crashedTogether returns, for each crash of a task by its time, how many of the other tasks
// crashed with it.
func (p *pair) crashedTogether(id string, others ...string) map[time.Time]int {
	all := map[time.Time]int{}
	for _, w := range p.workers {
		for _, s := range w.History(id) {
			if s.What != standin.TaskCrashed {
				continue
			}
			all[s.At] = 0
			for _, other := range others {
				for _, o := range w.History(other) {
					if o.What == standin.TaskCrashed && o.At.Equal(s.At) {
						all[s.At]++
					}
				}
			}
		}
	}
	return all
}

// Guards against other tasks that crash together with a task already known to crash its workers.
func TestTaskThatCrashedTwiceRunsAlone(t *testing.T) {
	p := newPair(t, 4)
	p.setCrashRow("bad", 3*time.Second)
	p.submitQuarterSize("good", "good", 80, false)
	p.submitQuarterSize("bad", "bad", 1, false)
	for p.maxStarts() < 3 {
		p.run("a", 100*time.Millisecond)
	}
	p.submitQuarterSize("late", "good", 80, false)
	p.run("a", 5*time.Minute)
	var others []string
	for i := range 80 {
		others = append(others, job.TaskID("d.r.good", i), job.TaskID("d.r.late", i))
	}
	together := p.crashedTogether("d.r.bad.0", others...)
	times := slices.SortedFunc(maps.Keys(together), time.Time.Compare)
	t.Logf("crashed together: %v", together)
	require.Len(t, times, 3)
	require.Positive(t, together[times[0]], "at its first crash the task is not known to crash workers")
	require.Zero(t, together[times[2]])
	require.Equal(t, "ended", p.state("a", "good"))
	require.Equal(t, "ended", p.state("a", "late"))
	require.Equal(t, "failed", p.state("a", "bad"))
}

// Guards against a task that runs twice because an inventory ignored the list of a new incarnation.
func TestListOfANewIncarnationCountsForTheInventoryAtOnce(t *testing.T) {
	p := newPair(t, 2)
	p.hosts["a"].SetLedMachines(p.machines[1:])
	p.workers[p.machines[0].Name].Crash()
	p.hosts["b"].SetLedMachines(p.machines[:1])
	p.run("ab", 10*time.Second)
	p.submit("b", "old")
	p.run("ab", time.Second)
	require.Equal(t, "running", p.state("b", "old"))
	p.hosts["a"].SetLedMachines(p.machines)
	p.hosts["a"].Inherit([]job.Spec{p.spec("old")})
	p.run("a", 10*time.Second)
	require.Equal(t, "running", p.state("a", "old"))
	p.requireConsistent()
}
