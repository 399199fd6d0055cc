package job

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliausher/magnoliausher/platform"
)

// pauses between calls to a failing platform.
var pauses = platform.Backoff{Base: 100 * time.Millisecond, Max: 10 * time.Second}

// backoff counts the failures of one operation.
type backoff struct{ failed int }

// wait sleeps, or returns an error when the context ends or would end first.
func (b *backoff) wait(ctx context.Context) error {
	slept := pauses.Wait(ctx, b.failed)
	b.failed++
	switch {
	case slept:
		return nil
	case ctx.Err() != nil:
		return ctx.Err()
	default:
		return context.DeadlineExceeded
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
