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
)

// PermitClient acquires, renews and releases the permit of one engine. Acquire,
// Renew and Release must not be called concurrently; ExpiresAt and Abandon are
// safe for concurrent use.
type PermitClient struct {
	table  storage.Table
	key    string
	agent  string
	timing Timing

	observed      Observations
	version       uint64 // of the row as last read or written
	row           Rollout
	permit        Permit
	writeSequence uint64 // of the last write
	// replacedUnreleased is set if the permit replaced one that was not released.
	// An order of the previous holder may still take effect.
	replacedUnreleased bool

	mu        sync.Mutex // not held during calls to the platform
	expiresAt time.Time  // zero when no permit is held
}

// NewPermitClient returns a client that acquires a service's permits for one
// agent. It holds no permit.
func NewPermitClient(table storage.Table, service, agentID string, timing Timing) *PermitClient {
	return &PermitClient{table: table, key: RolloutKey(service), agent: agentID, timing: timing, observed: Observations{}}
}

// Acquire waits for a permit. It calls wanted before each attempt for the number
// of engines in the service. If wanted reports false, Acquire returns false.
func (p *PermitClient) Acquire(ctx context.Context, wanted func(context.Context) (engines int, ok bool)) (bool, error) {
	for first, failed := true, 0; ; first = false {
		engines, ok := wanted(ctx)
		if !ok {
			return false, ctx.Err()
		}
		if first && !pause.For(ctx, rand.N(MaxInitialDelay(engines)+1)) {
			return false, ctx.Err()
		}
		wait, err := p.tryAcquire(ctx, engines)
		switch {
		case err == nil && wait == 0:
			return true, nil
		case err != nil:
			wait = max(retryBackoff.Delay(failed), jitter(PollInterval(engines)))
			failed++
		default:
			failed = 0
		}
		if !pause.For(ctx, wait) {
			return false, errors.Join(ctx.Err(), err)
		}
	}
}

func (p *PermitClient) tryAcquire(ctx context.Context, engines int) (wait time.Duration, err error) {
	before := time.Now()
	if err := p.read(ctx); err != nil {
		// While the platform was down, holders could not renew their permits
		// either, so earlier observations do not show that a permit expired.
		clear(p.observed)
		return 0, err
	}
	p.observed.Update(p.row, time.Now())
	expired := func(x Permit) bool { return p.observed.Expired(x, before, p.timing.expiry()) }
	p.writeSequence++
	want := Permit{Agent: p.agent, Claim: uuid.NewString(), WriteSequence: p.writeSequence}
	replacesUnreleased := p.row.Has(p.agent)
	next, ok := AddPermit(p.row, want, MaxConcurrentLoads(engines), expired)
	if !ok {
		return jitter(PollInterval(engines)), nil
	}
	sent := time.Now()
	err = p.write(ctx, next)
	if errors.Is(err, storage.ErrUnavailable) {
		err = p.resolveWrite(ctx, want)
	}
	switch {
	case errors.Is(err, storage.ErrConflict), errors.Is(err, ErrLost):
		return jitter(conflictDelay), nil
	case err != nil:
		return 0, err
	}
	p.permit = want
	p.replacedUnreleased = replacesUnreleased
	p.setExpiry(sent.Add(p.timing.TTL))
	return 0, nil
}

// maxWriteAttempts limits the attempts of one renewal or release that conflicts
// with other writers of the row.
const maxWriteAttempts = 5

// Renew extends the permit. ErrLost means that it is no longer held; any other
// error leaves its expiry unchanged.
func (p *PermitClient) Renew(ctx context.Context) error {
	var err error
	for range maxWriteAttempts {
		if p.ExpiresAt().IsZero() {
			return ErrLost
		}
		err = p.renew(ctx)
		if !errors.Is(err, storage.ErrConflict) {
			return err
		}
		if !pause.For(ctx, jitter(conflictDelay)) {
			return err
		}
		if err := p.read(ctx); err != nil {
			return err
		}
	}
	return err
}

func (p *PermitClient) renew(ctx context.Context) error {
	p.writeSequence++
	want := p.permit
	want.WriteSequence = p.writeSequence
	next, ok := p.row.Replace(want)
	if !ok {
		p.Abandon()
		return ErrLost
	}
	sent := time.Now()
	err := p.write(ctx, next)
	if errors.Is(err, storage.ErrUnavailable) {
		err = p.resolveWrite(ctx, want)
	}
	if err != nil {
		return err
	}
	p.permit = want
	p.extend(sent.Add(p.timing.TTL))
	return nil
}

func (p *PermitClient) setExpiry(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiresAt = until
}

// extend sets a later expiry unless the permit was abandoned during the renewal.
func (p *PermitClient) extend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expiresAt.IsZero() {
		p.expiresAt = until
	}
}

// resolveWrite reads the row back after a write with an unknown outcome.
// ErrConflict means that the write has not taken effect so far.
func (p *PermitClient) resolveWrite(ctx context.Context, want Permit) error {
	if err := p.read(ctx); err != nil {
		return err
	}
	found, ok := p.row.Find(want.Claim)
	switch {
	case !ok:
		return ErrLost
	case found != want:
		return storage.ErrConflict
	}
	return nil
}

// Release removes the permit from the row, or leaves it to expire if it replaced
// one that was not released. After an error the permit expires too.
func (p *PermitClient) Release(ctx context.Context) error {
	if p.ExpiresAt().IsZero() {
		return nil
	}
	p.Abandon()
	if p.replacedUnreleased {
		return nil
	}
	var err error
	for range maxWriteAttempts {
		err = p.write(ctx, p.row.Without(p.permit.Claim))
		if !errors.Is(err, storage.ErrConflict) || !pause.For(ctx, jitter(conflictDelay)) {
			return err
		}
		if err := p.read(ctx); err != nil {
			return err
		}
	}
	return err
}

// Abandon stops using the permit and leaves it to expire.
func (p *PermitClient) Abandon() { p.setExpiry(time.Time{}) }

// ExpiresAt returns when the permit expires for its holder, or the zero time if
// none is held.
func (p *PermitClient) ExpiresAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expiresAt
}

func (p *PermitClient) read(ctx context.Context) error {
	row, err := p.table.Get(ctx, p.key)
	if errors.Is(err, storage.ErrNotFound) {
		p.version, p.row = 0, Rollout{}
		return nil
	}
	if err != nil {
		return err
	}
	var value Rollout
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return fmt.Errorf("row %s: %w", p.key, err)
	}
	p.version, p.row = row.Version, value
	return nil
}

func (p *PermitClient) write(ctx context.Context, next Rollout) error {
	version, err := commit(ctx, p.table, p.key, p.version, next)
	if err == nil {
		p.version, p.row = version, next
	}
	return err
}
