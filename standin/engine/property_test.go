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

// record is what a driven model did.
type record struct {
	outputs []string // id, index and time
	faults  []string // broken invariants
	events  []CacheEvent
}

// drive submits, cancels and steps at random and checks each step.
func drive(seed uint64, sequences int) record {
	random := rand.New(rand.NewPCG(seed, 1))
	m := NewModel(ModelConfig{Seed: seed, FirstSequence: 100})
	var rec record
	next := make(map[string]int) // expected index
	want := make(map[string]int) // output tokens
	cancelled := make(map[string]bool)
	at := time.Duration(0)
	after := m.cache.first
	step := func() {
		end, _ := m.Next()
		for _, out := range m.Step() {
			rec.outputs = append(rec.outputs, fmt.Sprint(out.ID, out.Index, end))
			if out.Index != next[out.ID] || cancelled[out.ID] || out.Last != (out.Index+1 == want[out.ID]) {
				rec.faults = append(rec.faults, fmt.Sprintf("%+v after index %d", out, next[out.ID]))
			}
			next[out.ID]++
		}
		if load := m.Current(); load.Active > Slots || load.Active < Slots && load.Waiting > 0 {
			rec.faults = append(rec.faults, fmt.Sprintf("load %+v", load))
		}
		if m.cache.tokens > CacheTokens {
			rec.faults = append(rec.faults, fmt.Sprintf("%d cached tokens", m.cache.tokens))
		}
		var events []CacheEvent
		events, after, _ = m.CacheEvents(end, after)
		rec.events = append(rec.events, events...)
	}
	for i := range sequences {
		at += time.Duration(random.Int64N(int64(40 * time.Millisecond)))
		for end, ok := m.Next(); ok && end <= at; end, ok = m.Next() {
			step()
		}
		id := fmt.Sprintf("s%d", i)
		want[id] = 1 + random.IntN(40)
		prefix := uint64(1 + random.IntN(30))
		_ = m.Submit(at, Sequence{ID: id, PromptTokens: 1 + random.IntN(20_000), OutputTokens: want[id], Prefix: prefix, PrefixTokens: 9000}) // ids differ
		if gone := fmt.Sprintf("s%d", random.IntN(i+1)); random.IntN(5) == 0 && m.Cancel(at, gone) {
			cancelled[gone] = true
		}
	}
	for _, ok := m.Next(); ok; _, ok = m.Next() {
		step()
	}
	for id, n := range want {
		if !cancelled[id] && next[id] != n {
			rec.faults = append(rec.faults, fmt.Sprintf("%s got %d of %d tokens", id, next[id], n))
		}
	}
	return rec
}

// Guards against lost, repeated or late tokens, a free slot beside waiting work,
// a cache beyond its capacity, and results that depend on more than the calls.
func TestModelInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("invariants hold and runs are equal", prop.ForAll(func(seed uint64, sequences int) string {
		first := drive(seed, sequences)
		if !reflect.DeepEqual(first, drive(seed, sequences)) {
			return "two runs differ"
		}
		if len(first.faults) > 0 {
			return first.faults[0]
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 300)))
	properties.TestingRun(t)
}

// Guards against cache events that are early, too late, out of order or
// complete, and against a reader that cannot recover from a lost one.
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
	missing := total - seen - int(MaxCacheEventDelay/time.Millisecond)*2 // those not published yet, at most two a change
	if share := float64(total-seen) / float64(total); missing > total/50 || share < 0.005 {
		t.Errorf("%d of %d events seen", seen, total)
	}
	for _, lost := range []uint64{0, 5, m.cache.last + 1, m.cache.first} {
		events, next, complete := m.CacheEvents(m.now, lost)
		if !complete || next != m.cache.last || len(events) != m.cache.recent.Len() {
			t.Errorf("after %d: %d events, next %d, complete %v", lost, len(events), next, complete)
		}
	}
	events, _, _ := m.CacheEvents(m.now+MaxCacheEventDelay, last)
	if len(events) == 0 || events[len(events)-1].Sequence+10 < m.cache.last {
		t.Errorf("%d events after the lag", len(events))
	}
}

// BenchmarkModelStep gives the cost of a step with full slots, which bounds how
// many engines a replay can drive.
func BenchmarkModelStep(b *testing.B) {
	m := NewModel(ModelConfig{})
	for i := range Slots {
		_ = m.Submit(0, Sequence{ID: fmt.Sprint(i), PromptTokens: 1, OutputTokens: 1 << 40}) // ids differ
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Step()
	}
}
