package order

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/storage"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Defaults of a Config.
const (
	// DefaultLeaseTTL determines how many writes a load costs, because the lease is
	// renewed while an engine loads. A new holder waits about as long, but the
	// engine keeps serving in the meantime.
	DefaultLeaseTTL = 90 * time.Second
	// DefaultPermitTTL exceeds the duration of a load that queues behind 20 others
	// at the weight store, so that the permit of an agent that exits or is paused
	// stays in effect until its engine has loaded.
	DefaultPermitTTL        = 10 * time.Minute
	DefaultMargin           = 3 * time.Second
	DefaultCheckInterval    = 5 * time.Second
	DefaultLoadPollInterval = time.Second
	DefaultDrainTimeout     = 60 * time.Second
	DefaultStuckAfter       = 15 * time.Minute
	DefaultSendTimeout      = 5 * time.Second
)

// Config configures the Loop of one agent. Zero durations get defaults.
type Config struct {
	Location Location
	Table    storage.Table
	Logger   zerolog.Logger

	Lease  Timing
	Permit Timing
	// CheckInterval is the mean time between reads of the engine's state while the
	// configuration does not change. These reads detect an engine that restarted
	// with an older state; they do not call the platform.
	CheckInterval    time.Duration
	LoadPollInterval time.Duration // between reads of the engine's state during an order
	DrainTimeout     time.Duration // for running work to finish before a load
	StuckAfter       time.Duration // after which an accepted order without effect is reported
	SendTimeout      time.Duration // of one call to the engine
}

// Drainer keeps work away from the engine while weights load.
type Drainer interface {
	// Drain makes the agent report the engine as not ready and returns when no
	// work runs there. After an error, work may still be running. Resume must be
	// called in either case.
	Drain(ctx context.Context) error
	// Resume lets the engine accept work again.
	Resume()
}

// Loop brings one engine to the state that the configuration in force requires
// and keeps it there.
type Loop struct {
	cfg     Config
	lease   *Lease
	permits *PermitClient
}

// NewLoop returns a loop that has not been started. It does not call the platform.
func NewLoop(cfg Config) *Loop {
	cfg.setDefaults()
	holder := cfg.Location.AgentID + "/" + uuid.NewString()
	return &Loop{
		cfg:     cfg,
		lease:   NewLease(cfg.Table, cfg.Location.AgentID, holder, cfg.Lease),
		permits: NewPermitClient(cfg.Table, cfg.Location.Service, cfg.Location.AgentID, cfg.Permit),
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Lease.TTL, DefaultLeaseTTL)
	setDefault(&c.Lease.Margin, DefaultMargin)
	setDefault(&c.Permit.TTL, DefaultPermitTTL)
	setDefault(&c.Permit.Margin, DefaultMargin)
	setDefault(&c.CheckInterval, DefaultCheckInterval)
	setDefault(&c.LoadPollInterval, DefaultLoadPollInterval)
	setDefault(&c.DrainTimeout, DefaultDrainTimeout)
	setDefault(&c.StuckAfter, DefaultStuckAfter)
	setDefault(&c.SendTimeout, DefaultSendTimeout)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Run sends pending orders until ctx is done. It serves as an agent.OrderLoop.
func (l *Loop) Run(ctx context.Context, engine upstream.Engine, holder *contract.Holder, drainer Drainer) error {
	changes, stop := holder.Watch()
	defer stop()
	for failed := 0; ; {
		wait := jitter(l.cfg.CheckInterval)
		if err := l.runOnce(ctx, engine, holder, drainer); err != nil && ctx.Err() == nil {
			wait = retryDelay(failed)
			failed++
		} else {
			failed = 0
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changes:
			failed = 0
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Delays after failed orders. Each attempt at a weight load drains the engine, so
// the delay grows exponentially.
const (
	minRetryDelay = 10 * time.Second
	maxRetryDelay = 10 * time.Minute
)

func retryDelay(failed int) time.Duration {
	delay := minRetryDelay
	for range failed {
		delay = min(2*delay, maxRetryDelay)
	}
	return jitter(delay)
}

// runOnce sends the orders that are pending now, if any.
func (l *Loop) runOnce(ctx context.Context, engine upstream.Engine, holder *contract.Holder, drainer Drainer) error {
	s := &session{loop: l, engine: engine, holder: holder, drainer: drainer}
	pending, err := s.pendingOrders(ctx)
	if err != nil || len(pending) == 0 {
		return nil // the agent's health probes handle an engine that does not respond
	}
	err = s.run(ctx, pending)
	if err != nil && ctx.Err() == nil {
		l.cfg.Logger.Warn().Err(err).Str("agent", l.cfg.Location.AgentID).Msg("failed to complete pending orders; will retry")
	}
	return err
}
