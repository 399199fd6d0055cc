package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/standin/service"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// BenchmarkGenerate measures the processing time per completion of 100 tokens at a
// concurrency of 64, over TCP, for client and stand-in together. The engine's speed
// factor is higher than the machine can reach, so that simulated generation time
// does not count.
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
	client := upstream.NewEngineClient(upstream.EngineConfig{BaseURL: "http://" + listener.Addr().String()})
	jobs := make(chan int)
	var workers sync.WaitGroup
	for range streams {
		workers.Go(func() {
			for i := range jobs {
				stream, err := client.Generate(ctx, completionRequest(fmt.Sprint("p", i), tokens))
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

// BenchmarkPlainCall measures the processing time of a call to a plain service over
// TCP, for client and stand-in together, with a new connection for each call.
func BenchmarkPlainCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: service.New().Handler()}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) }) // ends with Close
	defer serving.Wait()
	defer func() { _ = server.Close() }()
	client := upstream.NewPlainClient(upstream.PlainConfig{BaseURL: "http://" + listener.Addr().String()})
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Call(b.Context(), http.MethodGet, "/rooms/7", nil, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			b.Fatal(err)
		}
	}
}
