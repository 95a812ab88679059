// Package finals lists the final states of the jobs of a term, for hosts that fetch them step by step.
package finals

import (
	"slices"
	"time"

	"pollencroft/internal/flow"
)

// MaxPerReply limits the final states that From returns.
const MaxPerReply = 500

// Status is a job's state, and the organisation that the job belongs to.
type Status struct {
	State        flow.State
	Organisation string
}

// Log lists the final states of a term's jobs in the order in which they were stored. Hosts fetch
// them with each sync, so that they can still report them when they reach neither the leader nor the
// store. It is not safe for concurrent use.
type Log struct {
	// first is the sequence number of the oldest state that is kept.
	first int
	all   []entry
}

type entry struct {
	id string
	Status
	at time.Time
}

// Add adds the final state of a job.
func (l *Log) Add(id string, st Status, now time.Time) {
	l.all = append(l.all, entry{id, st, now})
}

// Drop removes the states that were added before a time. It waits until there are many, because the
// rest has to be moved.
func (l *Log) Drop(before time.Time) {
	n := slices.IndexFunc(l.all, func(x entry) bool { return !x.at.Before(before) })
	if n < 0 {
		n = len(l.all)
	}
	if n < MaxPerReply {
		return
	}
	l.first += n
	l.all = slices.Delete(l.all, 0, n)
}

// From returns job ids by status, starting at sequence number n, and the number to continue with.
func (l *Log) From(n int) (map[Status][]string, int) {
	n = min(max(n, l.first), l.first+len(l.all))
	some := l.all[n-l.first:]
	some = some[:min(len(some), MaxPerReply)]
	by := map[Status][]string{}
	for _, x := range some {
		by[x.Status] = append(by[x.Status], x.id)
	}
	return by, n + len(some)
}
