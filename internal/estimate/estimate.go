// Package estimate corrects the sizes and times that callers declare by measurements.
// Declared values are often far off, so the package records for each row which share of the
// declared values its tasks really use, and sizes tasks by that.
package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollencroft/internal/cell"
)

// Measurements are stored as a share of the declared value, in thousandths.
const (
	scale    = 1000
	maxShare = 1000 * scale
	digits   = 2
)

const (
	// minSamples is how many tasks must have been measured before a row's measurements are
	// used.
	minSamples = 8
	// unmeasuredFactor multiplies the declared size and time of tasks of a row without enough
	// measurements, because a row's first tasks are the least predictable.
	unmeasuredFactor = 2
	// sizeQuantile and Margin leave capacity for the row's largest tasks and for growth that
	// is not reported yet, since reports lag.
	sizeQuantile = 99.5
	// timeQuantile is the share of a row's tasks that end within the expected time.
	timeQuantile = 0.9
	// steadyReports is after how many reports without growth a task is assumed to have reached
	// its full size. Tasks that were measured while they still grew would make the estimate
	// for the next tasks of their row too small.
	steadyReports = 5
	// generationSize is after how many samples a new generation of samples begins and the
	// oldest one is dropped.
	generationSize = 500
)

// quantiles holds the newest samples: those of the current generation and the previous one.
type quantiles struct{ current, previous *hdrhistogram.Histogram }

func newQuantiles() *quantiles {
	return &quantiles{current: hdrhistogram.New(1, maxShare, digits), previous: hdrhistogram.New(1, maxShare, digits)}
}

func (q *quantiles) add(value, declared float64) {
	if declared <= 0 {
		return
	}
	if q.current.TotalCount() >= generationSize {
		q.current, q.previous = q.previous, q.current
		q.current.Reset()
	}
	_ = q.current.RecordValue(min(max(int64(value/declared*scale), 1), maxShare))
}

func (q *quantiles) count() int64 { return q.current.TotalCount() + q.previous.TotalCount() }

func (q *quantiles) quantile(quantile float64) float64 {
	return float64(max(q.current.ValueAtQuantile(quantile), q.previous.ValueAtQuantile(quantile))) / scale
}

type row struct{ cpu, mem *quantiles }

type task struct {
	row      string
	declared cell.Size
	peak     cell.Size
	// steady counts the reports since the task last grew.
	steady  int
	sampled cell.Size
}

// Margin is the factor by which the capacity for a task exceeds its measured use.
const Margin = 1.15

// Estimates holds the measurements of all rows. It is not safe for concurrent use.
type Estimates struct {
	rows  map[string]*row
	tasks map[string]*task
	times *Times
}

// New returns estimates without measurements.
func New() *Estimates {
	return &Estimates{rows: map[string]*row{}, tasks: map[string]*task{}, times: NewTimes(minSamples)}
}

func (e *Estimates) row(name string) *row {
	r, ok := e.rows[name]
	if !ok {
		r = &row{cpu: newQuantiles(), mem: newQuantiles()}
		e.rows[name] = r
	}
	return r
}

// Size returns the capacity that a task of a row needs. Accelerators are taken as declared,
// since a task holds whole accelerators.
func (e *Estimates) Size(name string, declared cell.Size) cell.Size {
	r, ok := e.rows[name]
	if !ok || r.cpu.count() < minSamples {
		return cell.Size{CPU: scaled(declared.CPU, unmeasuredFactor), Mem: scaled(declared.Mem, unmeasuredFactor), Accel: declared.Accel}
	}
	return cell.Size{
		CPU: scaled(declared.CPU, r.cpu.quantile(sizeQuantile)*Margin), Mem: scaled(declared.Mem, r.mem.quantile(sizeQuantile)*Margin), Accel: declared.Accel,
	}
}

func scaled(v int64, by float64) int64 { return max(int64(float64(v)*by), min(v, 1)) }

// Time returns the time within which a task of a row is expected to end. A task without a declared
// time has no expected one: it may run forever.
func (e *Estimates) Time(name string, declared time.Duration) time.Duration {
	d := e.times.Expect(name, declared)
	switch {
	case declared <= 0:
		return 0
	case !d.Measured:
		return declared * unmeasuredFactor
	default:
		return d.Quantile(timeQuantile)
	}
}

// RecordUse records a report of the resources that a running task uses, and returns the
// capacity that it takes from now on: what tasks of its row need, but never less than the
// task itself has used. A report without any use is outdated and is ignored.
func (e *Estimates) RecordUse(id, name string, declared, use cell.Size) (cell.Size, bool) {
	if use.CPU <= 0 && use.Mem <= 0 {
		return cell.Size{}, false
	}
	t, ok := e.tasks[id]
	if !ok {
		t = &task{row: name, declared: declared}
		e.tasks[id] = t
	}
	t.steady++
	if !use.Fits(t.peak) {
		t.steady = 0
	}
	t.peak = maxSize(t.peak, use)
	if t.steady == steadyReports && !t.peak.Fits(t.sampled) {
		e.sample(t)
	}
	capacity := maxSize(e.Size(name, declared), t.peak)
	if t.steady >= steadyReports {
		// A task that has not grown for a while keeps only half of the processor capacity by
		// which tasks of its row may still grow. This applies to processors only, because they
		// can be throttled; running out of memory kills tasks.
		capacity.CPU = t.peak.CPU + (capacity.CPU-t.peak.CPU)/2
	}
	capacity.Accel = declared.Accel
	return capacity, true
}

func maxSize(a, b cell.Size) cell.Size {
	return cell.Size{CPU: max(a.CPU, b.CPU), Mem: max(a.Mem, b.Mem), Accel: max(a.Accel, b.Accel)}
}

func (e *Estimates) sample(t *task) {
	r := e.row(t.row)
	r.cpu.add(float64(t.peak.CPU), float64(t.declared.CPU))
	r.mem.add(float64(t.peak.Mem), float64(t.declared.Mem))
	t.sampled = t.peak
}

// Forget removes a task that no longer runs. A task that has grown since it was sampled is
// sampled again, so that the estimate of its row follows.
func (e *Estimates) Forget(id string) {
	t, ok := e.tasks[id]
	if !ok {
		return
	}
	if !t.peak.Fits(t.sampled) {
		e.sample(t)
	}
	delete(e.tasks, id)
}

// RecordTime records how long a task of a row really ran.
func (e *Estimates) RecordTime(name string, declared, ran time.Duration) {
	e.times.Record(name, declared, ran)
}
