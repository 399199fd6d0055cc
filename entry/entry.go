// Package entry serves callers over HTTP: it authenticates them, enforces limits,
// routes attempts to agents, retries and resumes them, and responds in the formats of
// the OpenAI API.
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
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/routing"
)

// Suspects looks up the requests that were in progress when upstreams crashed.
type Suspects interface {
	// Status reports whether the fingerprint belongs to a suspect request. If the
	// request is blocked, it also returns the remaining time and the reason of the
	// block; blockedFor is 0 otherwise.
	Status(fingerprint uint64, now time.Time) (suspect bool, blockedFor time.Duration, reason string)
	// Admit decides on a request with the given parts of its prompt, once before its
	// first attempt. Recheck decides before the others and starts no trial.
	Admit(parts []uint64, now time.Time) poison.Admission
	Recheck(parts []uint64, now time.Time) poison.Admission
	// RecordSound records that an upstream answers a request without crashing.
	RecordSound(s *poison.Subject, now time.Time)
}

// Config configures an Entry. Limits that are zero are replaced by the defaults.
type Config struct {
	ID          string
	DataCentre  string
	Runner      link.Runner
	Holder      *contract.Holder
	Idempotency *idempotency.Store // if nil, calls with an Idempotency-Key are rejected
	Suspects    Suspects           // if nil, no request is a suspect
	Jobs        http.Handler       // serves /v1/files and /v1/batches; may be nil
	Operator    http.Handler       // serves /operator/; may be nil
	Logger      zerolog.Logger

	// ConfigConfirmedAt returns the time at which a source last confirmed the
	// configuration. If it is nil, staleness is not checked.
	ConfigConfirmedAt func() time.Time

	// ParsePrompt returns the hash of the cacheable prefix of a generation request, as
	// reported by engines, the estimated number of prompt tokens, and hashes of the
	// parts that other prompts may share. If it is nil, routing uses no prefix affinity.
	ParsePrompt func(body []byte) (prefix uint64, tokens int, parts []uint64)

	Weights               routing.Weights
	MaxBodyBytes          int64         // of a request body
	MaxResponseBytes      int           // of a response held in memory
	MaxQueued             int           // queued requests per service
	AcceptTimeout         time.Duration // after it, a repeatable attempt that is not accepted is rerouted
	IdleProbeAfter        time.Duration // a link idle for this long is probed before a non-repeatable call
	ProbeTimeout          time.Duration
	TicketTTL             time.Duration // how long an agent may hold an attempt before it hands it to an upstream
	EngineProgressTimeout time.Duration // an attempt on an engine fails after this long without an event
	PlainProgressTimeout  time.Duration // same for plain services
	WriteTimeout          time.Duration // a caller that reads no data for this long is disconnected
	BodyTimeout           time.Duration // for reading a request body
	MaxDeadline           time.Duration
	RetryAfter            time.Duration // sent with errors that have no more specific value
	MaxAttempts           int           // per request
	IntentTimeout         time.Duration // for recording the outcome of an intent before the response is sent
	IdleCleanupInterval   time.Duration // between removals of idle callers
	IntentCleanupInterval time.Duration // mean interval between removals of expired intents
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

// Entry handles the requests of callers. No lock is held during calls of the Runner.
// Locks are not nested, except that suspects calls unresponsive under its lock.
type Entry struct {
	config       Config
	callers      *limit.CallerLimiter
	suspects     suspectTracker
	unresponsive *unresponsiveAgents

	mu       sync.Mutex // guards services
	services map[string]*serviceState

	drain      *drainState
	everLinked atomic.Bool // an upstream has been linked since startup
}

// serviceState is the state kept per service.
type serviceState struct {
	limiter *limit.ServiceLimiter
	budget  limit.RetryBudget
}

// New returns an Entry; its Handler serves the requests.
func New(c Config) *Entry {
	e := &Entry{
		config:       c.withDefaults(),
		callers:      limit.NewCallerLimiter(),
		suspects:     suspectTracker{running: make(map[string]int)},
		unresponsive: newUnresponsiveAgents(),
		services:     make(map[string]*serviceState),
		drain:        newDrainState(),
	}
	if c.ConfigConfirmedAt != nil {
		registerStaleGauge(c.ID, e.configPossiblyStale)
	}
	registerLinksGauge(c.ID, e.countConnectedLinks)
	return e
}

// service returns the state of a service and applies the current limits to it.
func (e *Entry) service(svc *contract.Service, now time.Time) *serviceState {
	bounds := limit.QueueConfig{MaxInProgress: svc.MaxInProgress, MaxQueued: e.config.MaxQueued}
	e.mu.Lock()
	s := e.services[svc.Name]
	if s == nil {
		s = &serviceState{limiter: limit.NewServiceLimiter(bounds)}
		e.services[svc.Name] = s
	}
	e.mu.Unlock()
	s.limiter.Configure(bounds, now)
	return s
}

// Run removes idle callers, old marks of unresponsive agents and expired intents at
// intervals until ctx is done.
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
			e.unresponsive.removeOld(now)
		case now := <-sweep.C:
			e.sweep(ctx, now)
			sweep.Reset(e.sweepDelay())
		}
	}
}

// sweepDelay returns a random delay, so that entries do not sweep at the same time:
// each of them starts with the oldest intents.
func (e *Entry) sweepDelay() time.Duration {
	return e.config.IntentCleanupInterval/2 + rand.N(e.config.IntentCleanupInterval)
}

// sweep removes expired intents page by page.
func (e *Entry) sweep(ctx context.Context, now time.Time) {
	if e.config.Idempotency == nil {
		return
	}
	for {
		removed, err := e.config.Idempotency.Sweep(ctx, now)
		if err != nil {
			e.config.Logger.Warn().Err(err).Msg("failed to remove expired intents")
		}
		if err != nil || removed < idempotency.SweepPageSize {
			return
		}
	}
}
