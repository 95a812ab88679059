package measure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/measure"
	"pollencroft/internal/retry"
)

// BenchmarkUrgentWait compares the p99 of urgent requests with and without a flood of bulk requests,
// through the queue of this project and through one FIFO queue. It runs on a simulated clock, so its
// figures are the same on every machine.
func BenchmarkUrgentWait(b *testing.B) {
	for name, load := range map[string]measure.UrgentLoad{
		"mixed": {Urgent: 0.45, Bulk: 0.45, Burst: 500},
		"full":  {Urgent: 0.9, Bulk: 0.5, Burst: 500},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				load.For = 2 * time.Minute
				quiet := load
				quiet.Bulk = 0
				none, flood, fifo := quiet.RunQueue(), load.RunQueue(), load.RunFIFO()
				b.ReportMetric(float64(none.Urgent.Microseconds())/1000, "quiet-ms")
				b.ReportMetric(float64(flood.Urgent.Microseconds())/1000, "flood-ms")
				b.ReportMetric(float64(fifo.Urgent.Microseconds())/1000, "fifo-ms")
				b.ReportMetric(flood.Urgent.Seconds()/none.Urgent.Seconds(), "flood/quiet")
				b.ReportMetric(fifo.Urgent.Seconds()/quiet.RunFIFO().Urgent.Seconds(), "fifo-flood/quiet")
				b.ReportMetric(float64(flood.Bulk)/float64(fifo.Bulk), "bulk/fifo")
			}
		})
	}
}

// Batches of five hundred bulk requests arrive repeatedly while urgent requests are served. The test
// checks that the p99 of urgent requests stays within 1.2 times its value without the batches. With
// one FIFO queue it more than doubles, which shows that the load is heavy enough.
func TestFloodDoesNotDelayUrgent(t *testing.T) {
	load := measure.UrgentLoad{Urgent: 0.45, Bulk: 0.45, Burst: 500, For: 30 * time.Second}
	quiet := load
	quiet.Bulk = 0
	require.LessOrEqual(t, load.RunQueue().Urgent.Seconds(), 1.2*quiet.RunQueue().Urgent.Seconds())
	require.Greater(t, load.RunFIFO().Urgent.Seconds(), 2*quiet.RunFIFO().Urgent.Seconds(), "the load must be heavy enough to delay urgent requests in a FIFO queue")
}

// BenchmarkRelay compares the throughput of small requests through a real host with that through the
// standard library's reverse proxy, in front of the same backend server.
func BenchmarkRelay(b *testing.B) {
	bench, err := measure.NewRelayBench()
	require.NoError(b, err)
	defer bench.Close()
	for _, callers := range []int{16, 64} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			rate := func(base string, keyed bool) float64 {
				r, err := bench.Rate(base, keyed, callers, 4000)
				require.NoError(b, err)
				return r
			}
			var proxy, plain, keyed, n float64
			for b.Loop() {
				proxy += rate(bench.Proxy, false)
				plain += rate(bench.Host, false)
				keyed += rate(bench.Host, true)
				n++
			}
			b.ReportMetric(proxy/n, "proxy/s")
			b.ReportMetric(plain/proxy, "plain/proxy")
			b.ReportMetric(keyed/proxy, "keyed/proxy")
		})
	}
}

// BenchmarkRetryLoad compares the load on backend servers that fail every request, with and without
// a retry budget.
func BenchmarkRetryLoad(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(measure.RetryLoad(b.Context(), retry.DefaultLimits, 2000), "got/asked")
		b.ReportMetric(measure.RetryLoad(b.Context(), measure.NoBudget, 2000), "unlimited-got/asked")
	}
}

// BenchmarkQueueStep measures the cost of one request through the queue state machine while many
// others wait.
func BenchmarkQueueStep(b *testing.B) {
	for _, waiting := range []int{16, 4000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) { measure.QueueStep(waiting, b.Loop) })
	}
}

// BenchmarkBlackHole prints the fraction of urgent requests that are lost because one of 16 backend
// servers never answers, with and without the quarantine of outliers. It runs on a simulated clock.
func BenchmarkBlackHole(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(1e6*measure.BlackHoleLoss(true), "lost-ppm")
		b.ReportMetric(1e6*measure.BlackHoleLoss(false), "unguarded-lost-ppm")
	}
}
