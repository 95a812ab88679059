package measure_test

import (
	"fmt"
	"testing"

	"pollencroft/internal/measure"
)

// BenchmarkJobMemory prints the memory that one waiting task occupies in a leader.
func BenchmarkJobMemory(b *testing.B) {
	for _, tasks := range []int{1000, 5000, 25_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(measure.JobMemory(tasks), "bytes/task")
			}
		})
	}
}
