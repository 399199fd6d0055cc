package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/magnoliausher/magnoliausher/platform"
)

// Bounds of the pause between calls to a failing platform.
const (
	backoffBase = 100 * time.Millisecond
	backoffCap  = 10 * time.Second
)

// backoff gives pauses with exponential growth and full jitter.
type backoff struct{ tries int }

// wait sleeps, or returns the context's error.
func (b *backoff) wait(ctx context.Context) error {
	limit := min(backoffCap, backoffBase<<min(b.tries, 10))
	b.tries++
	t := time.NewTimer(rand.N(limit) + 1)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// transient reports whether the same call may succeed later.
func transient(err error) bool {
	return errors.Is(err, platform.ErrThrottled) || errors.Is(err, platform.ErrUnavailable)
}

// retry repeats a call until it succeeds, fails for good or the context ends.
// The call must be harmless when repeated.
func retry[T any](ctx context.Context, call func() (T, error)) (T, error) {
	var b backoff
	for {
		v, err := call()
		if err == nil || !transient(err) {
			return v, err
		}
		if b.wait(ctx) != nil {
			return v, err
		}
	}
}

// getRow reads a row; an absent one has version 0.
func (s *Store) getRow(ctx context.Context, key string) (platform.Row, error) {
	row, err := retry(ctx, func() (platform.Row, error) { return s.table.Get(ctx, key) })
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Row{Key: key}, nil
	}
	return row, err
}
