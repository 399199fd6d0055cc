package engine

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// driveResult is the observed behaviour of a model in one run.
type driveResult struct {
	outputs    []string // ID, index and time
	violations []string // violated invariants
	events     []CacheEvent
}

// drive runs a model with random submissions and cancellations and checks the
// invariants after each step.
func drive(seed uint64, sequences int) driveResult {
	random := rand.New(rand.NewPCG(seed, 1))
	m := NewModel(ModelConfig{Seed: seed, FirstSequence: 100})
	var result driveResult
	next := make(map[string]int) // expected index of the next token
	want := make(map[string]int) // output tokens
	cancelled := make(map[string]bool)
	at := time.Duration(0)
	after := m.cache.first
	step := func() {
		end, _ := m.Next()
		for _, out := range m.Step() {
			result.outputs = append(result.outputs, fmt.Sprint(out.ID, out.Index, end))
			if out.Index != next[out.ID] || cancelled[out.ID] || out.Last != (out.Index+1 == want[out.ID]) {
				result.violations = append(result.violations, fmt.Sprintf("%+v after index %d", out, next[out.ID]))
			}
			next[out.ID]++
		}
		if load := m.Current(); load.Active > Slots || load.Active < Slots && load.Waiting > 0 {
			result.violations = append(result.violations, fmt.Sprintf("load %+v", load))
		}
		if m.cache.tokens > CacheTokens {
			result.violations = append(result.violations, fmt.Sprintf("%d cached tokens", m.cache.tokens))
		}
		var events []CacheEvent
		events, after, _ = m.CacheEvents(end, after)
		result.events = append(result.events, events...)
	}
	for i := range sequences {
		at += time.Duration(random.Int64N(int64(40 * time.Millisecond)))
		for end, ok := m.Next(); ok && end <= at; end, ok = m.Next() {
			step()
		}
		id := fmt.Sprintf("s%d", i)
		want[id] = 1 + random.IntN(40)
		prefix := uint64(1 + random.IntN(30))
		_ = m.Submit(at, Sequence{ID: id, PromptTokens: 1 + random.IntN(20_000), OutputTokens: want[id], Prefix: prefix, PrefixTokens: 9000}) // IDs differ
		if gone := fmt.Sprintf("s%d", random.IntN(i+1)); random.IntN(5) == 0 && m.Cancel(at, gone) {
			cancelled[gone] = true
		}
	}
	for _, ok := m.Next(); ok; _, ok = m.Next() {
		step()
	}
	for id, n := range want {
		if !cancelled[id] && next[id] != n {
			result.violations = append(result.violations, fmt.Sprintf("%s got %d of %d tokens", id, next[id], n))
		}
	}
	return result
}

// Guards against lost or duplicate tokens, tokens after a cancellation, free
// slots while sequences wait, a cache above its capacity, and non-deterministic
// results.
func TestModelInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold and runs are deterministic", prop.ForAll(func(seed uint64, sequences int) string {
		first := drive(seed, sequences)
		if !reflect.DeepEqual(first, drive(seed, sequences)) {
			return "two runs differ"
		}
		if len(first.violations) > 0 {
			return first.violations[0]
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 300)))
	properties.TestingRun(t)
}

// Guards against cache events that are published too early, too late, out of
// order or without losses, and against a reader that cannot resynchronize.
func TestCacheEvents(t *testing.T) {
	const changes = 20_000
	m := NewModel(ModelConfig{Seed: 5, FirstSequence: 1 << 32})
	after := m.cache.first
	seen, last := 0, after
	for i := range changes {
		at := time.Duration(i) * time.Millisecond
		m.now = at
		m.cache.put(at, uint64(i%500)+1, 1000)
		events, next, complete := m.CacheEvents(at, after)
		if complete {
			t.Fatalf("complete list after %d", after)
		}
		for _, e := range events {
			if e.Sequence <= last {
				t.Fatalf("event %d after %d", e.Sequence, last)
			}
			last = e.Sequence
			seen++
		}
		after = next
	}
	total := int(m.cache.last - m.cache.first)
	missing := total - seen - int(MaxCacheEventDelay/time.Millisecond)*2 // less those not yet published, at most two per change
	if share := float64(total-seen) / float64(total); missing > total/50 || share < 0.005 {
		t.Errorf("%d of %d events seen", seen, total)
	}
	for _, lost := range []uint64{0, 5, m.cache.last + 1, m.cache.first} {
		events, next, complete := m.CacheEvents(m.now, lost)
		if !complete || next != m.cache.last || len(events) != m.cache.lru.Len() {
			t.Errorf("after %d: %d events, next %d, complete %v", lost, len(events), next, complete)
		}
	}
	events, _, _ := m.CacheEvents(m.now+MaxCacheEventDelay, last)
	if len(events) == 0 || events[len(events)-1].Sequence+10 < m.cache.last {
		t.Errorf("%d events after the lag", len(events))
	}
}

// BenchmarkModelStep measures the cost of a step with all slots in use, which
// limits how many engines a replay can simulate.
func BenchmarkModelStep(b *testing.B) {
	m := NewModel(ModelConfig{})
	for i := range Slots {
		_ = m.Submit(0, Sequence{ID: fmt.Sprint(i), PromptTokens: 1, OutputTokens: 1 << 40}) // IDs differ
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Step()
	}
}
