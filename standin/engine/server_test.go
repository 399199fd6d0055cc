package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/upstream"
)

// inBubble runs a server in a synctest bubble.
func inBubble(t *testing.T, cfg Config, test func(t *testing.T, s *Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := New(cfg)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Run(ctx) }() // ends with the context
		test(t, s)
		cancel()
		synctest.Wait()
	})
}

// call performs one request and decodes the response into out, unless it is nil.
// It returns status 0 for a broken connection.
func call(t *testing.T, s *Server, method, path, id, body string, out any) (status int) {
	t.Helper()
	defer func() {
		if r := recover(); r != nil && r != http.ErrAbortHandler {
			panic(r)
		}
	}()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	r.Header.Set(requestIDHeader, id)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			t.Errorf("%s: %v in %q", path, err, w.Body)
		}
	}
	return w.Code
}

// Guards against responses that differ from the OpenAI format or from the
// expected text.
func TestResponseWithoutStream(t *testing.T) {
	inBubble(t, Config{NaturalTokens: 20}, func(t *testing.T, s *Server) {
		cases := []struct {
			path, body, prompt string
			tokens             int
			reason             string
		}{
			{pathCompletions, `{"prompt":"a b c"}`, "a b c", upstream.DefaultMaxTokens, finishLength},
			{pathCompletions, `{"prompt":["a","b"],"max_tokens":3}`, "a\nb", 3, finishLength},
			{pathChat, `{"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_completion_tokens":40}`, "user: hi\n", 20, finishStop},
		}
		for _, c := range cases {
			var got completion
			if status := call(t, s, http.MethodPost, c.path, "", c.body, &got); status != http.StatusOK || len(got.Choices) != 1 {
				t.Fatalf("%s: status %d, %+v", c.body, status, got)
			}
			choice := got.Choices[0]
			var text string
			if choice.Message != nil {
				text = choice.Message.Content
			} else {
				text = *choice.Text
			}
			if text != ExpectedText(c.prompt, 0, c.tokens) || *choice.FinishReason != c.reason || got.Usage.CompletionTokens != c.tokens {
				t.Errorf("%s: text %q, reason %s, usage %+v", c.body, text, *choice.FinishReason, got.Usage)
			}
		}
	})
}

// Guards against a poison request that gets a response or crashes the engine only
// once, and against a crash after which requests or the boot ID remain.
func TestPoisonCrashesEachRun(t *testing.T) {
	inBubble(t, Config{PoisonMarker: "POISON", RestartDelay: time.Second}, func(t *testing.T, s *Server) {
		other := make(chan int)
		for crash := 1; crash <= 2; crash++ {
			boot := s.BootID()
			go func() {
				other <- call(t, s, http.MethodPost, pathCompletions, "other", `{"prompt":"x","max_tokens":9000}`, nil)
			}()
			synctest.Wait()
			if status := call(t, s, http.MethodPost, pathCompletions, "bad", `{"prompt":"a POISON b"}`, nil); status != 0 {
				t.Errorf("poison request: status %d, want a broken connection", status)
			}
			if status := <-other; status != 0 {
				t.Errorf("other request: status %d, want a broken connection", status)
			}
			if status := call(t, s, http.MethodGet, PathHealth, "", "", nil); status != 0 {
				t.Errorf("health during the crash: status %d", status)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			var health Health
			call(t, s, http.MethodGet, PathHealth, "", "", &health)
			if health.BootID == boot || health.BootID == "" || s.InProgress() != 0 || s.Crashes() != crash {
				t.Errorf("after crash %d: health %+v, %d in progress", crash, health, s.InProgress())
			}
		}
	})
}

// Guards against a hang that loses requests or still sends responses.
func TestHangEnds(t *testing.T) {
	inBubble(t, Config{}, func(t *testing.T, s *Server) {
		s.Hang(time.Minute)
		start := time.Now()
		if status := call(t, s, http.MethodPost, pathCompletions, "a", `{"prompt":"x"}`, nil); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		if waited := time.Since(start); waited < time.Minute {
			t.Errorf("response after %s of the hang", waited)
		}
	})
}

// Guards against orders that bypass the fencing check or the rate limit of the
// weight store, and against completions while a model loads.
func TestOrders(t *testing.T) {
	store := NewWeightStore(ModelBytes / 10) // 10 s per model
	inBubble(t, Config{CheckFencing: true, Weights: store}, func(t *testing.T, s *Server) {
		second := New(Config{Weights: store})
		order := func(s *Server, fencing int, model string) int {
			body := fmt.Sprintf(`{"kind":"load_model","model":%q,"version":"2","fencing":%d}`, model, fencing)
			return call(t, s, http.MethodPost, PathOrders, "", body, nil)
		}
		if status := order(s, 7, "m1"); status != http.StatusAccepted {
			t.Fatalf("status %d", status)
		}
		if status := order(s, 6, "m2"); status != http.StatusConflict {
			t.Errorf("old fencing number: status %d", status)
		}
		order(second, 7, "m1")
		if status := order(second, 6, "m2"); status != http.StatusAccepted {
			t.Errorf("old number without a check: status %d", status)
		}
		if status := call(t, s, http.MethodPost, pathCompletions, "", `{"prompt":"x"}`, nil); status != http.StatusServiceUnavailable {
			t.Errorf("completion while loading: status %d", status)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := s.Serving(); got.Model != "m1" || got.Loading {
			t.Errorf("after the load: %+v", got)
		}
		if got := second.Serving(); got.Model != "" || !got.Loading {
			t.Errorf("second engine loads at the same time: %+v", got)
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if got := second.Serving(); got.Model != "m2" || got.Loading || len(second.Applied()) != 2 {
			t.Errorf("second engine: %+v", got)
		}
	})
}

// Guards against an imported KV cache that does not reduce prompt processing, and
// against a transfer that takes no time.
func TestExportAndImport(t *testing.T) {
	prompt := strings.Repeat("word ", 4000)
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":2000}`, prompt)
	inBubble(t, Config{}, func(t *testing.T, from *Server) {
		go call(t, from, http.MethodPost, pathCompletions, "a", body, nil)
		time.Sleep(time.Second)
		start := time.Now()
		var kv KVCache
		if status := call(t, from, http.MethodPost, PathExport, "", `{"id":"a"}`, &kv); status != http.StatusOK || kv.Tokens < 4000 {
			t.Fatalf("status %d, %+v", status, kv)
		}
		if took := time.Since(start); took != TransferTime(kv.Tokens) {
			t.Errorf("export took %s", took)
		}
		from.cancel("a")

		to := New(Config{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = to.Run(ctx) }() // ends with the context
		blob, err := json.Marshal(kv)
		if err != nil {
			t.Fatal(err)
		}
		call(t, to, http.MethodPost, PathImport, "", string(blob), nil)
		start = time.Now()
		n := kv.Tokens - 4000
		resumed := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"resume":{"text":%q,"tokens":%d}}`, prompt, n+1, ExpectedText(prompt, 0, n), n)
		if status := call(t, to, http.MethodPost, pathCompletions, "b", resumed, nil); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		// One step that processes one token, plus the rounding of the server's timer.
		if took := time.Since(start); took > BaseStepTime+StepTimePerSequence+PromptTokenTime+time.Microsecond {
			t.Errorf("resume took %s", took)
		}
	})
}
