package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/link"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// fault is what goes wrong with one scripted attempt.
type fault int

const (
	healthy fault = iota
	noLink
	noLinkLate // reported by Recv
	refused
	diesBeforeAcceptance
	silentBeforeAcceptance
	diesMidStream
	silentMidStream
	crashes
	refusedMidStream // a refusal after output is not to be trusted
	truncated
	crossed      // an event of another attempt between its own; the answer is whole
	duplicateEnd // the answer is whole
	failedNotRun
	engineRejects   // 400 of the engine
	engineOverloads // 503 of the engine
	faults
)

// answerTokens is the number of tokens of the whole answer of the fake engine.
const answerTokens = 12

func token(i int) string { return fmt.Sprintf("tok%d \"é\n", i) }

func wholeText() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(token(i))
	}
	return b.String()
}

// scripted is one attempt's script: its fault after a number of events.
type scripted struct {
	fault fault
	after int // tokens delivered by this attempt before the fault
}

// fakeRunner runs scripted attempts on upstreams that are always ready. After
// the script's end attempts are healthy.
type fakeRunner struct {
	mu        sync.Mutex
	script    []scripted
	started   []*rpc.RunRequest
	agents    []string
	handOvers int // attempts that may have reached the upstream
	upstreams []link.Upstream
	plainBody string
	quiet     time.Duration // age of the last message on each link
	probeErr  error
	probes    int
	lost      string // agent that is silent and was last heard of at lostAt
	lostAt    time.Time
	release   chan struct{} // when set, engine attempts wait for it after the first token
}

func newRunner(upstreams int, script ...scripted) *fakeRunner {
	r := &fakeRunner{script: script, plainBody: "answer"}
	for i := range upstreams {
		r.upstreams = append(r.upstreams, link.Upstream{
			AgentID: fmt.Sprintf("agent-%d", i), DataCentre: "mvd-a", Incarnation: uint64(100 + i), Connected: true,
			Load: &rpc.LoadReport{State: rpc.UpstreamState_UPSTREAM_STATE_READY, Slots: 8, AgentTimeMs: 5000},
		})
	}
	return r
}

func (r *fakeRunner) Upstreams(string) []link.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append([]link.Upstream(nil), r.upstreams...)
	for i := range list {
		list[i].LastHeard = time.Now().Add(-r.quiet)
		if list[i].AgentID == r.lost {
			list[i].LastHeard = r.lostAt
		}
		list[i].LoadAt = list[i].LastHeard
	}
	return list
}

func (r *fakeRunner) Probe(context.Context, string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes++
	return r.probeErr
}

func (r *fakeRunner) Run(ctx context.Context, agent string, req *rpc.RunRequest) (link.Stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := scripted{}
	if n := len(r.started); n < len(r.script) {
		s = r.script[n]
	}
	if agent == r.lost {
		s.fault = silentBeforeAcceptance
	}
	r.started = append(r.started, req)
	r.agents = append(r.agents, agent)
	if s.fault == noLink {
		return nil, fmt.Errorf("dial: %w", link.ErrNoLink)
	}
	if s.fault != refused && s.fault != failedNotRun && s.fault != noLinkLate {
		r.handOvers++
	}
	st := &fakeStream{ctx: ctx, id: req.AttemptId, release: r.release}
	if req.Path == "/v1/chat/completions" || req.Path == "/v1/completions" {
		st.steps = engineSteps(req, s)
	} else {
		st.steps = plainSteps(s, r.plainBody)
	}
	return st, nil
}

func (r *fakeRunner) attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.started)
}

// step is an event, an error, or silence until the attempt is cancelled.
type step struct {
	event *rpc.RunEvent
	err   error
}

var errReset = errors.New("connection reset")

// Events without an attempt id get that of their attempt.
var (
	accepted = &rpc.RunEvent{Event: &rpc.RunEvent_Accepted{Accepted: &rpc.Accepted{}}}
	ended    = &rpc.RunEvent{Event: &rpc.RunEvent_End{End: &rpc.End{FinishReason: "stop", PromptTokens: 3, OutputTokens: answerTokens}}}
	stray    = &rpc.RunEvent{AttemptId: "other", Event: &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: "stray", Tokens: 1}}}
	strayEnd = &rpc.RunEvent{AttemptId: "other", Event: ended.Event}
	noSlot   = &rpc.RunEvent{Event: &rpc.RunEvent_Refused{Refused: &rpc.Refused{Reason: "no_slot", RetryAfterMs: 700}}}
	notRun   = &rpc.RunEvent{Event: &rpc.RunEvent_Failed{Failed: &rpc.Failed{Reason: "not_sent", Executed: rpc.Executed_EXECUTED_NO}}}
	crash    = &rpc.RunEvent{Event: &rpc.RunEvent_Failed{Failed: &rpc.Failed{Reason: "crashed", UpstreamCrashed: true}}}
)

func deltaOf(text string) *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: text, Tokens: 1}}}
}

func dataOf(text string) *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Data{Data: []byte(text)}}
}

func headOf(status uint32, headers ...*rpc.Header) *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Head{Head: &rpc.Head{Status: status, Headers: headers}}}
}

func steps(events ...*rpc.RunEvent) []step {
	var list []step
	for _, e := range events {
		list = append(list, step{event: e})
	}
	return list
}

