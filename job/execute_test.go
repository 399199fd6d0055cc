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
