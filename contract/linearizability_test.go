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
// a space. It is a string, so that states are comparable.
type registerState string

func (s registerState) version() uint64 { return uint64(strings.Count(string(s), " ")) }

// isVersion reports whether the change is the one accepted as version base+1.
func (s registerState) isVersion(in registerInput) bool {
	ids := strings.Fields(string(s))
	return in.base < uint64(len(ids)) && ids[in.base] == in.changeID
}

func (s registerState) last() loadResult {
	if s == "" {
		return loadResult{}
	}
	ids := strings.Fields(string(s))
	return loadResult{version: s.version(), changeID: ids[len(ids)-1]}
}

// loadResult is the version and change id returned by Load; zero for no
// configuration.
type loadResult struct {
	version  uint64
	changeID string
}

// registerInput is an Accept call, or a Load call if changeID is empty.
type registerInput struct {
	base     uint64
	changeID string
}

type registerOutcome int

const (
	outcomeLoaded registerOutcome = iota
	outcomeAccepted
	outcomeRefused // conflict: the change has not taken effect and never will
	outcomeUnknown // the change may take effect at any later time
	outcomeFailed  // no effect
)

type registerOutput struct {
	outcome registerOutcome
	loaded  loadResult
}

// registerModel is a versioned register whose Accept is a conditional write. A
// repeated Accept of an accepted change succeeds without effect.
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
	case out.outcome == outcomeAccepted && s.isVersion(in):
		return unchanged
	case out.outcome == outcomeRefused && !atBase && !s.isVersion(in):
		return unchanged
	case out.outcome == outcomeUnknown && atBase:
		return []interface{}{s, written}
	case out.outcome == outcomeUnknown || out.outcome == outcomeFailed:
		return unchanged
	}
	return nil
}

// history records operations. Its clock is a counter, because consecutive
// operations can have the same virtual time as concurrent ones.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) record(client int, input registerInput, run func() registerOutput) registerOutput {
	op := porcupine.Operation{ClientId: client, Input: input, Call: h.clock.Add(1)}
	output := run()
	op.Output, op.Return = output, h.clock.Add(1)
	if output.outcome == outcomeUnknown {
		op.Return = 1 << 60 // may take effect after all other operations
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	return output
}

// operator repeatedly changes the configuration, based on the version that it
// last loaded.
type operator struct {
	id      int
	store   *contract.Store
	history *history
	random  *rand.Rand
	seen    loadResult
}

func (o *operator) run(ctx context.Context, changes int) {
	for n := range changes {
		o.load(ctx)
		o.pause(500 * time.Millisecond)
		doc := sheetDocument("2026-03-02", 1)
		doc.ChangeID = fmt.Sprintf("op%d-%d", o.id, n)
		if o.accept(ctx, doc).outcome == outcomeUnknown && o.random.IntN(2) == 0 {
			o.pause(time.Second)
			o.accept(ctx, doc) // retry of the same change
		}
	}
}

func (o *operator) pause(upTo time.Duration) { time.Sleep(time.Duration(o.random.Int64N(int64(upTo)))) }

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
	var unknown *contract.UnknownOutcomeError
	switch {
	case err == nil:
		return outcomeAccepted
	case errors.As(err, &conflict):
		return outcomeRefused
	case errors.As(err, &unknown):
		return outcomeUnknown
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
			o.seen = loadResult{}
		case err != nil:
			return registerOutput{outcome: outcomeFailed}
		default:
			o.seen = loadResult{version: doc.Version, changeID: doc.ChangeID}
		}
		return registerOutput{outcome: outcomeLoaded, loaded: o.seen}
	})
}

// faultScenario is a set of faults injected while operators race.
type faultScenario struct {
	name    string
	limited bool // access through a storage.Limited shared by all operators
	inject  func(*standin.Platform)
	outages bool // whether injectOutages runs during the race
}

var raceScenarios = []faultScenario{
	{name: "no faults", inject: func(*standin.Platform) {}},
	{name: "responses lost", inject: func(p *standin.Platform) { p.SetResponseLossProbability(0.4) }},
	{name: "late writes", inject: func(p *standin.Platform) { p.SetWriteDelayProbability(0.3, 700*time.Millisecond) }},
	{name: "outages", outages: true, inject: func(p *standin.Platform) { p.SetFailureProbability(0.2) }},
	{name: "all, shared limit", limited: true, outages: true, inject: func(p *standin.Platform) {
		p.SetResponseLossProbability(0.2)
		p.SetFailureProbability(0.1)
		p.SetThrottleProbability(0.1)
		p.SetWriteDelayProbability(0.1, 700*time.Millisecond)
	}},
}

var raceSeeds = flag.Int("race.seeds", 30, "seeds per scenario of TestRacingOperatorsAreLinearizable")

// Guards against non-linearizable changes under concurrent operators, lost
// responses and platform failures: two operators creating the same version, a
// change that takes effect although it was reported as refused or takes effect
// twice, and a configuration that reverts to an older version.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	seeds := *raceSeeds
	for _, scenario := range raceScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var accepted, unknown int
			for seed := range uint64(seeds) {
				var h history
				synctest.Test(t, func(t *testing.T) { runRace(t, scenario, seed, &h) })
				model := registerModel.ToModel()
				if result := porcupine.CheckOperationsTimeout(model, h.ops, time.Minute); result != porcupine.Ok {
					t.Fatalf("seed %d: %s; %d operations:\n%s", seed, result, len(h.ops), describe(h.ops))
				}
				accepted += count(h.ops, outcomeAccepted)
				unknown += count(h.ops, outcomeUnknown)
			}
			if accepted < seeds {
				t.Fatalf("only %d changes accepted with %d seeds; the scenario has too few for a valid check", accepted, seeds)
			}
			t.Logf("%d seeds: %d changes accepted, %d outcomes unknown", seeds, accepted, unknown)
		})
	}
}

func runRace(t *testing.T, scenario faultScenario, seed uint64, h *history) {
	s := standin.New(standin.Config{Seed: seed})
	s.SetLatency(20 * time.Millisecond)
	scenario.inject(s)
	var p storage.Platform = s
	if scenario.limited {
		p = storage.NewLimited(s, storage.LimitConfig{Attempts: 3})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var operators, background sync.WaitGroup
	background.Go(func() { checkVersionNeverDecreases(ctx, t, contract.NewStore(p), seed) })
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
	s.WaitDelayedWrites()
}

// checkVersionNeverDecreases polls the store and fails the test if it loads an
// older version than before. It uses no Holder, because a Holder ignores older
// versions.
func checkVersionNeverDecreases(ctx context.Context, t *testing.T, store *contract.Store, seed uint64) {
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

// injectOutages makes the platform available and unavailable in turn, for random times
// of less than 0.8 s, until ctx is done.
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
