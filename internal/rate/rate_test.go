package rate_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/rate"
)

var start = time.Unix(1_000_000, 0)

// sent counts the jobs beyond the rate among those that an organisation sends at a constant rate.
func sent(m *rate.Meter, from time.Time, organisation string, jobs int, every time.Duration) (beyond int) {
	for i := range jobs {
		if m.Beyond(from.Add(time.Duration(i)*every), organisation) {
			beyond++
		}
	}
	return beyond
}

func TestJobsBeyondTheRateAreMarked(t *testing.T) {
	m := rate.New()
	m.SetRates(start, map[string]float64{"a": 2, "b": 2, "zero": 0, "negative": -1, "undefined": math.NaN()})
	require.Zero(t, sent(m, start, "a", 200, 500*time.Millisecond), "jobs at the rate")
	// 10 s at 10 jobs per second: 8 tokens of a pause and 2 per second are there.
	require.InDelta(t, 100-8-20, sent(m, start, "b", 100, 100*time.Millisecond), 1)
	for _, o := range []string{"", "zero", "negative", "undefined", "unknown"} {
		require.Zero(t, sent(m, start, o, 1000, 0), o)
	}
}

// Guards against a change of the rates that forgets which jobs were sent, or that keeps the tokens
// of a higher rate.
func TestChangedRateAffectsLaterJobs(t *testing.T) {
	m := rate.New()
	m.SetRates(start, map[string]float64{"a": 10})
	require.Zero(t, sent(m, start, "a", 40, 0))
	require.Equal(t, 5, sent(m, start, "a", 5, 0))
	m.SetRates(start, map[string]float64{"a": 1})
	require.True(t, m.Beyond(start.Add(900*time.Millisecond), "a"))
	require.False(t, m.Beyond(start.Add(1100*time.Millisecond), "a"))
	m.SetRates(start.Add(time.Hour), map[string]float64{"a": 1})
	require.InDelta(t, 4, m.Balance(start.Add(time.Hour), "a"), 0)
	m.SetRates(start.Add(time.Hour), nil)
	require.False(t, m.Limited())
	require.Zero(t, sent(m, start.Add(time.Hour), "a", 100, 0))
}

// Guards against tokens that accrue twice when the next leader's clock is behind.
func TestClockThatGoesBackAddsNoTokens(t *testing.T) {
	m := rate.New()
	m.SetRates(start, map[string]float64{"a": 1})
	require.Zero(t, sent(m, start, "a", 4, 0))
	require.True(t, m.Beyond(start.Add(-10*time.Second), "a"))
	require.True(t, m.Beyond(start.Add(500*time.Millisecond), "a"))
}

// Guards against a balance that allows a burst to go on, and against one that keeps an organisation
// from sending for longer than its burst is worth.
func TestBalanceCountsJobsBeyondTheRate(t *testing.T) {
	m := rate.New()
	m.SetRates(start, map[string]float64{"a": 2})
	sent(m, start, "a", 10, 0)
	require.InDelta(t, -2, m.Balance(start, "a"), 0)
	require.InDelta(t, 2, m.Balance(start.Add(2*time.Second), "a"), 1e-9)
	sent(m, start.Add(2*time.Second), "a", 1000, 0)
	require.InDelta(t, -8, m.Balance(start.Add(2*time.Second), "a"), 0)
}

// The clock of the previous leader was an hour ahead. Guards against organisations that earn nothing
// for that hour, all of whose jobs would be beyond their rates.
func TestOrganisationsEarnBehindAFormerClock(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := rate.New()
	m.SetRates(now.Add(time.Hour), map[string]float64{"a": 1})
	for range 10 {
		m.Beyond(now.Add(time.Hour), "a")
	}
	m.SetRates(now, map[string]float64{"a": 1})
	require.True(t, m.Beyond(now, "a"))
	require.False(t, m.Beyond(now.Add(2*time.Second), "a"))
}
