package order

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// fakeEngine applies orders and records each one that it applied.
type fakeEngine struct {
	upstream.Engine
	checksFencing bool // rejects orders with an old fencing number
	loadTime      func() time.Duration
	onLoading     func(by int) // called with +1 when the engine starts to load and -1 when it ends

	mu           sync.Mutex
	boot         int
	state        upstream.EngineState
	fencing      uint64
	highestTerm  uint64 // highest term that any process read from or wrote to the lease's row
	pendingLoads int    // weight loads since the last restart
	modelLoads   int    // model loads since the last restart
	applied      []appliedOrder
}

// appliedOrder is an order that the engine applied.
type appliedOrder struct {
	fencing uint64
	sender  *process
	boot    int
	stale   bool // another holder had already acquired the lease
	delayed bool // in the network, after the sender's lease check
}

func (e *fakeEngine) apply(o upstream.Order, sender *process, late bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && o.Fencing < e.fencing {
		return upstream.ErrFenced
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.applied = append(e.applied, appliedOrder{o.Fencing, sender, e.boot, o.Fencing < e.highestTerm, late})
	if !LoadsWeights(o) {
		e.state.Role = o.Role
		return nil
	}
	if o.Kind == upstream.OrderLoadModel {
		e.modelLoads++
		e.state.Loading = true
	}
	e.setPending(e.pendingLoads + 1)
	boot := e.boot
	time.AfterFunc(e.loadTime(), func() { e.completeLoad(o, boot) })
	return nil
}

func (e *fakeEngine) completeLoad(o upstream.Order, boot int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return
	}
	e.setPending(e.pendingLoads - 1)
	if o.Kind == upstream.OrderLoadModel {
		e.modelLoads--
		e.state.Model, e.state.Version, e.state.Adapter, e.state.Loading = o.Model, o.Version, "", e.modelLoads > 0
		return
	}
	e.state.Adapter = o.Adapter
}

// setPending sets the number of pending loads. It requires e.mu.
func (e *fakeEngine) setPending(n int) {
	if was, is := e.pendingLoads > 0, n > 0; was != is {
		e.onLoading(map[bool]int{true: 1, false: -1}[is])
	}
	e.pendingLoads = n
}

func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.fencing = 0
	e.setPending(0)
	e.modelLoads = 0
	e.state = upstream.EngineState{Model: "m", Version: "0"}
}

func (e *fakeEngine) currentState() upstream.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// process simulates an agent's process. While it is paused, none of its calls
// starts or returns.
type process struct {
	engine    *fakeEngine
	table     storage.Table
	sendDelay func() time.Duration // between the sender's lease check and the engine

	mu         sync.Mutex
	resume     chan struct{} // nil while the process runs
	openDrains int
	ended      chan struct{}
	cancel     context.CancelFunc
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

func (p *process) unpause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

func (p *process) waitWhilePaused() {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// Drain and Resume implement Drainer.
func (p *process) Drain(ctx context.Context) error {
	p.openDrains++
	pause.For(ctx, rand.N(maxDrainTime))
	p.waitWhilePaused()
	return ctx.Err()
}

func (p *process) Resume() { p.openDrains-- }

func (p *process) start(ctx context.Context, location Location, holder *contract.Holder) {
	loop := NewLoop(Config{Location: location, Table: processTable{p.table, p}, Logger: zerolog.Nop()})
	ctx, p.cancel = context.WithCancel(ctx)
	p.ended = make(chan struct{})
	go func() {
		defer close(p.ended)
		_ = loop.Run(ctx, processEngine{p.engine, p}, holder, p) // returns when ctx is done
	}()
}

// processTable is the platform's table as called by a process. Its calls block
// while the process is paused.
type processTable struct {
	storage.Table
	p *process
}

func (t processTable) Get(ctx context.Context, key string) (storage.Row, error) {
	t.p.waitWhilePaused()
	row, err := t.Table.Get(ctx, key)
	if err == nil {
		t.recordTerm(key, row.Value)
	}
	t.p.waitWhilePaused()
	return row, err
}

func (t processTable) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	t.p.waitWhilePaused()
	versions, err := t.Table.Commit(ctx, tx)
	if err == nil {
		t.recordTerm(tx.Writes[0].Key, tx.Writes[0].Value)
	}
	t.p.waitWhilePaused()
	return versions, err
}

// recordTerm updates the engine's highest term from a value of the lease's row.
func (t processTable) recordTerm(key string, value []byte) {
	var row leaseRow
	if !strings.HasPrefix(key, leaseKeyPrefix) || json.Unmarshal(value, &row) != nil {
		return
	}
	t.p.engine.mu.Lock()
	defer t.p.engine.mu.Unlock()
	t.p.engine.highestTerm = max(t.p.engine.highestTerm, row.Term)
}

// processEngine is the engine as called by a process. Its calls block while the
// process is paused.
type processEngine struct {
	*fakeEngine
	p *process
}

// simulateLatency sleeps for the duration of a call, during which the process may
// be paused.
func (e processEngine) simulateLatency() {
	time.Sleep(rand.N(maxCallLatency))
	e.p.waitWhilePaused()
}

func (e processEngine) State(context.Context) (upstream.EngineState, error) {
	state := e.currentState()
	e.simulateLatency()
	return state, nil
}

func (e processEngine) Healthy(context.Context) (string, error) {
	e.simulateLatency()
	e.mu.Lock()
	defer e.mu.Unlock()
	return string(rune('a' + e.boot)), nil
}

// Order delivers an order at once, or after a network delay that outlasts the
// sender's call.
func (e processEngine) Order(ctx context.Context, o upstream.Order) error {
	delay := e.p.sendDelay()
	if delay == 0 {
		err := e.apply(o, e.p, false)
		e.p.waitWhilePaused()
		return err
	}
	time.AfterFunc(delay, func() { _ = e.apply(o, e.p, true) }) // the sender no longer waits for the result
	<-ctx.Done()
	e.p.waitWhilePaused()
	return ctx.Err()
}
