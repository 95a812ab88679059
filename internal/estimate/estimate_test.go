package estimate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/estimate"
)

const gib = int64(1) << 30

var declared = cell.Size{CPU: 1000, Mem: gib, Accel: 1}

func shareOfDeclared(f float64) cell.Size {
	return cell.Size{CPU: int64(f * 1000), Mem: int64(f * float64(gib))}
}

// measured returns estimates for a row of which 20 tasks used the given share of their
// declared size.
func measured(f float64) *estimate.Estimates {
	e := estimate.New()
	for i := range 20 {
		id := fmt.Sprint(i)
		for range 3 {
			e.RecordUse(id, "r", declared, shareOfDeclared(f))
		}
		e.Forget(id)
	}
	return e
}

// Callers declare far too much or too little. Placed by the declared sizes, tasks would leave
// workers empty or overfill them. Tasks are sized by the measured use of their row instead,
// never below it, and tasks of a row without measurements get additional capacity.
func TestSizeFollowsMeasuredUse(t *testing.T) {
	require.Equal(t, cell.Size{CPU: 2000, Mem: 2 * gib, Accel: 1}, estimate.New().Size("r", declared))
	for _, f := range []float64{0.1, 0.5, 1, 3} {
		got := measured(f).Size("r", declared)
		require.GreaterOrEqual(t, got.CPU, shareOfDeclared(f).CPU)
		require.LessOrEqual(t, got.CPU, int64(float64(shareOfDeclared(f).CPU)*1.3))
		require.GreaterOrEqual(t, got.Mem, shareOfDeclared(f).Mem)
		require.Equal(t, int64(1), got.Accel)
	}
}

// One task grows far beyond the measured use of its row. Its capacity must grow immediately,
// and outdated reports must not reduce it again.
func TestSizeIsNeverBelowMeasuredUse(t *testing.T) {
	e := measured(0.5)
	_, known := e.RecordUse("x", "r", declared, cell.Size{})
	require.False(t, known, "an outdated report must be ignored")
	capacity, _ := e.RecordUse("x", "r", declared, shareOfDeclared(2.5))
	require.Equal(t, shareOfDeclared(2.5).CPU, capacity.CPU)
	capacity, _ = e.RecordUse("x", "r", declared, shareOfDeclared(0.2))
	require.Equal(t, shareOfDeclared(2.5).Mem, capacity.Mem)
	e.Forget("x")
	require.GreaterOrEqual(t, e.Size("r", declared).CPU, shareOfDeclared(2.5).CPU, "the estimate of the row must follow")
}

func TestTimeFollowsMeasuredTimes(t *testing.T) {
	e := estimate.New()
	require.Equal(t, 2*time.Minute, e.Time("r", time.Minute))
	for range 10 {
		e.RecordTime("r", time.Minute, 5*time.Minute)
	}
	require.InDelta(t, 300, e.Time("r", time.Minute).Seconds(), 5)
}

// A row changes and uses much less from then on. Its old measurements must not determine its
// size forever.
func TestOldMeasurementsAreDropped(t *testing.T) {
	e := measured(3)
	for i := range 1100 {
		id := fmt.Sprintf("new%d", i)
		e.RecordUse(id, "r", declared, shareOfDeclared(0.5))
		e.Forget(id)
	}
	require.Less(t, e.Size("r", declared).CPU, int64(1000))
}
