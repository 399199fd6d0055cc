package contract_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/magnoliausher/magnoliausher/contract"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
)

// registerState lists the change ids of all accepted versions, each followed by
// a space. It is a string so that states can be compared.
type registerState string

func (s registerState) version() uint64 { return uint64(strings.Count(string(s), " ")) }

// became reports whether the change is the one that became version base+1.
func (s registerState) became(in registerInput) bool {
	ids := strings.Fields(string(s))
	return in.base < uint64(len(ids)) && ids[in.base] == in.changeID
}

func (s registerState) last() loaded {
	if s == "" {
		return loaded{}
	}
	ids := strings.Fields(string(s))
	return loaded{version: s.version(), changeID: ids[len(ids)-1]}
}

// loaded is the version and change that a Load returned; zero for none.
type loaded struct {
	version  uint64
	changeID string
}

// registerInput is an Accept of a change on a base, or a Load when changeID is empty.
type registerInput struct {
	base     uint64
	changeID string
}

type registerOutcome int

const (
	outcomeLoaded registerOutcome = iota
	outcomeAccepted
	outcomeRefused // conflict; the change has not taken effect and never will
	outcomeOpen    // the change may take effect at any later time
	outcomeFailed  // no effect
)

type registerOutput struct {
	outcome registerOutcome
	loaded  loaded
}

// registerModel is a versioned register whose Accept is a conditional write. A
// resend of an accepted change is accepted again without effect.
var registerModel = porcupine.NondeterministicModel{
	Init:  func() []interface{} { return []interface{}{registerState("")} },
	Step:  stepRegister,
	Equal: func(a, b interface{}) bool { return a == b },
}

func stepRegister(state, input, output interface{}) []interface{} {
	s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
	unchanged := []interface{}{s}
	written := s + registerState(in.changeID+" ")
	atBase := s.version() == in.base
	switch {
	case out.outcome == outcomeLoaded && out.loaded == s.last():
		return unchanged
	case out.outcome == outcomeAccepted && atBase:
		return []interface{}{written}
	case out.outcome == outcomeAccepted && s.became(in):
		return unchanged
	case out.outcome == outcomeRefused && !atBase && !s.became(in):
		return unchanged
	case out.outcome == outcomeOpen && atBase:
		return []interface{}{s, written}
	case out.outcome == outcomeOpen || out.outcome == outcomeFailed:
		return unchanged
	}
	return nil
}

// history records operations. Its clock is a counter, because virtual time
// gives concurrent and consecutive operations equal times.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) record(client int, input registerInput, run func() registerOutput) registerOutput {
	op := porcupine.Operation{ClientId: client, Input: input, Call: h.clock.Add(1)}
	output := run()
	op.Output, op.Return = output, h.clock.Add(1)
	if output.outcome == outcomeOpen {
		op.Return = 1 << 60 // may take effect after everything else
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	return output
}

// operator changes the configuration on the version that it last saw.
type operator struct {
	id      int
	store   *contract.Store
	history *history
	random  *rand.Rand
	seen    loaded
}

func (o *operator) run(ctx context.Context, changes int) {
	for n := range changes {
		o.load(ctx)
		o.pause(500 * time.Millisecond)
		doc := sheetDocument("2026-03-02", 1)
		doc.ChangeID = fmt.Sprintf("op%d-%d", o.id, n)
		if o.accept(ctx, doc).outcome == outcomeOpen && o.random.IntN(2) == 0 {
			o.pause(time.Second)
			o.accept(ctx, doc) // settles the same change
		}
	}
}

func (o *operator) pause(most time.Duration) { time.Sleep(time.Duration(o.random.Int64N(int64(most)))) }

func (o *operator) accept(ctx context.Context, doc *contract.Document) registerOutput {
	input := registerInput{base: o.seen.version, changeID: doc.ChangeID}
	return o.history.record(o.id, input, func() registerOutput {
		ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond+time.Duration(o.random.Int64N(int64(2*time.Second))))
		defer cancel()
		_, err := o.store.Accept(ctx, input.base, doc, contract.SmallChange())
		return registerOutput{outcome: acceptOutcome(err)}
	})
}

func acceptOutcome(err error) registerOutcome {
	var conflict *contract.ConflictError
	var open *contract.UnknownOutcomeError
	switch {
	case err == nil:
		return outcomeAccepted
	case errors.As(err, &conflict):
		return outcomeRefused
	case errors.As(err, &open):
		return outcomeOpen
	}
	return outcomeFailed
}

