package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
)

// Guards against accepted tasks that wait for good: their last starts never arrived, and the
// capacity of those starts is still taken when their job is inherited.
func TestExpiredStartsOfAnInheritedJobTakeNoCapacity(t *testing.T) {
	p := newPair(t, 2)
	a := p.hosts["a"]
	p.submitTasks("a", "lasting", 4, 31, time.Hour)
	p.run("a", time.Second)
	spec := p.spec("old")
	spec.Class, spec.Tasks = cell.Bulk, 15
	spec.Size, spec.Time = cell.Size{CPU: 109, Mem: 109}, cell.Duration{Duration: 2 * time.Second}
	epoch, err := a.Check(spec)
	require.NoError(t, err)
	_, err = a.Submit(spec, epoch)
	require.NoError(t, err)
	p.run("a", 500*time.Millisecond)
	require.Equal(t, map[string]int{"running": 7, "waiting": 8}, p.tasks("a", "old"))
	for p.tasks("a", "old")["ended"] == 0 {
		p.now = p.now.Add(100 * time.Millisecond)
		a.Tick()
		// The starts that follow the end of the first tasks are added to the queue meanwhile.
		exchanges := p.queues["a"]
		p.queues["a"] = nil
		for _, exchange := range exchanges {
			exchange()
		}
	}
	require.Equal(t, map[string]int{"ended": 7, "starting": 7, "waiting": 1}, p.tasks("a", "old"))
	p.queues["a"] = nil
	a.HandOver([]string{"d.r.old"})
	a.Inherit([]job.Spec{spec})
	p.run("a", 30*time.Second)
	require.Equal(t, map[string]int{"ended": 15}, p.tasks("a", "old"), "%v", a.Explain("d.r.old"))
	p.requireConsistent()
}

// Guards against a task that waits for good for capacity that its own expired start still takes.
func TestExpiredStartOfAnInheritedTaskTakesNoCapacity(t *testing.T) {
	p := newPair(t, 1)
	a := p.hosts["a"]
	p.unreachable["a"] = p.machines[0].Name
	p.submit("a", "old")
	p.runQueued("a")
	p.unreachable["a"] = ""
	a.HandOver([]string{"d.r.old"})
	a.Inherit([]job.Spec{p.spec("old")})
	p.run("a", 10*time.Second)
	require.Equal(t, "running", p.state("a", "old"), "%v", a.Explain("d.r.old"))
	p.requireConsistent()
}
