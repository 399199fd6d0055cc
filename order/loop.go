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
	// DefaultLeaseTTL sets the cost of a load, because the lease is renewed while
	// an engine loads. A new holder waits as long, but the engine serves meanwhile.
	DefaultLeaseTTL = 90 * time.Second
	// DefaultPermitTTL is longer than a load that waits for 20 others at the
	// weight store, so that the permit of an agent that ends or pauses counts
	// until its engine has loaded.
	DefaultPermitTTL     = 10 * time.Minute
	DefaultMargin        = 3 * time.Second
	DefaultCheckInterval = 5 * time.Second
	DefaultLoadPoll      = time.Second
	DefaultDrainTimeout  = 60 * time.Second
	DefaultStuckAfter    = 15 * time.Minute
	DefaultSendTimeout   = 5 * time.Second
)

// Config describes the orders of one agent. Zero durations get defaults.
type Config struct {
	Place  Place
	Table  storage.Table
	Logger zerolog.Logger

	Lease  Timing
	Permit Timing
	// CheckInterval is the mean time between readings of the engine's state
	// without a change of the configuration. They notice an engine that restarted
	// with an older state, and do not reach the platform.
	CheckInterval time.Duration
	LoadPoll      time.Duration // between readings of the state during an order
	DrainTimeout  time.Duration // of the work in progress before a load
	StuckAfter    time.Duration // an order without effect for so long is reported
	SendTimeout   time.Duration // of one order
}

// Gate closes the engine to work while weights load.
type Gate interface {
	// Close makes the agent report the engine as not ready and returns when
	// nothing runs there. After an error work may still run; Open must follow
	// in any case.
	Close(ctx context.Context) error
	// Open ends Close.
	Open()
}

// Loop keeps one engine at what the configuration in force asks for.
type Loop struct {
	cfg     Config
	lease   *Lease
	permits *Permits
}

// NewLoop returns a loop for Run. It does not reach the platform.
func NewLoop(cfg Config) *Loop {
	cfg.complete()
	holder := cfg.Place.AgentID + "/" + uuid.NewString()
	return &Loop{
		cfg:     cfg,
		lease:   NewLease(cfg.Table, cfg.Place.AgentID, holder, cfg.Lease),
		permits: NewPermits(cfg.Table, cfg.Place.Service, cfg.Place.AgentID, cfg.Permit),
	}
}

func (c *Config) complete() {
	setDefault(&c.Lease.TTL, DefaultLeaseTTL)
	setDefault(&c.Lease.Margin, DefaultMargin)
	setDefault(&c.Permit.TTL, DefaultPermitTTL)
	setDefault(&c.Permit.Margin, DefaultMargin)
	setDefault(&c.CheckInterval, DefaultCheckInterval)
	setDefault(&c.LoadPoll, DefaultLoadPoll)
	setDefault(&c.DrainTimeout, DefaultDrainTimeout)
	setDefault(&c.StuckAfter, DefaultStuckAfter)
	setDefault(&c.SendTimeout, DefaultSendTimeout)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Run sends what is due until ctx ends. It has the type of agent.OrderLoop.
func (l *Loop) Run(ctx context.Context, engine upstream.Engine, holder *contract.Holder, gate Gate) error {
	changes, stop := holder.Watch()
	defer stop()
	for failed := 0; ; {
		wait := jitter(l.cfg.CheckInterval)
		if err := l.pass(ctx, engine, holder, gate); err != nil && ctx.Err() == nil {
			wait = retryPause(failed)
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

// Pauses after orders that failed. Each try with a weight load empties the
// engine, so tries become rare.
const (
	firstRetryPause   = 10 * time.Second
	longestRetryPause = 10 * time.Minute
)

func retryPause(failed int) time.Duration {
	pause := firstRetryPause
	for range failed {
		pause = min(2*pause, longestRetryPause)
	}
	return jitter(pause)
}

// pass sends what is due now, if anything is.
func (l *Loop) pass(ctx context.Context, engine upstream.Engine, holder *contract.Holder, gate Gate) error {
	s := &session{loop: l, engine: engine, holder: holder, gate: gate}
	due, err := s.due(ctx)
	if err != nil || len(due) == 0 {
		return nil // an engine that does not answer is the probes' concern
	}
	err = s.run(ctx, due)
	if err != nil && ctx.Err() == nil {
		l.cfg.Logger.Warn().Err(err).Str("agent", l.cfg.Place.AgentID).Msg("orders are due but not complete; they will be tried again")
	}
	return err
}
