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

// DefaultKeepAlive is the interval of comments on a stream without output.
const DefaultKeepAlive = time.Second

// Config describes a stand-in engine.
type Config struct {
	Speed         float64       // virtual time per real time; 0 means 1
	Seed          uint64        // of the cache events
	PoisonMarker  string        // a prompt that holds it crashes the engine; empty for none
	RestartDelay  time.Duration // real time from a crash by poison to the restart
	CheckFencing  bool          // refuse orders with a fencing number lower than one seen
	NaturalTokens int           // output length at which generation stops; 0 for only max_tokens
	KeepAlive     time.Duration // real time; 0 means DefaultKeepAlive
	Weights       *WeightStore  // nil makes weight loads immediate
	State         State         // what the engine serves when it starts

	// Listen opens the address of Serve again after a crash; nil means by TCP.
	Listen func(context.Context) (net.Listener, error)
}

// Server is a stand-in engine with an HTTP interface. Run drives its time.
type Server struct {
	cfg   Config
	mux   *http.ServeMux
	start time.Time
	wake  chan struct{} // the model got work, or the state changed

	mu       sync.Mutex // guards all below
	model    *Model
	bootID   string
	boot     uint64
	bootAt   time.Duration // virtual time at which the model was made
	requests map[string]*request
	down     bool
	silent   bool
	resumed  chan struct{} // closed when silence ends
	crashed  chan struct{} // closed at the next crash
	quiet    chan struct{} // closed to silence the connections that are open now
	state    State
	fencing  uint64
	applied  []Order
	crashes  int
	received int // requests to generate, over all boots
	loads    int // model loads in progress
}

// request is one completion in progress.
type request struct {
	id       string
	poison   bool
	progress chan struct{} // capacity 1; generated or ended changed

	generated int // tokens of this attempt; guarded by Server.mu
	last      bool
	cancelled bool
}

// New returns a stopped engine; Run starts it.
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
		quiet:   make(chan struct{}),
	}
	s.bootLocked()
	s.routes()
	return s
}

// Handler serves the engine's HTTP interface. Without Serve, a crash breaks
// every connection at its next request but the listener stays open.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(s.serveHTTP)
}

// Run drives the engine until the context ends.
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

// maxLag is the virtual time by which the engine may run late, because the
// machine is too slow for the speed factor. Beyond it the virtual clock slips.
const maxLag = 100 * time.Millisecond

// advance ends the step in progress if it is due, and returns the real time to
// the end of the next one. It takes one step at a time, so that handlers get
// the lock even when the engine runs late.
func (s *Server) advance() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.silent {
		return 0, false
	}
	now := s.virtualLocked()
	if next, ok := s.model.Next(); ok && next <= now {
		if lag := now - next; lag > maxLag {
			s.bootAt += lag - maxLag
		}
		s.deliverLocked(s.model.Step())
	}
	next, ok := s.model.Next()
	if !ok || s.down {
		return 0, false
	}
	return s.untilLocked(next), true
}

// untilLocked is the real time to a virtual time, rounded up, or 0.
func (s *Server) untilLocked(at time.Duration) time.Duration {
	left := at - s.virtualLocked()
	if left <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(left) / s.cfg.Speed))
}

// deliverLocked passes generated tokens to their requests. A token of a poison
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
		r.last = out.Last
		r.notify()
		if out.Last {
			delete(s.requests, out.ID)
		}
	}
}

func (r *request) notify() {
	select {
	case r.progress <- struct{}{}:
	default: // a notice is pending
	}
}

// virtualLocked is the model's time. A model is new after each boot, so its
// time is counted from the boot.
func (s *Server) virtualLocked() time.Duration {
	return time.Duration(float64(time.Since(s.start))*s.cfg.Speed) - s.bootAt
}

func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// submit starts a sequence. The request is known by its id until it ends.
func (s *Server) submit(seq Sequence, prompt string) (*request, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	if s.state.Loading {
		return nil, errLoading
	}
	if err := s.model.Submit(s.virtualLocked(), seq); err != nil {
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

// release ends a request whose handler returns, unless it has ended.
func (s *Server) release(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[r.id] == r {
		s.cancelLocked(r)
	}
}

func (s *Server) cancelLocked(r *request) {
	s.model.Cancel(s.virtualLocked(), r.id)
	delete(s.requests, r.id)
	r.cancelled = true
	r.notify()
}

// outcome returns the generated tokens of a request and how it ended, if it has.
func (s *Server) outcome(r *request) (generated int, last, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.generated, r.last, r.cancelled
}

// Load returns the engine's present load without lag.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Current()
}

// Submitted returns the number of requests to generate that arrived so far,
// over all boots and including refused ones.
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

// bootLocked starts the engine anew: an empty cache, no requests, a new boot id.
func (s *Server) bootLocked() {
	s.boot++
	s.bootID = string(attempt.NewID())
	s.bootAt = time.Duration(float64(time.Since(s.start)) * s.cfg.Speed)
	s.model = NewModel(ModelConfig{
		Seed: s.cfg.Seed + s.boot,
		// Event numbers of two boots never meet, so a reader that passes a
		// number of an earlier boot gets the complete list.
		FirstSequence: s.boot << 32,
	})
	s.requests = make(map[string]*request)
	s.crashed = make(chan struct{})
	s.state = s.cfg.State
	s.fencing = 0
	s.applied = nil
	s.loads = 0
	s.down = false
	if s.silent {
		s.resumeLocked()
	}
}
