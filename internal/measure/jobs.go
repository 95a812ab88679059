package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollencroft/internal/cell"
	"pollencroft/internal/estimate"
	"pollencroft/internal/place"
)

// JobLoad describes the workers of one failure domain and the jobs submitted to them, on a
// simulated clock.
type JobLoad struct {
	Workers int
	// BlackHoles is the number of workers that fail every task after a second.
	BlackHoles int
	// Run is how long the load lasts.
	Run time.Duration
	// Rows lists the workloads.
	Rows []RowLoad
	// Floor is the least number of waiting tasks; tasks are submitted across all rows to keep it.
	Floor int
	// Cancel is the time at which half of the waiting bulk jobs are cancelled at once; zero means
	// never.
	Cancel time.Duration
}

// RowLoad describes the jobs of one row: one is submitted at each interval Every, and declares Size
// and Time. CPU, Mem and Long are the factors by which the actual processor use, memory use and run
// time of a task differ from the declared ones.
type RowLoad struct {
	Class          cell.Class
	Every          time.Duration
	Size           cell.Size
	Time           time.Duration
	CPU, Mem, Long float64
	// Flood is the number of jobs that are submitted at once, at FloodAt.
	Flood   int
	FloodAt time.Duration
}

// JobLoadResult is the result of a JobLoad.
type JobLoadResult struct {
	// Waits holds, by class, the milliseconds from a task's submission to the start of the run that
	// completes.
	Waits map[cell.Class]*hdrhistogram.Histogram
	// Used is the average fraction of the workers' capacity in actual use, of processors or of
	// memory, whichever is higher.
	Used float64
	// Overfilled counts the seconds in which the tasks of a worker use more than it has, summed over
	// all workers.
	Overfilled int
	// Wasted counts the starts on workers that fail every task, Ended the tasks that complete.
	Wasted, Ended int
	// Unstarted counts the tasks that still wait at the end.
	Unstarted int
}

// jobTick is the step of the simulated clock; stopping a task takes stopTicks of them.
const (
	jobTick   = 100 * time.Millisecond
	stopTicks = 2
	// reportLag is the age of the usage that a worker reports.
	reportLag   = 10 * time.Second
	reportEvery = 5 * time.Second
	warmUp      = 5 * time.Minute
	// rampFor is how long after its start a task uses less than its full amount.
	rampFor = 15 * time.Second
)

type jobTask struct {
	id       string
	row      int
	came     time.Time
	declared cell.Size
	use      cell.Size
	run      time.Duration
	worker   int
	began    time.Time
	avoid    []string
	tries    int
}

// uses returns what the task uses at the given time: 70 % of its processor and memory use until
// rampFor has passed, then all of it.
func (t *jobTask) uses(at time.Time) cell.Size {
	if at.Sub(t.began) >= rampFor {
		return t.use
	}
	return cell.Size{CPU: t.use.CPU * 7 / 10, Mem: t.use.Mem * 7 / 10, Accel: t.use.Accel}
}

type jobEvent struct {
	at  time.Time
	seq int
	do  func()
}

type jobEvents []jobEvent

