package engine

import (
	"errors"
	"time"
)

// Parameters of the simulated engine. They describe a given engine and must not be
// tuned to improve a result.
const (
	Slots               = 64                     // sequences that run concurrently
	BaseStepTime        = 12 * time.Millisecond  // duration of a step without sequences
	StepTimePerSequence = 600 * time.Microsecond // added for each sequence in the step
	PromptTokenTime     = 100 * time.Microsecond // 10,000 prompt tokens/s
	PrefillChunkTokens  = 512                    // maximum prompt tokens processed per step
	CacheTokens         = 200_000                // capacity of the prefix cache
	LoadLag             = 500 * time.Millisecond // age of a load report
	MaxCacheEventDelay  = 2 * time.Second        // upper bound of the publication delay of a cache event
	CacheEventsPerLoss  = 100                    // on average one cache event in this many is never published
	maxKeptCacheEvents  = 4096                   // published events retained for incremental reads
	transferBase        = 20 * time.Millisecond  // fixed duration of a KV cache export or import
	transferPerToken    = 10 * time.Microsecond  // added for each token of a KV cache export or import
)

// ErrDuplicate is returned when a sequence with the same ID is waiting or running.
var ErrDuplicate = errors.New("sequence id is in use")

// Sequence is one attempt at a completion.
type Sequence struct {
	ID           string // unique among waiting and running sequences
	PromptTokens int    // tokens to process before the first output, including resumed output
	OutputTokens int    // tokens to generate in this attempt; at least 1
	Prefix       uint64 // hash of the cacheable prompt prefix; 0 for none
	PrefixTokens int    // length of the cacheable prefix
	Context      uint64 // hash of the whole prompt, to find an imported KV cache; 0 for none
}

// Output is one generated token.
type Output struct {
	ID    string
	Index int  // index of the token in this attempt, from 0
	Last  bool // the sequence has ended and its slot is free
}

// Load is the load of a Model at one point in time.
type Load struct {
	Slots              int `json:"slots"`
	Active             int `json:"active"`  // sequences in a slot
	Waiting            int `json:"waiting"` // sequences queued for a slot
	PromptTokensQueued int `json:"prompt_tokens_queued"`
}

// Progress is the processing state of one sequence.
type Progress struct {
	Running      bool // has a slot
	PromptTokens int  // processed or found in the cache
	Generated    int  // output tokens
}

// KVCache is the exported key-value cache of one sequence.
type KVCache struct {
	Context uint64 `json:"context"` // Sequence.Context of the exported sequence
	Tokens  int    `json:"tokens"`  // prompt and output tokens that it covers
}

type sequenceState struct {
	Sequence
	promptLeft int // prompt tokens still to process
	chunk      int // prompt tokens in the current step
	generated  int
	inStep     bool // included in the current step
}

// Model simulates one engine in virtual time. Times are durations since the
// start of the model and must not decrease from call to call. Before a call
// with a time at, the caller must call Step while Next is at or before at. A Model
// is not safe for concurrent use. It starts no goroutines and reads no clock, so
// identical calls give identical results.
//
// Waiting sequences get a slot in FIFO order at the start of a step. A step
// processes at most PrefillChunkTokens prompt tokens, in order of admission, and
// generates one token for each sequence whose prompt is processed. The step that
// completes a prompt also generates the first token.
type Model struct {
	now      time.Duration // time of the last call
	stepEnd  time.Duration // end of the step in progress
	stepping bool
	waiting  []*sequenceState
	active   []*sequenceState // in order of admission
	byID     map[string]*sequenceState
	cache    *prefixCache
	history  []loadSample
	outputs  []Output
}

type loadSample struct {
	at   time.Duration
	load Load
}

// ModelConfig holds the settings that differ between engines.
type ModelConfig struct {
	Seed          uint64 // seed for the delays and losses of cache events
	FirstSequence uint64 // sequence number preceding the first cache event
}

// NewModel returns an idle engine with an empty cache at time 0.
func NewModel(cfg ModelConfig) *Model {
	m := &Model{
		byID:  make(map[string]*sequenceState),
		cache: newPrefixCache(cfg.Seed, cfg.FirstSequence),
	}
	m.recordLoad()
	return m
}

// Submit queues a sequence at the given time. An idle engine starts a step immediately.
func (m *Model) Submit(at time.Duration, s Sequence) error {
	if _, ok := m.byID[s.ID]; ok {
		return ErrDuplicate
	}
	m.advance(at)
	s.OutputTokens = max(s.OutputTokens, 1)
	s.PromptTokens = max(s.PromptTokens, 1)
	r := &sequenceState{Sequence: s, promptLeft: s.PromptTokens}
	m.byID[s.ID] = r
	m.waiting = append(m.waiting, r)
	if !m.stepping {
		m.startStep()
	}
	m.recordLoad()
	return nil
}

// Cancel removes a sequence and reports whether it was waiting or running. Its
// slot becomes free with the next step; the step in progress keeps its duration.
func (m *Model) Cancel(at time.Duration, id string) bool {
	r, ok := m.byID[id]
	if !ok {
		return false
	}
	m.advance(at)
	delete(m.byID, id)
	m.waiting = removeSequence(m.waiting, r)
	m.active = removeSequence(m.active, r)
	m.recordLoad()
	return true
}

// Next returns the end of the step in progress, or false when the engine is idle.
func (m *Model) Next() (time.Duration, bool) {
	return m.stepEnd, m.stepping
}

