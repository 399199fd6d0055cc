package job

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

// pauses between calls to a failing platform.
var pauses = storage.Backoff{Base: 100 * time.Millisecond, Max: 10 * time.Second}

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
	return errors.Is(err, storage.ErrThrottled) || errors.Is(err, storage.ErrUnavailable)
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
func (s *Store) getRow(ctx context.Context, key string) (storage.Row, error) {
	row, err := retry(ctx, func() (storage.Row, error) { return s.table.Get(ctx, key) })
	if errors.Is(err, storage.ErrNotFound) {
		return storage.Row{Key: key}, nil
	}
	return row, err
}
