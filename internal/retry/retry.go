// Package retry limits the retries of each row by a budget, so that retries cannot turn a
// fault into an overload.
package retry

import "sync"

// Limits bounds the retries of one row.
type Limits struct {
	// Ratio is how many retries each first attempt adds to the budget.
	Ratio float64
	// Initial is the budget of a new row, and Max the most that a row can save up.
	Initial, Max float64
}

// DefaultLimits keeps the load below 1.1 times the load without retries.
var DefaultLimits = Limits{Ratio: 0.09, Initial: 5, Max: 100}

// Budget tracks the retry budgets of all rows. It is safe for concurrent use.
type Budget struct {
	limits   Limits
	mu       sync.Mutex
	balances map[string]float64
}

// New returns a budget in which no row has used any retries.
func New(limits Limits) *Budget { return &Budget{limits: limits, balances: map[string]float64{}} }

// RecordRequest records the first attempt of a request of a row.
func (b *Budget) RecordRequest(row string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[row] = min(b.balance(row)+b.limits.Ratio, b.limits.Max)
}

// TrySpend reports whether a row may retry once more, and if so deducts the retry from its
// budget.
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
