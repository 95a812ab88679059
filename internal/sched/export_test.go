package sched

import "pollencroft/internal/flow"

// JobForTest returns a job with all that the core knows of it.
func (s *Sched) JobForTest(id string) *flow.Job { return s.jobs[id] }
