package measure_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/measure"
)

// BenchmarkKeys prints the time that the ledger takes for one request with an idempotency key, and
// the memory that a stored key occupies.
func BenchmarkKeys(b *testing.B) {
	const n = 20_000
	for b.Loop() {
		began := time.Now()
		perKey := measure.Keys(n)
		b.ReportMetric(perKey, "bytes/key")
		b.ReportMetric(float64(time.Since(began).Nanoseconds())/n, "ns/key")
	}
}

// BenchmarkSilentPeer prints how long a request to a peer takes whose connection has gone silent,
// and compares it with the deadline. Earlier versions waited until the deadline.
func BenchmarkSilentPeer(b *testing.B) {
	const deadline = 5 * time.Second
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), deadline)
		silent, next, err := measure.SilentPeer(ctx)
		cancel()
		require.NoError(b, err)
		b.ReportMetric(float64(silent.Milliseconds()), "told-ms")
		b.ReportMetric(float64(next.Microseconds()), "next-us")
		b.ReportMetric(silent.Seconds()/deadline.Seconds(), "told/deadline")
	}
}
