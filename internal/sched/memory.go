package sched

import "time"

// memoryInterval is how often the memory of the jobs is counted. In between, new jobs are added.
const memoryInterval = 500 * time.Millisecond

// memory estimates the memory that the jobs take.
type memory struct {
	jobs int64
	at   time.Time
}

// Memory estimates the memory that the jobs take, in bytes.
func (s *Sched) Memory(now time.Time) int64 {
	if now.Sub(s.memory.at) >= memoryInterval {
		s.memory = memory{at: now}
		for _, j := range s.jobs {
			s.memory.jobs += j.Memory()
		}
	}
	return s.memory.jobs
}
