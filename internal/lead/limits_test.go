package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/lead"
	"pollencroft/internal/table"
)

// limitedPair returns a pair with a row that may run one task at a time. The first worker is the
// arbiter of the row.
func limitedPair(t *testing.T, workers int) *pair {
	t.Helper()
	p := newPair(t, workers)
	p.limitRow()
	return p
}

// limitRow lets the row run one task at a time.
func (p *pair) limitRow() {
	for _, l := range p.hosts {
		l.Row = func(name string) (table.Row, int64) {
			return table.Row{Name: name, Class: "normal", Limits: table.Limits{Tasks: 1}}, 1
		}
		l.LimitKey = func(row table.Row) string { return map[string]string{"scan": "row scan"}[row.Name] }
		l.Arbiters = func(string) []string { return []string{p.machines[0].Name} }
	}
}

// assign sets the workers that each host leads.
func (p *pair) assign(a, b []lead.Machine) {
	p.hosts["a"].SetLedMachines(a)
	p.hosts["b"].SetLedMachines(b)
	p.runTogether(5 * time.Second)
}

// runTogether advances the clock for both hosts, which exchange inventories.
func (p *pair) runTogether(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.run("ab", 500*time.Millisecond)
		for _, name := range []string{"a", "b"} {
			p.askPeer(name)
		}
	}
}

// askPeer lets a host ask the other one for its inventory.
func (p *pair) askPeer(name string) {
	q := p.hosts[name].InventoryRequest()
	p.hosts[name].HandleInventory(other(name), q, p.hosts[other(name)].Inventory(name, q))
}

// submitLimited submits a job of the limited row with one small task.
func (p *pair) submitLimited(name, id string) {
	p.Helper()
	spec := p.spec(id)
	spec.Size = cell.Size{CPU: 100, Mem: 100}
	epoch, err := p.hosts[name].Check(spec)
	require.NoError(p, err)
	_, err = p.hosts[name].Submit(spec, epoch)
	require.NoError(p, err)
}

// runningTasks counts the running tasks of all workers.
func (p *pair) runningTasks() int {
	n := 0
	for _, w := range p.workers {
		rec := w.Record()
		for id := range rec.Started {
			if rec.Ended[id] == "" {
				n++
			}
		}
	}
	return n
}

func (p *pair) setBothAlive() {
	var names []string
	for _, m := range p.machines {
		names = append(names, m.Name)
	}
	p.hosts["a"].SetDomain(names, []string{"b"})
	p.hosts["b"].SetDomain(names, []string{"a"})
}

// Guards against an exceeded limit of a row when two hosts both believe that they lead the row's
// rack and both accept its jobs.
func TestOnlyTheHolderOfItsArbiterStartsARow(t *testing.T) {
	p := limitedPair(t, 2)
	p.setBothAlive()
	p.assign(p.machines[:1], p.machines[1:])
	p.submitLimited("b", "one")
	p.submitLimited("a", "two")
	p.submitLimited("b", "three")
	p.runTogether(20 * time.Second)
	require.Equal(t, 1, p.runningTasks())
	require.Equal(t, "running", p.state("a", "two"))
	notes := p.hosts["b"].Explain("d.r.one")
	require.Equal(t, "the host that holds "+p.machines[0].Name+" counts row scan", notes[len(notes)-1].Message)
}

// fillFirstWorker makes host a lead only the first worker and fills it with a task of another row,
// so that tasks of the limited row run on other workers.
func (p *pair) fillFirstWorker() {
	p.Helper()
	p.assign(p.machines[:1], nil)
	spec := p.spec("full")
	spec.Row = "other"
	epoch, err := p.hosts["a"].Check(spec)
	require.NoError(p, err)
	_, err = p.hosts["a"].Submit(spec, epoch)
	require.NoError(p, err)
	p.runTogether(time.Second)
}

