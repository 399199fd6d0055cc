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

// fault is the fault of one scripted attempt.
type fault int

const (
	healthy fault = iota
	noLink
	noLinkLate // returned by Recv
	refused
	lostBeforeAcceptance
	silentBeforeAcceptance
	lostMidStream
	silentMidStream
	crashes
	refusedMidStream // a refusal after output must not be trusted
	truncated
	misroutedEvent // events of another attempt between its own; the response is complete
	duplicateEnd   // the response is complete
	failedNotExecuted
	engineRejects   // 400 from the engine
	engineOverloads // 503 from the engine
	engineTimesOut  // 408 from the engine
	alreadySeen     // refused, because another copy of the attempt was received
	refusedLeaving  // by an agent that shuts down
	faultCount
	serviceBusy // 503 from a plain service
)

// responseTokens is the number of tokens in a complete response of the fake engine.
const responseTokens = 12

func token(i int) string { return fmt.Sprintf("tok%d \"é\n", i) }

func fullText() string {
	var b strings.Builder
	for i := range responseTokens {
		b.WriteString(token(i))
	}
	return b.String()
}

// attemptScript is the fault of one attempt and its position.
type attemptScript struct {
	fault fault
	after int // tokens delivered by this attempt before the fault
}

// fakeRunner runs scripted attempts on upstreams that are always ready. Attempts after
// the end of the script are healthy.
type fakeRunner struct {
	mu          sync.Mutex
	script      []attemptScript
	started     []*rpc.RunRequest
	agents      []string
	handOvers   int // attempts that may have reached the upstream
	upstreams   []link.Upstream
	plainBody   string
	messageAge  time.Duration // age of the last message and of the last report on each link
	probeErr    error
	probes      int
	silentAgent string // agent that is silent and was last heard from at silentSince
	silentSince time.Time
	release     chan struct{} // when set, engine attempts wait for it after the first token
}

func newRunner(upstreams int, script ...attemptScript) *fakeRunner {
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
		list[i].LastHeard = time.Now().Add(-r.messageAge)
		if list[i].AgentID == r.silentAgent {
			list[i].LastHeard = r.silentSince
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
	s := attemptScript{}
	if n := len(r.started); n < len(r.script) {
		s = r.script[n]
	}
	if agent == r.silentAgent {
		s.fault = silentBeforeAcceptance
	}
	r.started = append(r.started, req)
	r.agents = append(r.agents, agent)
	if s.fault == noLink {
		return nil, fmt.Errorf("dial: %w", link.ErrNoLink)
	}
	if s.fault != refused && s.fault != refusedLeaving && s.fault != failedNotExecuted && s.fault != noLinkLate {
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

// step is an event, an error, or, if both are nil, silence until the attempt is
// cancelled.
type step struct {
	event *rpc.RunEvent
	err   error
}

var errReset = errors.New("connection reset")

// Events without an attempt ID receive that of their attempt.
var (
	accepted       = &rpc.RunEvent{Event: &rpc.RunEvent_Accepted{Accepted: &rpc.Accepted{}}}
	ended          = &rpc.RunEvent{Event: &rpc.RunEvent_End{End: &rpc.End{FinishReason: "stop", PromptTokens: 3, OutputTokens: responseTokens}}}
	misroutedDelta = &rpc.RunEvent{AttemptId: "other", Event: &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: "stray", Tokens: 1}}}
	misroutedEnd   = &rpc.RunEvent{AttemptId: "other", Event: ended.Event}
	leaving        = &rpc.RunEvent{Event: &rpc.RunEvent_Refused{Refused: &rpc.Refused{Reason: "leaving"}}}
	noSlot         = &rpc.RunEvent{Event: &rpc.RunEvent_Refused{Refused: &rpc.Refused{Reason: "no_slot", RetryAfterMs: 700}}}
	seen           = &rpc.RunEvent{Event: &rpc.RunEvent_Refused{Refused: &rpc.Refused{Reason: "already_seen"}}}
	notExecuted    = &rpc.RunEvent{Event: &rpc.RunEvent_Failed{Failed: &rpc.Failed{Reason: "not_sent", Executed: rpc.Executed_EXECUTED_NO}}}
	crash          = &rpc.RunEvent{Event: &rpc.RunEvent_Failed{Failed: &rpc.Failed{Reason: "crashed", UpstreamCrashed: true}}}
)

func deltaEvent(text string) *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: text, Tokens: 1}}}
}

