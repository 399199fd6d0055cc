package upstream_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// BenchmarkGenerate gives the processing time per completion of 100 tokens with
// 64 at once, over TCP, for client and stand-in together. The engine's speed
// factor is beyond what the machine does, so that its own time does not count.
func BenchmarkGenerate(b *testing.B) {
	const streams, tokens = 64, 100
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	var serving sync.WaitGroup
	s := engine.New(engine.Config{Speed: 1e6})
	serving.Go(func() { _ = s.Serve(ctx, listener) }) // ends with the context
	defer serving.Wait()
	defer cancel()
	client := upstream.NewEngine(upstream.EngineConfig{BaseURL: "http://" + listener.Addr().String()})
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range streams {
		workers.Go(func() {
			for i := range jobs {
				stream, err := client.Generate(ctx, request(fmt.Sprint("p", i), tokens))
				if err != nil {
					b.Error(err)
					continue
				}
				if _, n, err := readAll(stream); err != nil || n != tokens {
					b.Errorf("%d tokens, %v", n, err)
				}
				_ = stream.Close()
			}
		})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		jobs <- i
	}
	close(jobs)
	workers.Wait()
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
}
