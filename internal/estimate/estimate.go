// Package estimate corrects what callers declare by what was measured. Sizes
// and times are often far off; for each row it keeps how much its tasks really
// use of what they declare, and packs by that instead.
package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollencroft/internal/cell"
)

// What is measured is kept as a share of what was declared, in thousandths.
const (
	scale    = 1000
	maxShare = 1000 * scale
	digits   = 2
)

const (
	// minSamples tasks must have been measured before a row is packed by it.
	minSamples = 8
	// unmeasuredFactor is how many times its declared size a task of an unmeasured
	// row gets: its first tasks are the ones that surprise.
	unmeasuredFactor = 2
	// sizeQuantile and Margin leave room for the row's largest tasks and for
	// growth that is not reported yet, since reports lag.
	sizeQuantile = 99.5
	// timeQuantile of a row's tasks end within the expected time.
	timeQuantile = 90
	// steadyReports is after how many reports without growth a task is taken to have
	// reached its size. One that still grows when it is counted would make the
	// next ones of its row too small.
	steadyReports = 5
	// generationSize is after how many samples older ones begin to be dropped.
	generationSize = 500
)

// quantiles keeps the newest samples: those of this generation and the last.
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

type row struct{ cpu, mem, time *quantiles }

type task struct {
	row      string
	declared cell.Size
	peak     cell.Size
	// steady counts the reports since the task last grew.
	steady  int
	sampled cell.Size
}

// Margin is the part that a room is larger than what was measured.
const Margin = 1.15

// Estimates holds what was measured of all rows. It is not safe for
// concurrent use.
type Estimates struct {
	rows  map[string]*row
	tasks map[string]*task
}

// New returns estimates that know no row.
func New() *Estimates { return &Estimates{rows: map[string]*row{}, tasks: map[string]*task{}} }

func (e *Estimates) row(name string) *row {
	r, ok := e.rows[name]
	if !ok {
		r = &row{cpu: newQuantiles(), mem: newQuantiles(), time: newQuantiles()}
		e.rows[name] = r
	}
	return r
}

// Size is the room that a task of that row needs. Accelerators are taken as
// declared, since a task holds them whole.
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

// Time is how long a task of that row is expected to run at most.
func (e *Estimates) Time(name string, declared time.Duration) time.Duration {
	r, ok := e.rows[name]
	if !ok || r.time.count() < minSamples {
		return declared * unmeasuredFactor
	}
	return time.Duration(float64(declared) * r.time.quantile(timeQuantile))
}

// RecordUse takes a report of what a running task uses and returns the room that it
// takes from now on: what its row's tasks need, never less than it was seen to
// use itself. A report of nothing is one that lags.
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
	room := maxSize(e.Size(name, declared), t.peak)
	if t.steady >= steadyReports {
		// A task that has not grown for a while takes half of what its row could still
		// grow by. That is for processors only, which can be throttled; memory
		// that runs out kills tasks.
		room.CPU = t.peak.CPU + (room.CPU-t.peak.CPU)/2
	}
	room.Accel = declared.Accel
	return room, true
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

// Forget forgets a task that runs no longer. One that grew since it was counted
// is counted again, so that its row's estimate follows.
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

// RecordTime takes how long a task of that row really ran.
func (e *Estimates) RecordTime(name string, declared, ran time.Duration) {
	e.row(name).time.add(ran.Seconds(), declared.Seconds())
}
