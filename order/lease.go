package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// ErrLost means that another holder has taken over the lease or the permit.
var ErrLost = errors.New("lease or permit was taken over by another holder")

const leaseKeyPrefix = "lease/upstream/"

// LeaseKey returns the key of the row that holds an upstream's lease.
func LeaseKey(agentID string) string { return leaseKeyPrefix + agentID }

// leaseRow is the value of a lease's row. The row is never deleted, because its
// term must never decrease.
type leaseRow struct {
	Term          uint64 `json:"term"`   // fencing number; increases with each claim
	Holder        string `json:"holder"` // process; empty after a release
	Claim         string `json:"claim"`  // unique per attempt to claim
	WriteSequence uint64 `json:"beat"`   // differs between all writes of one claim
}

// Timing holds the durations of leases and permits. For their holder, both expire
// TTL after it began to send the write that acquired or renewed them. For other
// processes, they expire TTL plus Margin after that process first read the write.
type Timing struct {
	TTL    time.Duration
	Margin time.Duration // allows for clock drift and for the transmission time of an order
}

// expiry is how long another process must observe the same write before it may
// treat the lease or permit as expired.
func (t Timing) expiry() time.Duration { return t.TTL + t.Margin }

func (t Timing) renewal() time.Duration { return t.TTL / 3 }

// Lease is the exclusive right of one process to send orders to one upstream. It
// calls the platform only from within its methods. Acquire, Renew and Release
// must not be called concurrently; Current and Abandon are safe for concurrent
// use.
type Lease struct {
	table  storage.Table
	key    string
	holder string
	timing Timing

	version       uint64
	row           leaseRow
	writeSequence uint64 // of the last write
	observed      observation

	mu      sync.Mutex // not held during calls to the platform
	current upstream.OrderLease
}

// observation is a write of another holder and when this process first read it.
type observation struct {
	version uint64
	since   time.Time
}

// NewLease returns a lease that is not held. holder must be unique per process.
func NewLease(table storage.Table, agentID, holder string, timing Timing) *Lease {
	return &Lease{table: table, key: LeaseKey(agentID), holder: holder, timing: timing}
}

// Acquire waits until the lease is held or ctx ends.
func (l *Lease) Acquire(ctx context.Context) error {
	l.Abandon()
	for failed := 0; ; {
		wait, err := l.tryAcquire(ctx)
		switch {
		case err == nil && wait == 0:
			return nil
		case err != nil:
			wait = retryBackoff.Delay(failed)
			failed++
		default:
			failed = 0
		}
		if !pause.For(ctx, wait) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// tryAcquire claims the lease if it is claimable. Otherwise it returns how long to
// wait before the next attempt.
func (l *Lease) tryAcquire(ctx context.Context) (wait time.Duration, err error) {
	before := time.Now()
	version, row, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	if !l.claimable(version, row, before) {
		return jitter(l.timing.renewal()), nil
	}
	l.writeSequence++
	next := leaseRow{Term: row.Term + 1, Holder: l.holder, Claim: uuid.NewString(), WriteSequence: l.writeSequence}
	sent := time.Now()
	written, err := l.write(ctx, version, next)
	if errors.Is(err, storage.ErrUnavailable) {
		written, err = l.resolveWrite(ctx, next)
	}
	switch {
	case errors.Is(err, storage.ErrConflict):
		return jitter(conflictDelay), nil
	case err != nil:
		return 0, err
	}
	l.version, l.row = written, next
	l.setCurrent(upstream.OrderLease{Fencing: next.Term, From: sent, Until: sent.Add(l.timing.TTL)})
	return 0, nil
}

// claimable reports whether the lease may be claimed. If the row names this
// process as holder, the response to its claim was lost and no order was sent
// under that claim.
func (l *Lease) claimable(version uint64, row leaseRow, before time.Time) bool {
	if row.Holder == "" || row.Holder == l.holder {
		return true
	}
	if l.observed.version != version {
		l.observed = observation{version: version, since: time.Now()}
		return false
	}
	return before.Sub(l.observed.since) >= l.timing.expiry()
}

func (l *Lease) setCurrent(lease upstream.OrderLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = lease
}

// extend sets a later expiry unless the lease was abandoned during the renewal.
func (l *Lease) extend(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.Fencing != 0 {
		l.current.Until = until
	}
}

// Renew extends the lease once. ErrLost means that it is no longer held; any other
// error leaves its expiry unchanged.
func (l *Lease) Renew(ctx context.Context) error {
	if !l.held() {
		return ErrLost
	}
	l.writeSequence++
	next := l.row
	next.WriteSequence = l.writeSequence // distinguishes this renewal from an earlier one that arrives late
	sent := time.Now()
	version, err := l.write(ctx, l.version, next)
	if errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrConflict) {
		version, err = l.resolveWrite(ctx, next)
	}
	if err != nil {
		return err
	}
	l.version, l.row = version, next
	l.extend(sent.Add(l.timing.TTL))
	return nil
}

// resolveWrite reads the row back after a write with an unknown outcome.
// ErrConflict means that the row holds another write: of the same claim if the
// lease is held, of any claim otherwise.
func (l *Lease) resolveWrite(ctx context.Context, want leaseRow) (uint64, error) {
	version, row, err := l.read(ctx)
	switch {
	case err != nil:
		return 0, err
	case row == want:
		return version, nil
	case !l.held():
		return 0, storage.ErrConflict
	case row.Claim != want.Claim:
		l.Abandon()
		return 0, ErrLost
	}
	l.version = version // of an earlier renewal that arrived late
	return 0, storage.ErrConflict
}

// Release lets the next holder claim the lease at once. It must not be called
// while an order may still be in transit. After an error the lease expires
// instead.
func (l *Lease) Release(ctx context.Context) error {
	if !l.held() {
		return nil
	}
	l.Abandon()
	_, err := l.write(ctx, l.version, leaseRow{Term: l.row.Term})
	return err
}

// Abandon stops using the lease and leaves its row to expire.
func (l *Lease) Abandon() { l.setCurrent(upstream.OrderLease{}) }

// Current returns the lease for a FencedSender, or the zero value if it is not
// held.
func (l *Lease) Current() upstream.OrderLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func (l *Lease) held() bool { return l.Current().Fencing != 0 }

func (l *Lease) read(ctx context.Context) (uint64, leaseRow, error) {
	row, err := l.table.Get(ctx, l.key)
	if errors.Is(err, storage.ErrNotFound) {
		return 0, leaseRow{}, nil
	}
	if err != nil {
		return 0, leaseRow{}, err
	}
	var value leaseRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, leaseRow{}, fmt.Errorf("row %s: %w", l.key, err)
	}
	return row.Version, value, nil
}

func (l *Lease) write(ctx context.Context, ifVersion uint64, row leaseRow) (uint64, error) {
	return commit(ctx, l.table, l.key, ifVersion, row)
}

// commit writes one row and returns its new version.
func commit(ctx context.Context, table storage.Table, key string, ifVersion uint64, value any) (uint64, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	versions, err := table.Commit(ctx, storage.Transaction{
		Writes: []storage.Write{{Key: key, Value: encoded, IfVersion: ifVersion}},
	})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// conflictDelay is the mean delay after a write that conflicted with another one.
const conflictDelay = 100 * time.Millisecond

var retryBackoff = storage.Backoff{Base: 200 * time.Millisecond, Max: 10 * time.Second}

// jitter returns a random duration, uniformly distributed between 0.5 and 1.5
// times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
