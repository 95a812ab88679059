// Package speed learns how long runs take on each worker relative to others, by kind of worker and
// by worker within its kind.
//
// Declared times are often far off, so runs are compared only with other runs of the same step,
// whose tasks are alike. What a kind of worker has in common is learned from all its workers, within
// seconds of the first jobs; what is particular to one worker needs several of its own runs.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// minRuns is how many runs a step must have to be compared. The median of fewer is often a slow
	// run itself.
	minRuns = 5
	// maxRuns bounds the runs that are kept for one step.
	maxRuns = 64
	// minTook is the shortest run that is compared: for shorter ones the delay of the worker's reply
	// dominates.
	minTook = 20 * time.Millisecond
	// kindWindow and workerWindow are over how many runs the estimates average.
	kindWindow   = 50
	workerWindow = 4
	// kindTrust is how many runs of a kind, and of the workers that it is compared with, are needed
	// before its factor is used.
	kindTrust = 5
	// workerTrust is after how many runs the factor of a worker counts for half.
	workerTrust = 3
	// maxDeviation bounds, as a logarithm, what one run can contribute: a few runs in a hundred take
	// several times as long on any worker.
	maxDeviation = 1
)

// Run is a run that ended as done.
type Run struct {
	// Worker is the incarnation on which it ran, Kind the kind of that worker.
	Worker, Kind string
	Took         time.Duration
}

// estimate is the average logarithm of a factor over the last runs.
type estimate struct {
	log  float64
	runs int
}

func (e *estimate) add(value float64, window int) {
	e.runs++
	deviation := max(min(value-e.log, maxDeviation), -maxDeviation)
	e.log += deviation / float64(min(e.runs, window))
}

// Model holds the factors of kinds and workers. It is not safe for concurrent use.
type Model struct {
	// version changes with the factors.
	version int
	kinds   map[string]*estimate
	workers map[string]*estimate
	steps   map[string][]Run
	// fastest is the smallest logarithm of a kind that has enough runs.
	fastest float64
}

// New returns a model that starts with the given factors of kinds, which a previous leader may have
// learned.
func New(kinds map[string]float64) *Model {
	m := &Model{kinds: map[string]*estimate{}, workers: map[string]*estimate{}, steps: map[string][]Run{}}
	m.Adopt(kinds)
	return m
}

// Adopt takes over the factors of kinds that the model knows nothing about. A few runs of its own
// outweigh them.
func (m *Model) Adopt(kinds map[string]float64) {
	m.version++
	for kind, f := range kinds {
		if _, ok := m.kinds[kind]; !ok && f > 0 && !math.IsInf(f, 0) && !math.IsNaN(f) {
			m.kinds[kind] = &estimate{log: math.Log(f), runs: kindTrust}
		}
	}
	m.findFastest()
}

// Record keeps a run until its step is complete.
func (m *Model) Record(step string, r Run) {
	if r.Took < minTook || len(m.steps[step]) >= maxRuns {
		return
	}
	m.steps[step] = append(m.steps[step], r)
	if _, ok := m.workers[r.Worker]; !ok {
		m.workers[r.Worker] = &estimate{}
	}
}

// Complete compares the runs of a step that is done. Before that, the runs that have ended are the
// short ones, and each later one would look slow.
func (m *Model) Complete(step string) {
	all := m.steps[step]
	delete(m.steps, step)
	if len(all) < minRuns {
		return
	}
	m.version++
	level := m.level(all)
	// A step on one kind only says nothing about the kind, and its noise would add up.
	if slices.ContainsFunc(all, func(r Run) bool { return r.Kind != all[0].Kind }) {
		for _, r := range all {
			m.compareKind(r, level)
		}
		m.findFastest()
	}
	for _, r := range all {
		m.compareWorker(r, level)
	}
}

// level returns the median logarithm of the time that the runs would have taken on a kind of workers
// with factor 1. Each worker counts once, since many of the runs may have been on the same slow one.
func (m *Model) level(all []Run) float64 {
	sums, runs := map[string]float64{}, map[string]int{}
	for _, r := range all {
		sums[r.Worker] += math.Log(r.Took.Seconds()) - m.kindLog(r.Kind)
		runs[r.Worker]++
	}
	logs := make([]float64, 0, len(sums))
	for w, sum := range sums {
		logs = append(logs, sum/float64(runs[w]))
	}
	slices.Sort(logs)
	return logs[(len(logs)-1)/2]
}

func (m *Model) compareKind(r Run, level float64) {
	e, ok := m.kinds[r.Kind]
	if !ok {
		e = &estimate{}
		m.kinds[r.Kind] = e
	}
	e.add(math.Log(r.Took.Seconds())-level, kindWindow)
}

// compareWorker does nothing for a worker that was forgotten after the run.
func (m *Model) compareWorker(r Run, level float64) {
	if e, ok := m.workers[r.Worker]; ok {
		e.add(math.Log(r.Took.Seconds())-level-m.kindLog(r.Kind), workerWindow)
	}
}

func (m *Model) kindLog(kind string) float64 {
	if e, ok := m.kinds[kind]; ok {
		return e.log
	}
	return 0
}

// workerLog returns the logarithm of a worker's factor within its kind. It counts for little until
// the worker has had several runs.
func (m *Model) workerLog(worker string) float64 {
	e, ok := m.workers[worker]
	if !ok {
		return 0
	}
	return e.log * float64(e.runs) / float64(e.runs+workerTrust)
}

// findFastest is called when kinds have changed. Each placement asks for the factors of many workers,
// and there may be as many kinds as workers.
func (m *Model) findFastest() {
	m.fastest = math.Inf(1)
	for _, e := range m.kinds {
		if e.runs >= kindTrust {
			m.fastest = min(m.fastest, e.log)
		}
	}
}

// KindFactor returns how many times as long runs take on workers of a kind as on the fastest kind.
// It is 1 while nothing is known.
func (m *Model) KindFactor(kind string) float64 {
	e, ok := m.kinds[kind]
	if !ok || e.runs < kindTrust {
		return 1
	}
	return math.Exp(e.log - m.fastest)
}

// Factor returns how many times as long runs take on a worker as on the fastest kind of workers. A
// worker without runs of its own has the factor of its kind.
func (m *Model) Factor(worker, kind string) float64 {
	return m.KindFactor(kind) * math.Exp(m.workerLog(worker))
}

// Kinds returns the factors of all kinds with enough runs, for the hosts of which one leads next.
func (m *Model) Kinds() map[string]float64 {
	all := make(map[string]float64, len(m.kinds))
	for kind, e := range m.kinds {
		if e.runs >= kindTrust {
			all[kind] = m.KindFactor(kind)
		}
	}
	return all
}

// ForgetStep drops the runs of a step that will not be done.
func (m *Model) ForgetStep(step string) { delete(m.steps, step) }

// ForgetWorker drops what is known of an incarnation that has ended.
func (m *Model) ForgetWorker(worker string) {
	m.version++
	delete(m.workers, worker)
}

// Version returns a number that differs from an earlier one if a factor may have changed since.
func (m *Model) Version() int { return m.version }
