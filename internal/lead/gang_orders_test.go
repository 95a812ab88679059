package lead_test

import (
	"testing"
	"time"
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