func dataEvent(text string) *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Data{Data: []byte(text)}}
}

func headEvent(status uint32, headers ...*rpc.Header) *rpc.RunEvent {
	return &rpc.RunEvent{Event: &rpc.RunEvent_Head{Head: &rpc.Head{Status: status, Headers: headers}}}
}

func steps(events ...*rpc.RunEvent) []step {
	var list []step
	for _, e := range events {
		list = append(list, step{event: e})
	}
	return list
}

func engineSteps(req *rpc.RunRequest, s attemptScript) []step {
	if before, ok := faultBeforeAcceptance(s.fault); ok {
		return before
	}
	switch s.fault {
	case engineRejects:
		return steps(accepted, headEvent(http.StatusBadRequest), dataEvent(`{"error":{"message":"too long"}}`), notExecuted)
	case engineOverloads:
		return steps(accepted, headEvent(http.StatusServiceUnavailable), dataEvent("busy"), notExecuted)
	case engineTimesOut:
		return steps(accepted, headEvent(http.StatusRequestTimeout), dataEvent("slow"), notExecuted)
	}
	if req.DeliveredTokens >= responseTokens { // an engine rejects this: nothing is left to generate
		return steps(accepted, headEvent(http.StatusBadRequest), dataEvent(`{"error":{"message":"nothing to resume"}}`), notExecuted)
	}
	list := steps(accepted)
	for i := int(req.DeliveredTokens); i < responseTokens; i++ {
		if i-int(req.DeliveredTokens) == s.after {
			if rest, ok := faultMidStream(s.fault); ok {
				return append(list, rest...)
			}
			if s.fault == misroutedEvent {
				list = append(list, steps(misroutedDelta, misroutedEnd)...)
			}
		}
		list = append(list, steps(deltaEvent(token(i)))...)
	}
	if rest, ok := faultMidStream(s.fault); ok && s.after == responseTokens-int(req.DeliveredTokens) {
		return append(list, rest...)
	}
	if s.fault == duplicateEnd {
		list = append(list, steps(ended, ended, deltaEvent("late"))...)
	}
	return append(list, step{event: ended}, step{err: io.EOF})
}

func faultBeforeAcceptance(f fault) ([]step, bool) {
	switch f {
	case noLinkLate:
		return []step{{err: fmt.Errorf("dial: %w", link.ErrNoLink)}}, true
	case refused:
		return steps(noSlot), true
	case refusedLeaving:
		return steps(leaving), true
	case alreadySeen:
		return steps(seen), true
	case lostBeforeAcceptance:
		return []step{{err: errReset}}, true
	case silentBeforeAcceptance:
		return []step{{}}, true
	case failedNotExecuted:
		return steps(notExecuted), true
	}
	return nil, false
}

func faultMidStream(f fault) ([]step, bool) {
	switch f {
	case lostMidStream:
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

func plainSteps(s attemptScript, body string) []step {
	if before, ok := faultBeforeAcceptance(s.fault); ok {
		return before
	}
	if s.fault == serviceBusy {
		return append(steps(accepted, headEvent(http.StatusServiceUnavailable), dataEvent("busy")), step{event: ended})
	}
	list := steps(accepted, headEvent(201, &rpc.Header{Name: "Content-Type", Value: "text/plain"},
		&rpc.Header{Name: "X-Order", Value: "7"}, &rpc.Header{Name: "X-Request-Executed", Value: "no"},
		&rpc.Header{Name: "Connection", Value: "X-Hop"}, &rpc.Header{Name: "X-Hop", Value: "1"}), dataEvent(body))
	if s.fault == misroutedEvent {
		list = append(list, steps(misroutedDelta)...)
	}
	if rest, ok := faultMidStream(s.fault); ok {
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
	if s.release != nil && s.sent == 2 { // accepted and the first token have been sent
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
	holder.SetIfNewer(testDocument())
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
