// Package rate decides which jobs an organisation sends beyond its rate.
package rate

import (
	"maps"
	"time"
)

const (
	// burstTime is how many seconds' worth of its rate an organisation may send at once after a
	// pause. Hosts accept jobs during a change of leader, and the next leader receives them all at
	// the same time; shorter bursts would mark jobs that were sent within the rate.
	burstTime = 4 * time.Second
	// minBurst is the same in jobs for low rates: jobs that arrive at random at a tenth of a job
	// per second often come in pairs.
	minBurst = 4
)

// Meter is a token bucket for each organisation that has a rate. A job within the rate takes a
// token, and a job beyond it takes none, so that an organisation that sends too much still has its
// rate. The balance is what is left if jobs beyond the rate count too. It is not safe for concurrent
// use.
type Meter struct {
	// rates holds jobs per second by organisation.
	rates   map[string]float64
	buckets map[string]bucket
}

// bucket is the number of tokens and the balance as of a time.
type bucket struct {
	tokens, balance float64
	at              time.Time
}

// New returns a meter without rates.
func New() *Meter { return &Meter{rates: map[string]float64{}, buckets: map[string]bucket{}} }

// SetRates replaces the rates, by organisation in jobs per second. Organisations without a rate, or
// with one that is not positive, are not limited. Tokens that have accrued stay, and further ones
// accrue from now on, because the clock of a previous leader may have been ahead.
func (m *Meter) SetRates(now time.Time, rates map[string]float64) {
	for o := range m.buckets {
		b := m.refilled(now, o)
		b.at = now
		m.buckets[o] = b
	}
	clear(m.rates)
	maps.Copy(m.rates, rates)
	maps.DeleteFunc(m.rates, func(_ string, r float64) bool { return !(r > 0) })
	maps.DeleteFunc(m.buckets, func(o string, _ bucket) bool { return m.rates[o] == 0 })
}

// Limited reports whether any organisation has a rate.
func (m *Meter) Limited() bool { return len(m.rates) > 0 }

// Rate returns an organisation's rate in jobs per second; zero if it has none.
func (m *Meter) Rate(organisation string) float64 { return m.rates[organisation] }

// Balance returns how many jobs the organisation may send now until it has sent as many as its rate
// allows, all accepted jobs included. It is negative if it has sent more, down to the size of a
// burst: what it sent longer ago is forgotten.
func (m *Meter) Balance(now time.Time, organisation string) float64 {
	return m.refilled(now, organisation).balance
}

// Beyond counts a job that is accepted at now and reports whether it is beyond the organisation's
// rate.
func (m *Meter) Beyond(now time.Time, organisation string) bool {
	if m.rates[organisation] == 0 {
		return false
	}
	b := m.refilled(now, organisation)
	beyond := b.tokens < 1
	if !beyond {
		b.tokens--
	}
	b.balance = max(b.balance-1, -m.burst(organisation))
	m.buckets[organisation] = b
	return beyond
}

// refilled returns the bucket of an organisation that has a rate as of now. The clocks of two
// leaders differ, so now may be before the bucket's time; the bucket then stays as it is.
func (m *Meter) refilled(now time.Time, organisation string) bucket {
	burst := m.burst(organisation)
	b, ok := m.buckets[organisation]
	if !ok {
		return bucket{tokens: burst, balance: burst, at: now}
	}
	if since := now.Sub(b.at); since > 0 {
		earned := m.rates[organisation] * since.Seconds()
		b = bucket{tokens: b.tokens + earned, balance: b.balance + earned, at: now}
	}
	b.tokens, b.balance = min(b.tokens, burst), min(b.balance, burst)
	return b
}

// burst returns how many jobs an organisation may send at once.
func (m *Meter) burst(organisation string) float64 {
	return max(m.rates[organisation]*burstTime.Seconds(), minBurst)
}
