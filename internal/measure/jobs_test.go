package measure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/estimate"
	"pollencroft/internal/measure"
	"pollencroft/internal/place"
)

// BenchmarkPacking compares the use of a failure domain's workers with that of first fit by declared
// sizes. The queue is never empty, and declared sizes are far from the actual ones.
func BenchmarkPacking(b *testing.B) {
	load := measure.Packing(48, 30*time.Minute)
	for b.Loop() {
		ours, first := load.Play(place.New(place.DefaultLimits), estimate.New()), load.Play(measure.NewFirstFit(), nil)
		b.ReportMetric(100*ours.Used, "%used")
		b.ReportMetric(100*first.Used, "%firstfit")
		b.ReportMetric(100*(ours.Used-first.Used), "points")
		b.ReportMetric(float64(ours.Overfilled), "overfilled-s")
		b.ReportMetric(float64(first.Overfilled), "firstfit-overfilled-s")
	}
}

// BenchmarkJobWait compares the waiting times by class with those of one FIFO queue. The load has
// wrong declared sizes, workers that fail every task, a flood and many cancellations at once.
func BenchmarkJobWait(b *testing.B) {
	load := measure.JobWait(48)
	for b.Loop() {
		ours, fifo := load.Play(place.New(place.DefaultLimits), estimate.New()), load.Play(measure.NewFIFO(), nil)
		for _, c := range cell.Classes {
			for _, q := range []float64{50, 99} {
				b.ReportMetric(float64(ours.Waits[c].ValueAtQuantile(q))/1000, fmt.Sprintf("%s-p%.0f-s", c, q))
				b.ReportMetric(float64(fifo.Waits[c].ValueAtQuantile(q))/1000, fmt.Sprintf("fifo-%s-p%.0f-s", c, q))
			}
		}
		b.ReportMetric(float64(ours.Wasted), "blackhole-starts")
		b.ReportMetric(float64(fifo.Wasted), "fifo-blackhole-starts")
		b.ReportMetric(float64(ours.Overfilled), "overfilled-s")
		b.ReportMetric(float64(fifo.Overfilled), "fifo-overfilled-s")
	}
}

// Callers declare from half to five times what their tasks use. Packed by declared sizes, workers
// stay half empty, while a few are overfilled and slow down every task on them. The test checks that
// packing by measured sizes overfills no worker and uses more of the capacity.
func TestPackingByMeasuredSizes(t *testing.T) {
	load := measure.Packing(12, 25*time.Minute)
	ours, first := load.Play(place.New(place.DefaultLimits), estimate.New()), load.Play(measure.NewFirstFit(), nil)
	require.Zero(t, ours.Overfilled)
	require.Greater(t, ours.Used, first.Used+0.1)
}

// A flood of bulk jobs arrives while urgent jobs are submitted, and some workers fail every task.
// The test checks that urgent jobs still start within 1.9 s and that few starts are wasted on the
// failing workers.
func TestUrgentJobsDoNotWaitBehindAFlood(t *testing.T) {
	load := measure.JobWait(24)
	load.Run = 5 * time.Minute
	ours := load.Play(place.New(place.DefaultLimits), estimate.New())
	require.LessOrEqual(t, ours.Waits[cell.Urgent].ValueAtQuantile(99), int64(1900))
	require.Less(t, ours.Wasted, 40)
}
