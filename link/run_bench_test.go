package link

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// BenchmarkRun measures one attempt over a TCP connection, with one event per
// token. Its CPU time includes both the entry and the agent.
func BenchmarkRun(b *testing.B) {
	for _, tokens := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			a := startAgent(b, "agent-chat-mvd-a-0000", "chat", nil)
			a.run = func(_ context.Context, req *connect.Request[rpc.RunRequest], stream *connect.ServerStream[rpc.RunEvent]) error {
				return sendTokens(req.Msg.AttemptId, tokens, stream)
			}
			e := startEntry(b, "entry-mvd-a-0000", a)
			eventually(b, "link open", func() bool { return connectedCount(e, "chat") == 1 })
			body := make([]byte, 2000)
			before := selfCPUTime(b)
			b.ReportAllocs()
			for b.Loop() {
				runOnce(b, e, a.instance.ID, body, tokens)
			}
			b.ReportMetric(float64((selfCPUTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func sendTokens(attemptID string, tokens int, stream *connect.ServerStream[rpc.RunEvent]) error {
	if err := stream.Send(&rpc.RunEvent{AttemptId: attemptID, Event: &rpc.RunEvent_Accepted{Accepted: &rpc.Accepted{}}}); err != nil {
		return err
	}
	for range tokens {
		delta := &rpc.Delta{Text: "token ", Tokens: 1}
		if err := stream.Send(&rpc.RunEvent{AttemptId: attemptID, Event: &rpc.RunEvent_Delta{Delta: delta}}); err != nil {
			return err
		}
	}
	return stream.Send(&rpc.RunEvent{AttemptId: attemptID, Event: &rpc.RunEvent_End{End: &rpc.End{FinishReason: "stop"}}})
}

func runOnce(b *testing.B, e *testEntry, agent string, body []byte, tokens int) {
	stream, err := e.Run(b.Context(), agent, &rpc.RunRequest{
		AttemptId: "attempt", Caller: "caller", Service: "chat", Class: rpc.Class_CLASS_ONLINE, Repeatable: true, Body: body,
	})
	if err != nil {
		b.Fatal(err)
	}
	got := 0
	for {
		event, err := stream.Recv()
		if err != nil {
			b.Fatal(err)
		}
		got += int(event.GetDelta().GetTokens())
		if event.GetEnd() != nil {
			break
		}
	}
	if err := stream.Close(); err != nil || got != tokens {
		b.Fatalf("%d tokens of %d, error %v", got, tokens, err)
	}
}

// selfCPUTime returns the CPU time of this process.
func selfCPUTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
