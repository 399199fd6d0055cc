package agent

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// fakeEngine generates one token per step until the stream reaches its length or
// fails.
type fakeEngine struct {
	mu        sync.Mutex
	step      time.Duration
	length    int // tokens per response; 0 means endless
	boot      string
	healthy   error
	genErr    error
	stalled   bool
	loading   bool
	stuck     bool // new streams ignore their context
	streams   map[*fakeStream]struct{}
	generated map[string]int // by attempt ID: number of Generate calls
	peak      int
	cached    []upstream.CacheEvent // complete list
	events    []upstream.CacheEvent // response to incremental requests
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		step: 20 * time.Millisecond, length: 10, boot: "1",
		streams: make(map[*fakeStream]struct{}), generated: make(map[string]int),
	}
}

type fakeStream struct {
	e       *fakeEngine
	ctx     context.Context
	crash   chan struct{}
	left    int
	endless bool
	stuck   bool
}

func (e *fakeEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.genErr != nil {
		return nil, e.genErr
	}
	e.generated[req.AttemptID]++
	if e.stuck {
		ctx = context.WithoutCancel(ctx)
	}
	s := &fakeStream{e: e, ctx: ctx, crash: make(chan struct{}), left: e.length, endless: e.length == 0 || e.stuck, stuck: e.stuck}
	e.streams[s] = struct{}{}
	e.peak = max(e.peak, len(e.streams))
	return s, nil
}

func (s *fakeStream) Next() (upstream.Delta, error) {
	s.e.mu.Lock()
	step, stalled := s.e.step, s.e.stalled
	s.e.mu.Unlock()
	if s.left == 0 && !s.endless {
		return upstream.Delta{}, io.EOF
	}
	s.left--
	var timer <-chan time.Time
	if !stalled && !s.stuck {
		timer = time.After(step)
	}
	select {
	case <-timer:
		return upstream.Delta{Text: fmt.Sprintf("%d ", s.left), Tokens: 1}, nil
	case <-s.crash:
		return upstream.Delta{}, fmt.Errorf("read: %w", upstream.ErrCrashed)
	case <-s.ctx.Done():
		return upstream.Delta{}, s.ctx.Err()
	}
}

func (s *fakeStream) Usage() upstream.Usage { return upstream.Usage{FinishReason: "stop"} }

func (s *fakeStream) Close() error {
	s.e.set(func() { delete(s.e.streams, s) })
	return nil
}

// crash breaks every stream and restarts the engine under a new boot id.
func (e *fakeEngine) crash(boot string) {
	e.set(func() {
		for s := range e.streams {
			close(s.crash)
			delete(e.streams, s)
		}
		e.boot = boot
	})
}

func (e *fakeEngine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// locked calls f with mu held and returns its result.
func locked[T any](mu *sync.Mutex, f func() T) T {
	mu.Lock()
	defer mu.Unlock()
	return f()
}

// generateCount returns how often the attempt was sent to the engine.
func (e *fakeEngine) generateCount(id string) int {
	return locked(&e.mu, func() int { return e.generated[id] })
}

// openStreams returns the number of open streams.
func (e *fakeEngine) openStreams() int { return locked(&e.mu, func() int { return len(e.streams) }) }

func (e *fakeEngine) Load(context.Context) (upstream.Load, error) {
	return locked(&e.mu, func() upstream.Load { return upstream.Load{Loading: e.loading} }), nil
}

func (e *fakeEngine) State(context.Context) (upstream.EngineState, error) {
	return upstream.EngineState{}, nil
}

func (e *fakeEngine) CacheEvents(_ context.Context, after uint64) ([]upstream.CacheEvent, bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if after == 0 {
		return e.cached, true, nil
	}
	return e.events, false, nil
}

func (e *fakeEngine) Order(context.Context, upstream.Order) error { return nil }

func (e *fakeEngine) Healthy(context.Context) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot, e.healthy
}

// fakeSuspects records crashes.
type fakeSuspects struct {
	mu      sync.Mutex
	crashes [][]uint64
	status  map[uint64]poison.Status
}

