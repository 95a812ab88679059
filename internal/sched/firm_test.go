package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// workload is a queue, its arrival rate in jobs per second, the share of workers that are allowed
// for its steps, and a generator of steps.
type workload struct {
	queue        flow.Queue
	rate         float64
	allowedShare float64
	step         func(r *rand.Rand) flow.Step
}

func jitter(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + r.Float64()))
}

// firmWorkloads returns the workloads of an inspection firm with 252 workers for reports and 98
// with eight GPUs each, as given in its data sheet: arrival rates, numbers of tasks, sizes, query
// costs and shares of allowed workers.
func firmWorkloads() []workload {
	advice := func(base, each time.Duration) *flow.Advice {
		return &flow.Advice{Base: base, PerWorker: each, Valid: 2 * time.Second}
	}
	const us = time.Microsecond
	return []workload{
		{
			flow.Queue{Name: "summary", Service: "desk", Attempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond, Advice: advice(12*time.Millisecond, 180*us)},
			55, 0.7, func(r *rand.Rand) flow.Step {
				return flow.Step{Tasks: 1 + r.IntN(20), Size: cell.Size{CPU: 11_000, Mem: 12 << 30}, EstimatedTime: jitter(r, 560*time.Millisecond), AllowCopies: r.IntN(3) == 0}
			},
		},
		{
			flow.Queue{Name: "review", Service: "desk", Rank: 2, Attempts: 3, Stretch: 4, Slack: 3 * time.Second, Advice: advice(170*time.Millisecond, 2400*us)},
			2.3, 0.45, func(r *rand.Rand) flow.Step {
				return flow.Step{Tasks: 1 + r.IntN(36), Size: cell.Size{CPU: 18_000, Mem: 38 << 30}, EstimatedTime: jitter(r, 5600*time.Millisecond), Checkpoints: r.IntN(5) > 0}
			},
		},
		{
			flow.Queue{Name: "render", Service: "lab", Rank: 1, Attempts: 3, Stretch: 2.2, Slack: time.Second, Advice: advice(490*time.Millisecond, 7*time.Millisecond)},
			4.5, 0.3, func(r *rand.Rand) flow.Step {
				st := render(1+r.IntN(9), int64(2)<<r.IntN(3))
				st.Gang, st.EstimatedTime = r.IntN(2) == 0, jitter(r, st.EstimatedTime)
				return st
			},
		},
		{
			flow.Queue{Name: "size", Service: "lab", Rank: 2, Attempts: 3, Stretch: 4, Slack: 3 * time.Second, Advice: advice(140*time.Millisecond, 2*time.Millisecond)},
			5, 0.45, func(r *rand.Rand) flow.Step {
				st := size(1 + r.IntN(25))
				st.EstimatedTime = jitter(r, st.EstimatedTime)
				return st
			},
		},
	}
}

// newFirmCell returns the cell of such a firm.
func newFirmCell(t *testing.T, kinds []workload) *simCell {
	b := newSimCell(t, 0)
	for i := range 350 {
		w := b.addWorker(fmt.Sprintf("w%03d", i), i)
		w.info.Service, w.info.Size = "desk", cell.Size{CPU: 64_000, Mem: 256 << 30}
		if i >= 252 {
			w.info.Service, w.info.Size = "lab", cell.Size{CPU: 128_000, Mem: 512 << 30, Accel: 8}
		}
	}
	b.list()
	setWorkloads(b, kinds)
	var hosts []string
	for i := range 40 {
		hosts = append(hosts, fmt.Sprintf("h%02d", i))
	}
	b.step(sched.Hosts{Names: hosts})
	return b
}

// setWorkloads sets the queues of a cell, and how the policy service answers about them.
func setWorkloads(b *simCell, kinds []workload) {
	b.queues = nil
	good := map[string]float64{}
	for _, k := range kinds {
		b.queues = append(b.queues, k.queue)
		good[k.queue.Name] = k.allowedShare
	}
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.allows = func(step, worker string) bool {
		share := good[b.specs[jobOf(step)].Queue.Name]
		return float64(xxhash.Sum64String(step+worker)%1000) < 1000*share
	}
	b.queryTime = func(a sched.QueryPolicy) time.Duration {
		return b.specs[jobOf(a.Step)].Queue.Advice.Cost(len(a.Workers))
	}
}

// submitArrivals submits the jobs that arrive during d.
func (b *simCell) submitArrivals(r *rand.Rand, kinds []workload, d time.Duration) {
	const every = 10 * time.Millisecond
	for range int(d / every) {
		for _, k := range kinds {
			if r.Float64() < k.rate*every.Seconds() {
				b.submit(fmt.Sprintf("%s%06d", k.queue.Name, len(b.specs)), k.queue.Name, k.step(r))
			}
		}
		b.advance(every)
	}
}

// Measures one second of the leader's work at the load in the firm's data sheet, and at 1.5 times
// that load, after ten seconds of it. core-ms is the time spent in the scheduler itself. The
// weakest host that leads such a cell has 0.8 of a core for the scheduler and its network traffic.
func BenchmarkASecondOfAFirm(b *testing.B) {
	for name, more := range map[string]float64{"usual": 1, "burst": 1.5} {
		b.Run(name, func(b *testing.B) {
			kinds := firmWorkloads()
			for i := range kinds {
				kinds[i].rate *= more
			}
			c := newFirmCell(&testing.T{}, kinds)
			r := rand.New(rand.NewPCG(1, 2))
			c.submitArrivals(r, kinds, 10*time.Second)
			c.coreTime = 0
			for b.Loop() {
				c.submitArrivals(r, kinds, time.Second)
			}
			b.ReportMetric(float64(c.coreTime.Microseconds())/1000/float64(b.N), "core-ms")
		})
	}
}

// Measures a burst of arrivals as after an outage or slowdown of the store: five hundred urgent
// jobs within a second, and bulk that has waited. Hundreds of steps wait for a ticket or for
// capacity in each pass. core-ms is the time spent in the scheduler itself per second, as above.
func BenchmarkASecondOfAFirmWithACrowd(b *testing.B) {
	var spent time.Duration
	n := 0
	for b.Loop() {
		c, r, kinds := newFirmCellWithBurst(&testing.T{})
		c.coreTime = 0
		c.submitArrivals(r, kinds, 2*time.Second)
		spent += c.coreTime
		n += 2
	}
	b.ReportMetric(float64(spent.Microseconds())/1000/float64(n), "core-ms")
}

// newFirmCellWithBurst returns a firm's cell in which the work of eight seconds has arrived within
// one.
func newFirmCellWithBurst(t *testing.T) (*simCell, *rand.Rand, []workload) {
	kinds := firmWorkloads()
	c := newFirmCell(t, kinds)
	r := rand.New(rand.NewPCG(1, 2))
	c.submitArrivals(r, kinds, 4*time.Second)
	crowd := firmWorkloads()
	for i := range crowd {
		crowd[i].rate *= 8
	}
	c.submitArrivals(r, crowd, time.Second)
	return c, r, kinds
}
