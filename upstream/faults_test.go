package upstream_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Guards against completions that lose or repeat tokens, are reported complete too
// early or never end when crashes and stalls occur separately or together.
func TestResumeThroughFaults(t *testing.T) {
	for seed := range uint64(4) {
		runInVirtualTime(t, fmt.Sprint("seed ", seed), func(t *testing.T) {
			s, client := startEngine(t, engine.Config{Seed: seed})
			random := rand.New(rand.NewPCG(seed, 0))
			var clients sync.WaitGroup
			for i := range 80 { // more than the engine has slots
				clients.Go(func() { resumeUntilComplete(t, client, fmt.Sprint("prompt ", i), 300) })
			}
			for range 12 {
				time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
				switch random.IntN(3) {
				case 0:
					s.Crash(time.Duration(random.Int64N(int64(time.Second))))
				case 1:
					s.Hang(time.Duration(1 + random.Int64N(int64(10*time.Second))))
				case 2:
					s.HangOpenConnections()
				}
			}
			clients.Wait()
			if n := s.InProgress(); n != 0 {
				t.Errorf("%d requests in progress after all clients", n)
			}
		})
	}
}

// resumeUntilComplete retries, resuming after the delivered tokens, and checks the
// kind of each error and the complete text.
func resumeUntilComplete(t *testing.T, client *upstream.EngineClient, prompt string, tokens int) {
	req := completionRequest(prompt, tokens)
	for n := 0; ; n++ {
		req.AttemptID = fmt.Sprint(prompt, " attempt ", n)
		stream, err := client.Generate(t.Context(), req)
		if err == nil {
			var text string
			var delivered int
			text, delivered, err = readAll(stream)
			_ = stream.Close()
			req.DeliveredText += text
			req.DeliveredTokens += delivered
		}
		if err == nil {
			break
		}
		if req.DeliveredTokens == tokens { // only the end of the stream was lost
			break
		}
		if !errors.Is(err, upstream.ErrNotSent) && !errors.Is(err, upstream.ErrCrashed) && !errors.Is(err, upstream.ErrProgressTimeout) {
			t.Errorf("%s: %v", req.AttemptID, err)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	if req.DeliveredTokens != tokens || req.DeliveredText != engine.ExpectedText(prompt, 0, tokens) {
		t.Errorf("%s: %d tokens, %q", prompt, req.DeliveredTokens, req.DeliveredText)
	}
}
