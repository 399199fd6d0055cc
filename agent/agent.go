// Package agent implements the sidecar daemon of one upstream. All requests reach
// the upstream through its agent, so the agent has full control over what runs
// there.
package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Defaults of a Config.
const (
	DefaultBufferBytes       = 256 << 10
	DefaultProgressTimeout   = 10 * time.Second
	DefaultSlowReaderTimeout = 5 * time.Second
	DefaultProbeInterval     = time.Second
	DefaultProbeTimeout      = time.Second
	DefaultSeenCapacity      = 32768
)

const cancelledJobsKept = 4096

// Config configures one agent. Zero values of optional fields get defaults.
type Config struct {
	ID         string
	DataCentre string
	Service    string
	Kind       contract.Kind
	Slots      int                   // sequences or calls that the upstream runs at once
	Engine     upstream.Engine       // for KindEngine
	Plain      upstream.PlainService // for KindPlain
	Holder     *contract.Holder
	Logger     zerolog.Logger

	// Optional.
	NewControl      func(ControlDeps) Control // nil disables control streams
	Suspects        SuspectTable              // nil treats no request as a suspect
	Orders          OrderLoop                 // nil disables orders to the engine
	QueueLimit      int                       // waiting online attempts
	BufferBytes     int                       // unread output per attempt
	ProgressTimeout time.Duration             // of an attempt without output
	ProbeInterval   time.Duration
	// SlowReaderTimeout is how long a plain service's response waits for its reader
	// while the buffer is full, and how long the reader of an attempt cancelled for
	// slow reading has to read the remaining events.
	SlowReaderTimeout time.Duration
	ProbeTimeout      time.Duration
	SeenCapacity      int // attempt ids kept until their tickets expire
}

// OrderLoop sends the orders that the configuration in force requires, each with
// a fencing number, until ctx is done. It drains the engine while weights load.
type OrderLoop func(ctx context.Context, engine upstream.Engine, holder *contract.Holder, drainer Drainer) error

// Agent serves the attempts of one upstream.
type Agent struct {
	cfg         Config
	incarnation uint64
	started     time.Time
	seen        *attempt.SeenSet
	control     Control
	sampler     intervalSampler
	cache       cacheState
	probeNow    chan struct{}
	changed     chan struct{} // wakes the notifier

	// mu guards the fields below. While mu is held, no lock other than the one
	// inside seen is acquired, and no call leaves the process.
	mu              sync.Mutex
	snap            admission.Snapshot
	running         map[*admission.Sequence]*task
	queue           map[*admission.Queued]*task
	grants          []grant
	grantRound      int
	cancelledJobs   *simplelru.LRU[string, struct{}]
	probed          bool          // whether a probe has succeeded since the start
	bootID          string        // of the engine at the last successful probe
	crashCount      uint64        // number of upstream crashes detected
	brokenCalls     []uint64      // fingerprints of plain calls whose connection broke since the last successful probe
	idle            chan struct{} // closed when nothing runs; nil if nothing waits for it
	drainedForOrder bool          // refuses work while an order loads weights
}

