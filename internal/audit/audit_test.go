package audit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// The audit must detect each kind of violation. If a count could not rise, every test that uses the
// audit would pass.
func TestViolationsDetectsEachBrokenGuarantee(t *testing.T) {
	tally := NewTally()
	tally.recordOutcome("twice", client.Done)
	tally.recordOutcome("lost", client.Done)
	tally.recordOutcome("ran", client.Refused)
	tally.recordJob(client.Job{Tasks: 2}, client.JobStatus{ID: "d.r.a"}, nil, 0)
	tally.recordJob(client.Job{Tasks: 1}, client.JobStatus{ID: "d.r.b"}, nil, 0)
	tally.recordCancel("d.r.b", "not run")
	got := tally.Violations(standin.Report{
		Overfilled: 3, Doubled: []string{"x"},
		Ran:     map[string]int{"twice": 2, "ran": 1},
		Tasks:   map[string]int{"d.r.a.0": 1},
		Started: map[string]int{"d.r.a.0": 1, "d.r.b.0": 1, "d.r.c.0": 1},
	})
	require.Equal(t, ViolationsError{Lost: 2, RanTwice: 2, Overfilled: 3, ToldWrong: 3}, got)
}
