package job

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// TestLostEndOfItem guards against an item that fails because only the end event of
// its response was lost. Engines cannot resume it, since no tokens are left to generate.
func TestLostEndOfItem(t *testing.T) {
	lost := errors.New("connection reset")
	failed := &rpc.RunEvent{Event: &rpc.RunEvent_Failed{Failed: &rpc.Failed{Reason: "crashed"}}}
	cases := []struct {
		name      string
		body      string
		delivered uint32
		tokens    int
		last      *rpc.RunEvent
		err       error
		want      outcomeKind
	}{
		{"all tokens, connection lost", `{"max_tokens":5}`, 0, 5, nil, lost, outcomeAnswered},
		{"all tokens, cut", `{"max_tokens":5}`, 0, 5, nil, io.EOF, outcomeAnswered},
		{"all tokens, engine crashed", `{"max_tokens":5}`, 0, 5, failed, nil, outcomeAnswered},
		{"all tokens over two attempts", `{"max_completion_tokens":5}`, 3, 2, nil, lost, outcomeAnswered},
		{"one token missing", `{"max_tokens":5}`, 0, 4, nil, lost, outcomeFailed},
		{"no limit stated", `{}`, 0, defaultOutputTokens, nil, lost, outcomeFailed},
	}
	for _, c := range cases {
		col := attemptCollector{
			req:    &rpc.RunRequest{Path: EndpointChat, Body: []byte(c.body), DeliveredTokens: c.delivered, DeliveredText: "before "},
			engine: true, tokens: c.tokens, lastEvent: c.last,
		}
		col.text.WriteString("after")
		o := col.outcome(context.Background(), c.err)
		if o.kind != c.want {
			t.Errorf("%s: outcome %d, want %d", c.name, o.kind, c.want)
		}
		if o.kind == outcomeAnswered && !strings.Contains(string(o.body), `"before after"`) {
			t.Errorf("%s: answer %s", c.name, o.body)
		}
	}
}

// TestRefusalThatProvesNothing guards against a second run of an item that must not be
// repeated, after a refusal of a copy of an attempt or of one that was accepted before.
func TestRefusalThatProvesNothing(t *testing.T) {
	refusal := func(reason string) *rpc.RunEvent {
		return &rpc.RunEvent{Event: &rpc.RunEvent_Refused{Refused: &rpc.Refused{Reason: reason}}}
	}
	accepted := &rpc.RunEvent{Event: &rpc.RunEvent_Accepted{Accepted: &rpc.Accepted{}}}
	data := &rpc.RunEvent{Event: &rpc.RunEvent_Data{Data: []byte("x")}}
	cases := []struct {
		name   string
		events []*rpc.RunEvent
		code   string
	}{
		{"refused", []*rpc.RunEvent{refusal("queue_full")}, ""},
		{"copy seen", []*rpc.RunEvent{refusal("already_seen")}, codeUnknown},
		{"refused after acceptance", []*rpc.RunEvent{accepted, refusal("queue_full")}, codeUnknown},
		{"refused after output", []*rpc.RunEvent{data, refusal("queue_full")}, codeUnknown},
	}
	for _, c := range cases {
		collector := attemptCollector{req: &rpc.RunRequest{}}
		err := collector.read(&scriptedStream{events: c.events})
		if v := decide(0, false, collector.outcome(context.Background(), err)); v.code != c.code || v.retry != (c.code == "") {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

type scriptedStream struct{ events []*rpc.RunEvent }

func (s *scriptedStream) Recv() (*rpc.RunEvent, error) {
	if len(s.events) == 0 {
		return nil, io.EOF
	}
	event := s.events[0]
	s.events = s.events[1:]
	return event, nil
}

func (s *scriptedStream) Close() error { return nil }
