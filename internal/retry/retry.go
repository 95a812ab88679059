// Package retry keeps the budget of retries that each row has, so that retries
// cannot turn a fault into an overload.
package retry

import "sync"

// Limits bound the retries of one row.
type Limits struct {
	// Ratio is how many retries one first try pays for.
	Ratio float64
	// Initial is what a new row may spend, and Max what it may save up.
	Initial, Max float64
}

// DefaultLimits keep the load below 1.1 times of what was asked.
var DefaultLimits = Limits{Ratio: 0.09, Initial: 5, Max: 100}

// Budget counts the retries of all rows. It is safe for concurrent use.
type Budget struct {
	limits   Limits
	mu       sync.Mutex
	balances map[string]float64
}

// New returns a budget in which no row has spent anything.
func New(limits Limits) *Budget { return &Budget{limits: limits, balances: map[string]float64{}} }

// RecordRequest counts a first try of a row.
func (b *Budget) RecordRequest(row string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[row] = min(b.balance(row)+b.limits.Ratio, b.limits.Max)
}

// TrySpend tells whether a row may retry once more, and counts the retry.
func (b *Budget) TrySpend(row string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(row)
	if left < 1 {
		return false
	}
	b.balances[row] = left - 1
	return true
}

func (b *Budget) balance(row string) float64 {
	if left, ok := b.balances[row]; ok {
		return left
	}
	return b.limits.Initial
}
