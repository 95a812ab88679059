package measure_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/measure"
)

// controlSizes lists numbers of hosts and failure domains, from the present cell to the target size.
var controlSizes = []struct{ hosts, domains int }{{3, 3}, {8, 3}, {20, 7}, {53, 7}}

// BenchmarkControl prints what control costs a host while no work runs and, at the end, how the
// traffic between hosts grows with their number. Its baselines are earlier versions, in
// docs/measures/table.md.
func BenchmarkControl(b *testing.B) {
	var x, y []float64
	for _, s := range controlSizes {
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) {
			f, err := measure.NewFleet(s.hosts, s.domains, 46)
			require.NoError(b, err)
			defer f.Close()
			f.WarmUp()
			b.ResetTimer()
			var cost measure.Cost
			for range b.N {
				cost = f.Idle(4 * time.Second)
			}
			b.ReportMetric(cost.Peers, "peer-B/s")
			b.ReportMetric(cost.Rest, "rest-B/s")
			b.ReportMetric(100*cost.Core, "core-%")
			b.ReportMetric(cost.Heap/(1<<20), "MiB/host")
			x, y = append(x, float64(s.hosts)), append(y, cost.Peers)
		})
	}
	base, slope := measure.Slope(x, y)
	b.Logf("peers: %.0f B/s + %.1f B/s for each host of the cell", base, slope)
}

// BenchmarkLeading prints the same cost for hosts that lead 46 workers each, the number of workers
// per host at the target size.
func BenchmarkLeading(b *testing.B) {
	f, err := measure.NewFleet(3, 3, 3*46)
	require.NoError(b, err)
	defer f.Close()
	f.WarmUp()
	for b.Loop() {
		cost := f.Idle(16 * time.Second)
		b.ReportMetric(cost.Peers, "peer-B/s")
		b.ReportMetric(cost.Rest, "rest-B/s")
		b.ReportMetric(100*cost.Core, "core-%")
		b.ReportMetric(cost.Heap/(1<<20), "MiB/host")
	}
}

// BenchmarkTableSpread prints the time from the acceptance of an operator's edit of the table until
// the last host applies it, and the time until the acceptance itself.
func BenchmarkTableSpread(b *testing.B) {
	for _, s := range controlSizes[1:] {
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) {
			f, err := measure.NewFleet(s.hosts, s.domains, 8)
			require.NoError(b, err)
			defer f.Close()
			var accepted, spread []time.Duration
			for i := 0; b.Loop(); i++ {
				a, e, err := f.Spread(context.Background(), int64(i%900+2))
				require.NoError(b, err)
				accepted, spread = append(accepted, a), append(spread, e)
			}
			b.ReportMetric(float64(slices.Max(spread).Microseconds())/1000, "spread-max-ms")
			b.ReportMetric(float64(slices.Max(accepted).Microseconds())/1000, "accepted-max-ms")
		})
	}
}
