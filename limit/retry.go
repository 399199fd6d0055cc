package limit

import (
	"sync"
	"time"
)

// Retry budget: one retry per ten requests. The floor lets a service with few
// requests retry at all; the cap keeps a quiet hour from saving up a burst.
const (
	retryShare     = 0.1
	retryFloorRate = 0.2 // retries per second without any requests
	retryCap       = 20.0
)

// RetryBudgetState is the state of a retry budget: the retries that may start now. The
// zero value starts at the cap.
type RetryBudgetState struct {
	spent   float64
	updated time.Time
}

// RecordRequest returns the budget after one request.
func (b RetryBudgetState) RecordRequest() RetryBudgetState {
	b.spent = max(0, b.spent-retryShare)
	return b
}

// TakeRetry takes one retry from the budget, or returns false.
func (b RetryBudgetState) TakeRetry(now time.Time) (RetryBudgetState, bool) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		if !b.updated.IsZero() {
			b.spent = max(0, b.spent-elapsed.Seconds()*retryFloorRate)
		}
		b.updated = now
	}
	if b.spent+1 > retryCap {
		return b, false
	}
	b.spent++
	return b, true
}

// RetryBudget is a Budget shared by the requests of a service.
type RetryBudget struct {
	mu     sync.Mutex
	budget RetryBudgetState
}

// RecordRequest counts one request.
func (r *RetryBudget) RecordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = r.budget.RecordRequest()
}

// TakeRetry reports whether one more retry may start.
func (r *RetryBudget) TakeRetry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.budget.TakeRetry(now)
	r.budget = next
	return ok
}