// Step completes the step in progress at the time returned by Next, starts the
// next one if there is work, and returns the generated tokens in order of
// admission. The slice is valid until the next call. It is a no-op without a step
// in progress.
func (m *Model) Step() []Output {
	m.outputs = m.outputs[:0]
	if !m.stepping {
		return nil
	}
	m.advance(m.stepEnd)
	m.stepping = false
	kept := m.active[:0]
	for _, r := range m.active {
		if !m.finishStep(r) {
			kept = append(kept, r)
		}
	}
	clear(m.active[len(kept):])
	m.active = kept
	m.startStep()
	m.recordLoad()
	return m.outputs
}

// finishStep applies the step to one sequence and reports whether the sequence
// has finished.
func (m *Model) finishStep(r *sequenceState) bool {
	if !r.inStep {
		return false
	}
	r.inStep = false
	r.promptLeft -= r.chunk
	r.chunk = 0
	if r.promptLeft > 0 {
		return false
	}
	if r.generated == 0 && r.Prefix != 0 {
		m.cache.put(m.now, r.Prefix, min(r.PrefixTokens, r.PromptTokens))
	}
	last := r.generated+1 >= r.OutputTokens
	m.outputs = append(m.outputs, Output{ID: r.ID, Index: r.generated, Last: last})
	r.generated++
	if last {
		delete(m.byID, r.ID)
	}
	return last
}

// startStep admits waiting sequences and begins a step if any sequence is active.
func (m *Model) startStep() {
	for len(m.active) < Slots && len(m.waiting) > 0 {
		r := m.waiting[0]
		m.waiting[0] = nil
		m.waiting = m.waiting[1:]
		m.admit(r)
	}
	if len(m.active) == 0 {
		return
	}
	duration := BaseStepTime
	budget := PrefillChunkTokens
	for _, r := range m.active {
		if r.promptLeft > 0 {
			r.chunk = min(r.promptLeft, budget)
			budget -= r.chunk
			duration += time.Duration(r.chunk) * PromptTokenTime
		}
		r.inStep = r.promptLeft == 0 || r.chunk > 0
		if r.inStep {
			duration += StepTimePerSequence
		}
	}
	m.stepping = true
	m.stepEnd = m.now + duration
}

// admit gives a sequence a slot and skips the cached part of its prompt. At least
// one prompt token is processed, because that generates the first output token.
func (m *Model) admit(r *sequenceState) {
	skip := 0
	if r.Prefix != 0 {
		skip = min(m.cache.lookup(r.Prefix), r.PrefixTokens)
	}
	if r.Context != 0 {
		skip = max(skip, m.cache.lookup(contextKey(r.Context)))
	}
	r.promptLeft = max(r.PromptTokens-skip, 1)
	m.active = append(m.active, r)
}

// Load returns the load that the engine reports at the given time, which is its
// load LoadLag earlier.
func (m *Model) Load(at time.Duration) Load {
	m.advance(at)
	report := Load{Slots: Slots}
	for _, s := range m.history {
		if s.at > at-LoadLag {
			break
		}
		report = s.load
	}
	return report
}

// Current returns the load without lag.
func (m *Model) Current() Load {
	load := Load{Slots: Slots, Active: len(m.active), Waiting: len(m.waiting)}
	for _, r := range m.active {
		load.PromptTokensQueued += r.promptLeft
	}
	for _, r := range m.waiting {
		load.PromptTokensQueued += r.promptLeft
	}
	return load
}

// Progress returns the processing state of a sequence, or false if it is unknown.
func (m *Model) Progress(id string) (Progress, bool) {
	r, ok := m.byID[id]
	if !ok {
		return Progress{}, false
	}
	for _, a := range m.active {
		if a == r {
			return Progress{Running: true, PromptTokens: r.PromptTokens - r.promptLeft, Generated: r.generated}, true
		}
	}
	return Progress{}, true
}

// CacheEvents returns the published events after a sequence number, and the
// number to pass in the next call. If after is 0, a later event is no longer
// retained, or the number does not belong to this boot, the list is the full
// content of the cache and complete is true.
func (m *Model) CacheEvents(at time.Duration, after uint64) (events []CacheEvent, next uint64, complete bool) {
	m.advance(at)
	return m.cache.eventsAfter(at, after)
}

// Export returns the KV cache of a sequence whose prompt is processed. The caller
// must wait for the TransferTime of its tokens.
func (m *Model) Export(id string) (KVCache, bool) {
	r, ok := m.byID[id]
	if !ok || r.generated == 0 || r.Context == 0 {
		return KVCache{}, false
	}
	return KVCache{Context: r.Context, Tokens: r.PromptTokens + r.generated}, true
}

// Import adds an exported KV cache to the cache, for the next sequence with the
// same context. The caller must wait for the TransferTime of its tokens before the
// call.
func (m *Model) Import(at time.Duration, kv KVCache) {
	m.advance(at)
	m.cache.put(m.now, contextKey(kv.Context), kv.Tokens)
}

// TransferTime returns the duration of a KV cache export or import.
func TransferTime(tokens int) time.Duration {
	return transferBase + time.Duration(tokens)*transferPerToken
}

func (m *Model) advance(at time.Duration) {
	m.now = max(m.now, at)
}

// recordLoad records the load after a change, and discards samples that no later
// report needs.
func (m *Model) recordLoad() {
	load := m.Current()
	if n := len(m.history); n > 0 && m.history[n-1].at == m.now {
		m.history[n-1].load = load
		return
	}
	drop := 0
	for drop+1 < len(m.history) && m.history[drop+1].at <= m.now-LoadLag {
		drop++
	}
	if drop > 0 {
		m.history = append(m.history[:0], m.history[drop:]...)
	}
	m.history = append(m.history, loadSample{at: m.now, load: load})
}

func removeSequence(list []*sequenceState, r *sequenceState) []*sequenceState {
	for i, have := range list {
		if have == r {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
