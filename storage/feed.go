package storage

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryTruncated: the feed no longer has the changes after the version; read a snapshot.
var ErrHistoryTruncated = errors.New("history is gone")

// Change is a row that was written or removed.
type Change struct {
	Row
	Removed bool
}

// Feed tells of changed rows. Versions come from one counter over all rows.
type Feed interface {
	// Snapshot returns all rows whose keys have the prefix, and a version from
	// which Watch misses no change.
	Snapshot(ctx context.Context, prefix string) ([]Row, uint64, error)
	// Watch returns the changes after a version in order, and the version to
	// continue from. It waits up to wait for the first one. ErrHistoryGone means
	// that changes have been missed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
