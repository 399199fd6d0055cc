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

// Budget is the state of a retry budget: the retries that may start now. The
// zero value starts at the cap.
type Budget struct {
	spent   float64
	updated time.Time
}

// Request returns the budget after one request.
func (b Budget) Request() Budget {
	b.spent = max(0, b.spent-retryShare)
	return b
}

// Retry takes one retry from the budget, or returns false.
func (b Budget) Retry(now time.Time) (Budget, bool) {
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
	budget Budget
}

// Request counts one request.
func (r *RetryBudget) Request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = r.budget.Request()
}

// Retry reports whether one more retry may start.
func (r *RetryBudget) Retry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.budget.Retry(now)
	r.budget = next
	return ok
}
