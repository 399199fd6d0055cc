package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a model that keeps its initial parameters on a different engine or
// does not converge because of noise and stalls.
func TestStepModelLearns(t *testing.T) {
	engines := []StepModel{
		{Base: 0.006, PerSequence: 0.0001, PrefillRate: 60000},
		{Base: 0.030, PerSequence: 0.0008, PrefillRate: 5000},
		{Base: 0.070, PerSequence: 0, PrefillRate: 3000},
	}
	for _, engine := range engines {
		r := rand.New(rand.NewPCG(7, 7))
		m := NewStepModel()
		for i := range 3000 {
			n := 1 + r.IntN(48)
			noise := 0.9 + 0.2*r.Float64()
			interval := time.Duration(float64(engine.Step(n)) * noise)
			if i%500 == 0 {
				interval = 5 * time.Second // a stall
			}
			m = m.ObserveStep(n, interval)
			prompt := 300 + r.IntN(4000)
			wait := time.Duration(r.Int64N(int64(engine.Step(n))))
			m = m.ObserveFirstToken(n, prompt, wait+time.Duration(float64(engine.FirstToken(n, prompt))*noise))
		}
		for _, n := range []int{1, 24, 48} {
			got, want := m.Step(n).Seconds(), engine.Step(n).Seconds()
			if got < want*0.85 || got > want*1.15 {
				t.Errorf("%+v: step of %d predicted as %.4f s, is %.4f s", engine, n, got, want)
			}
		}
		if m.PrefillRate < engine.PrefillRate*0.7 || m.PrefillRate > engine.PrefillRate*1.4 {
			t.Errorf("%+v: prefill rate estimated as %.0f", engine, m.PrefillRate)
		}
	}
}

// Guards against estimating a slope from measurements at one number of sequences.
func TestStepModelAtOneNumberOfSequences(t *testing.T) {
	m := NewStepModel()
	for range 5000 {
		m = m.ObserveStep(16, 40*time.Millisecond)
	}
	if got := m.Step(16); got < 38*time.Millisecond || got > 42*time.Millisecond {
		t.Errorf("step of 16 predicted as %v", got)
	}
	if m.PerSequence < 0 || m.Step(1) > 42*time.Millisecond {
		t.Errorf("model %+v", m)
	}
}

// Guards against exporting a cache that is faster to recompute, and the reverse.
func TestChooseResumption(t *testing.T) {
	m := NewStepModel()
	m.PrefillRate = 20000
	link := KVTransfer{BytesPerToken: 100_000, BytesPerSecond: 10e9, Overhead: 50 * time.Millisecond}
	cases := []struct {
		prompt, produced, cached int
		transfer                 KVTransfer
		want                     Resumption
	}{
		{500, 100, 0, link, Recompute},      // 30 ms against 62 ms
		{8000, 2000, 0, link, ExportKV},     // 500 ms against 250 ms
		{8000, 2000, 8000, link, Recompute}, // 100 ms against 250 ms
		{8000, 2000, 0, KVTransfer{}, Recompute},
	}
	for _, c := range cases {
		if got := ChooseResumption(m, c.prompt, c.produced, c.cached, c.transfer); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

// Guards against capacity that is lost, granted twice or granted to less urgent
// entries first.
func TestAllocateGrants(t *testing.T) {
	demands := []EntryDemand{
		{EntryID: "b", Items: 3, Due: time.Minute},
		{EntryID: "a", Items: 9, Due: time.Minute},
		{EntryID: "late", Items: 5, Due: time.Hour},
		{EntryID: "urgent", Items: 2, Due: time.Second},
		{EntryID: "none", Items: -1, Due: 0},
	}
	cases := []struct {
		capacity int
		want     map[string]int
	}{
		{0, map[string]int{}},
		{1, map[string]int{"urgent": 1}},
		{6, map[string]int{"urgent": 2, "a": 2, "b": 2}},
		{15, map[string]int{"urgent": 2, "a": 9, "b": 3, "late": 1}},
		{99, map[string]int{"urgent": 2, "a": 9, "b": 3, "late": 5}},
	}
	for _, c := range cases {
		got := map[string]int{}
		for _, g := range AllocateGrants(c.capacity, demands, c.capacity) {
			got[g.EntryID] += g.Items
		}
		if len(got) != len(c.want) {
			t.Errorf("capacity %d: %v, want %v", c.capacity, got, c.want)
		}
		for id, n := range c.want {
			if got[id] != n {
				t.Errorf("capacity %d: %s gets %d, want %d", c.capacity, id, got[id], n)
			}
		}
	}
}
