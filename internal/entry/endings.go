package entry

import (
	"slices"
	"time"

	"pollencroft/internal/flow"
)

const (
	// maxFinalStatesPerReply is how many final states one answer carries.
	maxFinalStatesPerReply = 500
)

// finalStates are the final states of a term in the order in which they were stored. Hosts take
// them with each sync: they go on telling them when they reach neither the lead nor the store.
// It is not safe for concurrent use.
type finalStates struct {
	// first is the number of the oldest that is kept.
	first int
	all   []finalState
}

type finalState struct {
	id    string
	state flow.State
	at    time.Time
}

func (e *finalStates) add(id string, state flow.State, now time.Time) {
	e.all = append(e.all, finalState{id, state, now})
}

// drop forgets those that were kept since before then, many at a time: the rest is moved.
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

// from returns jobs by state from a number on, and the number to go on with.
func (e *finalStates) from(n int) (map[flow.State][]string, int) {
	n = min(max(n, e.first), e.first+len(e.all))
	some := e.all[n-e.first:]
	some = some[:min(len(some), maxFinalStatesPerReply)]
	by := map[flow.State][]string{}
	for _, x := range some {
		by[x.state] = append(by[x.state], x.id)
	}
	return by, n + len(some)
}
