package storage

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponential delays with full jitter: the n-th delay is
// uniform between 0 and Base*2^n, limited to Max. Full jitter spreads the
// retries of many processes that failed at the same moment.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay after the given number of failed attempts, counted from 0.
func (b Backoff) Delay(failed int) time.Duration {
	ceiling := b.ceiling(failed)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(ceiling) + 1))
}

func (b Backoff) ceiling(failed int) time.Duration {
	ceiling := b.Base
	for range failed {
		if ceiling >= b.Max/2 {
			return b.Max
		}
		ceiling *= 2
	}
	return min(ceiling, b.Max)
}

// Wait sleeps for the delay after the given number of failed attempts. It
// returns false without sleeping to the end when the context ends or its
// deadline would pass first.
func (b Backoff) Wait(ctx context.Context, failed int) bool {
	delay := b.Delay(failed)
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
