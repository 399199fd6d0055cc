// Package agent is the daemon beside one upstream. It is the only way to the
// upstream, so it decides exactly what runs there.
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

// Config describes one agent. Zero values of the optional part get defaults.
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
	NewControl      func(ControlDeps) Control // nil: no control stream
	Suspects        SuspectTable              // nil: no request is a suspect
	Orders          OrderLoop                 // nil: no orders to the engine
	QueueLimit      int                       // waiting online attempts
	BufferBytes     int                       // unread output per attempt
	ProgressTimeout time.Duration             // of an attempt without output
	ProbeInterval   time.Duration
	// SlowReaderTimeout is how long a full buffer of a plain service's body waits
	// for its reader, and how long a cancelled reader may take to read the end.
	SlowReaderTimeout time.Duration
	ProbeTimeout      time.Duration
	SeenCapacity      int // attempt ids kept until their tickets expire
}

// OrderLoop sends the orders that the configuration in force asks for, each
// with a fencing number, until ctx ends. It closes the gate while weights load.
type OrderLoop func(ctx context.Context, engine upstream.Engine, holder *contract.Holder, drainer Drainer) error

// Agent serves the attempts of one upstream.
type Agent struct {
	cfg         Config
	incarnation uint64
	started     time.Time
	seen        *attempt.SeenSet
	control     Control
	meter       meter
	cache       cacheState
	probeNow    chan struct{}
	changed     chan struct{} // wakes the notifier

	// mu guards the fields below. While it is held, only the lock inside seen
	// is taken, and no call leaves the process.
	mu            sync.Mutex
	snap          admission.Snapshot
	running       map[*admission.Sequence]*task
	queue         map[*admission.Queued]*task
	grants        []grant
	grantTurn     int
	cancelledJobs *simplelru.LRU[string, struct{}]
	probed        bool          // a probe has succeeded since the start
	bootID        string        // of the engine at the last successful probe
	epoch         uint64        // number of upstream crashes noticed
	broken        []uint64      // fingerprints of plain calls with a broken connection since the last good probe
	idle          chan struct{} // closed when nothing runs; nil while no one waits
	gated         bool          // closed to work for an order
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

// Incarnation is random per New. Tickets name it.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// now is the agent's monotonic time since its start.
func (a *Agent) now() time.Duration { return time.Since(a.started) }

// Run probes the upstream and keeps the control streams informed until parent
// ends. It then cancels what is still running and waits for it.
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

// Drain refuses new and queued work, ends batch attempts as preempted and
// waits until the others have finished or ctx ends. Batch calls of plain
// services that must not be repeated finish too.
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
		left := len(a.running)
		a.mu.Unlock()
		return trace.Wrap(ctx.Err(), "%d attempts are still running", left)
	}
}

// mayCancel reports whether a batch attempt can be cancelled and run again.
// A cancelled non-repeatable call would end with an unknown outcome. Needs mu.
func (a *Agent) mayCancel(q *admission.Sequence) bool {
	return a.cfg.Kind == contract.KindEngine || a.running[q].req.Repeatable
}

// preemptBatch ends the batch attempts that can run again elsewhere. Needs mu.
func (a *Agent) preemptBatch() {
	for _, q := range a.snap.Running {
		if q.Class == contract.ClassBatch && !q.Cancelled && a.mayCancel(q) {
			a.end(q, errPreempted)
		}
	}
}

// whenIdle returns a channel that is closed when nothing runs. Only used while
// no attempt is admitted. Needs mu.
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

// stop refuses and cancels everything and waits until the upstream has let go,
// at most letGoTimeout.
func (a *Agent) stop() {
	a.mu.Lock()
	a.snap.Leaving = true
	a.refuseQueued(admission.ReasonLeaving)
	for _, q := range a.snap.Running {
		a.end(q, errStopped)
	}
	idle := a.whenIdle()
	a.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(letGoTimeout):
	}
}
