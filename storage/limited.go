package storage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of LimitConfig. With these rates, six entries together stay below the
// platform's limits of 2,000 reads and several hundred writes per second.
const (
	DefaultReadsPerSecond  = 300
	DefaultWritesPerSecond = 50
	DefaultAttempts        = 6
	DefaultBackoffBase     = 50 * time.Millisecond
	DefaultBackoffMax      = 5 * time.Second
)

// LimitConfig configures NewLimited. Zero values mean the defaults.
type LimitConfig struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ReadBurst and WriteBurst are the sizes of the token buckets; 0 means the
	// calls of one second.
	ReadBurst  int
	WriteBurst int
	// Attempts is the maximum number of attempts of one call.
	Attempts int
	Backoff  Backoff
}

func (c LimitConfig) withDefaults() LimitConfig {
	if c.ReadsPerSecond <= 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	if c.WritesPerSecond <= 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.ReadBurst <= 0 {
		c.ReadBurst = max(1, int(c.ReadsPerSecond))
	}
	if c.WriteBurst <= 0 {
		c.WriteBurst = max(1, int(c.WritesPerSecond))
	}
	if c.Attempts <= 0 {
		c.Attempts = DefaultAttempts
	}
	if c.Backoff.Base <= 0 {
		c.Backoff.Base = DefaultBackoffBase
	}
	if c.Backoff.Max <= 0 {
		c.Backoff.Max = DefaultBackoffMax
	}
	return c
}

// Limited wraps a platform with a rate limit that the whole process shares. It
// coalesces identical reads, retries reads that were throttled or failed, and
// retries commits and deletions that were throttled, which had no effect. A
// write that failed with ErrUnavailable is not retried, because only its caller
// can find out whether it took effect. Reads of objects are not coalesced, and
// not retried once the body has started; Put is never retried.
//
// A call whose context ends before it is sent returns ErrThrottled, so a write
// with that error had no effect.
type Limited struct {
	platform Platform
	config   LimitConfig
	reads    *rate.Limiter
	writes   *rate.Limiter

	rows      *coalescer[Row]
	scans     *coalescer[[]Row]
	instances *coalescer[instancesResult]
	listings  *coalescer[[]ObjectInfo]
}

var _ Platform = (*Limited)(nil)

type instancesResult struct {
	instances []Instance
	revision  uint64
}

// NewLimited wraps p. All components of a process share one Limited.
func NewLimited(p Platform, config LimitConfig) *Limited {
	config = config.withDefaults()
	l := &Limited{
		platform: p,
		config:   config,
		reads:    rate.NewLimiter(rate.Limit(config.ReadsPerSecond), config.ReadBurst),
		writes:   rate.NewLimiter(rate.Limit(config.WritesPerSecond), config.WriteBurst),
	}
	l.rows = newCoalescer[Row](l, "get")
	l.scans = newCoalescer[[]Row](l, "scan")
	l.instances = newCoalescer[instancesResult](l, "instances")
	l.listings = newCoalescer[[]ObjectInfo](l, "list")
	return l
}

// Get implements Table.
func (l *Limited) Get(ctx context.Context, key string) (Row, error) {
	row, err := l.rows.do(ctx, readKey{keyOrPrefix: key}, func(ctx context.Context) (Row, error) {
		return l.platform.Get(ctx, key)
	})
	return cloneRow(row), err
}

// Scan implements Table.
func (l *Limited) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	key := readKey{keyOrPrefix: prefix, after: after, limitOrRevision: uint64(limit)}
	rows, err := l.scans.do(ctx, key, func(ctx context.Context) ([]Row, error) {
		return l.platform.Scan(ctx, prefix, after, limit)
	})
	return cloneRows(rows), err
}

// Instances implements InstanceList.
func (l *Limited) Instances(ctx context.Context, since uint64) ([]Instance, uint64, error) {
	result, err := l.instances.do(ctx, readKey{limitOrRevision: since}, func(ctx context.Context) (instancesResult, error) {
		list, revision, err := l.platform.Instances(ctx, since)
		return instancesResult{instances: list, revision: revision}, err
	})
	return append(result.instances[:0:0], result.instances...), result.revision, err
}

// Commit implements Table.
func (l *Limited) Commit(ctx context.Context, tx Transaction) ([]uint64, error) {
	var versions []uint64
	err := l.write(ctx, "commit", func(ctx context.Context) error {
		var err error
		versions, err = l.platform.Commit(ctx, tx)
		return err
	})
	return versions, err
}

// Objects implements Platform. The object store shares the rate limit.
func (l *Limited) Objects() Objects { return limitedObjects{l} }

// write sends a write and retries it only while it is throttled.
func (l *Limited) write(ctx context.Context, operation string, send func(context.Context) error) error {
	for failures := 0; ; failures++ {
		if err := waitToken(ctx, l.writes); err != nil {
			return err
		}
		err := send(ctx)
		countCall(operation, err)
		if !errors.Is(err, ErrThrottled) || failures+1 >= l.config.Attempts {
			return err
		}
		if !l.config.Backoff.Wait(ctx, failures) {
			return err
		}
	}
}

// waitToken waits for a token of the rate limiter. An error means that the call
// was not sent.
func waitToken(ctx context.Context, limiter *rate.Limiter) error {
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: not sent: %w", ErrThrottled, err)
	}
	return nil
}

func retryableRead(err error) bool {
	return errors.Is(err, ErrThrottled) || errors.Is(err, ErrUnavailable)
}

type limitedObjects struct{ limited *Limited }

func (o limitedObjects) Put(ctx context.Context, key string, body io.Reader) error {
	if err := waitToken(ctx, o.limited.writes); err != nil {
		return err
	}
	err := o.limited.platform.Objects().Put(ctx, key, body)
	countCall("put", err)
	return err
}

func (o limitedObjects) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	for failures := 0; ; failures++ {
		if err := waitToken(ctx, o.limited.reads); err != nil {
			return nil, err
		}
		body, err := o.limited.platform.Objects().Get(ctx, key)
		countCall("open", err)
		if !retryableRead(err) || failures+1 >= o.limited.config.Attempts {
			return body, err
		}
		if !o.limited.config.Backoff.Wait(ctx, failures) {
			return nil, err
		}
	}
}

func (o limitedObjects) Delete(ctx context.Context, key string) error {
	return o.limited.write(ctx, "delete", func(ctx context.Context) error {
		return o.limited.platform.Objects().Delete(ctx, key)
	})
}

func (o limitedObjects) List(ctx context.Context, prefix, after string, limit int) ([]ObjectInfo, error) {
	key := readKey{keyOrPrefix: prefix, after: after, limitOrRevision: uint64(limit)}
	infos, err := o.limited.listings.do(ctx, key, func(ctx context.Context) ([]ObjectInfo, error) {
		return o.limited.platform.Objects().List(ctx, prefix, after, limit)
	})
	return append(infos[:0:0], infos...), err
}
