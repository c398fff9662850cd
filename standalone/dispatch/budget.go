package dispatch

import "sync"

// budgetReserve is how many retries are allowed before any request has paid
// for them.
const budgetReserve = 10

// Budget bounds retries to a share of requests, so that they can't multiply
// the load when many endpoints fail. It is safe for concurrent use.
type Budget struct {
	share float64

	mu      sync.Mutex
	balance float64
}

// NewBudget returns a Budget of share retries for each request.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, balance: budgetReserve}
}

// Deposit counts a request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.share, budgetReserve)
}

// Withdraw takes one retry and returns whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
