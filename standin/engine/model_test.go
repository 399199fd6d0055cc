package engine

import (
	"testing"
	"time"
)

// finish steps the model until it is idle and returns the end time of each sequence.
func finish(m *Model) map[string]time.Duration {
	ends := make(map[string]time.Duration)
	for {
		at, ok := m.Next()
		if !ok {
			return ends
		}
		for _, out := range m.Step() {
			if out.Last {
				ends[out.ID] = at
			}
		}
	}
}

// Guards against a change of the step durations.
func TestStepDurations(t *testing.T) {
	m := NewModel(ModelConfig{})
	submit(t, m, 0, Sequence{ID: "a", PromptTokens: 600, OutputTokens: 3})
	// Two steps with 512 and 88 prompt tokens, the second with the first output,
	// then two steps of one token.
	want := 4*(BaseStepTime+StepTimePerSequence) + 600*PromptTokenTime
	if got := finish(m)["a"]; got != want {
		t.Errorf("ends at %s, want %s", got, want)
	}
}

// Guards against admission out of FIFO order and against a wrong number of slots.
func TestAdmissionIsFirstComeFirstServed(t *testing.T) {
	m := NewModel(ModelConfig{})
	for i := range Slots + 2 {
		submit(t, m, 0, Sequence{ID: string(rune('A' + i)), PromptTokens: 1, OutputTokens: 5})
	}
	m.Step()
	if load := m.Current(); load.Active != Slots || load.Waiting != 2 {
		t.Fatalf("load %+v", load)
	}
	if !m.Cancel(m.now, string(rune('A'+Slots))) {
		t.Fatal("waiting sequence is unknown")
	}
	finish(m)
	if load := m.Current(); load != (Load{Slots: Slots}) {
		t.Errorf("load after all: %+v", load)
	}
}

// Guards against processing the tokens of a cached prefix again, and against a
// cache that exceeds its capacity or does not evict in LRU order.
func TestPrefixCache(t *testing.T) {
	m := NewModel(ModelConfig{Seed: 1})
	run := func(id string, prefix uint64, tokens int) time.Duration {
		start := m.now
		submit(t, m, start, Sequence{ID: id, PromptTokens: tokens + 100, OutputTokens: 1, Prefix: prefix, PrefixTokens: tokens})
		return finish(m)[id] - start
	}
	cold := run("a", 1, 400)
	warm := run("b", 1, 400)
	if cold-warm != 400*PromptTokenTime {
		t.Errorf("cold %s, warm %s", cold, warm)
	}
	run("c", 2, 100_000)
	run("d", 1, 400) // prefix 1 is now more recently used than prefix 2
	run("e", 3, 99_700)
	if m.cache.lookup(2) != 0 || m.cache.lookup(1) != 400 {
		t.Error("the least recently used prefix was not the one evicted")
	}
	if m.cache.tokens > CacheTokens {
		t.Errorf("cache holds %d tokens", m.cache.tokens)
	}
}

// Guards against load reports that do not lag.
func TestLoadReportLags(t *testing.T) {
	m := NewModel(ModelConfig{})
	submit(t, m, time.Second, Sequence{ID: "a", PromptTokens: 10, OutputTokens: 1000})
	if load := m.Load(time.Second + LoadLag - 1); load.Active != 0 {
		t.Errorf("report before the lag: %+v", load)
	}
	if load := m.Load(time.Second + LoadLag); load.Active != 1 {
		t.Errorf("report after the lag: %+v", load)
	}
}

func submit(t *testing.T, m *Model, at time.Duration, s Sequence) {
	t.Helper()
	if err := m.Submit(at, s); err != nil {
		t.Fatal(err)
	}
}
