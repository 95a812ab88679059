package flow

import (
	"slices"
	"time"
)

// chainTimes returns for each step the estimated time of the longest chain of dependent steps
// that starts with it.
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

// ChainTime returns the estimated time of the job's longest chain of steps.
func (s Spec) ChainTime() time.Duration { return slices.Max(s.chainTimes()) }

// RemainingTime returns the estimated time from the start of a step to the end of the job.
func (j *Job) RemainingTime(st *Stage) time.Duration {
	return j.remainingTimes()[st.Index]
}

// Objective returns the time, counted from its acceptance, within which the job should end
// according to the table's present entry for its queue.
func (j *Job) Objective(q Queue) time.Duration {
	return time.Duration(q.Stretch*float64(slices.Max(j.remainingTimes()))) + q.Slack
}

func (j *Job) remainingTimes() []time.Duration {
	if j.chainTimes == nil {
		j.chainTimes = j.Spec.chainTimes()
	}
	return j.chainTimes
}
