package storage

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponential delays with full jitter: the n-th delay is
// uniformly distributed between 0 and Base*2^n, capped at Max. Full jitter spreads the
// retries of many processes that failed at the same moment.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before the next attempt. The first delay has failures = 0.
func (b Backoff) Delay(failures int) time.Duration {
	ceiling := b.ceiling(failures)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(ceiling) + 1))
}

func (b Backoff) ceiling(failures int) time.Duration {
	ceiling := b.Base
	for range failures {
		if ceiling >= b.Max/2 {
			return b.Max
		}
		ceiling *= 2
	}
	return min(ceiling, b.Max)
}

// Wait sleeps for Delay(failures). It returns false at once if the deadline of
// ctx would pass first, and as soon as ctx ends.
func (b Backoff) Wait(ctx context.Context, failures int) bool {
	delay := b.Delay(failures)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
