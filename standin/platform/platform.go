// Package platform is an in-memory stand-in for the platform's services with
// fault injection, for tests, the demo and the replay.
package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliausher/magnoliausher/storage"
)

// Clock is the source of time of a stand-in.
type Clock interface {
	Now() time.Time
	// Sleep returns early with the context's error when the context ends.
	Sleep(ctx context.Context, d time.Duration) error
}

// systemClock uses package time, which inside a synctest bubble is virtual.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Config configures a stand-in. The zero value has no limits and uses package time.
type Config struct {
	Clock Clock // nil means package time
	Seed  uint64
	// ReadsPerSecond and WritesPerSecond limit the rates of calls, with a
	// burst of one second; 0 means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// InstanceLag is the age of the instance list that readers get.
	InstanceLag time.Duration
}

// Rates that the platform sustains.
const (
	NominalReadsPerSecond  = 2000
	NominalWritesPerSecond = 400
)

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	clock   Clock
	pending sync.WaitGroup // late writes

	mu       sync.Mutex // guards everything below
	random   *rand.Rand
	reads    *rate.Limiter // nil: no limit
	writes   *rate.Limiter
	rows     ordered[storage.Row]
	sequence uint64 // last row version given out, over all rows
	objects  ordered[object]
	faults   faults
	stats    Stats
	list     instanceHistory
}

var _ storage.Platform = (*Platform)(nil)

// errResponseLost marks a write that took effect although its response was lost.
var errResponseLost = errors.New("response lost")

// New returns an empty stand-in.
func New(config Config) *Platform {
	if config.Clock == nil {
		config.Clock = systemClock{}
	}
	return &Platform{
		clock:   config.Clock,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		reads:   limiter(config.ReadsPerSecond),
		writes:  limiter(config.WritesPerSecond),
		rows:    newOrdered[storage.Row](),
		objects: newOrdered[object](),
		list:    instanceHistory{lag: config.InstanceLag},
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Stats counts the calls that reached the stand-in.
type Stats struct {
	TableReads   int // Get and Scan
	TableWrites  int // Commit, also those that conflict
	ObjectReads  int // Get and List
	ObjectWrites int // Put and Delete
	ListReads    int // Instances
	Throttled    int
	Unavailable  int
	Lost         int // writes that took effect without a response
	RowsWritten  int
	BytesWritten int64 // of rows and objects
	BytesRead    int64
}

// Reads returns the number of all reads.
func (s Stats) Reads() int { return s.TableReads + s.ObjectReads + s.ListReads }

// Writes returns the number of all writes.
func (s Stats) Writes() int { return s.TableWrites + s.ObjectWrites }

// Stats returns the counters.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// ResetStats sets the counters to zero and returns their earlier values.
func (p *Platform) ResetStats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.stats
	p.stats = Stats{}
	return before
}

// read runs one read under limits and faults. apply runs with the mutex held.
func (p *Platform) read(ctx context.Context, counter func(*Stats) *int, apply func() error) error {
	if err := notSent(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	*counter(&p.stats)++
	err := p.admit(p.reads)
	latency := p.faults.latency
	p.mu.Unlock()
	if err != nil {
		return err
	}
	if err := p.delay(ctx, latency); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return apply()
}

// write runs one write under limits and faults. Half of the latency lies
// before the effect and half after it. A write whose caller leaves takes effect
// nevertheless, as a request that is already in transit would.
func (p *Platform) write(ctx context.Context, counter func(*Stats) *int, apply func() error) error {
	if err := notSent(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	*counter(&p.stats)++
	if err := p.admit(p.writes); err != nil {
		p.mu.Unlock()
		return err
	}
	latency := p.faults.latency
	lost := p.faults.takeLoss(p.random)
	late := p.faults.takeLate(p.random)
	p.mu.Unlock()

	if late > 0 {
		p.applyLater(late, apply)
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, errResponseLost)
	}
	if err := p.delay(ctx, latency/2); err != nil {
		p.applyLater(latency/2, apply)
		return err
	}
	p.mu.Lock()
	err := apply()
	if err == nil && lost {
		p.stats.Lost++
		err = fmt.Errorf("%w: %w", storage.ErrUnavailable, errResponseLost)
	}
	p.mu.Unlock()
	if delayed := p.delay(ctx, latency-latency/2); delayed != nil {
		return delayed
	}
	return err
}

// notSent refuses a call whose context has ended before it.
func notSent(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return nil
}

// applyLater lets a write take effect after its caller has left.
func (p *Platform) applyLater(after time.Duration, apply func() error) {
	p.pending.Go(func() {
		_ = p.clock.Sleep(context.Background(), after) // never ends early
		p.mu.Lock()
		defer p.mu.Unlock()
		if apply() == nil {
			p.stats.Lost++
		}
	})
}

// WaitDelayedWrites returns when all late writes so far have been applied or refused.
func (p *Platform) WaitDelayedWrites() { p.pending.Wait() }

// admit refuses a call during an outage or above the rate. The mutex is held.
func (p *Platform) admit(l *rate.Limiter) error {
	if p.faults.outage || p.faults.takeFailure(p.random) {
		p.stats.Unavailable++
		return fmt.Errorf("%w: outage", storage.ErrUnavailable)
	}
	if p.faults.takeThrottle(p.random) || (l != nil && !l.AllowN(p.clock.Now(), 1)) {
		p.stats.Throttled++
		return storage.ErrThrottled
	}
	return nil
}

func (p *Platform) delay(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if err := p.clock.Sleep(ctx, d); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return nil
}