// Guards against an exceeded limit of a row when the row's arbiter changes its holder while a task
// of the row runs on another worker of the previous holder.
func TestNextHolderCountsTasksOnOtherHostsWorkers(t *testing.T) {
	p := limitedPair(t, 3)
	p.setBothAlive()
	p.fillFirstWorker()
	p.assign(p.machines[:2], p.machines[2:])
	p.submitLimited("a", "one")
	p.runTogether(2 * time.Second)
	require.Equal(t, p.machines[1].Name, p.startedOn("one").Name)
	p.assign(p.machines[1:2], []lead.Machine{p.machines[0], p.machines[2]})
	p.submitLimited("b", "two")
	p.submitLimited("a", "three")
	p.runTogether(20 * time.Second)
	require.Equal(t, 2, p.runningTasks(), "the task that fills the first worker and one task of the row")
	_, err := p.hosts["a"].Cancel("d.r.one")
	require.NoError(t, err)
	p.runTogether(10 * time.Second)
	require.Equal(t, "running", p.state("b", "two"), "the second task starts once the first has ended")
	require.Equal(t, 2, p.runningTasks())
}

// countRow lets host a count the limited row: a task of the row runs and is cancelled.
func (p *pair) countRow() {
	p.Helper()
	p.submitLimited("a", "zero")
	p.runTogether(2 * time.Second)
	_, err := p.hosts["a"].Cancel("d.r.zero")
	require.NoError(p, err)
	p.runTogether(2 * time.Second)
}

// Guards against an exceeded limit of a row when a start is decided and is sent only after another
// host has acquired the row's arbiter.
func TestStartOfALimitedRowExpiresWithItsArbitersLease(t *testing.T) {
	p := limitedPair(t, 2)
	p.setBothAlive()
	p.fillFirstWorker()
	p.assign(p.machines, nil)
	p.countRow()
	p.unreachable["a"] = p.machines[0].Name
	p.run("a", 2*time.Second)
	p.unreachable["a"] = ""
	p.submitLimited("a", "one")
	require.NotEmpty(t, p.queues["a"], "the start is decided and not sent")
	p.hosts["b"].SetLedMachines(p.machines[:1])
	p.run("b", 1500*time.Millisecond)
	require.Len(t, p.hosts["b"].Held(), 1)
	p.runQueued("a")
	require.Equal(t, 1, p.lateStarts())
}

// Guards against rows with a limit that never run again because their arbiter is on the host list
// but has been silent for longer than any lease.
func TestSilentArbiterDoesNotBlockItsRow(t *testing.T) {
	p := limitedPair(t, 2)
	for _, l := range p.hosts {
		l.Arbiters = func(string) []string { return []string{p.machines[0].Name, p.machines[1].Name} }
	}
	p.unreachable["a"] = p.machines[0].Name
	p.run("a", 10*time.Second)
	p.submitLimited("a", "one")
	p.run("a", 2*time.Second)
	require.Zero(t, p.runningTasks())
	p.run("a", 2*time.Minute)
	require.Equal(t, 1, p.runningTasks())
}

// Guards against a job that keeps a limit that was lifted: the limit holds only for less than the time
// between two comparisons with the table, and the rule before and after it is the same.
func TestAShortLimitIsLiftedFromJobsThatWaitForIt(t *testing.T) {
	p := newPair(t, 1)
	limit := int64(2)
	p.hosts["a"].Row = func(name string) (table.Row, int64) {
		return table.Row{Name: name, Class: "normal", Limits: table.Limits{Tasks: limit}}, 1
	}
	for _, id := range []string{"one", "two", "three"} {
		p.submitLimited("a", id)
	}
	p.run("a", 3*time.Second)
	require.Equal(t, 2, p.runningTasks())
	for _, id := range []string{"three", "two"} {
		_, err := p.hosts["a"].Cancel("d.r." + id)
		require.NoError(t, err)
	}
	p.run("a", 3*time.Second)
	require.Equal(t, 1, p.runningTasks())
	limit = 1
	p.submitLimited("a", "four")
	limit = 2
	p.run("a", 10*time.Second)
	require.Equal(t, 2, p.runningTasks())
}
