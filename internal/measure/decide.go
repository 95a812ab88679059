// Package measure holds the loads and baselines of the benchmarks: what is
// compared, on a passed-in clock wherever a verdict could hang on it.
package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// Decider is a placement core that can be measured.
type Decider interface {
	Step(now time.Time, ev place.Event) []place.Action
}

// start is when every measured run begins, on its own clock.
var start = time.Unix(1_700_000_000, 0)

// Sizes of the workers and of the load that is decided on.
var (
	workerSize = cell.Size{CPU: 64_000, Mem: 256 << 30, Accel: 2}
	rackOf     = 8
)

const (
	decideRows  = 40
	decideTeams = 10
)

// Decide is a full cell with a queue of waiting jobs. Each Turn ends one
// task and submits one job, so that the queue keeps its length.
type Decide struct {
	core    Decider
	rng     *rand.Rand
	running []string
	stopped []string
	jobs    int
	now     time.Time
	// Times are the times of single steps in nanoseconds.
	Times *hdrhistogram.Histogram
	// Puts counts the tasks that were placed.
	Puts int
}

// NewDecide fills the workers and queues jobs behind them.
func NewDecide(core Decider, workers, queued int) *Decide {
	d := &Decide{core: core, rng: rand.New(rand.NewPCG(1, 2)), now: start}
	for i := range workers {
		d.step(place.Up{Worker: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/rackOf), Size: workerSize})
	}
	for waiting := 0; waiting < queued; {
		before := len(d.running)
		d.step(d.want())
		waiting += 1 - (len(d.running) - before)
	}
	d.Times = hdrhistogram.New(1, int64(time.Minute), 3)
	d.Puts = 0
	return d
}

func (d *Decide) want() place.Request {
	row := d.rng.IntN(decideRows)
	d.jobs++
	job := fmt.Sprintf("j%d", d.jobs)
	return place.Request{
		Job: job, Row: fmt.Sprintf("row%d", row), Class: cell.Classes[row%len(cell.Classes)], Rule: place.Rule{Weight: int64(1 + row%4)},
		Size:  cell.Size{CPU: int64(1+d.rng.IntN(16)) * 500, Mem: int64(1+d.rng.IntN(32)) << 30},
		Tasks: []string{job + ".0"},
	}
}

func (d *Decide) step(ev place.Event) {
	began := time.Now()
	acts := d.core.Step(d.now, ev)
	if d.Times != nil {
		_ = d.Times.RecordValue(time.Since(began).Nanoseconds())
	}
	for _, a := range acts {
		switch a := a.(type) {
		case place.Assign:
			d.running = append(d.running, a.Task)
			d.Puts++
		case place.Preempt:
			d.stopped = append(d.stopped, a.Task)
		}
	}
}

// confirm ends the tasks that were to be stopped.
func (d *Decide) confirm() {
	for len(d.stopped) > 0 {
		task := d.stopped[0]
		d.stopped = d.stopped[1:]
		d.running = slices.DeleteFunc(d.running, func(t string) bool { return t == task })
		d.step(place.Freed{Task: task})
	}
}

// Turn ends one running task and submits one job.
func (d *Decide) Turn() {
	d.now = d.now.Add(time.Millisecond)
	i := d.rng.IntN(len(d.running))
	ended := d.running[i]
	d.running[i] = d.running[len(d.running)-1]
	d.running = d.running[:len(d.running)-1]
	d.step(place.Freed{Task: ended})
	d.step(d.want())
	d.confirm()
}

// P99 is the time that 99 of 100 steps stayed under.
func (d *Decide) P99() time.Duration { return time.Duration(d.Times.ValueAtQuantile(99)) }
