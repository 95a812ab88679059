package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/admission"
)

// Guards against callers that have used up their attempts before a long outage ends, and against
// whole seconds in which all rejected callers return.
func TestRetryDuringAnOutageGrowsWithItsAge(t *testing.T) {
	for _, c := range []struct {
		age      time.Duration
		low, top int
	}{{0, 1, 1}, {900 * time.Millisecond, 1, 1}, {1500 * time.Millisecond, 1, 2}, {3200 * time.Millisecond, 3, 4}, {8 * time.Second, 7, 8}, {time.Hour, 7, 8}, {-time.Hour, 1, 1}} {
		seen, sum := map[int]int{}, 0.0
		for i := range 1000 {
			d := admission.OutageRetry(c.age, fmt.Sprintf("%016x", i))
			require.Zero(t, d%time.Second)
			seen[int(d/time.Second)]++
			sum += d.Seconds()
		}
		for s := range seen {
			require.True(t, s >= c.low && s <= c.top, "%v: %d s", c.age, s)
		}
		require.Len(t, seen, c.top-c.low+1, c.age)
		if c.age >= time.Second && c.age < 7*time.Second {
			require.InDelta(t, c.age.Seconds(), sum/1000, 0.05)
		}
	}
}

// Guards against the fourth rejection within an outage of 4.2 s, after which callers give up.
func TestCallersOutlastAnOutage(t *testing.T) {
	const outage = 4200 * time.Millisecond
	for i := range 1000 {
		rejections := 0
		for at := 900*time.Millisecond + time.Duration(i)*time.Millisecond; at < outage; rejections++ {
			at += admission.OutageRetry(at, fmt.Sprintf("%016x", i))
		}
		require.LessOrEqual(t, rejections, 3)
	}
}
