package job

import (
	"errors"
	"strings"
	"testing"

	"github.com/magnoliausher/magnoliausher/memory"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// endlessStream sends pieces of an answer without end.
type endlessStream struct{ event *rpc.RunEvent }

func (s endlessStream) Recv() (*rpc.RunEvent, error) { return s.event, nil }
func (endlessStream) Close() error                   { return nil }

// Guards against an entry that keeps an answer without end until it runs out of memory.
func TestEndlessAnswersAreEnded(t *testing.T) {
	piece := strings.Repeat("x", 64<<10)
	for name, event := range map[string]*rpc.RunEvent{
		"text": {AttemptId: "a", Event: &rpc.RunEvent_Delta{Delta: &rpc.Delta{Text: piece, Tokens: 1}}},
		"data": {AttemptId: "a", Event: &rpc.RunEvent_Data{Data: []byte(piece)}},
	} {
		for want, budget := range map[error]*memory.Budget{errAnswerTooLong: nil, memory.ErrExhausted: memory.NewBudget(1 << 20)} {
			c := attemptCollector{req: &rpc.RunRequest{AttemptId: "a"}, engine: true, share: budget.Share()}
			err := c.read(endlessStream{event})
			o := c.outcome(t.Context(), err)
			if !errors.Is(err, want) || o.kind != outcomeFailed || o.text != "" || o.tokens != 0 || o.reason != want.Error() {
				t.Errorf("%s: %v, kind %v, %d bytes to resume after, %q", name, err, o.kind, len(o.text), o.reason)
			}
		}
	}
}
