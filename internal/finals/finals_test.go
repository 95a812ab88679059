package finals_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/finals"
	"pollencroft/internal/flow"
)

// Guards against final states that a host misses, and against final states that a leader never
// removes.
func TestFinalStatesAreReportedInOrderAndDropped(t *testing.T) {
	var l finals.Log
	at := time.Unix(1000, 0)
	const jobs = 1200
	completed := finals.Status{State: flow.Completed, Organisation: "a"}
	for n := range jobs {
		l.Add(fmt.Sprint(n), completed, at.Add(time.Duration(n)*time.Second))
	}
	reported := map[string]int{}
	next := 0
	for range 10 {
		var by map[finals.Status][]string
		by, next = l.From(next)
		for _, id := range by[completed] {
			reported[id]++
		}
	}
	require.Len(t, reported, jobs)
	require.Equal(t, jobs, next)
	for id, n := range reported {
		require.Equal(t, 1, n, id)
	}
	l.Drop(at.Add(1000 * time.Second))
	by, next := l.From(0)
	require.Len(t, by[completed], 200)
	require.Equal(t, jobs, next)
	by, next = l.From(jobs + 50)
	require.Empty(t, by)
	require.Equal(t, jobs, next)
}