// New returns an agent that accepts work once Run has probed the upstream.
func New(cfg Config) (*Agent, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	jobs, err := simplelru.NewLRU[string, struct{}](cancelledJobsKept, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a := &Agent{
		cfg:           cfg,
		incarnation:   rand.Uint64(),
		started:       time.Now(),
		seen:          attempt.NewSeenSet(cfg.SeenCapacity),
		probeNow:      make(chan struct{}, 1),
		changed:       make(chan struct{}, 1),
		running:       make(map[*admission.Sequence]*task),
		queue:         make(map[*admission.Queued]*task),
		cancelledJobs: jobs,
	}
	a.snap = admission.Snapshot{
		Kind:       cfg.Kind,
		Slots:      cfg.Slots,
		QueueLimit: cfg.QueueLimit,
		Callers:    admission.NewCallerUsage(),
		Model:      admission.NewStepModel(),
	}
	if cfg.NewControl != nil {
		a.control = cfg.NewControl(ControlDeps{Incarnation: a.incarnation, Load: a.Load})
	}
	return a, nil
}

func (c *Config) complete() error {
	switch {
	case c.ID == "" || c.Service == "":
		return trace.BadParameter("agent needs an id and a service")
	case c.Slots < 1:
		return trace.BadParameter("agent %s needs at least one slot", c.ID)
	case c.Kind == contract.KindEngine && c.Engine == nil:
		return trace.BadParameter("agent %s of kind engine has no engine", c.ID)
	case c.Kind == contract.KindPlain && c.Plain == nil:
		return trace.BadParameter("agent %s of kind plain has no plain service", c.ID)
	case c.Kind != contract.KindEngine && c.Kind != contract.KindPlain:
		return trace.BadParameter("agent %s has unknown kind %q", c.ID, c.Kind)
	}
	setDefault(&c.QueueLimit, admission.DefaultQueueLimit)
	setDefault(&c.BufferBytes, DefaultBufferBytes)
	setDefault(&c.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&c.SlowReaderTimeout, DefaultSlowReaderTimeout)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.SeenCapacity, DefaultSeenCapacity)
	if c.Suspects == nil {
		c.Suspects = noSuspects{}
	}
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Incarnation returns a random number that identifies this Agent. Tickets contain
// it.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// now returns the monotonic time since the agent's start.
func (a *Agent) now() time.Duration { return time.Since(a.started) }

// Run probes the upstream and sends updates to the control streams until parent
// is done. It then cancels the running attempts and waits for them.
func (a *Agent) Run(parent context.Context) error {
	g, ctx := errgroup.WithContext(parent)
	g.Go(func() error { return a.probeLoop(ctx) })
	g.Go(func() error { return a.watchLoop(ctx) })
	if a.control != nil {
		g.Go(func() error { return a.notifyLoop(ctx) })
		g.Go(func() error { return a.jobLoop(ctx) })
	}
	if a.cfg.Kind == contract.KindEngine {
		g.Go(func() error { return a.cacheLoop(ctx) })
		if a.cfg.Orders != nil {
			g.Go(func() error { return a.cfg.Orders(ctx, a.cfg.Engine, a.cfg.Holder, Drainer{a}) })
		}
	}
	err := g.Wait()
	a.stop()
	if parent.Err() != nil && errors.Is(err, parent.Err()) {
		return nil
	}
	return trace.Wrap(err)
}

// Drain refuses new and queued work, preempts batch attempts and waits until the
// others have finished or ctx is done. Batch calls of plain services that must
// not be repeated are not preempted.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.snap.Leaving = true
	a.refuseQueued(admission.ReasonLeaving)
	a.preemptBatch()
	idle := a.whenIdle()
	a.mu.Unlock()
	if a.control != nil {
		a.control.SetLeaving()
	}
	a.notify()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		a.mu.Lock()
		remaining := len(a.running)
		a.mu.Unlock()
		return trace.Wrap(ctx.Err(), "%d attempts are still running", remaining)
	}
}

// mayCancel reports whether a batch attempt can be cancelled and run again.
// Cancelling a non-repeatable call would leave its outcome unknown. It requires
// a.mu.
func (a *Agent) mayCancel(q *admission.Sequence) bool {
	return a.cfg.Kind == contract.KindEngine || a.running[q].req.Repeatable
}

// preemptBatch preempts the batch attempts that can be run again elsewhere. It
// requires a.mu.
func (a *Agent) preemptBatch() {
	for _, q := range a.snap.Running {
		if q.Class == contract.ClassBatch && !q.Cancelled && a.mayCancel(q) {
			a.cancelSequence(q, errPreempted)
		}
	}
}

// whenIdle returns a channel that is closed when nothing runs. It must only be
// called while no attempts are admitted. It requires a.mu.
func (a *Agent) whenIdle() <-chan struct{} {
	if len(a.running) == 0 {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	return a.idle
}

// stop refuses queued attempts, cancels running ones and waits for these to end,
// for at most cancelReturnTimeout.
func (a *Agent) stop() {
	a.mu.Lock()
	a.snap.Leaving = true
	a.refuseQueued(admission.ReasonLeaving)
	for _, q := range a.snap.Running {
		a.cancelSequence(q, errStopped)
	}
	idle := a.whenIdle()
	a.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(cancelReturnTimeout):
	}
}
