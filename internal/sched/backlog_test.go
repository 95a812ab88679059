package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// newOverloadedCell returns a cell with 48 slots for urgent tasks of one second. The organisation
// "small" has a rate; "large" has none. Both send jobs of five tasks for a while, "large" 4 per
// second and "small" at the given interval.
func newOverloadedCell(t *testing.T, weight float64, every, length time.Duration) *simCell {
	b := newSimCell(t, 4)
	b.quotas = map[string]cell.Size{"small": {}, "large": {}}
	b.queues[0].Stretch, b.queues[0].Slack = 1.5, 2*time.Second
	b.setWeights(map[string]float64{"small": weight})
	const tick = 10 * time.Millisecond
	for n, at := 0, time.Duration(0); at < length; n, at = n+1, at+tick {
		b.organisation = "large"
		if at%(250*time.Millisecond) == 0 {
			b.submit(fmt.Sprintf("large%04d", n), "scan", scan(5))
		}
		b.organisation = "small"
		if at%every == 0 {
			b.submit(fmt.Sprintf("small%04d", n), "scan", scan(5))
		}
		if at%(500*time.Millisecond) == 0 {
			b.core.Load(b.now)
		}
		b.advance(tick)
	}
	return b
}

// A burst of urgent jobs of one organisation at several times its rate. Guards against a load that
// is not reported, and against one that names an organisation that keeps to its rate.
func TestBurstOfAnOrganisationIsReported(t *testing.T) {
	b := newOverloadedCell(t, 5, 30*time.Millisecond, 6*time.Second)
	snap := b.core.Load(b.now)
	require.NotNil(t, snap)
	require.Equal(t, b.term, snap.Term)
	require.Len(t, snap.Loads, 1)
	l := snap.Loads[0]
	require.Equal(t, "scan/small", l.Queue+"/"+l.Organisation)
	require.InDelta(t, -20, l.Balance, 1)
	require.Equal(t, 5, int(l.Rate))
	require.Equal(t, scan(1).Size, l.Need)
	require.Equal(t, cell.Size{CPU: 64_000, Mem: 256 << 30}, l.Largest)
	require.InDelta(t, 1, l.Times.Usual.Seconds(), 0.01)
	require.InDelta(t, 1, l.Times.Expected.Seconds(), 0.2)
	// "large" takes at most 20 of the 48 slots each second.
	perSecond := float64(l.Tasks) / l.Wait.Seconds()
	require.True(t, 20 <= perSecond && perSecond <= 55, "%.1f tasks per second: %+v", perSecond, l)
	require.NotEmpty(t, snap.Queues)
	require.Empty(t, b.violations)
}

// Guards against a load that is reported without a shortage, or without rates.
func TestNoLoadIsReportedWithoutAShortage(t *testing.T) {
	b := newOverloadedCell(t, 1, 200*time.Millisecond, 5*time.Second)
	require.Empty(t, b.core.Load(b.now).Loads, "capacity is free")
	b = newOverloadedCell(t, 5, 30*time.Millisecond, 5*time.Second)
	require.NotEmpty(t, b.core.Load(b.now).Loads)
	b.setWeights(map[string]float64{"small": 1000})
	b.advance(2500 * time.Millisecond)
	require.Empty(t, b.core.Load(b.now).Loads, "the organisation is within its rate again")
	b.setWeights(nil)
	require.Nil(t, b.core.Load(b.now))
}

// The leader changes during a shortage. Guards against a load that the next leader reports before it
// has measured it, or from a measurement that was interrupted.
func TestNewLeaderMeasuresBeforeItReports(t *testing.T) {
	b := newOverloadedCell(t, 5, 30*time.Millisecond, 5*time.Second)
	require.NotEmpty(t, b.core.Load(b.now).Loads)
	b.takeover()
	reported := -1
	for i := range 30 {
		if len(b.core.Load(b.now).Loads) > 0 && reported < 0 {
			reported = i
		}
		b.organisation = "small"
		for k := range 4 {
			b.submit(fmt.Sprintf("again%02d-%d", i, k), "scan", scan(5))
		}
		b.advance(100 * time.Millisecond)
	}
	require.True(t, reported >= 10, "reported after %d00 ms", reported)
	b.advance(4 * time.Second)
	require.Empty(t, b.core.Load(b.now).Loads, "not measured for a while")
	b.step(sched.Tick{})
	require.Empty(t, b.violations)
}

// One organisation sends bulk at three times what the cell can run, and its tasks start twenty at a
// time, six seconds apart. Guards against an expected wait that is longer than the true one, by which
// jobs would be rejected that could end in time.
func TestExpectedWaitIsALowerBound(t *testing.T) {
	b := newSimCell(t, 4)
	b.quotas = map[string]cell.Size{"small": {}}
	b.queues[1].Stretch, b.queues[1].Slack = 2.2, 1200*time.Millisecond
	b.setWeights(map[string]float64{"small": 0.1})
	b.organisation = "small"
	reports := 0
	for n := range 120 {
		b.submit(fmt.Sprintf("b%04d", n), "print", bulk(5))
		for _, l := range b.core.Load(b.now).Loads {
			reports++
			wait := float64(l.Tasks) * 6 / 20
			require.LessOrEqual(t, l.Wait.Seconds(), 1.1*wait)
			if n >= 40 {
				require.GreaterOrEqual(t, l.Wait.Seconds(), 0.6*wait)
			}
		}
		b.advance(500 * time.Millisecond)
	}
	require.Greater(t, reports, 80)
	require.Empty(t, b.violations)
}

// Guards against rejections while capacity is free: tasks that no worker can run, or that their step
// keeps apart, wait beside free workers, and a new job does not wait behind them.
func TestTasksThatTakeNoFreeCapacityAreNoBacklog(t *testing.T) {
	for name, change := range map[string]func(*flow.Step){
		"label":          func(st *flow.Step) { st.Label = "gpu" },
		"size":           func(st *flow.Step) { st.Size.CPU = 1_000_000 },
		"max per worker": func(st *flow.Step) { st.MaxPerWorker = 1 },
		"gang":           func(st *flow.Step) { st.Gang = true },
	} {
		t.Run(name, func(t *testing.T) {
			b := newSimCell(t, 4)
			b.quotas = map[string]cell.Size{"small": {}}
			b.queues[0].Stretch, b.queues[0].Slack = 1.5, 20*time.Second
			b.setWeights(map[string]float64{"small": 0.5})
			b.organisation = "small"
			step := scan(900)
			change(&step)
			b.submit("blocked", "scan", step)
			for i := range 30 {
				b.submit(fmt.Sprintf("free%02d", i), "scan", scan(1))
				require.Empty(t, b.core.Load(b.now).Loads)
				b.advance(100 * time.Millisecond)
			}
			require.Empty(t, b.violations)
		})
	}
}
