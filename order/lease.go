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

// ErrLost: another holder has taken over the lease or the permit.
var ErrLost = errors.New("taken over by another holder")

const leaseKeyPrefix = "lease/upstream/"

// LeaseKey is the row of an upstream's lease.
func LeaseKey(agentID string) string { return leaseKeyPrefix + agentID }

// leaseRow is the value of a lease's row. The row is never deleted, because its
// term must never fall.
type leaseRow struct {
	Term   uint64 `json:"term"`   // fencing number; rises with each claim
	Holder string `json:"holder"` // process; empty after a release
	Claim  string `json:"claim"`  // unique per attempt to claim
	Beat   uint64 `json:"beat"`   // differs between all writes of one claim
}

// Timing holds the durations of leases and permits. Both end for their holder
// TTL after it began to send the write that gave or renewed them, and for others
// TTL plus Margin after they first saw that write.
type Timing struct {
	TTL    time.Duration
	Margin time.Duration // covers clock rates that differ and the way of an order
}

// expiry is the time for which an observer must see the same write.
func (t Timing) expiry() time.Duration { return t.TTL + t.Margin }

func (t Timing) renewal() time.Duration { return t.TTL / 3 }

// Lease is the right of one process to send orders to one upstream. It reads and
// writes the platform only when a method is called. Acquire, Renew and Release
// must not overlap; Current and Forget may be called at any time.
type Lease struct {
	table  storage.Table
	key    string
	holder string
	timing Timing

	version uint64
	row     leaseRow
	beats   uint64 // last one written
	seen    sighting

	mu      sync.Mutex // not held during calls of the platform
	current upstream.OrderLease
}

// sighting is a write of another holder and when this process first saw it.
type sighting struct {
	version uint64
	since   time.Time
}

// NewLease returns a lease that is not held. The holder is unique per process.
func NewLease(table storage.Table, agentID, holder string, timing Timing) *Lease {
	return &Lease{table: table, key: LeaseKey(agentID), holder: holder, timing: timing}
}

// Acquire waits until the lease is held or ctx ends.
func (l *Lease) Acquire(ctx context.Context) error {
	l.Forget()
	for failed := 0; ; {
		wait, err := l.try(ctx)
		switch {
		case err == nil && wait == 0:
			return nil
		case err != nil:
			wait = retries.Delay(failed)
			failed++
		default:
			failed = 0
		}
		if !pause.For(ctx, wait) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// try claims the lease if it is free. A positive wait asks to try again then.
func (l *Lease) try(ctx context.Context) (wait time.Duration, err error) {
	before := time.Now()
	version, row, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	if !l.free(version, row, before) {
		return jitter(l.timing.renewal()), nil
	}
	l.beats++
	next := leaseRow{Term: row.Term + 1, Holder: l.holder, Claim: uuid.NewString(), Beat: l.beats}
	sent := time.Now()
	written, err := l.write(ctx, version, next)
	if errors.Is(err, storage.ErrUnavailable) {
		written, err = l.settle(ctx, next)
	}
	switch {
	case errors.Is(err, storage.ErrConflict):
		return jitter(conflictPause), nil
	case err != nil:
		return 0, err
	}
	l.version, l.row = written, next
	l.set(upstream.OrderLease{Fencing: next.Term, From: sent, Until: sent.Add(l.timing.TTL)})
	return 0, nil
}

// free reports whether the lease may be claimed. A claim of this process that
// l does not know is one whose answer was lost; nothing was sent under it.
func (l *Lease) free(version uint64, row leaseRow, before time.Time) bool {
	if row.Holder == "" || row.Holder == l.holder {
		return true
	}
	if l.seen.version != version {
		l.seen = sighting{version: version, since: time.Now()}
		return false
	}
	return before.Sub(l.seen.since) >= l.timing.expiry()
}

func (l *Lease) set(lease upstream.OrderLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = lease
}

// extend prolongs the lease unless it was forgotten during the renewal.
func (l *Lease) extend(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.Fencing != 0 {
		l.current.Until = until
	}
}

// Renew extends the lease once. ErrLost means that it is no longer held; after
// another error it lasts as long as before.
func (l *Lease) Renew(ctx context.Context) error {
	if !l.held() {
		return ErrLost
	}
	l.beats++
	next := l.row
	next.Beat = l.beats // an earlier renewal that arrives late must not pass for this one
	sent := time.Now()
	version, err := l.write(ctx, l.version, next)
	if errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrConflict) {
		version, err = l.settle(ctx, next)
	}
	if err != nil {
		return err
	}
	l.version, l.row = version, next
	l.extend(sent.Add(l.timing.TTL))
	return nil
}

// settle reads back a write whose outcome is open. ErrConflict means that the
// row holds another write of this claim or, before a claim, of another one.
func (l *Lease) settle(ctx context.Context, want leaseRow) (uint64, error) {
	version, row, err := l.read(ctx)
	switch {
	case err != nil:
		return 0, err
	case row == want:
		return version, nil
	case !l.held():
		return 0, storage.ErrConflict
	case row.Claim != want.Claim:
		l.Forget()
		return 0, ErrLost
	}
	l.version = version // of an earlier renewal that arrived late
	return 0, storage.ErrConflict
}

// Release lets the next holder claim the lease at once. It must not be called
// while an order may still be on its way. An error leaves the lease to expire.
func (l *Lease) Release(ctx context.Context) error {
	if !l.held() {
		return nil
	}
	l.Forget()
	_, err := l.write(ctx, l.version, leaseRow{Term: l.row.Term})
	return err
}

// Forget stops using the lease and leaves its row to expire.
func (l *Lease) Forget() { l.set(upstream.OrderLease{}) }

// Current returns the lease for a FencedSender; it is zero when not held.
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

// Pauses after failed calls and lost races.
const conflictPause = 100 * time.Millisecond

var retries = storage.Backoff{Base: 200 * time.Millisecond, Max: 10 * time.Second}

// jitter spreads a pause evenly between half and one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
