package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// JobForTest returns a job with all that the core knows of it.
func (s *Sched) JobForTest(id string) *flow.Job { return s.jobs[id] }

// TimesForTest returns a job's objective, the expected time from the start of its first step to its
// end, and the expected end of the first task.
func (s *Sched) TimesForTest(id string) (objective, remaining time.Duration, firstEnd time.Time) {
	j := s.jobs[id]
	q, st := s.queue(j), j.Rounds[0].Stages[0]
	w, ok := s.workers[st.Tasks[0].Worker]
	if !ok {
		w = s.sortedWorkers()[0]
	}
	return s.objective(j, q), s.remainingTime(j, st, q), s.expectedEnd(w, st.Tasks[0])
}

// ClassesForTest reports for each step that waits whether it counts as on time.
func (s *Sched) ClassesForTest(report func(j *flow.Job, st *flow.Stage, counted bool)) {
	for _, j := range s.sortedOpenJobs() {
		for _, r := range j.Rounds {
			for _, st := range r.Stages {
				if st.AnyWaiting() && r.Ready(st) {
					report(j, st, s.deadlineClassOf(j, r, st, s.queue(j)) == onTime)
				}
			}
		}
	}
}

// UsableShareForTest returns the measured share of a service's processors that jobs can use.
func (s *Sched) UsableShareForTest(service string) float64 {
	return s.selection.usableShare[service]
}

// OccupiedForTest returns what less urgent tasks use of a capacity, from the processors and the
// processor-seconds of each rank.
func OccupiedForTest(running, seconds map[int]float64) time.Duration {
	return (&use{running: running, seconds: seconds}).capacity(1e6, 0).OccupiedFor
}

// ExaminedForTest returns how often a worker was considered for a query to the policy service.
func (s *Sched) ExaminedForTest() int64 { return s.examined }
