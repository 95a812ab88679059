package entry

import (
	"slices"
	"time"

	"pollencroft/internal/flow"
)

const (
	// maxFinalStatesPerReply limits the final states in one sync reply.
	maxFinalStatesPerReply = 500
)

// finalStates lists the final states of a term's jobs in the order in which they were stored.
// Hosts fetch them with each sync, so that they can still report them when they reach neither the
// leader nor the store. It is not safe for concurrent use.
type finalStates struct {
	// first is the sequence number of the oldest state that is kept.
	first int
	all   []finalState
}

type finalState struct {
	id string
	jobStatus
	at time.Time
}

// jobStatus is a job's state, and the organisation that the job belongs to.
type jobStatus struct {
	state        flow.State
	organisation string
}

func (e *finalStates) add(id string, st jobStatus, now time.Time) {
	e.all = append(e.all, finalState{id, st, now})
}

// drop removes the states that were added before a time. It waits until there are many, because
// the rest has to be moved.
func (e *finalStates) drop(before time.Time) {
	n := slices.IndexFunc(e.all, func(x finalState) bool { return !x.at.Before(before) })
	if n < 0 {
		n = len(e.all)
	}
	if n < maxFinalStatesPerReply {
		return
	}
	e.first += n
	e.all = slices.Delete(e.all, 0, n)
}

// from returns job ids by status, starting at sequence number n, and the number to continue with.
func (e *finalStates) from(n int) (map[jobStatus][]string, int) {
	n = min(max(n, e.first), e.first+len(e.all))
	some := e.all[n-e.first:]
	some = some[:min(len(some), maxFinalStatesPerReply)]
	by := map[jobStatus][]string{}
	for _, x := range some {
		by[x.jobStatus] = append(by[x.jobStatus], x.id)
	}
	return by, n + len(some)
}
