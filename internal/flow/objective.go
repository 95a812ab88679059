package flow

import (
	"slices"
	"time"
)

// Chain is how long the job's steps take one after the other, as estimated, when
// nothing waits.
func (s Spec) Chain() time.Duration {
	var longest time.Duration
	for _, d := range s.chains() {
		longest = max(longest, d)
	}
	return longest
}

// chains is by step how long the chain of steps takes that begins with it.
func (s Spec) chains() []time.Duration {
	after := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		after[i] += s.Steps[i].Time
		for _, before := range s.Steps[i].After {
			after[before] = max(after[before], after[i])
		}
	}
	return after
}

// Objective is how long after its acceptance the job should end.
func (s Spec) Objective() time.Duration {
	return time.Duration(s.Queue.Stretch*float64(s.Chain())) + s.Queue.Slack
}

// Left is how long the job takes from the begin of a step on, as estimated.
func (j *Job) Left(st *Stage) time.Duration {
	if j.chains == nil {
		j.chains = j.Spec.chains()
	}
	return j.chains[st.Index]
}

// Objective is how long after its acceptance the job should end under what the table
// says of its queue now.
func (j *Job) Objective(q Queue) time.Duration {
	if j.chains == nil {
		j.chains = j.Spec.chains()
	}
	return time.Duration(q.Stretch*float64(slices.Max(j.chains))) + q.Slack
}

// Spare is how long the job can wait in all and still end in time.
func (s Spec) Spare() time.Duration { return max(s.Objective()-s.Chain(), 0) }
