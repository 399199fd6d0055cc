package storage

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryTruncated: the feed no longer has all changes after the version; the
// caller must read a snapshot.
var ErrHistoryTruncated = errors.New("feed history truncated")

// Change is a written or removed row.
type Change struct {
	Row
	Removed bool
}

// Feed is a change feed of a table. All rows share one version counter.
type Feed interface {
	// Snapshot returns all rows whose keys have the prefix, and the version from
	// which Watch continues without missing a change.
	Snapshot(ctx context.Context, prefix string) ([]Row, uint64, error)
	// Watch returns the changes after a version in order, and the version to
	// continue from. It waits at most wait for the first change. ErrHistoryTruncated
	// means that changes are missing.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
