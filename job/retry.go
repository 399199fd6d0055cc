package job

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

// platformBackoff is the delay between calls to a failing platform.
var platformBackoff = storage.Backoff{Base: 100 * time.Millisecond, Max: 10 * time.Second}

// backoff tracks the consecutive failures of one operation.
type backoff struct{ failures int }

// wait sleeps for the next delay. It returns an error if the context has ended or
// would end first.
func (b *backoff) wait(ctx context.Context) error {
	slept := platformBackoff.Wait(ctx, b.failures)
	b.failures++
	switch {
	case slept:
		return nil
	case ctx.Err() != nil:
		return ctx.Err()
	default:
		return context.DeadlineExceeded
	}
}

// transient reports whether a retry of the same call may succeed.
func transient(err error) bool {
	return errors.Is(err, storage.ErrThrottled) || errors.Is(err, storage.ErrUnavailable)
}

// retry repeats a call until it succeeds, fails with a permanent error or the
// context ends. The call must be idempotent.
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

// getRow reads a row. An absent row has version 0.
func (s *Store) getRow(ctx context.Context, key string) (storage.Row, error) {
	row, err := retry(ctx, func() (storage.Row, error) { return s.table.Get(ctx, key) })
	if errors.Is(err, storage.ErrNotFound) {
		return storage.Row{Key: key}, nil
	}
	return row, err
}
