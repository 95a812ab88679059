package joblog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
	"pollencroft/internal/joblog"
)

func body(t *testing.T, recs ...joblog.Record) []byte {
	t.Helper()
	b, err := joblog.Encode(recs)
	require.NoError(t, err)
	return b
}

func accepted(id string) joblog.Record { return joblog.Record{ID: id, Spec: &job.Spec{ID: id}} }

// The answer to an append is lost, so the record is written twice, the second time after the
// job's end. The job must not be reopened.
func TestEndOfAJobIsFinal(t *testing.T) {
	l := joblog.New()
	l.Fold(1, body(t, accepted("d.r.1"), accepted("d.r.2")))
	l.Fold(2, body(t, joblog.Record{ID: "d.r.1", State: "cancelled"}))
	l.Fold(3, body(t, accepted("d.r.1")))
	l.Remember(joblog.Record{ID: "d.r.1", State: "ended", Ran: true})
	require.Equal(t, []job.Spec{{ID: "d.r.2"}}, l.OpenJobs())
	end, ok := l.End("d.r.1")
	require.True(t, ok)
	require.Equal(t, "cancelled", end.State)
}

// The log holds a record that this version cannot decode. Every host ignores it and goes on with
// the next record.
func TestUndecodableRecordIsSkipped(t *testing.T) {
	l := joblog.New()
	l.Fold(1, []byte("{"))
	l.Fold(2, body(t, accepted("d.r.1")))
	l.Fold(1, body(t, joblog.Record{ID: "d.r.1", State: "ended"}))
	require.Equal(t, int64(3), l.Next())
	require.Len(t, l.OpenJobs(), 1)
	require.Empty(t, l.OpenBefore(2))
	require.Len(t, l.OpenBefore(3), 1)
}

// Guards against a crash count that is lost when a later record is applied.
func TestCrashCountsSurviveOtherRecords(t *testing.T) {
	l := joblog.New()
	crashed := func(count int64) joblog.Record {
		return joblog.Record{ID: "d.r.1", Crashes: map[string]int64{"d.r.1.0": count}}
	}
	l.Fold(1, body(t, crashed(2)))
	l.Fold(2, body(t, accepted("d.r.1")))
	l.Fold(3, body(t, crashed(1)))
	require.Equal(t, map[string]int64{"d.r.1.0": 2}, l.Crashes("d.r.1"))
	owed := accepted("d.r.1").Merge(crashed(2))
	require.False(t, accepted("d.r.1").Covers(owed))
	require.False(t, crashed(2).Covers(owed))
	require.False(t, accepted("d.r.1").Merge(crashed(1)).Covers(owed))
	require.True(t, owed.Covers(owed))
	end := joblog.Record{ID: "d.r.1", State: "failed", Reason: "crashed"}
	require.Equal(t, "failed", crashed(3).Merge(end).State)
	require.True(t, end.Covers(end.Merge(owed)))
}
