package sched

import (
	"slices"
	"time"

	"pollencroft/internal/admission"
	"pollencroft/internal/cell"
	"pollencroft/internal/estimate"
	"pollencroft/internal/flow"
)

// Declared times are off by factors: the run times of two deployments divided by the declared ones
// have the deciles 0.34 to 4.03 and 0.58 to 2.41. The runs of one step, however, differ little. So
// a queue's runs show what to expect of a step, and the step's own runs, once some have ended, show
// it nearly exactly. Nothing of this is stored: a successor expects the declared times at first, and
// has measured a busy queue again after three to four of its run times, which is within seconds.
const (
	// minMeasuredRuns is how many runs of a queue must have ended before its declared times are
	// corrected. The runs of a step are off by nearly the same factor, so these are about ten steps
	// of ten tasks: the error that they leave is a third of the spread between steps.
	minMeasuredRuns = 100
	// minStepRuns is how many runs of a step must have ended before their median counts; of a step
	// with fewer tasks, all. One run may be among the few that take several times as long as the
	// others.
	minStepRuns = 3
	// maxStepRuns is how many runs of a step are remembered. The median of that many is exact to 3 %.
	maxStepRuns = 63
	// stepSpread is the spread of the runs of one step: nine of ten take 0.76 to 1.17 of its median.
	stepSpread = 0.15
	// policyQueryWorkers is the number of workers in the query to the policy service that the
	// objective of a job counts for each step.
	policyQueryWorkers = 30
	// slowQuantile is the share of runs that must not count as too slow although they are done at
	// full speed, and declaredError the factor by which slowRate and stallShare allow estimates to be
	// too low already.
	slowQuantile  = 0.9
	declaredError = 1.9
	// queueTimesInterval is the time between two reports of a queue's run times.
	queueTimesInterval = 10 * time.Second
)

// runTimes holds what is known about run times.
type runTimes struct {
	queues *estimate.Times
	jobs   map[*flow.Job]*jobTimes
	// reported is when the run times of each queue were last reported.
	reported map[string]time.Time
}

func newRunTimes() *runTimes {
	return &runTimes{queues: estimate.NewTimes(minMeasuredRuns), jobs: map[*flow.Job]*jobTimes{}, reported: map[string]time.Time{}}
}

// jobTimes holds the expected times of one job's steps. Hundreds of waiting steps are classified by
// them in each pass, so they are kept until the queue's estimate changes materially or a step of the
// job is measured.
type jobTimes struct {
	queue *estimate.QueueTimes
	// ended holds the times of runs that have ended, by step and sorted.
	ended [][]time.Duration
	// tasks holds the expected time of a task of each step, and chain the time from the start of each
	// step to the end of the job, including a query to the policy service for each step; longest is
	// the longest chain. They are valid for version and query; chain is nil if they have to be
	// calculated.
	tasks   []estimate.Distribution
	chain   []time.Duration
	longest time.Duration
	version int
	query   time.Duration
}

// measuredTimes returns the expected times of a job, or nil if its queue is not measured.
func (s *Sched) measuredTimes(j *flow.Job, q flow.Queue) *jobTimes {
	if !s.enabled(LearnTimes) {
		return nil
	}
	t := s.times.of(j)
	version := t.queue.Version()
	if version == 0 {
		return nil
	}
	query := queryTime(q)
	if t.chain == nil || t.version != version || t.query != query {
		t.version, t.query = version, query
		t.update(j.Spec)
	}
	return t
}

// queryTime returns the time of the query to the policy service that the objective counts for each
// step.
func queryTime(q flow.Queue) time.Duration {
	if q.Advice == nil {
		return 0
	}
	return q.Advice.Cost(policyQueryWorkers)
}

// runTimesOf returns what hosts need to calculate the objectives of a queue's jobs.
func (s *Sched) runTimesOf(q flow.Queue) admission.RunTimes {
	t := s.times.queues.Queue(q.Name)
	if !s.enabled(LearnTimes) || t.Version() == 0 {
		return admission.RunTimes{}
	}
	all := admission.RunTimes{Query: cell.Duration{Duration: queryTime(q)}}
	if d := t.Expect(t.Usual()); d.Measured {
		all.Usual.Duration, all.Expected.Duration, all.Slope = t.Usual(), d.Median, t.Slope()
	}
	return all
}

func (m *runTimes) of(j *flow.Job) *jobTimes {
	t, ok := m.jobs[j]
	if !ok {
		t = &jobTimes{queue: m.queues.Queue(j.Spec.Queue.Name), ended: make([][]time.Duration, len(j.Spec.Steps))}
		m.jobs[j] = t
	}
	return t
}

func (t *jobTimes) update(spec flow.Spec) {
	t.tasks = make([]estimate.Distribution, len(spec.Steps))
	times := make([]time.Duration, len(spec.Steps))
	for i, st := range spec.Steps {
		t.tasks[i] = t.expect(st, i)
		times[i] = t.tasks[i].Median + t.query
	}
	t.chain = spec.ChainTimes(times)
	t.longest = slices.Max(t.chain)
}

