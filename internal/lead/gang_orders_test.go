package lead_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
)

// Guards against a gang of which some tasks wait forever without a placement request: its other tasks
// run on workers that are silent for a moment, are to be paused and end before they can be.
func TestGangGoesOnWhenItsLastPausedTaskEnds(t *testing.T) {
	g := newGangPair(t, 4)
	g.fail(0, true)
	g.submitSpec("a", gangSpec())
	g.runQueued("a")
	g.silence(true, 2)
	g.run("a", 3200*time.Millisecond)
	g.silence(false, 2)
	g.fail(0, false)
	g.requireGangEnds("a", "a")
}

// Guards against the same wait without a silent worker: a task ends after its worker was last read and
// before the request to pause it arrives.
func TestGangGoesOnWhenATaskEndsBeforeItsPauseArrives(t *testing.T) {
	g := newGangPair(t, 4)
	g.fail(0, true)
	g.submitSpec("a", gangSpec())
	g.runQueued("a")
	for range 3 {
		g.hosts["a"].Tick()
		g.runQueued("a")
	}
	// Until the host is scheduled again, its reads and requests wait, and the tasks end.
	g.now = g.now.Add(400 * time.Millisecond)
	g.hosts["a"].Tick()
	for range 4 {
		f := g.queues["a"][0]
		g.queues["a"] = g.queues["a"][1:]
		f()
	}
	g.now = g.now.Add(2800 * time.Millisecond)
	g.runQueued("a")
	g.fail(0, false)
	g.requireGangEnds("a", "a")
}

// Guards against a gang that waits for minutes because one of the two workers that its leader has
// left is quarantined for long: six of its tasks failed there at once, and those that were reported
// after the quarantine began counted as one failed trial each.
func TestGangDoesNotWaitForMinutesForAWorkerThatFailedItsTasksAtOnce(t *testing.T) {
	g := newGangPair(t, 4)
	warm := gangSpec()
	warm.ID = "d.r.warm"
	g.submitSpec("a", warm)
	g.run("a", 6*time.Second)
	require.Equal(t, "ended", g.state("a", "warm"))
	g.fail(1, true)
	g.submitSpec("a", gangSpec())
	// Other tasks keep the gang from the workers on which it has not failed.
	bulk := job.Spec{ID: "d.r.bulk", Row: "batch", Tasks: 7, Size: part(8), Time: cell.Duration{Duration: 6 * time.Second}, Tries: 3, Class: cell.Bulk}
	g.submitSpec("a", bulk)
	g.run("a", time.Second)
	g.hosts["a"].SetLedMachines(g.rack(0, 2))
	g.hosts["b"].SetLedMachines(g.rack(2, 4))
	g.exchangeInventories(2 * time.Second)
	g.fail(1, false)
	g.exchangeInventories(5 * time.Second)
	require.Equal(t, "ended", g.state("a", "bulk"))
	require.Len(t, g.hosts["a"].Jobs.WaitingTasks("d.r.gang"), 12)
	g.requireGangEnds("ab", "a")
}

// Guards against a gang that waits until it is overdue although its declared size fits at once: tasks
// of unknown duration lie on a worker on which it has not failed.
func TestGangThatAvoidsAWorkerIsNotKeptWaitingByFoundTasks(t *testing.T) {
	g := newGangPair(t, 4)
	g.submitSpec("a", watcherSpec("watch", 4))
	g.run("a", 3*time.Second)
	g.hosts["a"].SetLedMachines(nil)
	g.hosts["b"].SetLedMachines(g.machines)
	g.run("ab", 8*time.Second)
	require.Len(t, g.hosts["b"].Held(), 4)
	g.fail(1, true)
	g.submitSpec("b", gangSpec())
	g.run("ab", 3*time.Second)
	g.fail(1, false)
	g.requireGangEnds("ab", "b")
}
