package agent

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// instantEngine generates all tokens without delay. With tokens < 0, its streams
// block until they are cancelled.
type instantEngine struct {
	fakeEngine
	tokens int
}

type instantStream struct {
	fakeStream
	left int
}

func (e *instantEngine) Generate(ctx context.Context, _ upstream.GenerateRequest) (upstream.TokenStream, error) {
	return &instantStream{fakeStream: fakeStream{ctx: ctx}, left: e.tokens}, nil
}

func (s *instantStream) Next() (upstream.Delta, error) {
	if s.left < 0 {
		<-s.ctx.Done()
		return upstream.Delta{}, s.ctx.Err()
	}
	if s.left == 0 {
		return upstream.Delta{}, io.EOF
	}
	s.left--
	return upstream.Delta{Text: "word ", Tokens: 1}, nil
}

func (s *instantStream) Close() error { return nil }

// benchmarkServe measures requests of the given number of tokens while inProgress
// others are running.
func benchmarkServe(b *testing.B, inProgress, tokens int) {
	e := &instantEngine{tokens: -1}
	a, err := New(Config{
		ID: "a", Service: "chat", Kind: contract.KindEngine, Slots: inProgress + 1,
		Engine: e, Logger: zerolog.Nop(), SeenCapacity: 1 << 26, BufferBytes: 1 << 30,
	})
	if err != nil {
		b.Fatal(err)
	}
	a.snap.Ready = true
	a.snap.Model.PerSequence = 0
	r := &testAgent{Agent: a}
	ctx, cancel := context.WithCancel(b.Context())
	for range inProgress {
		go a.serve(ctx, "", r.request(rpc.Class_CLASS_ONLINE), func(*rpc.RunEvent) error { return nil })
	}
	for a.loadSummary().OnlineActive < uint32(inProgress) {
		runtime.Gosched()
	}
	e.tokens = tokens
	for b.Loop() {
		var last *rpc.RunEvent
		err := a.serve(ctx, "", r.request(rpc.Class_CLASS_ONLINE), func(e *rpc.RunEvent) error { last = e; return nil })
		if err != nil || last.GetEnd() == nil {
			b.Fatalf("%v, last event %v", err, last)
		}
	}
	if tokens > 1 {
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
	}
	cancel()
}

func BenchmarkAgent(b *testing.B) {
	for _, n := range []int{1, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("request/in-progress=%d", n), func(b *testing.B) { benchmarkServe(b, n, 1) })
		b.Run(fmt.Sprintf("tokens/in-progress=%d", n), func(b *testing.B) { benchmarkServe(b, n, 1000) })
	}
}
