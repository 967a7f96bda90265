// Package retrier bounds how many requests of a host may be retried.
//
// # Usage
//
//	b := &retrier.Budget{Ratio: 0.1, Reserve: 20}
//	b.Earn()        // for each request
//	if b.Spend() {  // before each retry
//		...
//	}
//
// Retries are earned by requests, so that a failure that strikes every request
// cannot multiply the load.
package retrier

import "sync"

// Budget bounds retries to a part of the requests. It is safe for concurrent
// use.
type Budget struct {
	// Ratio is the number of retries that one request earns.
	Ratio float64
	// Reserve bounds the unspent retries, and is the budget at the start.
	Reserve float64

	mu   sync.Mutex
	used float64
}

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-b.Ratio)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Reserve-b.used < 1 {
		return false
	}
	b.used++
	return true
}
