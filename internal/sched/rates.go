package sched

import (
	"cmp"
	"maps"
	"slices"

	"pollencroft/internal/flow"
)

// setRates replaces the rates of the organisations. Marks of accepted jobs stay. With the first
// rates of a term, the marks of the jobs that were taken over are made again from their acceptance
// times, so that they need not be stored; a previous leader may have marked them by other rates.
func (s *Sched) setRates(rates map[string]float64) {
	if s.ratesKnown {
		s.rates.SetRates(s.now, rates)
		return
	}
	s.ratesKnown = true
	jobs := slices.SortedFunc(maps.Values(s.jobs), func(a, b *flow.Job) int { return cmp.Compare(a.Number, b.Number) })
	if len(jobs) > 0 {
		s.rates.SetRates(jobs[0].Accepted, rates)
	}
	for _, j := range jobs {
		s.markRate(j)
	}
	s.rates.SetRates(s.now, rates)
}

// markRate marks a job if its organisation sent it beyond its rate.
func (s *Sched) markRate(j *flow.Job) {
	j.BeyondRate = s.rates.Beyond(j.Accepted, j.Spec.Organisation)
}
