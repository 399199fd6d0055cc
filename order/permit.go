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

// Permits takes, renews and releases the permit of one engine. Acquire, Renew and
// Release must not overlap; Until and Forget may be called at any time.
type Permits struct {
	table  storage.Table
	key    string
	agent  string
	timing Timing

	seen    Sightings
	version uint64 // of the row as last read or written
	row     Rollout
	held    Permit
	beats   uint64 // last one written
	// inherited: the permit replaced one that was not released, whose holder's
	// order may still have effect.
	inherited bool

	mu    sync.Mutex // not held during calls of the platform
	until time.Time  // zero when no permit is held
}

// NewPermits returns the permits of a service for one agent; none is held.
func NewPermits(table storage.Table, service, agentID string, timing Timing) *Permits {
	return &Permits{table: table, key: RolloutKey(service), agent: agentID, timing: timing, seen: Sightings{}}
}

// Acquire waits for a permit. wanted gives the number of engines of the service
// before each try; with false, waiting ends and Acquire returns false.
func (p *Permits) Acquire(ctx context.Context, wanted func(context.Context) (engines int, ok bool)) (bool, error) {
	for first, failed := true, 0; ; first = false {
		engines, ok := wanted(ctx)
		if !ok {
			return false, ctx.Err()
		}
		if first && !pause.For(ctx, rand.N(FirstTrySpread(engines)+1)) {
			return false, ctx.Err()
		}
		wait, err := p.try(ctx, engines)
		switch {
		case err == nil && wait == 0:
			return true, nil
		case err != nil:
			wait = max(retries.Delay(failed), jitter(PollInterval(engines)))
			failed++
		default:
			failed = 0
		}
		if !pause.For(ctx, wait) {
			return false, errors.Join(ctx.Err(), err)
		}
	}
}

func (p *Permits) try(ctx context.Context, engines int) (wait time.Duration, err error) {
	before := time.Now()
	if err := p.read(ctx); err != nil {
		// Holders could not renew either while the platform was down, so what
		// was seen before says nothing about them.
		clear(p.seen)
		return 0, err
	}
	p.seen.Update(p.row, time.Now())
	expired := func(x Permit) bool { return p.seen.Expired(x, before, p.timing.expiry()) }
	p.beats++
	want := Permit{Agent: p.agent, Claim: uuid.NewString(), Beat: p.beats}
	inherited := p.row.Has(p.agent)
	next, ok := Take(p.row, want, Limit(engines), expired)
	if !ok {
		return jitter(PollInterval(engines)), nil
	}
	sent := time.Now()
	err = p.write(ctx, next)
	if errors.Is(err, storage.ErrUnavailable) {
		err = p.settle(ctx, want)
	}
	switch {
	case errors.Is(err, storage.ErrConflict), errors.Is(err, ErrLost):
		return jitter(conflictPause), nil
	case err != nil:
		return 0, err
	}
	p.held = want
	p.inherited = inherited
	p.set(sent.Add(p.timing.TTL))
	return 0, nil
}

// renewTries bounds the tries of one renewal against other writers of the row.
const renewTries = 5

// Renew extends the permit. ErrLost means that it is no longer held; after
// another error it lasts as long as before.
func (p *Permits) Renew(ctx context.Context) error {
	var err error
	for range renewTries {
		if p.Until().IsZero() {
			return ErrLost
		}
		err = p.renew(ctx)
		if !errors.Is(err, storage.ErrConflict) {
			return err
		}
		if !pause.For(ctx, jitter(conflictPause)) {
			return err
		}
		if err := p.read(ctx); err != nil {
			return err
		}
	}
	return err
}

func (p *Permits) renew(ctx context.Context) error {
	p.beats++
	want := p.held
	want.Beat = p.beats
	next, ok := p.row.Replace(want)
	if !ok {
		p.Forget()
		return ErrLost
	}
	sent := time.Now()
	err := p.write(ctx, next)
	if errors.Is(err, storage.ErrUnavailable) {
		err = p.settle(ctx, want)
	}
	if err != nil {
		return err
	}
	p.held = want
	p.extend(sent.Add(p.timing.TTL))
	return nil
}

func (p *Permits) set(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = until
}

// extend prolongs the permit unless it was forgotten during the renewal.
func (p *Permits) extend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.until.IsZero() {
		p.until = until
	}
}

// settle reads back a write whose outcome is open. ErrConflict means that it has
// not taken effect so far.
func (p *Permits) settle(ctx context.Context, want Permit) error {
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

// Release gives the permit back, or leaves it to expire if it replaced one that
// was not released. An error leaves it to expire too.
func (p *Permits) Release(ctx context.Context) error {
	if p.Until().IsZero() {
		return nil
	}
	p.Forget()
	if p.inherited {
		return nil
	}
	var err error
	for range renewTries {
		err = p.write(ctx, p.row.Without(p.held.Claim))
		if !errors.Is(err, storage.ErrConflict) || !pause.For(ctx, jitter(conflictPause)) {
			return err
		}
		if err := p.read(ctx); err != nil {
			return err
		}
	}
	return err
}

// Forget stops using the permit and leaves it to expire.
func (p *Permits) Forget() { p.set(time.Time{}) }

// Until is the end of the permit for its holder; zero when none is held.
func (p *Permits) Until() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until
}

func (p *Permits) read(ctx context.Context) error {
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

func (p *Permits) write(ctx context.Context, next Rollout) error {
	version, err := commit(ctx, p.table, p.key, p.version, next)
	if err == nil {
		p.version, p.row = version, next
	}
	return err
}
