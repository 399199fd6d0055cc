package limit

import (
	"sync"
	"time"
)

// Limits of the retry budget. The minimum rate lets a service with few requests
// retry at all. The maximum prevents a burst of retries after a quiet period.
const (
	retriesPerRequest   = 0.1
	minRetriesPerSecond = 0.2 // retries per second without any requests
	maxSavedRetries     = 20.0
)

// RetryBudgetState is the state of a retry budget. The zero value allows
// maxSavedRetries retries.
type RetryBudgetState struct {
	spent     float64
	updatedAt time.Time
}

// RecordRequest returns the budget increased by the share of one request.
func (b RetryBudgetState) RecordRequest() RetryBudgetState {
	b.spent = max(0, b.spent-retriesPerRequest)
	return b
}

// TakeRetry takes one retry from the budget. It returns false when none is left.
func (b RetryBudgetState) TakeRetry(now time.Time) (RetryBudgetState, bool) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		if !b.updatedAt.IsZero() {
			b.spent = max(0, b.spent-elapsed.Seconds()*minRetriesPerSecond)
		}
		b.updatedAt = now
	}
	if b.spent+1 > maxSavedRetries {
		return b, false
	}
	b.spent++
	return b, true
}

// RetryBudget is the retry budget of a service. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	budget RetryBudgetState
}

// RecordRequest increases the budget by the share of one request.
func (r *RetryBudget) RecordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = r.budget.RecordRequest()
}

// TakeRetry takes one retry from the budget. It returns false when none is left and
// the request must not be retried.
func (r *RetryBudget) TakeRetry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.budget.TakeRetry(now)
	r.budget = next
	return ok
}
