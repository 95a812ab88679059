package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/sched"
)

// Guards against summaries that are frequent enough to be a load themselves, that never end while
// nothing runs, or that don't say what waits for what.
func TestLoadIsSummarizedOnceASecond(t *testing.T) {
	b := newQuotaCell(t, 4)
	b.submit("s1", "scan", scan(10))
	b.advance(10 * time.Second)
	var all []sched.LoadSummary
	for _, a := range b.reports {
		if s, ok := a.(sched.LoadSummary); ok {
			all = append(all, s)
		}
	}
	require.Less(t, len(all), 8, "one a second while the job runs, and one idle one before and after")
	var held bool
	for _, s := range all {
		held = held || s.UsedCPU == 20_000 && s.FreeCPU == 4*64_000-20_000 && len(s.Waiting) == 1 && s.Waiting[0].Reason == "quota" && s.Waiting[0].CPU == int64(5000*(10-4)) && s.Waiting[0].Steps == 1
	}
	require.True(t, held, fmt.Sprint(all))
	require.Equal(t, sched.LoadSummary{Waiting: []sched.WaitingWork{}, FreeCPU: 4 * 64_000}, all[len(all)-1])
}

// Guards against ends without what reports need: whose job it was, whether it was late and what it
// waited for; and against ends that are counted again.
func TestEndTellsWhoseJobItWasAndWhatItWaitedFor(t *testing.T) {
	b := newQuotaCell(t, 4)
	b.queues[0].Stretch, b.queues[0].Slack = 1, time.Millisecond
	b.setQuotas(b.quotas)
	b.submit("s1", "scan", scan(10))
	b.submit("s2", "scan", scan(10))
	b.advance(500 * time.Millisecond)
	b.cancel("s2")
	b.advance(10 * time.Second)
	first := map[string]sched.JobEnded{}
	for _, a := range b.reports {
		if e, ok := a.(sched.JobEnded); ok && !e.Repeated {
			require.NotContains(t, first, e.ID)
			first[e.ID] = e
		}
	}
	require.Contains(t, b.reports, sched.Action(sched.JobQueued{ID: "s1", Queue: "scan", Organisation: "small"}))
	s1, s2 := first["s1"], first["s2"]
	require.Equal(t, "scan small", s1.Queue+" "+s1.Organisation)
	require.True(t, s1.Late())
	require.Greater(t, s1.Took, s1.Objective)
	require.Greater(t, s1.Waits[sched.WaitForQuota], 900*time.Millisecond)
	require.False(t, s2.Late())
	require.InDelta(t, 500, s2.Waits[sched.WaitForQuota].Milliseconds(), 100)
}

// Guards against ends that don't say whether a late job's time was spent on storing its runs, on
// ordering them or on the runs themselves.
func TestEndTellsHowLongThePhasesOfItsRunsTook(t *testing.T) {
	b := newQuotaCell(t, 4)
	spec := scan(2)
	b.submit("s1", "scan", spec)
	b.advance(20 * time.Second)
	var ends []sched.JobEnded
	for _, a := range b.reports {
		if e, ok := a.(sched.JobEnded); ok && !e.Repeated {
			ends = append(ends, e)
		}
	}
	require.Len(t, ends, 1)
	p := ends[0].Phases
	require.Positive(t, p.Store)
	require.Positive(t, p.Order)
	require.Greater(t, p.Run, spec.EstimatedTime/2)
	require.LessOrEqual(t, p.Store+p.Order+p.Run, ends[0].Took)
}
