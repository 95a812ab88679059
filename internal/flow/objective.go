package flow

import (
	"slices"
	"time"
)

// chainTimes is by step how long the chain of steps takes that begins with it.
func (s Spec) chainTimes() []time.Duration {
	after := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		after[i] += s.Steps[i].EstimatedTime
		for _, before := range s.Steps[i].After {
			after[before] = max(after[before], after[i])
		}
	}
	return after
}

// RemainingTime is how long the job takes from the begin of a step on, as estimated.
func (j *Job) RemainingTime(st *Stage) time.Duration {
	return j.remainingTimes()[st.Index]
}

// Objective is how long after its acceptance the job should end under what the table
// says of its queue now.
func (j *Job) Objective(q Queue) time.Duration {
	return time.Duration(q.Stretch*float64(slices.Max(j.remainingTimes()))) + q.Slack
}

func (j *Job) remainingTimes() []time.Duration {
	if j.chainTimes == nil {
		j.chainTimes = j.Spec.chainTimes()
	}
	return j.chainTimes
}
