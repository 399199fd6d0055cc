// Package entry serves callers over HTTP: it authenticates them, enforces
// limits, routes attempts to agents, retries and resumes them, and answers in
// the forms of the OpenAI API.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/idempotency"
	"github.com/magnoliausher/magnoliausher/limit"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/routing"
)

// Suspects knows the requests that were in progress when upstreams crashed.
type Suspects interface {
	// Status reports whether the fingerprint is a suspect and, when it is
	// refused, for how long from now and why. blockedFor is 0 otherwise.
	Status(fingerprint uint64, now time.Time) (suspect bool, blockedFor time.Duration, reason string)
}

// Config of an Entry. Zero limits take the defaults.
type Config struct {
	ID          string
	DataCentre  string
	Runner      link.Runner
	Holder      *contract.Holder
	Idempotency *idempotency.Store // nil refuses calls with an Idempotency-Key
	Suspects    Suspects           // nil knows none
	Jobs        http.Handler       // serves /v1/files and /v1/batches; nil for none
	Operator    http.Handler       // serves /operator/; nil for none
	Logger      zerolog.Logger

	// ConfigConfirmedAt returns when any source last confirmed the configuration.
	// nil means that staleness is not known.
	ConfigConfirmedAt func() time.Time

	// ParsePrompt returns the hash of a generation request's cacheable prefix, as
	// engines report it, and the estimated prompt tokens. nil means no affinity.
	ParsePrompt func(body []byte) (prefix uint64, tokens int)

	Weights               routing.Weights
	MaxBodyBytes          int64         // of a request
	MaxResponseBytes      int           // of an answer held in memory
	MaxQueued             int           // waiting requests per service
	AcceptTimeout         time.Duration // a repeatable attempt not accepted by then is rerouted
	IdleProbeAfter        time.Duration // a link quiet for this long is probed before a non-repeatable call
	ProbeTimeout          time.Duration
	TicketTTL             time.Duration // how long an agent may hold an attempt before hand-over
	EngineProgressTimeout time.Duration // an engine's attempt without an event for this long has failed
	PlainProgressTimeout  time.Duration // the same for plain services
	WriteTimeout          time.Duration // a caller that takes no data for this long is disconnected
	BodyTimeout           time.Duration // for reading a request's body
	MaxDeadline           time.Duration
	RetryAfter            time.Duration // advice in refusals without a better one
	MaxAttempts           int           // of one request
	IntentTimeout         time.Duration // for the end of an intent before the answer is sent
	IdleCleanupInterval   time.Duration // between removals of idle callers
	IntentCleanupInterval time.Duration // mean time between removals of old intents
}

// Defaults of Config.
const (
	DefaultMaxBodyBytes          = 8 << 20
	DefaultMaxResponseBytes      = 8 << 20
	DefaultMaxQueued             = 256
	DefaultAcceptTimeout         = 250 * time.Millisecond
	DefaultIdleProbeAfter        = time.Second
	DefaultProbeTimeout          = 250 * time.Millisecond
	DefaultTicketTTL             = 5 * time.Second
	DefaultEngineProgressTimeout = 5 * time.Second
	DefaultPlainProgressTimeout  = 30 * time.Second
	DefaultWriteTimeout          = 10 * time.Second
	DefaultBodyTimeout           = 30 * time.Second
	DefaultMaxDeadline           = 10 * time.Minute
	DefaultRetryAfter            = time.Second
	DefaultMaxAttempts           = 6
	DefaultIntentTimeout         = 2 * time.Second
	DefaultIdleCleanupInterval   = 10 * time.Second
	DefaultIntentCleanupInterval = time.Minute
)

func (c Config) withDefaults() Config {
	if c.Weights == (routing.Weights{}) {
		c.Weights = routing.DefaultWeights()
	}
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&c.MaxQueued, DefaultMaxQueued)
	setDefault(&c.AcceptTimeout, DefaultAcceptTimeout)
	setDefault(&c.IdleProbeAfter, DefaultIdleProbeAfter)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.TicketTTL, DefaultTicketTTL)
	setDefault(&c.EngineProgressTimeout, DefaultEngineProgressTimeout)
	setDefault(&c.PlainProgressTimeout, DefaultPlainProgressTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.BodyTimeout, DefaultBodyTimeout)
	setDefault(&c.MaxDeadline, DefaultMaxDeadline)
	setDefault(&c.RetryAfter, DefaultRetryAfter)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.IntentTimeout, DefaultIntentTimeout)
	setDefault(&c.IdleCleanupInterval, DefaultIdleCleanupInterval)
	setDefault(&c.IntentCleanupInterval, DefaultIntentCleanupInterval)
	return c
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Entry is the daemon that callers talk to. The locks of its parts are never
// held together, nor across calls of the Runner.
type Entry struct {
	config   Config
	callers  *limit.CallerLimiter
	suspects suspectTracker
	silence  *silence

	mu       sync.Mutex // guards services
	services map[string]*serviceState

	drain  *drainState
	linked atomic.Bool // an upstream has been linked since the start
}

// serviceState is what the entry keeps per service.
type serviceState struct {
	gate   *limit.ServiceLimiter
	budget limit.RetryBudget
}

// New returns an entry that serves through its Handler.
func New(c Config) *Entry {
	e := &Entry{
		config:   c.withDefaults(),
		callers:  limit.NewCallerLimiter(),
		suspects: suspectTracker{running: make(map[string]int)},
		silence:  newSilence(),
		services: make(map[string]*serviceState),
		drain:    newDrainState(),
	}
	if c.ConfigConfirmedAt != nil {
		registerStale(c.ID, e.possiblyStale)
	}
	registerLinks(c.ID, e.connectedLinks)
	return e
}

// service returns the state of a service with the bounds now in force.
func (e *Entry) service(svc *contract.Service, now time.Time) *serviceState {
	bounds := limit.QueueConfig{MaxInProgress: svc.MaxInProgress, MaxQueued: e.config.MaxQueued}
	e.mu.Lock()
	s := e.services[svc.Name]
	if s == nil {
		s = &serviceState{gate: limit.NewServiceLimiter(bounds)}
		e.services[svc.Name] = s
	}
	e.mu.Unlock()
	s.gate.Configure(bounds, now)
	return s
}

// Run removes the state of idle callers and old intents until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	idle := time.NewTicker(e.config.IdleCleanupInterval)
	defer idle.Stop()
	sweep := time.NewTimer(e.sweepDelay())
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-idle.C:
			e.callers.RemoveIdle(now)
			e.silence.removeOld(now)
		case now := <-sweep.C:
			e.sweep(ctx, now)
			sweep.Reset(e.sweepDelay())
		}
	}
}

// sweepDelay spreads the entries, which all remove the oldest intents first.
func (e *Entry) sweepDelay() time.Duration {
	return e.config.IntentCleanupInterval/2 + rand.N(e.config.IntentCleanupInterval)
}

// sweep removes old intents page by page.
func (e *Entry) sweep(ctx context.Context, now time.Time) {
	if e.config.Idempotency == nil {
		return
	}
	for {
		removed, err := e.config.Idempotency.Sweep(ctx, now)
		if err != nil {
			e.config.Logger.Warn().Err(err).Msg("removal of old intents failed")
		}
		if err != nil || removed < idempotency.SweepPageSize {
			return
		}
	}
}
