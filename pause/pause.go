// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For sleeps and reports whether the context is still valid afterwards.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
