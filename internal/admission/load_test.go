package admission_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/admission"
	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

var now = time.Unix(1_000_000, 0)

// overloaded returns a view in which the next job of an organisation waits 20 s, and a job of it that
// takes 1 s and should end within 2 s.
func overloaded() (admission.View, flow.Spec) {
	v := admission.View{At: now.Add(-500 * time.Millisecond), Term: 7, Hosts: 4, Snapshot: &admission.Snapshot{Term: 7, Loads: []admission.Load{{
		Queue: "scan", Organisation: "a", Jobs: 40, Tasks: 400, Wait: cell.Duration{Duration: 20 * time.Second},
		Rate: 1, Balance: -0.75, Need: cell.Size{CPU: 4000, Mem: 4}, Largest: cell.Size{CPU: 64_000, Mem: 64},
	}}}}
	return v, flow.Spec{
		ID: "0123456789abcdef", Organisation: "a", Queue: flow.Queue{Name: "scan", Stretch: 1.5, Slack: 500 * time.Millisecond},
		Steps: []flow.Step{{Tasks: 1, Size: cell.Size{CPU: 4000, Mem: 4}, EstimatedTime: time.Second}},
	}
}

func TestJobThatCannotEndInTimeIsRejected(t *testing.T) {
	v, spec := overloaded()
	err := v.Check(now, spec)
	var over *admission.OverloadError
	require.ErrorAs(t, err, &over)
	require.Equal(t, admission.OverloadError{
		Queue: "scan", Organisation: "a", Expected: 20 * time.Second, RetryAfter: over.RetryAfter, Age: 500 * time.Millisecond, Term: 7,
	}, *over)
	require.Contains(t, err.Error(), `organisation "a" is beyond its rate`)
}

// measured returns the run times of a queue whose steps usually declare 1 s.
func measured(expected time.Duration, slope float64) admission.RunTimes {
	return admission.RunTimes{Usual: cell.Duration{Duration: time.Second}, Expected: cell.Duration{Duration: expected}, Slope: slope}
}

// Guards against a rejection because of a state that is old, unknown or of another leader, of a job
// that is within its organisation's rate, or of one of which it is not certain that it is too late.
func TestWhatIsNotCertainIsAdmitted(t *testing.T) {
	for name, change := range map[string]func(*admission.View, *flow.Spec){
		"old snapshot":              func(v *admission.View, _ *flow.Spec) { v.At, v.Loads[0].Balance = now.Add(-2100*time.Millisecond), -10 },
		"other term":                func(v *admission.View, _ *flow.Spec) { v.Term = 8 },
		"earlier term":              func(v *admission.View, _ *flow.Spec) { v.Term = 6 },
		"no snapshot":               func(v *admission.View, _ *flow.Spec) { v.Snapshot = nil },
		"other queue":               func(_ *admission.View, s *flow.Spec) { s.Queue.Name = "print" },
		"other organisation":        func(_ *admission.View, s *flow.Spec) { s.Organisation = "b" },
		"no organisation":           func(_ *admission.View, s *flow.Spec) { s.Organisation = "" },
		"within its rate":           func(v *admission.View, _ *flow.Spec) { v.Loads[0].Balance = 1 },
		"within its rate since":     func(v *admission.View, _ *flow.Spec) { v.Loads[0].Balance = 0.5 },
		"short wait":                func(v *admission.View, _ *flow.Spec) { v.Loads[0].Wait.Duration = 8 * time.Second },
		"smaller than what waits":   func(_ *admission.View, s *flow.Spec) { s.Steps[0].Size.CPU = 3999 },
		"waits for a larger worker": func(_ *admission.View, s *flow.Spec) { s.Steps[0].Size.Mem = 65 },
		"no worker is listed":       func(v *admission.View, _ *flow.Spec) { v.Loads[0].Largest = cell.Size{} },
		"long-running":              func(_ *admission.View, s *flow.Spec) { s.Steps[0].LongRunning = true },
		"best-effort":               func(_ *admission.View, s *flow.Spec) { s.Steps[0].BestEffort = true },
		"repeated":                  func(_ *admission.View, s *flow.Spec) { s.Repeat.Count = 1 },
		"no objective":              func(_ *admission.View, s *flow.Spec) { s.Queue.Stretch = 0 },
		"longer than declared":      func(v *admission.View, _ *flow.Spec) { v.Loads[0].Times = measured(4*time.Second, 1) },
		"short declared time": func(v *admission.View, s *flow.Spec) {
			v.Loads[0].Times = measured(25*time.Second, 0.4)
			s.Steps[0].EstimatedTime = 10 * time.Millisecond
		},
		"slow policy service": func(v *admission.View, _ *flow.Spec) { v.Loads[0].Times.Query.Duration = 3 * time.Second },
		"step of unknown run time": func(_ *admission.View, s *flow.Spec) {
			s.Steps = append(s.Steps, flow.Step{Tasks: 1, Size: s.Steps[0].Size, After: []int{0}})
		},
		"unknown run time": func(_ *admission.View, s *flow.Spec) { s.Steps[0].EstimatedTime = 0 },
	} {
		v, spec := overloaded()
		change(&v, &spec)
		require.NoError(t, v.Check(now, spec), name)
	}
}

// Guards against rejected callers that return all at the same time, sooner than they could be
// admitted, or after the backlog is worked off.
func TestRejectedCallersReturnWhenTheBacklogIsWorkedOff(t *testing.T) {
	v, spec := overloaded()
	seen := map[time.Duration]int{}
	for i := range 1000 {
		spec.ID = fmt.Sprintf("%016x", i)
		var over *admission.OverloadError
		require.ErrorAs(t, v.Check(now, spec), &over)
		require.Zero(t, over.RetryAfter%time.Second)
		seen[over.RetryAfter]++
	}
	// What waits now is too late itself after 6 s. One job takes 0.5 s, and four hosts reject callers.
	require.Len(t, seen, 2)
	require.InDelta(t, 500, seen[6*time.Second], 50)
	require.InDelta(t, 500, seen[5*time.Second], 50)

	v.Loads[0].Wait.Duration, spec.Queue.Slack = 2*time.Hour, time.Hour/3
	var over *admission.OverloadError
	require.ErrorAs(t, v.Check(now, spec), &over)
	require.Equal(t, time.Minute, over.RetryAfter)
}

// Guards against a snapshot that changes on its way from the leader to a host.
func TestSnapshotIsSentWhole(t *testing.T) {
	v, _ := overloaded()
	v.Age.Duration = 300 * time.Millisecond
	b, err := json.Marshal(v.Snapshot)
	require.NoError(t, err)
	var got admission.Snapshot
	require.NoError(t, json.Unmarshal(b, &got))
	require.Equal(t, *v.Snapshot, got)
}
