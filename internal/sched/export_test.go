package sched

import "pollencroft/internal/flow"

// JobForTest returns a job with all that the core knows of it.
func (s *Sched) JobForTest(id string) *flow.Job { return s.jobs[id] }

// FencedForTest returns how many workers were read under this term.
func (s *Sched) FencedForTest() int {
	n := 0
	for _, w := range s.workers {
		if w.fenced {
			n++
		}
	}
	return n
}
