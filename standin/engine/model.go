package engine

import (
	"errors"
	"time"
)

// Figures of the simulated engine. They stand for a given engine and are not
// to be tuned to make a result look better.
const (
	Slots               = 64                     // sequences that run at once
	BaseStepTime        = 12 * time.Millisecond  // duration of a step without sequences
	StepTimePerSequence = 600 * time.Microsecond // added for each sequence in a step
	PromptTokenTime     = 100 * time.Microsecond // 10,000 prompt tokens/s
	PrefillChunkTokens  = 512                    // prompt tokens that one step processes at most
	CacheTokens         = 200_000                // capacity of the prefix cache
	LoadLag             = 500 * time.Millisecond // age of a load report
	MaxCacheEventDelay  = 2 * time.Second        // a cache event is published at most this late
	CacheEventsPerLoss  = 100                    // one cache event in this many is never published
	cacheEventsKept     = 4096                   // published events; older ones are only in the complete list
	transferBase        = 20 * time.Millisecond  // duration of a KV export or import of no tokens
	transferPerToken    = 10 * time.Microsecond  // added for each token of a KV export or import
)

// ErrDuplicate: a sequence with the same id is waiting or running.
var ErrDuplicate = errors.New("sequence id is in use")

// Sequence is one attempt at a completion.
type Sequence struct {
	ID           string // unique among waiting and running sequences
	PromptTokens int    // tokens to process before the first output, with the resumed output
	OutputTokens int    // tokens to generate in this attempt, at least 1
	Prefix       uint64 // hash of the cacheable prompt prefix; 0 for none
	PrefixTokens int    // length of that prefix
	Context      uint64 // hash of the whole prompt, to find an imported KV cache; 0 for none
}

// Output is one generated token.
type Output struct {
	ID    string
	Index int  // of the token in this attempt, from 0
	Last  bool // the sequence has ended and its slot is free
}

// Load is the state of a Model at one time.
type Load struct {
	Slots              int `json:"slots"`
	Active             int `json:"active"`  // sequences in a slot
	Waiting            int `json:"waiting"` // sequences without a slot
	PromptTokensQueued int `json:"prompt_tokens_queued"`
}

// Progress is what a Model has done for one sequence.
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

type running struct {
	Sequence
	promptLeft int // prompt tokens still to process
	piece      int // prompt tokens in the current step
	generated  int
	inStep     bool // takes part in the current step
}

// Model simulates one engine in virtual time. Times are durations since the
// start of the model and must not decrease from call to call. Before a call
// with a time at, the caller calls Step while Next is at or before at. A Model is
// not safe for concurrent use, starts no goroutines and reads no clock: equal
// calls give equal results.
//
// Sequences get a slot first come, first served at the start of a step. A step
// processes at most PromptPiece prompt tokens, in order of admission, and one
// token of each sequence whose prompt is processed. The step that completes a
// prompt yields the first token.
type Model struct {
	now      time.Duration // of the last call
	stepEnd  time.Duration // of the step in progress
	stepping bool
	waiting  []*running
	active   []*running // in order of admission
	byID     map[string]*running
	cache    *prefixCache
	history  []loadSample
	out      []Output
}

type loadSample struct {
	at   time.Duration
	load Load
}

// ModelConfig sets what differs between two engines.
type ModelConfig struct {
	Seed          uint64 // of the delays and losses of cache events
	FirstSequence uint64 // number before that of the first cache event
}

// NewModel returns an idle engine with an empty cache at time 0.
func NewModel(cfg ModelConfig) *Model {
	m := &Model{
		byID:  make(map[string]*running),
		cache: newPrefixCache(cfg.Seed, cfg.FirstSequence),
	}
	m.sample()
	return m
}

// Submit queues a sequence at a time. An idle engine starts a step at once.
func (m *Model) Submit(at time.Duration, s Sequence) error {
	if _, ok := m.byID[s.ID]; ok {
		return ErrDuplicate
	}
	m.advance(at)
	s.OutputTokens = max(s.OutputTokens, 1)
	s.PromptTokens = max(s.PromptTokens, 1)
	r := &running{Sequence: s, promptLeft: s.PromptTokens}
	m.byID[s.ID] = r
	m.waiting = append(m.waiting, r)
	if !m.stepping {
		m.startStep()
	}
	m.sample()
	return nil
}

