package sched

import (
	"cmp"
	"maps"
	"slices"

	"pollencroft/internal/flow"
)

// The core is deterministic: the same events give the same decisions. Iterating in map order would
// make each run, and each seed of a test, behave differently.

// sortedWorkers lists the workers sorted by incarnation. The list is cached until a worker is added
// or removed, because each pass iterates over it several times.
func (s *Sched) sortedWorkers() []*worker {
	if len(s.sortedCache) == len(s.workers) {
		return s.sortedCache
	}
	s.sortedCache = make([]*worker, 0, len(s.workers))
	for _, incarnation := range slices.Sorted(maps.Keys(s.workers)) {
		s.sortedCache = append(s.sortedCache, s.workers[incarnation])
	}
	return s.sortedCache
}

// workersChanged invalidates the sorted list after a worker was added or removed.
func (s *Sched) workersChanged() { s.sortedCache = nil }

// sortedTasks lists the worker's tasks, sorted by name.
func (w *worker) sortedTasks() []*flow.Task {
	all := slices.AppendSeq(make([]*flow.Task, 0, len(w.tasks)), maps.Values(w.tasks))
	slices.SortFunc(all, func(a, b *flow.Task) int { return compareNames(a.Name, b.Name) })
	return all
}

func compareNames(a, b flow.Name) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), a.Round-b.Round, a.Step-b.Step, a.Index-b.Index)
}

func compareRuns(a, b runKey) int {
	return cmp.Or(compareNames(a.task, b.task), a.run-b.run)
}

// sortedRuns returns the sorted keys of a map of runs.
func sortedRuns[V any](m map[runKey]V) []runKey {
	return slices.SortedFunc(maps.Keys(m), compareRuns)
}

// sortedOpenJobs lists the jobs that are not over, in order of their acceptance.
func (s *Sched) sortedOpenJobs() []*flow.Job {
	all := slices.AppendSeq(make([]*flow.Job, 0, len(s.openJobs)), maps.Values(s.openJobs))
	slices.SortFunc(all, func(a, b *flow.Job) int { return cmp.Compare(a.Number, b.Number) })
	return all
}