func (h jobEvents) Len() int { return len(h) }
func (h jobEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h jobEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobEvents) Push(x any)   { *h = append(*h, x.(jobEvent)) }
func (h *jobEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type jobRun struct {
	JobLoad
	core    Decider
	est     *estimate.Estimates
	rng     *rand.Rand
	now     time.Time
	events  jobEvents
	tasks   map[string]*jobTask
	running []map[string]*jobTask
	waiting map[string]bool
	jobs    int
	done    JobLoadResult
	cpu     float64
	mem     float64
	samples int
}

// Play runs the load on a placement state machine. If est is not nil, it corrects declared sizes
// and times by the measured ones.
func (l JobLoad) Play(core Decider, est *estimate.Estimates) JobLoadResult {
	r := &jobRun{
		JobLoad: l, core: core, est: est, rng: rand.New(rand.NewPCG(3, 4)), now: start, tasks: map[string]*jobTask{},
		waiting: map[string]bool{}, done: JobLoadResult{Waits: map[cell.Class]*hdrhistogram.Histogram{}},
	}
	for _, c := range cell.Classes {
		r.done.Waits[c] = hdrhistogram.New(1, time.Hour.Milliseconds()*24, 3)
	}
	for i := range l.Workers {
		r.running = append(r.running, map[string]*jobTask{})
		r.step(place.Up{Worker: workerName(i), Rack: fmt.Sprintf("r%d", i/rackOf), Size: workerSize})
	}
	for end := start.Add(l.Run); r.now.Before(end); r.now = r.now.Add(jobTick) {
		r.tick()
	}
	r.done.Unstarted = len(r.waiting)
	r.done.Used = max(r.cpu, r.mem) / float64(max(r.samples, 1))
	return r.done
}

func workerName(i int) string { return fmt.Sprintf("w%04d", i) }

func (r *jobRun) since() time.Duration { return r.now.Sub(start) }

func (r *jobRun) tick() {
	for len(r.events) > 0 && !r.events[0].at.After(r.now) {
		heap.Pop(&r.events).(jobEvent).do()
	}
	for i, row := range r.Rows {
		if row.Every > 0 && r.since()%row.Every < jobTick {
			r.submit(i)
		}
		if row.Flood > 0 && r.since() == row.FloodAt {
			for range row.Flood {
				r.submit(i)
			}
		}
	}
	for len(r.waiting) < r.Floor {
		r.submit(r.jobs % len(r.Rows))
	}
	if r.Cancel > 0 && r.since() == r.Cancel {
		r.cancelHalf()
	}
	r.step(place.Tick{})
	if r.since()%time.Second == 0 {
		r.sampleUsage()
	}
	if r.since()%reportEvery == 0 {
		r.report()
	}
}

func (r *jobRun) submit(i int) {
	row := r.Rows[i]
	r.jobs++
	vary := func(v int64, by float64) int64 { return max(1, int64(float64(v)*by*(0.9+0.2*r.rng.Float64()))) }
	t := &jobTask{
		id: fmt.Sprintf("j%d.0", r.jobs), row: i, came: r.now, declared: row.Size,
		use: cell.Size{CPU: vary(row.Size.CPU, row.CPU), Mem: vary(row.Size.Mem, row.Mem), Accel: row.Size.Accel},
		run: time.Duration(vary(int64(row.Time), row.Long)),
	}
	r.tasks[t.id] = t
	r.requestPlacement(t)
}

func (r *jobRun) requestPlacement(t *jobTask) {
	row := r.Rows[t.row]
	w := place.Request{
		Job: t.id, Row: fmt.Sprint(t.row), Class: row.Class, Size: t.declared, RunTime: row.Time, Tasks: []string{t.id},
		Since: t.came, Avoid: t.avoid, Rule: place.Rule{Weight: 1},
	}
	if r.est != nil {
		w.Size, w.RunTime = r.est.Size(w.Row, w.Size), r.est.Time(w.Row, w.RunTime)
	}
	r.waiting[t.id] = true
	r.step(w)
}

func (r *jobRun) step(ev place.Event) {
	for _, a := range r.core.Step(r.now, ev) {
		switch a := a.(type) {
		case place.Assign:
			r.begin(r.tasks[a.Task], a.Worker)
		case place.Preempt:
			t := r.tasks[a.Task]
			r.later(stopTicks*jobTick, t, func() { r.end(t); r.requestPlacement(t) })
		case place.Throttle:
			t := r.tasks[a.Task]
			t.use.CPU = int64(float64(t.use.CPU) * a.Share)
		}
	}
}

func (r *jobRun) begin(t *jobTask, worker string) {
	delete(r.waiting, t.id)
	_, _ = fmt.Sscanf(worker, "w%d", &t.worker)
	t.began = r.now
	t.tries++
	r.running[t.worker][t.id] = t
	if t.worker < r.BlackHoles {
		r.done.Wasted++
		r.later(time.Second, t, func() { r.failed(t, worker) })
		return
	}
	r.later(t.run, t, func() { r.ended(t, worker) })
}

// later calls do after d, unless the current run of the task has ended by then.
func (r *jobRun) later(d time.Duration, t *jobTask, do func()) {
	try := t.tries
	r.jobs++
	heap.Push(&r.events, jobEvent{at: r.now.Add(d), seq: r.jobs, do: func() {
		if t.tries == try && r.running[t.worker][t.id] == t {
			do()
		}
	}})
}

func (r *jobRun) end(t *jobTask) {
	delete(r.running[t.worker], t.id)
	if r.est != nil {
		r.est.Forget(t.id)
	}
	r.step(place.Freed{Task: t.id})
}

func (r *jobRun) ended(t *jobTask, worker string) {
	row := r.Rows[t.row]
	_ = r.done.Waits[row.Class].RecordValue(max(t.began.Sub(t.came).Milliseconds(), 1))
	r.done.Ended++
	if r.est != nil {
		r.est.RecordTime(fmt.Sprint(t.row), row.Time, t.run)
	}
	r.step(place.Result{Worker: worker, Row: fmt.Sprint(t.row)})
	r.end(t)
	delete(r.tasks, t.id)
}

func (r *jobRun) failed(t *jobTask, worker string) {
	r.step(place.Result{Worker: worker, Row: fmt.Sprint(t.row), Failed: true})
	r.end(t)
	if !slices.Contains(t.avoid, worker) {
		t.avoid = append(t.avoid, worker)
	}
	r.requestPlacement(t)
}

func (r *jobRun) cancelHalf() {
	n := 0
	for i := range r.jobs {
		id := fmt.Sprintf("j%d.0", i+1)
		t := r.tasks[id]
		if t == nil || !r.waiting[id] || r.Rows[t.row].Class != cell.Bulk {
			continue
		}
		if n++; n%2 == 0 {
			delete(r.waiting, id)
			delete(r.tasks, id)
			r.step(place.Freed{Task: id})
		}
	}
}

// sampleUsage samples the actual use of all workers and counts the overfilled ones.
func (r *jobRun) sampleUsage() {
	var sum cell.Size
	for _, on := range r.running {
		var used cell.Size
		for _, t := range on {
			used = used.Add(t.uses(r.now))
		}
		if !used.Fits(workerSize) {
			r.done.Overfilled++
		}
		// An overfilled worker provides no more than its capacity.
		sum = sum.Add(cell.Size{CPU: min(used.CPU, workerSize.CPU), Mem: min(used.Mem, workerSize.Mem)})
	}
	if r.since() < warmUp {
		return
	}
	n := float64(len(r.running))
	r.samples++
	r.cpu += float64(sum.CPU) / float64(workerSize.CPU) / n
	r.mem += float64(sum.Mem) / float64(workerSize.Mem) / n
}

// report passes the usage of tasks that have run for at least reportLag to the estimates.
func (r *jobRun) report() {
	if r.est == nil {
		return
	}
	for _, on := range r.running {
		var ids []string
		for id, t := range on {
			if r.now.Sub(t.began) >= reportLag {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		for _, id := range ids {
			t := on[id]
			if t == nil {
				continue
			}
			if room, ok := r.est.RecordUse(id, fmt.Sprint(t.row), t.declared, t.uses(r.now.Add(-reportLag))); ok {
				r.step(place.TaskResized{Task: id, Size: room, Use: t.uses(r.now.Add(-reportLag))})
			}
		}
	}
}
