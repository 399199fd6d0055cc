// Package platform is an in-memory implementation of storage.Platform with fault
// injection, for tests, the demo and the replay.
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

// Clock is the time source of a Platform.
type Clock interface {
	Now() time.Time
	// Sleep returns early with the context's error if the context ends.
	Sleep(ctx context.Context, d time.Duration) error
}

// systemClock uses package time, whose clock is virtual inside a synctest bubble.
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

// Config configures a Platform. The zero value sets no limits and uses package time.
type Config struct {
	Clock Clock // nil means package time
	Seed  uint64
	// ReadsPerSecond and WritesPerSecond limit the call rates, with a burst of
	// one second's calls; 0 means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// InstanceLag is the lag of the instance list that readers see.
	InstanceLag time.Duration
}

// Call rates that the real platform sustains.
const (
	NominalReadsPerSecond  = 2000
	NominalWritesPerSecond = 400
)

// Platform is an in-memory storage.Platform. It is safe for concurrent use.
type Platform struct {
	clock         Clock
	delayedWrites sync.WaitGroup // writes that take effect after their call returned

	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	reads     *rate.Limiter // nil means no limit
	writes    *rate.Limiter
	rows      sortedMap[storage.Row]
	sequence  uint64 // last assigned row version, over all rows
	objects   sortedMap[object]
	faults    faults
	stats     Stats
	instances instanceHistory
}

var _ storage.Platform = (*Platform)(nil)

// errResponseLost marks a write that took effect, or may still, although its
// response was lost.
var errResponseLost = errors.New("response lost")

// New returns an empty Platform.
func New(config Config) *Platform {
	if config.Clock == nil {
		config.Clock = systemClock{}
	}
	return &Platform{
		clock:     config.Clock,
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		reads:     newLimiter(config.ReadsPerSecond),
		writes:    newLimiter(config.WritesPerSecond),
		rows:      newSortedMap[storage.Row](),
		objects:   newSortedMap[object](),
		instances: instanceHistory{lag: config.InstanceLag},
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Stats counts the calls that reached the platform.
type Stats struct {
	TableReads   int // Get and Scan
	TableWrites  int // Commit, including conflicts
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

// ResetStats resets the counters to zero and returns their previous values.
func (p *Platform) ResetStats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.stats
	p.stats = Stats{}
	return previous
}

// read runs one read, subject to rate limits and faults. apply runs with the mutex
// held.
func (p *Platform) read(ctx context.Context, counter func(*Stats) *int, apply func() error) error {
	if err := checkContext(ctx); err != nil {
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

// write runs one write, subject to rate limits and faults. Half of the latency
// comes before the effect and half after it. A write whose caller cancels still
// takes effect, like a request that is already in transit.
func (p *Platform) write(ctx context.Context, counter func(*Stats) *int, apply func() error) error {
	if err := checkContext(ctx); err != nil {
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
	writeDelay := p.faults.takeWriteDelay(p.random)
	p.mu.Unlock()

	if writeDelay > 0 {
		p.applyAfter(writeDelay, apply)
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, errResponseLost)
	}
	if err := p.delay(ctx, latency/2); err != nil {
		p.applyAfter(latency/2, apply)
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

// checkContext rejects a call whose context has already ended.
func checkContext(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return nil
}

// applyAfter applies a write after the delay, when its call has already returned.
func (p *Platform) applyAfter(after time.Duration, apply func() error) {
	p.delayedWrites.Go(func() {
		_ = p.clock.Sleep(context.Background(), after) // cannot return early without a context to cancel
		p.mu.Lock()
		defer p.mu.Unlock()
		if apply() == nil {
			p.stats.Lost++
		}
	})
}

// WaitDelayedWrites waits until all delayed writes so far have been applied or
// rejected.
func (p *Platform) WaitDelayedWrites() { p.delayedWrites.Wait() }

// admit rejects a call during an outage or above the rate limit. The caller holds
// the mutex.
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
