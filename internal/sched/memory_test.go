package sched_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// Guards against memory of jobs that is not counted at once, or that stays counted after their end.
func TestMemoryOfJobsIsCounted(t *testing.T) {
	const tasks = 1000
	now := time.Unix(1_000_000, 0)
	s := sched.New(sched.DefaultLimits, 1, nil)
	empty := s.Memory(now)
	spec := flow.Spec{ID: "a", Text: strings.Repeat("x", 4000), Steps: []flow.Step{{Tasks: tasks, Size: cell.Size{CPU: 1}}}}
	s.Step(now, sched.Submit{Spec: spec})
	require.GreaterOrEqual(t, s.Memory(now)-empty, int64(tasks*500))
	s.Step(now, sched.Submit{Spec: spec})
	require.Equal(t, spec.Memory(), s.Memory(now)-empty)
	s.Step(now, sched.Cancel{ID: "a"})
	held := s.Memory(now.Add(time.Second)) - empty
	require.GreaterOrEqual(t, held, int64(len(spec.Text)))
	require.Less(t, held, spec.Memory()/10)
}
