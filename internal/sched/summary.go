package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollencroft/internal/flow"
)

const (
	// summaryInterval is the shortest time between two load summaries.
	summaryInterval = time.Second
	// maxSummaryEntries bounds the length of a summary. Ranks are few, but the table sets them.
	maxSummaryEntries = 40
)

// LoadSummary reports, at most once per summaryInterval, what waits and what is in use. Processors
// are in millicores.
type LoadSummary struct {
	// Waiting is sorted by rank and reason.
	Waiting          []WaitingWork
	UsedCPU, FreeCPU int64
	// Queries is the number of queries to the policy service that are in flight.
	Queries int
}

// WaitingWork is the work of one rank that waits for one reason.
type WaitingWork struct {
	Rank   int    `json:"rank"`
	Reason string `json:"reason"`
	Steps  int    `json:"steps"`
	CPU    int64  `json:"cpu"`
}

// summarizeLoad emits a load summary if one is due. A term without load emits one summary that says
// so, and no more.
func (s *Sched) summarizeLoad() {
	idle := len(s.openJobs) == 0
	if s.now.Sub(s.lastSummary) < summaryInterval || idle && s.summaryIdle {
		return
	}
	s.lastSummary, s.summaryIdle = s.now, idle
	sum := LoadSummary{Waiting: s.waitingWork(), Queries: len(s.queries)}
	for _, w := range s.workers {
		if w.usable(s.now) {
			sum.UsedCPU += w.used.CPU
			sum.FreeCPU += max(w.free().CPU, 0)
		}
	}
	s.emit(sum)
}

// waitingWork sums the waiting steps up by rank and reason, as of the last pass.
func (s *Sched) waitingWork() []WaitingWork {
	type key struct {
		rank   int
		reason WaitReason
	}
	sums := map[key]WaitingWork{}
	for st, w := range s.waits {
		k := key{w.rank, w.reason}
		e := sums[k]
		e.Rank, e.Reason = w.rank, w.reason.String()
		e.Steps++
		for _, t := range st.Tasks {
			if t.State == flow.Waiting {
				e.CPU += st.Spec.Demand().CPU
			}
		}
		sums[k] = e
	}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.reason, b.reason))
	})
	all := make([]WaitingWork, 0, len(keys))
	for _, k := range keys[:min(len(keys), maxSummaryEntries)] {
		all = append(all, sums[k])
	}
	return all
}

// endWait adds the waiting time of a step to its job; the step does not wait any more.
func (s *Sched) endWait(j *flow.Job, st *flow.Stage) {
	if w, ok := s.waits[st]; ok {
		s.jobWaits[j.Spec.ID] = s.jobWaits[j.Spec.ID].add(w.times)
		delete(s.waits, st)
	}
}

// add returns the sum of two waiting times by reason.
func (w WaitTimes) add(o WaitTimes) WaitTimes {
	for r, d := range o {
		w[r] += d
	}
	return w
}

// jobEnded returns the report of a job's final state.
func (s *Sched) jobEnded(j *flow.Job, repeated bool) JobEnded {
	q := s.queue(j)
	e := JobEnded{
		ID: j.Spec.ID, Queue: q.Name, Organisation: j.Spec.Organisation, Rank: q.Rank, State: j.Published, Repeated: repeated,
		Took: j.Ended.Sub(j.Accepted), Waits: s.jobWaits[j.Spec.ID],
		Phases: j.Phases,
	}
	for _, r := range j.Rounds {
		for _, st := range r.Stages {
			if w, ok := s.waits[st]; ok {
				e.Waits = e.Waits.add(w.times)
			}
		}
	}
	if hasObjective(j) {
		e.Objective = j.Objective(q)
	}
	return e
}

// hasObjective reports whether the table bounds the time from a job's acceptance to its end. It does
// not for jobs that repeat their steps or run until they are cancelled, nor is it known for a
// restored job without its spec.
func hasObjective(j *flow.Job) bool {
	lasting := slices.ContainsFunc(j.Spec.Steps, func(st flow.Step) bool { return st.LongRunning })
	return len(j.Spec.Steps) > 0 && j.Spec.Repeat.Count == 0 && !lasting
}
