package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
)

// A task avoids each worker for a time from its own event; only the members of a gang avoid what
// another does.
func TestTaskAvoidsEachWorkerFromItsOwnEvent(t *testing.T) {
	for _, gang := range []bool{false, true} {
		start := time.UnixMilli(1_000_000)
		j := flow.New(flow.Spec{ID: "a", Steps: []flow.Step{{Tasks: 2, Gang: gang}}}, 1, start)
		j.BeginRounds(start)
		first, second := j.Task(flow.Name{Job: "a"}), j.Task(flow.Name{Job: "a", Index: 1})
		require.False(t, first.AvoidsAny(start))
		later := start.Add(4 * time.Second)
		second.Avoid("w0", start)
		second.Avoid("w1", later)
		require.True(t, second.Avoids("w0", later))
		require.True(t, second.Avoids("w1", later))
		require.False(t, second.Avoids("w2", later))
		require.Equal(t, gang, first.Avoids("w0", later))
		last := start.Add(6 * time.Second)
		require.False(t, second.Avoids("w0", last))
		require.True(t, second.Avoids("w1", last))
		require.True(t, second.AvoidsAny(last))
		require.False(t, second.AvoidsAny(start.Add(time.Minute)))
	}
}
