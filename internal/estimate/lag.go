package estimate

import (
	"container/heap"
	"math"
	"time"
)

// lagFactor is the multiple of its expected time after whose passing a run is recorded, counted from
// its beginning. Of the runs that begin together, the short ones end first: after one median run time,
// the runs of a new leader that have ended have 0.4 to 0.5 of the median of all, and still 0.7 to 0.9
// after four. Of those that began three medians ago, 87 to 98 % have ended.
const lagFactor = 3

// maxLater bounds the runs that wait to be recorded. A queue whose declared times are far too long, and
// which is not measured for that reason, would collect them for three times the declared time.
const maxLater = 10 * memory

// ended is a run that has ended and is recorded at some time.
type ended struct {
	at             time.Time
	declared, took time.Duration
}

// endedRuns holds ended runs as a heap, by the time at which they are recorded.
type endedRuns []ended

func (a endedRuns) Len() int           { return len(a) }
func (a endedRuns) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a endedRuns) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *endedRuns) Push(x any)        { *a = append(*a, x.(ended)) }

func (a *endedRuns) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// RecordLater records a run once others that began with it have had the time to end as well. Settle
// has to be called for that.
func (q *QueueTimes) RecordLater(began time.Time, declared, took time.Duration) {
	lag := lagFactor * min(q.Expect(declared).Median, math.MaxInt64/lagFactor)
	heap.Push(&q.later, ended{began.Add(lag), declared, took})
}

// Settle records the runs that are due, and the first ones of more than maxLater. It reports whether the estimates have changed materially.
func (q *QueueTimes) Settle(now time.Time) bool {
	version := q.Version()
	for len(q.later) > maxLater || len(q.later) > 0 && !q.later[0].at.After(now) {
		e := heap.Pop(&q.later).(ended)
		q.Record(e.declared, e.took)
	}
	return q.Version() != version
}