// expect returns how long a task of a step is expected to take. Steps of whose kind no runs are
// recorded are expected to take the declared time.
func (t *jobTimes) expect(st flow.Step, i int) estimate.Distribution {
	switch {
	case !recorded(st):
		return estimate.Distribution{Median: st.EstimatedTime}
	case t.stepMeasured(st, i):
		return estimate.Distribution{Median: t.stepMedian(i), Spread: stepSpread, Measured: true}
	default:
		return t.queue.Expect(st.EstimatedTime)
	}
}

func (t *jobTimes) stepMeasured(st flow.Step, i int) bool {
	return len(t.ended[i]) >= min(minStepRuns, st.Tasks)
}

func (t *jobTimes) stepMedian(i int) time.Duration { return t.ended[i][(len(t.ended[i])-1)/2] }

// recorded reports whether the runs of a step show how long other runs of its queue take. Members
// of a gang wait for each other, best-effort tasks for processor time, and long-running tasks don't
// end by themselves.
func recorded(st flow.Step) bool { return !st.Gang && !st.BestEffort && !st.LongRunning }

// recordRunTime records how long a run took that ended as done. The end of a run on a worker that
// was silent may have been read long after it.
func (s *Sched) recordRunTime(w *worker, t *flow.Task) {
	if !s.enabled(LearnTimes) || !recorded(t.Spec()) || t.MeasuredFrom.IsZero() || w.backSince.Equal(s.now) {
		return
	}
	took := time.Duration(float64(s.now.Sub(t.MeasuredFrom)) / s.speedFactor(w))
	j := s.times.of(t.Job)
	j.queue.RecordLater(t.MeasuredFrom, t.Spec().EstimatedTime, took)
	j.recordStep(t.Spec(), t.Step.Index, took)
}

func (t *jobTimes) recordStep(st flow.Step, i int, took time.Duration) {
	if len(t.ended[i]) >= maxStepRuns {
		return
	}
	at, _ := slices.BinarySearch(t.ended[i], took)
	t.ended[i] = slices.Insert(t.ended[i], at, took)
	if t.stepMeasured(st, i) {
		t.chain = nil
	}
}

// settleRunTimes records runs that ended some time ago, and reports queues whose run times have
// changed materially.
func (s *Sched) settleRunTimes() {
	for _, name := range s.times.queues.Settle(s.now) {
		if last, ok := s.times.reported[name]; ok && s.now.Sub(last) < queueTimesInterval {
			continue
		}
		q := s.times.queues.Queue(name)
		if d := q.Expect(time.Second); d.Measured {
			s.times.reported[name] = s.now
			s.emit(QueueTimes{Queue: name, Ratio: q.Ratio(), Slope: q.Slope(), Spread: d.Spread, Runs: q.Runs()})
		}
	}
}

// objective returns the time, counted from its acceptance, within which a job should end.
func (s *Sched) objective(j *flow.Job, q flow.Queue) time.Duration {
	if t := s.measuredTimes(j, q); t != nil {
		return q.Objective(t.longest)
	}
	return j.Objective(q)
}

// remainingTime returns the expected time from the start of a step to the end of the job. A step
// whose query to the policy service is answered does not need another one.
func (s *Sched) remainingTime(j *flow.Job, st *flow.Stage, q flow.Queue) time.Duration {
	t := s.measuredTimes(j, q)
	if t == nil {
		return j.RemainingTime(st)
	}
	left := t.chain[st.Index]
	if a, ok := s.advice[st]; ok && len(a.tickets) > 0 {
		left -= t.query
	}
	return left
}

// taskTime returns the expected time of a task of a step on the fastest kind of workers.
func (s *Sched) taskTime(j *flow.Job, st *flow.Stage, q flow.Queue) time.Duration {
	if t := s.measuredTimes(j, q); t != nil {
		return t.tasks[st.Index].Median
	}
	return st.Spec.EstimatedTime
}

// expectedTime returns how long a task is expected to take, or false if its queue is not measured.
func (s *Sched) expectedTime(t *flow.Task) (estimate.Distribution, bool) {
	j := s.measuredTimes(t.Job, s.queue(t.Job))
	if j == nil || !j.tasks[t.Step.Index].Measured {
		return estimate.Distribution{}, false
	}
	return j.tasks[t.Step.Index], true
}

// expectedEnd returns when the run of a task is expected to end. A run that has already taken longer
// than expected is among the long ones of its distribution, and does not end at once.
func (s *Sched) expectedEnd(w *worker, t *flow.Task) time.Time {
	d, ok := s.expectedTime(t)
	if !ok {
		return t.Since.Add(t.Spec().EstimatedTime)
	}
	return s.now.Add(d.Scale(s.speedFactor(w)).Remaining(s.now.Sub(t.Since)))
}

// judgedTime returns the time by which a run's progress is judged. Where estimates of a queue are
// off by more than the judgement allows for, it is longer than the expected time: all runs on a
// healthy worker may belong to two jobs that declared far too little.
func (s *Sched) judgedTime(t *flow.Task) time.Duration {
	d, ok := s.expectedTime(t)
	if !ok {
		return t.Spec().EstimatedTime
	}
	return max(d.Median, time.Duration(float64(d.Quantile(slowQuantile))/declaredError))
}
