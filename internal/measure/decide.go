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

// Decider is the placement state machine or a baseline that a load can run on.
type Decider interface {
	Step(now time.Time, ev place.Event) []place.Action
}

// start is the time at which every run's simulated clock begins.
var start = time.Unix(1_700_000_000, 0)

// Size of each worker, and the number of workers in a rack.
var (
	workerSize = cell.Size{CPU: 64_000, Mem: 256 << 30, Accel: 2}
	rackOf     = 8
)

const (
	decideRows          = 40
	decideOrganisations = 10
)

// Decide measures placement decisions in a full cell with a queue of waiting jobs. Each Turn ends
// one task and submits one job, so that the length of the queue stays about the same.
type Decide struct {
	core    Decider
	rng     *rand.Rand
	running []string
	stopped []string
	jobs    int
	now     time.Time
	// Times holds the durations of single steps in nanoseconds.
	Times *hdrhistogram.Histogram
	// Placed counts the placed tasks.
	Placed int
}

// NewDecide fills the workers with tasks and then queues the given number of waiting jobs.
func NewDecide(core Decider, workers, queued int) *Decide {
	d := &Decide{core: core, rng: rand.New(rand.NewPCG(1, 2)), now: start}
	for i := range workers {
		d.step(place.Up{Worker: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/rackOf), Size: workerSize})
	}
	for waiting := 0; waiting < queued; {
		before := len(d.running)
		d.step(d.newRequest())
		waiting += 1 - (len(d.running) - before)
	}
	d.Times = hdrhistogram.New(1, int64(time.Minute), 3)
	d.Placed = 0
	return d
}

func (d *Decide) newRequest() place.Request {
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
			d.Placed++
		case place.Preempt:
			d.stopped = append(d.stopped, a.Task)
		}
	}
}

// confirm reports the preempted tasks as stopped.
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
	d.step(d.newRequest())
	d.confirm()
}

// P99 returns the duration that 99 of 100 steps do not exceed.
func (d *Decide) P99() time.Duration { return time.Duration(d.Times.ValueAtQuantile(99)) }
