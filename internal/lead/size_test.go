package lead_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/cell"
	"pollencroft/internal/lead"
)

// Guards against tasks placed by the size that a worker had when its lease was acquired.
func TestShrunkWorkerGetsNoMoreThanItsNewSize(t *testing.T) {
	f := newFleet(t, 1, nil)
	w := f.workers[0]
	resize := func(cores int64) {
		size := cell.Size{CPU: cores * 1000, Mem: cores << 30}
		w.Resize(size)
		f.SetLedMachines([]lead.Machine{{Name: "w0", Rack: "r", Address: f.addresses[0], Size: size}})
	}
	started := func() int { return len(w.Record().Started) }
	f.submit("a", "", cell.Urgent, 500, 1, time.Hour)
	f.until(func() bool { return started() == 1 })
	resize(2)
	f.submit("b", "", cell.Urgent, 500, 3, time.Hour)
	f.until(func() bool { return started() >= 2 })
	require.Never(t, func() bool { f.Tick(); return started() > 2 }, 300*time.Millisecond, 5*time.Millisecond)
	resize(1)
	resize(4)
	f.until(func() bool { return started() == 4 })
	require.Zero(t, w.Record().Overfilled)
	require.Empty(t, w.Record().Ended)
	require.Contains(t, f.notes("b"), "w0")
}

// The host list contains invalid sizes. Such workers get no work, and other workers are used as
// usual.
func TestInvalidWorkerSizeGivesNoCapacity(t *testing.T) {
	for _, size := range []cell.Size{
		{CPU: -4000, Mem: 4 << 30}, {CPU: 4000, Mem: -1}, {CPU: 4000, Mem: 4 << 30, Accel: -1}, {CPU: math.MaxInt64, Mem: 4 << 30},
		{CPU: 4000, Mem: math.MaxInt64}, {},
	} {
		f := newFleet(t, 2, nil)
		f.SetLedMachines([]lead.Machine{
			{Name: "w0", Rack: "r", Address: f.addresses[0], Size: size}, {Name: "w1", Rack: "r", Address: f.addresses[1], Size: fleetWorkerSize},
		})
		f.submit("a", "", cell.Bulk, 500, 3, time.Hour)
		f.until(func() bool { return len(f.workers[1].Record().Started) == 3 })
		require.Empty(t, f.workers[0].Record().Started, "%+v", size)
	}
}

// resume ends the pause of a host, which reads the list of workers before anything else.
func (h *history) resume() {
	name := h.host("host")
	h.paused[name] = false
	h.hosts[name].UpdateMachines(h.machines)
}

// resize changes the listed size of a worker and updates the hosts that are not paused.
func (h *history) resize() {
	i := rapid.IntRange(0, len(h.machines)-1).Draw(h.draw, "worker")
	part := rapid.SampledFrom([]float64{0, 0.5, 1, 1.5}).Draw(h.draw, "part")
	m := &h.machines[i]
	m.Size = pairWorkerSize.Scale(part)
	for _, name := range []string{"a", "b"} {
		if !h.paused[name] {
			h.hosts[name].UpdateMachines(h.machines)
		}
	}
	if h.actualSizes[m.Name].Fits(m.Size) {
		h.applySize(*m)
	}
}

// applySize gives a worker its listed size.
func (h *history) applySize(m lead.Machine) {
	h.actualSizes[m.Name] = m.Size
	h.workers[m.Name].Resize(m.Size)
}

// applyListedSizes shrinks workers to their listed sizes once no request sent earlier can still
// arrive.
func (h *history) applyListedSizes() {
	if h.paused["a"] || h.paused["b"] || len(h.queues["a"])+len(h.queues["b"])+len(h.delayed) > 0 {
		return
	}
	for _, m := range h.machines {
		h.applySize(m)
	}
}
