package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// hallWorkloads returns the workloads of a pass office with 1,100 workers, as given in its data
// sheet.
func hallWorkloads() []workload {
	advice := func(base, each time.Duration) *flow.Advice {
		return &flow.Advice{Base: base, PerWorker: each, Valid: 2500 * time.Millisecond}
	}
	const us = time.Microsecond
	return []workload{
		{
			flow.Queue{Name: "scan", Service: "pass", Attempts: 4, Stretch: 1.5, Slack: 250 * time.Millisecond, Advice: advice(27300*us, 390*us)},
			73.6, 0.7, func(r *rand.Rand) flow.Step {
				return flow.Step{Tasks: 1 + r.IntN(25), Size: cell.Size{CPU: 14_000, Mem: 29 << 30}, EstimatedTime: jitter(r, 640*time.Millisecond), AllowCopies: r.IntN(10) < 3}
			},
		},
		{
			flow.Queue{Name: "print", Service: "pass", Rank: 2, Attempts: 2, Stretch: 2.2, Slack: 1200 * time.Millisecond, Advice: advice(546*time.Millisecond, 7800*us)},
			7.3, 0.35, func(r *rand.Rand) flow.Step {
				return flow.Step{Tasks: 1 + r.IntN(65), Size: cell.Size{CPU: 18_000, Mem: 51 << 30}, EstimatedTime: jitter(r, 4800*time.Millisecond), Checkpoints: r.IntN(5) > 0}
			},
		},
		{
			flow.Queue{Name: "watch", Service: "pass", Rank: 1, Attempts: 3, Stretch: 2.2, Slack: 2500 * time.Millisecond, Advice: advice(416*time.Millisecond, 5980*us)},
			0.5, 0.35, func(r *rand.Rand) flow.Step {
				return flow.Step{Tasks: 1 + r.IntN(79), Size: cell.Size{CPU: 18_000, Mem: 53 << 30}, LongRunning: true}
			},
		},
	}
}

// steps returns the number of steps of a job of the hall: scans have 1.6 on average, bulk jobs two.
func hallSteps(r *rand.Rand, k workload) []flow.Step {
	all := []flow.Step{k.step(r)}
	if k.queue.Name == "print" || k.queue.Name == "scan" && r.IntN(10) < 6 {
		all = append(all, k.step(r))
	}
	return all
}

// newHallCell returns the cell of such a pass office, with 147 hosts.
func newHallCell(t *testing.T, kinds []workload) *simCell { return newHallPart(t, kinds, 1100, 147) }

// newHallPart returns a cell like that of the pass office with as many workers and hosts.
func newHallPart(t *testing.T, kinds []workload, workers, hostCount int) *simCell {
	b := newSimCell(t, 0)
	sizes := []float64{1, 1, 0.5, 2}
	for i := range workers {
		w := b.addWorker(fmt.Sprintf("w%04d", i), i)
		w.info.Domain, w.info.Rack = fmt.Sprintf("d%d", i*5/workers), fmt.Sprintf("r%d", i/8)
		w.info.Size = cell.Size{CPU: 64_000, Mem: 256 << 30}.Scale(sizes[i%4])
	}
	b.list()
	setWorkloads(b, kinds)
	var hosts []string
	for i := range hostCount {
		hosts = append(hosts, fmt.Sprintf("h%03d", i))
	}
	b.step(sched.Hosts{Names: hosts})
	return b
}

// submitHallArrivals submits the jobs that arrive during d.
func (b *simCell) submitHallArrivals(r *rand.Rand, kinds []workload, d time.Duration) {
	const every = 5 * time.Millisecond
	for range int(d / every) {
		for _, k := range kinds {
			if r.Float64() < k.rate*every.Seconds() {
				b.submit(fmt.Sprintf("%s%06d", k.queue.Name, len(b.specs)), k.queue.Name, hallSteps(r, k)...)
			}
		}
		b.advance(every)
	}
}

// Measures one second of the leader's work at the load in the pass office's data sheet, and at 1.6
// times that load of scans, after ten seconds of it.
func BenchmarkASecondOfAHall(b *testing.B) {
	for name, more := range map[string]float64{"usual": 1, "burst": 1.6} {
		b.Run(name, func(b *testing.B) {
			kinds := hallWorkloads()
			kinds[0].rate *= more
			c := newHallCell(&testing.T{}, kinds)
			r := rand.New(rand.NewPCG(1, 2))
			c.submitHallArrivals(r, kinds, 10*time.Second)
			c.coreTime = 0
			starts, holds, passes := total(c.starts), c.holds, c.passes
			c.appendedBytes, c.appendedRecords = 0, 0
			for b.Loop() {
				c.submitHallArrivals(r, kinds, time.Second)
			}
			n := float64(b.N)
			b.ReportMetric(float64(c.coreTime.Microseconds())/1000/n, "core-ms")
			b.ReportMetric(float64(total(c.starts)-starts)/n, "starts")
			b.ReportMetric(float64(c.holds-holds)/n, "holds")
			b.ReportMetric(float64(c.passes-passes)/n, "passes")
			b.ReportMetric(float64(c.appendedRecords)/n, "records")
			b.ReportMetric(float64(c.appendedBytes)/1000/n, "append-kB")
		})
	}
}

// Measures one second of the leader's work in the same office with a backlog: 2,500 jobs are open
// and the workers are full. Its passes are limited to a quarter of its time, as in a leader.
func BenchmarkASecondOfAHallWithABacklog(b *testing.B) {
	var spent, passing time.Duration
	var passes, n int
	for b.Loop() {
		kinds := hallWorkloads()
		c := newHallCell(&testing.T{}, kinds)
		r := rand.New(rand.NewPCG(1, 2))
		for i := range kinds {
			kinds[i].rate *= 4
		}
		c.submitHallArrivals(r, kinds, 8*time.Second)
		for i := range kinds {
			kinds[i].rate /= 4
		}
		c.measurePasses = true
		c.coreTime, c.passTime, c.passes = 0, 0, 0
		c.submitHallArrivals(r, kinds, 2*time.Second)
		spent, passing, passes, n = spent+c.coreTime, passing+c.passTime, passes+c.passes, n+2
	}
	b.ReportMetric(float64(spent.Microseconds())/1000/float64(n), "core-ms")
	b.ReportMetric(float64(passing.Microseconds())/1000/float64(passes), "ms/pass")
	b.ReportMetric(float64(passes)/float64(n), "passes")
}
