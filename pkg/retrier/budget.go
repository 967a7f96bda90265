// Package retrier limits the number of retries that a host makes.
//
// # Usage
//
//	b := &retrier.Budget{Ratio: 0.1, MaxBalance: 20}
//	b.Deposit()            // for each request
//	if b.TryWithdraw() {   // before each retry
//		...
//	}
//
// Each request adds a fraction of a retry to the budget, so that retries cannot
// multiply the load when every request fails.
package retrier

import "sync"

// Budget limits retries to a fraction of the requests. It is safe for concurrent
// use.
type Budget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// MaxBalance is the initial and maximum number of retries in the budget.
	MaxBalance float64

	mu    sync.Mutex
	spent float64
}

// Deposit adds the retries for one request to the budget.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// TryWithdraw removes one retry from the budget. It reports false if less than
// one is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.MaxBalance-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}