func (o *operator) load(ctx context.Context) {
	o.history.record(o.id, registerInput{}, func() registerOutput {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		doc, err := o.store.Load(ctx)
		switch {
		case errors.Is(err, contract.ErrNoConfiguration):
			o.seen = loaded{}
		case err != nil:
			return registerOutput{outcome: outcomeFailed}
		default:
			o.seen = loaded{version: doc.Version, changeID: doc.ChangeID}
		}
		return registerOutput{outcome: outcomeLoaded, loaded: o.seen}
	})
}

// raceScenario is one set of faults under which operators race.
type raceScenario struct {
	name    string
	limited bool // through storage.Limited, shared by all operators
	inject  func(*standin.Platform)
	outages bool
}

var raceScenarios = []raceScenario{
	{name: "no faults", inject: func(*standin.Platform) {}},
	{name: "responses lost", inject: func(p *standin.Platform) { p.LoseProbability(0.4) }},
	{name: "late writes", inject: func(p *standin.Platform) { p.DelayProbability(0.3, 700*time.Millisecond) }},
	{name: "outages", outages: true, inject: func(p *standin.Platform) { p.FailProbability(0.2) }},
	{name: "all, shared limit", limited: true, outages: true, inject: func(p *standin.Platform) {
		p.LoseProbability(0.2)
		p.FailProbability(0.1)
		p.ThrottleProbability(0.1)
		p.DelayProbability(0.1, 700*time.Millisecond)
	}},
}

var raceSeeds = flag.Int("race.seeds", 30, "seeds per scenario of TestRacingOperatorsAreLinearizable")

// Guards against two operators who both win a version, a change that is
// reported as refused and takes effect, one that takes effect twice, and a
// configuration that reverts, while responses are lost and the platform fails.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	seeds := *raceSeeds
	for _, scenario := range raceScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var accepted, open int
			for seed := range uint64(seeds) {
				var h history
				synctest.Test(t, func(t *testing.T) { race(t, scenario, seed, &h) })
				model := registerModel.ToModel()
				if result := porcupine.CheckOperationsTimeout(model, h.ops, time.Minute); result != porcupine.Ok {
					t.Fatalf("seed %d: %s; %d operations:\n%s", seed, result, len(h.ops), describe(h.ops))
				}
				accepted += count(h.ops, outcomeAccepted)
				open += count(h.ops, outcomeOpen)
			}
			if accepted < seeds {
				t.Fatalf("only %d changes accepted with %d seeds; the scenario tests nothing", accepted, seeds)
			}
			t.Logf("%d seeds: %d changes accepted, %d outcomes open", seeds, accepted, open)
		})
	}
}

func race(t *testing.T, scenario raceScenario, seed uint64, h *history) {
	s := standin.New(standin.Config{Seed: seed})
	s.SetLatency(20 * time.Millisecond)
	scenario.inject(s)
	var p storage.Platform = s
	if scenario.limited {
		p = storage.NewLimited(s, storage.LimitConfig{Attempts: 3})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var operators, background sync.WaitGroup
	background.Go(func() { pollWithoutReverting(ctx, t, contract.NewStore(p), seed) })
	if scenario.outages {
		background.Go(func() { injectOutages(ctx, s, seed) })
	}
	for id := range 4 {
		o := &operator{id: id, store: contract.NewStore(p), history: h, random: rand.New(rand.NewPCG(seed, uint64(id)))}
		operators.Go(func() { o.run(ctx, 4) })
	}
	operators.Wait()
	cancel()
	background.Wait()
	s.WaitLate()
}

// pollWithoutReverting fails the test when a process loads an older version
// than before. It reads the store without a holder, which would hide that.
func pollWithoutReverting(ctx context.Context, t *testing.T, store *contract.Store, seed uint64) {
	var last uint64
	for ctx.Err() == nil {
		if doc, err := store.Load(ctx); err == nil {
			if doc.Version < last {
				t.Errorf("seed %d: version %d loaded after version %d", seed, doc.Version, last)
			}
			last = doc.Version
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func injectOutages(ctx context.Context, s *standin.Platform, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 99))
	for down := false; ctx.Err() == nil; down = !down {
		s.SetOutage(down)
		time.Sleep(time.Duration(random.Int64N(int64(800 * time.Millisecond))))
	}
}

func count(ops []porcupine.Operation, outcome registerOutcome) int {
	n := 0
	for _, op := range ops {
		if op.Output.(registerOutput).outcome == outcome {
			n++
		}
	}
	return n
}

func describe(ops []porcupine.Operation) string {
	var text string
	for _, op := range ops {
		text += fmt.Sprintf("client %d, %d to %d: %+v -> %+v\n", op.ClientId, op.Call, op.Return, op.Input, op.Output)
	}
	return text
}
