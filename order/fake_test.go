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

// fakeEngine applies orders and records each one that arrives.
type fakeEngine struct {
	upstream.Engine
	checks   bool // refuses old fencing numbers
	loadTime func() time.Duration
	loads    func(by int) // told when the engine begins and ends to load

	mu       sync.Mutex
	boot     int
	state    upstream.EngineState
	fencing  uint64
	taken    uint64 // highest term that any process saw in the lease's row
	pending  int    // weight loads of this boot
	models   int    // model loads of this boot
	arrivals []arrival
}

// arrival is an order that was applied.
type arrival struct {
	fencing uint64
	sender  *process
	boot    int
	stale   bool // another holder had taken the lease over
	late    bool // held back between the sender's check and the engine
}

func (e *fakeEngine) arrive(o upstream.Order, sender *process, late bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fencing < e.fencing {
		return upstream.ErrFenced
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.arrivals = append(e.arrivals, arrival{o.Fencing, sender, e.boot, o.Fencing < e.taken, late})
	if !LoadsWeights(o) {
		e.state.Role = o.Role
		return nil
	}
	if o.Kind == upstream.OrderLoadModel {
		e.models++
		e.state.Loading = true
	}
	e.setPending(e.pending + 1)
	boot := e.boot
	time.AfterFunc(e.loadTime(), func() { e.loaded(o, boot) })
	return nil
}

func (e *fakeEngine) loaded(o upstream.Order, boot int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return
	}
	e.setPending(e.pending - 1)
	if o.Kind == upstream.OrderLoadModel {
		e.models--
		e.state.Model, e.state.Version, e.state.Adapter, e.state.Loading = o.Model, o.Version, "", e.models > 0
		return
	}
	e.state.Adapter = o.Adapter
}

// setPending needs mu.
func (e *fakeEngine) setPending(n int) {
	if was, is := e.pending > 0, n > 0; was != is {
		e.loads(map[bool]int{true: 1, false: -1}[is])
	}
	e.pending = n
}

func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.fencing = 0
	e.setPending(0)
	e.models = 0
	e.state = upstream.EngineState{Model: "m", Version: "0"}
}

func (e *fakeEngine) serving() upstream.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// process is an agent's process. While it is paused, no call of it begins or
// returns.
type process struct {
	engine   *fakeEngine
	table    storage.Table
	lateSend func() time.Duration // between the check and the engine

	mu     sync.Mutex
	resume chan struct{} // nil while the process runs
	gates  int
	ended  chan struct{}
	cancel context.CancelFunc
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

func (p *process) wait() {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// Close and Open make the process a Gate.
func (p *process) Close(ctx context.Context) error {
	p.gates++
	pause.For(ctx, rand.N(longestDrain))
	p.wait()
	return ctx.Err()
}

func (p *process) Open() { p.gates-- }

func (p *process) start(ctx context.Context, place Place, holder *contract.Holder) {
	loop := NewLoop(Config{Place: place, Table: processTable{p.table, p}, Logger: zerolog.Nop()})
	ctx, p.cancel = context.WithCancel(ctx)
	p.ended = make(chan struct{})
	go func() {
		defer close(p.ended)
		_ = loop.Run(ctx, processEngine{p.engine, p}, holder, p) // ends with ctx
	}()
}

// processTable is the platform's table as a process calls it.
type processTable struct {
	storage.Table
	p *process
}

func (t processTable) Get(ctx context.Context, key string) (storage.Row, error) {
	t.p.wait()
	row, err := t.Table.Get(ctx, key)
	if err == nil {
		t.note(key, row.Value)
	}
	t.p.wait()
	return row, err
}

func (t processTable) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	t.p.wait()
	versions, err := t.Table.Commit(ctx, tx)
	if err == nil {
		t.note(tx.Writes[0].Key, tx.Writes[0].Value)
	}
	t.p.wait()
	return versions, err
}

// note records the term of the lease's row.
func (t processTable) note(key string, value []byte) {
	var row leaseRow
	if !strings.HasPrefix(key, leaseKeyPrefix) || json.Unmarshal(value, &row) != nil {
		return
	}
	t.p.engine.mu.Lock()
	defer t.p.engine.mu.Unlock()
	t.p.engine.taken = max(t.p.engine.taken, row.Term)
}

// processEngine is the engine as a process calls it.
type processEngine struct {
	*fakeEngine
	p *process
}

// answer takes the time of a call. The process can be paused meanwhile.
func (e processEngine) answer() {
	time.Sleep(rand.N(longestAnswer))
	e.p.wait()
}

func (e processEngine) State(context.Context) (upstream.EngineState, error) {
	state := e.serving()
	e.answer()
	return state, nil
}

func (e processEngine) Healthy(context.Context) (string, error) {
	e.answer()
	e.mu.Lock()
	defer e.mu.Unlock()
	return string(rune('a' + e.boot)), nil
}

// Order passes an order on at once, or after a pause or a delay of the network
// that the sender can't see.
func (e processEngine) Order(ctx context.Context, o upstream.Order) error {
	delay := e.p.lateSend()
	if delay == 0 {
		err := e.arrive(o, e.p, false)
		e.p.wait()
		return err
	}
	time.AfterFunc(delay, func() { _ = e.arrive(o, e.p, true) }) // its sender no longer waits
	<-ctx.Done()
	e.p.wait()
	return ctx.Err()
}