func (f *fakeSuspects) RecordCrash(_ uint64, fingerprints []uint64, _ time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, fingerprints)
	return fingerprints
}

func (f *fakeSuspects) RecordSound(*poison.Subject, time.Time) {}

func (f *fakeSuspects) Status(fp uint64, _ time.Time) poison.Status {
	return locked(&f.mu, func() poison.Status { return f.status[fp] })
}

// testAgent is a running agent with fake dependencies in a synctest bubble.
type testAgent struct {
	*Agent
	engine   *fakeEngine
	suspects *fakeSuspects
	control  *fakeControl
}

// runWithAgent runs test with an agent of the given number of slots in a synctest
// bubble, then stops the agent and waits for it.
func runWithAgent(t *testing.T, slots int, test func(t *testing.T, r *testAgent)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &testAgent{engine: newFakeEngine(), suspects: &fakeSuspects{status: map[uint64]poison.Status{}}, control: newFakeControl()}
		a, err := New(Config{
			ID: "a1", Service: "chat", Kind: contract.KindEngine, Slots: slots,
			Engine: r.engine, Suspects: r.suspects, Logger: zerolog.Nop(),
			NewControl: func(ControlDeps) Control { return r.control },
		})
		if err != nil {
			t.Fatal(err)
		}
		r.Agent = a
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		synctest.Wait()
		test(t, r)
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
}

// outcome collects the events of one attempt.
type outcome struct {
	events []*rpc.RunEvent
	done   chan struct{}
	cancel context.CancelFunc
}

func (o *outcome) last() *rpc.RunEvent {
	<-o.done
	if len(o.events) == 0 {
		return &rpc.RunEvent{}
	}
	return o.events[len(o.events)-1]
}

func (r *testAgent) request(class rpc.Class) *rpc.RunRequest {
	return &rpc.RunRequest{
		AttemptId: string(attempt.NewID()), Service: "chat", Class: class, Caller: "c", PromptTokens: 10,
		Ticket: &rpc.Ticket{AgentIncarnation: r.Incarnation(), NotAfterMs: uint64(r.now()/time.Millisecond) + 60000},
	}
}

// submit starts an attempt whose events are read without delay.
func (r *testAgent) submit(t *testing.T, req *rpc.RunRequest) *outcome {
	ctx, cancel := context.WithCancel(t.Context())
	o := &outcome{done: make(chan struct{}), cancel: cancel}
	go func() {
		defer close(o.done)
		_ = r.serve(ctx, "", req, func(e *rpc.RunEvent) error {
			o.events = append(o.events, e)
			return nil
		})
	}()
	synctest.Wait()
	return o
}

// crashList formats the fingerprints of each crash.
func (f *fakeSuspects) crashList() string {
	return locked(&f.mu, func() string { return fmt.Sprint(f.crashes) })
}

func (f *fakeSuspects) wantCrashes(t *testing.T, crashes string) {
	t.Helper()
	if got := f.crashList(); got != crashes {
		t.Errorf("suspects %s, want %s", got, crashes)
	}
}

// refused fails the test unless the attempt was refused for the given reason.
func (o *outcome) refused(t *testing.T, reason string) {
	t.Helper()
	if got := o.last().GetRefused().GetReason(); got != reason {
		t.Errorf("ended with %v, want refusal %s", o.last(), reason)
	}
}

// ended fails the test unless the response was complete.
func (o *outcome) ended(t *testing.T) {
	t.Helper()
	if o.last().GetEnd() == nil {
		t.Errorf("ended with %v", o.last())
	}
}

// failed fails the test unless the attempt failed with the given reason and
// execution status.
func (o *outcome) failed(t *testing.T, reason string, executed rpc.Executed) {
	t.Helper()
	f := o.last().GetFailed()
	flags := f.GetUpstreamCrashed() == (reason == FailedCrashed) && f.GetPreempted() == (reason == FailedPreempted)
	if f.GetReason() != reason || f.GetExecuted() != executed || !flags {
		t.Errorf("ended with %v, want failure %s, executed %v", o.last(), reason, executed)
	}
}