func engineSteps(req *rpc.RunRequest, s scripted) []step {
	if before, ok := beforeAcceptance(s.fault); ok {
		return before
	}
	switch s.fault {
	case engineRejects:
		return steps(accepted, headOf(http.StatusBadRequest), dataOf(`{"error":{"message":"too long"}}`), notRun)
	case engineOverloads:
		return steps(accepted, headOf(http.StatusServiceUnavailable), dataOf("busy"), notRun)
	}
	if req.DeliveredTokens >= answerTokens { // as an engine that has nothing left to generate
		return steps(accepted, headOf(http.StatusBadRequest), dataOf(`{"error":{"message":"nothing to resume"}}`), notRun)
	}
	list := steps(accepted)
	for i := int(req.DeliveredTokens); i < answerTokens; i++ {
		if i-int(req.DeliveredTokens) == s.after {
			if rest, ok := midStream(s.fault); ok {
				return append(list, rest...)
			}
			if s.fault == crossed {
				list = append(list, steps(stray, strayEnd)...)
			}
		}
		list = append(list, steps(deltaOf(token(i)))...)
	}
	if rest, ok := midStream(s.fault); ok && s.after == answerTokens-int(req.DeliveredTokens) {
		return append(list, rest...)
	}
	if s.fault == duplicateEnd {
		list = append(list, steps(ended, ended, deltaOf("late"))...)
	}
	return append(list, step{event: ended}, step{err: io.EOF})
}

func beforeAcceptance(f fault) ([]step, bool) {
	switch f {
	case noLinkLate:
		return []step{{err: fmt.Errorf("dial: %w", link.ErrNoLink)}}, true
	case refused:
		return steps(noSlot), true
	case diesBeforeAcceptance:
		return []step{{err: errReset}}, true
	case silentBeforeAcceptance:
		return []step{{}}, true
	case failedNotRun:
		return steps(notRun), true
	}
	return nil, false
}

func midStream(f fault) ([]step, bool) {
	switch f {
	case diesMidStream:
		return []step{{err: errReset}}, true
	case silentMidStream:
		return []step{{}}, true
	case crashes:
		return steps(crash), true
	case refusedMidStream:
		return steps(noSlot), true
	case truncated:
		return []step{{err: io.EOF}}, true
	}
	return nil, false
}

func plainSteps(s scripted, body string) []step {
	if before, ok := beforeAcceptance(s.fault); ok {
		return before
	}
	list := steps(accepted, headOf(201, &rpc.Header{Name: "Content-Type", Value: "text/plain"},
		&rpc.Header{Name: "X-Order", Value: "7"}, &rpc.Header{Name: "X-Request-Executed", Value: "no"},
		&rpc.Header{Name: "Connection", Value: "X-Hop"}, &rpc.Header{Name: "X-Hop", Value: "1"}), dataOf(body))
	if s.fault == crossed {
		list = append(list, steps(stray)...)
	}
	if rest, ok := midStream(s.fault); ok {
		return append(list, rest...)
	}
	return append(list, step{event: ended})
}

type fakeStream struct {
	ctx     context.Context
	id      string
	steps   []step
	release chan struct{}
	sent    int
}

func (s *fakeStream) Recv() (*rpc.RunEvent, error) {
	if s.ctx.Err() != nil {
		return nil, s.ctx.Err()
	}
	if s.release != nil && s.sent == 2 { // accepted and the first token are out
		select {
		case <-s.release:
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		}
	}
	if len(s.steps) == 0 {
		return nil, io.EOF
	}
	next := s.steps[0]
	if next.event == nil && next.err == nil {
		<-s.ctx.Done()
		return nil, s.ctx.Err()
	}
	s.steps = s.steps[1:]
	s.sent++
	if next.event != nil && next.event.AttemptId == "" {
		next.event = &rpc.RunEvent{AttemptId: s.id, Event: next.event.Event}
	}
	return next.event, next.err
}

func (s *fakeStream) Close() error { return nil }

const testKey = "key-1"

func testDocument() *contract.Document {
	return &contract.Document{
		Version: 3, SheetDate: "2026-03-02",
		Services: []contract.Service{
			{Name: "assistant", Kind: contract.KindEngine, Model: "taller-1"},
			{Name: "orders", Kind: contract.KindPlain, NonRepeatable: []contract.Route{{Method: "POST", Path: "/invoice"}}},
		},
		Callers: []contract.Caller{
			{ID: "c1", KeySHA256: contract.HashKey(testKey), Classes: []contract.Class{contract.ClassOnline, contract.ClassBatch}},
			{ID: "c2", KeySHA256: contract.HashKey("key-2"), RatePerSecond: 1, Burst: 1, Classes: []contract.Class{contract.ClassOnline}},
			{ID: "c3", KeySHA256: contract.HashKey("key-3"), Classes: []contract.Class{contract.ClassBatch}},
		},
	}
}

func newTestEntry(r link.Runner, change ...func(*Config)) *Entry {
	var holder contract.Holder
	holder.Offer(testDocument())
	c := Config{ID: "e1", DataCentre: "mvd-a", Runner: r, Holder: &holder, Logger: zerolog.Nop()}
	for _, f := range change {
		f(&c)
	}
	return New(c)
}

func call(e *Entry, method, path, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		e.Handler().ServeHTTP(w, req)
	}()
	return w
}

const (
	chatBody       = `{"model":"taller-1","messages":[{"role":"user","content":"hi"}]}`
	chatStreamBody = `{"model":"taller-1","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hi"}]}`
)
