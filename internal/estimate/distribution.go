package estimate

import (
	"math"
	"slices"
	"time"
)

// Distribution is a log-normal distribution of run times.
type Distribution struct {
	// Median is the time that half of the runs exceed.
	Median time.Duration
	// Spread is the standard deviation of the logarithm of the run time.
	Spread float64
	// Measured reports whether the distribution comes from runs that have ended.
	Measured bool
}

// Mean returns the mean run time.
func (d Distribution) Mean() time.Duration { return d.scaled(d.Spread * d.Spread / 2) }

// Quantile returns the time within which a share of the runs ends, above 0 and below 1.
func (d Distribution) Quantile(share float64) time.Duration {
	return d.scaled(d.Spread * math.Sqrt2 * math.Erfinv(2*share-1))
}

// maxQuantile bounds the quantiles of runs that take very long: the quantile of all runs is infinite.
const maxQuantile = 0.9999

// Remaining returns the time that half of the runs exceed that have already taken some time. It is
// zero for a run that exceeds nearly all of the distribution.
func (d Distribution) Remaining(elapsed time.Duration) time.Duration {
	if d.Spread <= 0 || elapsed <= 0 || d.Median <= 0 {
		return max(d.Median-max(elapsed, 0), 0)
	}
	ended := math.Erfc(-math.Log(elapsed.Seconds()/d.Median.Seconds())/(d.Spread*math.Sqrt2)) / 2
	return max(d.Quantile(min((1+ended)/2, maxQuantile))-elapsed, 0)
}

// Scale returns the distribution of runs that take a multiple of the time.
func (d Distribution) Scale(by float64) Distribution {
	d.Median = time.Duration(float64(d.Median) * by)
	return d
}

func (d Distribution) scaled(log float64) time.Duration {
	return time.Duration(min(float64(d.Median)*math.Exp(log), 1<<62))
}

func fromLog(seconds float64) time.Duration {
	// The logarithm of the largest duration is 22.9.
	return time.Duration(math.Exp(min(seconds, 22)) * float64(time.Second))
}

// median returns the median of values that are not empty, and sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
