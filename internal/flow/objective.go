package flow

import (
	"slices"
	"time"
)

// ChainTimes returns for each step the time of the longest chain of dependent steps that starts with
// it, if the steps take the given times.
func (s Spec) ChainTimes(steps []time.Duration) []time.Duration {
	after := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		after[i] += steps[i]
		for _, before := range s.Steps[i].After {
			after[before] = max(after[before], after[i])
		}
	}
	return after
}

// Objective returns the time within which a job should end whose longest chain of steps takes as
// long as given.
func (q Queue) Objective(longestChain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(longestChain)) + q.Slack
}

// ChainTime returns the declared time of the job's longest chain of steps.
func (s Spec) ChainTime() time.Duration { return slices.Max(s.ChainTimes(s.declaredTimes())) }

// RemainingTime returns the declared time from the start of a step to the end of the job.
func (j *Job) RemainingTime(st *Stage) time.Duration {
	return j.remainingTimes()[st.Index]
}

// Objective returns the time, counted from its acceptance, within which the job should end
// according to its declared times and the table's present entry for its queue.
func (j *Job) Objective(q Queue) time.Duration { return q.Objective(slices.Max(j.remainingTimes())) }

func (j *Job) remainingTimes() []time.Duration {
	if j.chainTimes == nil {
		j.chainTimes = j.Spec.ChainTimes(j.Spec.declaredTimes())
	}
	return j.chainTimes
}

func (s Spec) declaredTimes() []time.Duration {
	declared := make([]time.Duration, len(s.Steps))
	for i, st := range s.Steps {
		declared[i] = st.EstimatedTime
	}
	return declared
}
