package measure_test

import (
	"fmt"
	"testing"

	"pollencroft/internal/measure"
	"pollencroft/internal/place"
)

// scanTurns limits the turns of the baseline, which is slow with many workers.
const scanTurns = 20

// BenchmarkDecide compares the time of placement decisions with that of a scan of all workers.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{48, 400, 2600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			scan := measure.NewDecide(measure.NewScan(), workers, 2000)
			for range scanTurns {
				scan.Turn()
			}
			d := measure.NewDecide(place.New(place.DefaultLimits), workers, 2000)
			b.ResetTimer()
			for range b.N {
				d.Turn()
			}
			b.ReportMetric(float64(d.P99().Microseconds()), "p99-µs")
			b.ReportMetric(float64(scan.P99().Microseconds()), "scan-p99-µs")
			b.ReportMetric(scan.Times.Mean()/d.Times.Mean(), "scan/decide")
		})
	}
}
