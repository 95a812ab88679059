package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// crowd plays work that all comes at once, as after an outage, and then steady work at
// share of what the cell can do, for a time. It returns how long each job took; one that
// goes on at the end counts as long as it has.
func crowd(t *testing.T, atOnce int, share float64, d time.Duration) (first, later []time.Duration) {
	const workers, perWorker = 4, 12
	b := newSimCell(t, workers)
	b.queues[0].Stretch, b.queues[0].Slack = 1.5, 500*time.Millisecond
	b.step(sched.Queues{Version: 2, All: b.queues})
	began, took := map[string]time.Time{}, map[string]time.Duration{}
	submit := func(id string) {
		began[id] = b.now
		b.submit(id, "scan", scan(6))
	}
	for i := range atOnce {
		submit(fmt.Sprintf("a%04d", i))
	}
	every := time.Duration(float64(scan(6).EstimatedTime) * 6 / (workers * perWorker) / share)
	for i := range int(d / every) {
		submit(fmt.Sprintf("b%04d", i))
		b.advance(every)
		for id, at := range began {
			if _, ok := took[id]; !ok && b.state(id) == flow.Completed {
				took[id] = b.now.Sub(at)
			}
		}
	}
	for id, at := range began {
		d, over := took[id]
		if !over {
			d = b.now.Sub(at)
		}
		if strings.HasPrefix(id, "a") {
			first = append(first, d)
		} else {
			later = append(later, d)
		}
	}
	require.Empty(t, b.violations)
	return first, later
}

func within(all []time.Duration, d time.Duration) int {
	n := 0
	for _, t := range all {
		if t <= d {
			n++
		}
	}
	return n
}

// A store that was away returns, and all who were refused come at once: twelve seconds of
// work. Newer callers keep the cell at nine tenths. With the oldest first each of them
// waits for the whole queue, and for minutes nobody is served in time, though there is
// room for nine in ten. With those first that can still be in time the newer ones hardly
// notice, but for the first seconds in which all can still be in time.
func TestNewWorkIsInTimeBesideWorkThatIsLateAnyway(t *testing.T) {
	_, later := crowd(t, 96, 0.9, 30*time.Second)
	n := within(later, 2*time.Second)
	require.Greater(t, n, len(later)*8/10, "%d of %d in time", n, len(later))
}

// Work that is late goes behind newer work, but not for good: after eight times what it
// should have taken an eighth of the workers is left to it. A caller whose job waited for
// as long as others come would never hear of it. More comes all the while than the cell
// can do.
func TestLateWorkIsNotLeftForGood(t *testing.T) {
	objective := 2 * time.Second
	first, _ := crowd(t, 96, 1.02, 140*time.Second)
	// The work of all, an eighth of the workers, and what the last tasks of each leave idle.
	work := 96 * 6 * scan(1).EstimatedTime
	bound := 8*objective + 8*work/(4*12)*5/4
	require.Equal(t, len(first), within(first, bound))
}