// Cancel ends a sequence without further output and reports whether it was
// waiting or running. Its slot is free from the next step on; the step in
// progress keeps its duration.
func (m *Model) Cancel(at time.Duration, id string) bool {
	r, ok := m.byID[id]
	if !ok {
		return false
	}
	m.advance(at)
	delete(m.byID, id)
	m.waiting = remove(m.waiting, r)
	m.active = remove(m.active, r)
	m.sample()
	return true
}

// Next returns the end of the step in progress, or false when the engine is idle.
func (m *Model) Next() (time.Duration, bool) {
	return m.stepEnd, m.stepping
}

// Step ends the step in progress at the time that Next gives, starts the next
// one if there is work, and returns the generated tokens in order of admission.
// The slice is valid until the next call. Without a step in progress it does nothing.
func (m *Model) Step() []Output {
	m.out = m.out[:0]
	if !m.stepping {
		return nil
	}
	m.advance(m.stepEnd)
	m.stepping = false
	kept := m.active[:0]
	for _, r := range m.active {
		if !m.endOfStep(r) {
			kept = append(kept, r)
		}
	}
	clear(m.active[len(kept):])
	m.active = kept
	m.startStep()
	m.sample()
	return m.out
}

// endOfStep applies the step to one sequence and reports whether it has ended.
func (m *Model) endOfStep(r *running) bool {
	if !r.inStep {
		return false
	}
	r.inStep = false
	r.promptLeft -= r.piece
	r.piece = 0
	if r.promptLeft > 0 {
		return false
	}
	if r.generated == 0 && r.Prefix != 0 {
		m.cache.put(m.now, r.Prefix, min(r.PrefixTokens, r.PromptTokens))
	}
	last := r.generated+1 >= r.OutputTokens
	m.out = append(m.out, Output{ID: r.ID, Index: r.generated, Last: last})
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
	length := BaseStepTime
	budget := PrefillChunkTokens
	for _, r := range m.active {
		if r.promptLeft > 0 {
			r.piece = min(r.promptLeft, budget)
			budget -= r.piece
			length += time.Duration(r.piece) * PromptTokenTime
		}
		r.inStep = r.promptLeft == 0 || r.piece > 0
		if r.inStep {
			length += StepTimePerSequence
		}
	}
	m.stepping = true
	m.stepEnd = m.now + length
}

// admit gives a sequence a slot and skips the part of its prompt that the cache
// holds. At least one prompt token is processed, as it yields the first output.
func (m *Model) admit(r *running) {
	skip := 0
	if r.Prefix != 0 {
		skip = min(m.cache.use(r.Prefix), r.PrefixTokens)
	}
	if r.Context != 0 {
		skip = max(skip, m.cache.use(contextKey(r.Context)))
	}
	r.promptLeft = max(r.PromptTokens-skip, 1)
	m.active = append(m.active, r)
}

// Load returns the load report that the engine gives at a time, which
// describes the engine LoadLag earlier.
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

// Current returns the load without lag, for tests and measurements.
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

// Progress returns what has been done for a sequence, or false when it is unknown.
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

// CacheEvents returns the published events after a sequence number and the
// number that the caller passes next time. When after is 0, or an event after it
// is no longer kept, or it is not a number of this engine's run, the list is the
// whole content of the cache and complete is set.
func (m *Model) CacheEvents(at time.Duration, after uint64) (events []CacheEvent, next uint64, complete bool) {
	m.advance(at)
	return m.cache.eventsAfter(at, after)
}

// Export returns the KV cache of a sequence whose prompt is processed. It takes
// TransferTime of its tokens, which the caller lets pass.
func (m *Model) Export(id string) (KVCache, bool) {
	r, ok := m.byID[id]
	if !ok || r.generated == 0 || r.Context == 0 {
		return KVCache{}, false
	}
	return KVCache{Context: r.Context, Tokens: r.PromptTokens + r.generated}, true
}

// Import puts an exported KV cache into the cache, where the next sequence of
// the same context finds it. It takes TransferTime of its tokens, which the
// caller lets pass before the call.
func (m *Model) Import(at time.Duration, kv KVCache) {
	m.advance(at)
	m.cache.put(m.now, contextKey(kv.Context), kv.Tokens)
}

// TransferTime is the duration of a KV export or import.
func TransferTime(tokens int) time.Duration {
	return transferBase + time.Duration(tokens)*transferPerToken
}

func (m *Model) advance(at time.Duration) {
	m.now = max(m.now, at)
}

// sample records the load after a change, and drops what no later report needs.
func (m *Model) sample() {
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

func remove(list []*running, r *running) []*running {
	for i, have := range list {
		if have == r {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
