package sched

import "pollencroft/internal/flow"

// State returns the published state of a job, or false if the job is not known.
func (s *Sched) State(id string) (flow.State, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return "", false
	}
	return j.Published, true
}

// Organisation returns the organisation of a job; empty if the job belongs to none.
func (s *Sched) Organisation(id string) string {
	if j, ok := s.jobs[id]; ok {
		return j.Spec.Organisation
	}
	return ""
}

// Pending counts the jobs of which no task has started, by queue.
func (s *Sched) Pending() map[string]int {
	n := map[string]int{}
	for _, j := range s.openJobs {
		if j.State == flow.Queued {
			n[j.Spec.Queue.Name]++
		}
	}
	return n
}
