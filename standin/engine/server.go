package engine

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
)

// DefaultKeepAlive is the interval of keep-alive comments on a stream without output.
const DefaultKeepAlive = time.Second

// Config configures a simulated engine.
type Config struct {
	Speed         float64       // ratio of virtual time to real time; 0 means 1
	Seed          uint64        // seed for the cache events
	PoisonMarker  string        // a prompt that contains it crashes the engine; empty for none
	RestartDelay  time.Duration // real time from a crash caused by PoisonMarker to the restart
	CheckFencing  bool          // reject orders with a fencing number lower than the highest seen
	NaturalTokens int           // output length at which generation stops by itself; 0 for only max_tokens
	KeepAlive     time.Duration // real time; 0 means DefaultKeepAlive
	Weights       *WeightStore  // nil makes weight loads immediate
	State         State         // state after each boot

	// Listen binds the address of Serve again after a crash; nil means TCP.
	Listen func(context.Context) (net.Listener, error)
}

// Server is a simulated engine with an HTTP interface. Run drives its model.
type Server struct {
	cfg   Config
	mux   *http.ServeMux
	start time.Time
	wake  chan struct{} // signals new work or a state change to Run

	mu         sync.Mutex // guards the fields below
	model      *Model
	bootID     string
	boot       uint64
	bootAt     time.Duration // virtual time of the last boot
	requests   map[string]*request
	down       bool
	hanging    bool
	resumed    chan struct{} // closed when the hang ends
	crashed    chan struct{} // closed at the next crash
	hung       chan struct{} // closed to hang the connections that are open now
	state      State
	fencing    uint64
	applied    []Order
	crashes    int
	received   int // completion requests over all boots
	modelLoads int // model loads in progress
}

// request is one completion in progress.
type request struct {
	id       string
	poison   bool
	progress chan struct{} // capacity 1; signals a change of the fields below

	generated int // tokens of this attempt; guarded by Server.mu, as the fields below
	finished  bool
	cancelled bool
}

// New returns an engine that is not running; Run starts it.
func New(cfg Config) *Server {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	if cfg.KeepAlive <= 0 {
		cfg.KeepAlive = DefaultKeepAlive
	}
	s := &Server{
		cfg:     cfg,
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		resumed: make(chan struct{}),
		hung:    make(chan struct{}),
	}
	s.bootLocked()
	s.routes()
	return s
}

// Handler serves the engine's HTTP interface. Without Serve, a crash breaks each
// connection at its next request, but the listener stays open.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(s.serveHTTP)
}

// Run processes the steps of the model until the context ends.
func (s *Server) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if wait, ok := s.advance(); ok {
			timer.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// maxClockLag is the virtual time by which steps may run late because the machine
// is too slow for the speed factor. The virtual clock is set back by the excess.
const maxClockLag = 100 * time.Millisecond

// advance completes the step in progress if it is due, and returns the real time
// until the end of the next one. It processes one step per call, so that handlers
// can acquire the lock even when the engine runs late.
func (s *Server) advance() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.hanging {
		return 0, false
	}
	now := s.virtualTimeLocked()
	if next, ok := s.model.Next(); ok && next <= now {
		if lag := now - next; lag > maxClockLag {
			s.bootAt += lag - maxClockLag
		}
		s.deliverLocked(s.model.Step())
	}
	next, ok := s.model.Next()
	if !ok || s.down {
		return 0, false
	}
	return s.realTimeUntilLocked(next), true
}

// realTimeUntilLocked returns the real time until a virtual time, rounded up,
// or 0.
func (s *Server) realTimeUntilLocked(at time.Duration) time.Duration {
	left := at - s.virtualTimeLocked()
	if left <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(left) / s.cfg.Speed))
}

// deliverLocked delivers generated tokens to their requests. A token of a poison
// request crashes the engine before any token of the step is delivered.
func (s *Server) deliverLocked(outputs []Output) {
	for _, out := range outputs {
		if r := s.requests[out.ID]; r != nil && r.poison {
			s.crashLocked(s.cfg.RestartDelay)
			return
		}
	}
	for _, out := range outputs {
		r := s.requests[out.ID]
		if r == nil {
			continue
		}
		r.generated = out.Index + 1
		r.finished = out.Last
		r.notify()
		if out.Last {
			delete(s.requests, out.ID)
		}
	}
}

func (r *request) notify() {
	select {
	case r.progress <- struct{}{}:
	default: // a notification is already pending
	}
}

// virtualTimeLocked returns the time of the model, which starts at 0 on each
// boot.
func (s *Server) virtualTimeLocked() time.Duration {
	return time.Duration(float64(time.Since(s.start))*s.cfg.Speed) - s.bootAt
}

func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// submit starts a sequence and registers the request under its ID until it ends.
func (s *Server) submit(seq Sequence, prompt string) (*request, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	if s.state.Loading {
		return nil, errLoading
	}
	if err := s.model.Submit(s.virtualTimeLocked(), seq); err != nil {
		return nil, err
	}
	r := &request{id: seq.ID, progress: make(chan struct{}, 1)}
	r.poison = s.cfg.PoisonMarker != "" && strings.Contains(prompt, s.cfg.PoisonMarker)
	s.requests[r.id] = r
	s.wakeUp()
	return r, nil
}

var errLoading = errors.New("weights are loading")

// cancel ends a request and reports whether it was in progress.
func (s *Server) cancel(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.requests[id]
	if !ok {
		return false
	}
	s.cancelLocked(r)
	return true
}

// release cancels a request that is still in progress when its handler returns.
func (s *Server) release(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[r.id] == r {
		s.cancelLocked(r)
	}
}

func (s *Server) cancelLocked(r *request) {
	s.model.Cancel(s.virtualTimeLocked(), r.id)
	delete(s.requests, r.id)
	r.cancelled = true
	r.notify()
}

// outcome returns the number of generated tokens of a request and whether it has
// finished or was cancelled.
func (s *Server) outcome(r *request) (generated int, last, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.generated, r.finished, r.cancelled
}

// Load returns the engine's current load without lag.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Current()
}

// Submitted returns the number of completion requests so far, over all boots and
// including rejected ones.
func (s *Server) Submitted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// InProgress returns the number of requests that are waiting or running.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// bootLocked resets the engine to an empty cache and no requests, with a new boot
// ID.
func (s *Server) bootLocked() {
	s.boot++
	s.bootID = string(attempt.NewID())
	s.bootAt = time.Duration(float64(time.Since(s.start)) * s.cfg.Speed)
	s.model = NewModel(ModelConfig{
		Seed: s.cfg.Seed + s.boot,
		// The sequence numbers of two boots never overlap, so a reader that
		// passes a number of an earlier boot gets the complete list.
		FirstSequence: s.boot << 32,
	})
	s.requests = make(map[string]*request)
	s.crashed = make(chan struct{})
	s.state = s.cfg.State
	s.fencing = 0
	s.applied = nil
	s.modelLoads = 0
	s.down = false
	if s.hanging {
		s.resumeLocked()
	}
}
