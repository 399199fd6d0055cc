package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/apierror"
)

// streamed is what an OpenAI client makes of a stream.
type streamed struct {
	text   string
	done   bool
	failed string // code of an error event
	usage  int
	finish string
}

func readStream(t *testing.T, w *httptest.ResponseRecorder) streamed {
	t.Helper()
	var s streamed
	for _, line := range strings.Split(w.Body.String(), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta        chatMessage
				Text         string
				FinishReason *string `json:"finish_reason"`
			}
			Usage *usage
			Error *struct{ Code string }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("chunk %q: %v", data, err)
		}
		if chunk.Error != nil {
			s.failed = chunk.Error.Code
		}
		if chunk.Usage != nil {
			s.usage = int(chunk.Usage.TotalTokens)
		}
		for _, c := range chunk.Choices {
			s.text += c.Delta.Content + c.Text
			if c.FinishReason != nil {
				s.finish = *c.FinishReason
			}
		}
	}
	return s
}

func wholeContent(t *testing.T, w *httptest.ResponseRecorder) string {
	t.Helper()
	var body wholeChat
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || len(body.Choices) != 1 {
		t.Fatalf("answer %q: %v", w.Body, err)
	}
	return body.Choices[0].Message.Content
}

// Guards against a fault of one attempt that reaches the caller although
// another upstream can take over, and against gaps or repeats after it.
func TestOneFaultIsHidden(t *testing.T) {
	for f := range faults {
		if f == engineRejects {
			continue
		}
		for _, after := range []int{0, 5} {
			synctest.Test(t, func(t *testing.T) {
				r := newRunner(2, scripted{f, after})
				w := call(newTestEntry(r), "POST", "/v1/chat/completions", chatStreamBody)
				got := readStream(t, w)
				if got.text != wholeText() || !got.done || got.failed != "" || got.usage != 3+answerTokens || got.finish != "stop" {
					t.Errorf("fault %d after %d: %+v", f, after, got)
				}
				w = call(newTestEntry(newRunner(2, scripted{f, after})), "POST", "/v1/chat/completions", chatBody)
				if w.Code != 200 || wholeContent(t, w) != wholeText() {
					t.Errorf("fault %d after %d: status %d, %s", f, after, w.Code, w.Body)
				}
				want := 2
				if f == healthy || f == crossed || f == duplicateEnd {
					want = 1
				}
				if r.attempts() != want {
					t.Errorf("fault %d: %d attempts, want %d", f, r.attempts(), want)
				}
				if want == 2 && r.agents[0] == r.agents[1] {
					t.Errorf("fault %d: the second attempt went to the same agent", f)
				}
			})
		}
	}
}

// Guards against an answer that is lost with its end event alone: all tokens
// that the caller allows have come, so no engine can resume it.
func TestLostEndAfterLastToken(t *testing.T) {
	limited := fmt.Sprintf(`{"model":"taller-1","max_tokens":%d,"messages":[{"role":"user","content":"hi"}]`, answerTokens)
	for _, f := range []fault{diesMidStream, silentMidStream, crashes, truncated} {
		for _, body := range []string{limited + `,"stream":true,"stream_options":{"include_usage":true}}`, limited + `}`} {
			synctest.Test(t, func(t *testing.T) {
				r := newRunner(2, scripted{f, answerTokens})
				w := call(newTestEntry(r), "POST", "/v1/chat/completions", body)
				if r.attempts() != 1 {
					t.Errorf("fault %d: %d attempts", f, r.attempts())
				}
				if !strings.Contains(body, "stream") {
					if w.Code != 200 || wholeContent(t, w) != wholeText() {
						t.Errorf("fault %d: status %d, %s", f, w.Code, w.Body)
					}
					return
				}
				got := readStream(t, w)
				if got.text != wholeText() || !got.done || got.failed != "" || got.finish != "length" || got.usage <= answerTokens {
					t.Errorf("fault %d: %+v", f, got)
				}
			})
		}
	}
}

// Guards against a stream that ends clean although the answer is not whole,
// and against a retry of what any engine would reject.
func TestFaultsThatReachTheCaller(t *testing.T) {
	once := scripted{crashes, 2}
	cases := []struct {
		name      string
		upstreams int
		script    []scripted
		status    int
		code      string
		executed  string
		attempts  int
	}{
		{"no upstream", 0, nil, 503, codeNoUpstream, "no", 0},
		{"all refuse", 2, []scripted{{refused, 0}, {refused, 0}}, 503, codeNoUpstream, "no", 2},
		{"no link", 1, []scripted{{noLink, 0}}, 503, codeNoUpstream, "no", 1},
		{"engine rejects", 3, []scripted{{engineRejects, 0}}, 400, "", "no", 1},
		{"two crashes", 3, []scripted{once, once}, 200, codeBlocked, "", 2},
		{"lost too often", 9, repeat(scripted{diesMidStream, 1}, 9), 200, codeUpstreamFailed, "", DefaultMaxAttempts},
		{"lost before output", 9, repeat(scripted{diesBeforeAcceptance, 1}, 9), 502, codeUpstreamFailed, "unknown", DefaultMaxAttempts},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			r := newRunner(c.upstreams, c.script...)
			w := call(newTestEntry(r), "POST", "/v1/chat/completions", chatStreamBody)
			if w.Code != c.status || w.Header().Get(apierror.ExecutedHeader) != c.executed || !strings.Contains(w.Body.String(), c.code) {
				t.Errorf("%s: status %d, executed %q, %s", c.name, w.Code, w.Header().Get(apierror.ExecutedHeader), w.Body)
			}
			if r.attempts() != c.attempts || strings.Contains(w.Body.String(), "[DONE]") {
				t.Errorf("%s: %d attempts, %s", c.name, r.attempts(), w.Body)
			}
		})
	}
}

func repeat(s scripted, n int) []scripted {
	list := make([]scripted, n)
	for i := range list {
		list[i] = s
	}
	return list
}

// Guards against any combination of faults that gives a caller text with a gap
// or a repeat, a clean end of a partial answer, or "not run" after a hand-over.
func TestRandomFaults(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 5000
	properties := gopter.NewProperties(params)
	properties.Property("whole answer or error", prop.ForAll(func(seed uint64, stream bool) bool {
		ok := false
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			script := make([]scripted, rnd.IntN(9))
			for i := range script {
				script[i] = scripted{fault(rnd.IntN(int(faults))), rnd.IntN(answerTokens)}
			}
			r := newRunner(1+rnd.IntN(4), script...)
			body := chatBody
			if stream {
				body = chatStreamBody
			}
			w := call(newTestEntry(r), "POST", "/v1/chat/completions", body, timeoutHeader, "30000")
			ok = answerIsSound(t, w, r, stream)
			if !ok {
				t.Logf("seed %d, script %v: status %d, executed %q, %d hand-overs, %s", seed, script, w.Code,
					w.Header().Get(apierror.ExecutedHeader), r.handOvers, w.Body)
			}
		})
		return ok
	}, gen.UInt64(), gen.Bool()))
	properties.TestingRun(t)
}

func answerIsSound(t *testing.T, w *httptest.ResponseRecorder, r *fakeRunner, stream bool) bool {
	executed := w.Header().Get(apierror.ExecutedHeader)
	if w.Code != 200 {
		return executed == "unknown" || (executed == "no" && (r.handOvers == 0 || onlyRejected(r)))
	}
	if !stream {
		return wholeContent(t, w) == wholeText()
	}
	got := readStream(t, w)
	if got.done {
		return got.text == wholeText() && got.failed == ""
	}
	return got.failed != "" && strings.HasPrefix(wholeText(), got.text)
}

// onlyRejected reports whether every handed-over attempt was confirmed as not run.
func onlyRejected(r *fakeRunner) bool {
	for i := range r.started {
		f := healthy
		if i < len(r.script) {
			f = r.script[i].fault
		}
		switch f {
		case noLink, noLinkLate, refused, failedNotRun, engineRejects, engineOverloads:
		default:
			return false
		}
	}
	return true
}

// Guards against a caller whose deadline passes while an upstream is silent.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(1, scripted{silentBeforeAcceptance, 0})
		start := time.Now()
		w := call(newTestEntry(r), "POST", "/v1/completions", `{"model":"taller-1","prompt":"a"}`, timeoutHeader, "1500")
		if w.Code != 504 || w.Header().Get(apierror.ExecutedHeader) != "unknown" {
			t.Errorf("status %d, %s", w.Code, w.Body)
		}
		if waited := time.Since(start); waited != 1500*time.Millisecond {
			t.Errorf("answered after %v", waited)
		}
	})
}

// Guards against an attempt that holds a request for long although its agent
// does not accept it, and against a reroute of one already accepted.
func TestRerouteAfterAcceptTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(2, scripted{silentBeforeAcceptance, 0})
		start := time.Now()
		w := call(newTestEntry(r), "POST", "/v1/chat/completions", chatBody)
		if w.Code != 200 || time.Since(start) != DefaultAcceptTimeout {
			t.Errorf("status %d after %v", w.Code, time.Since(start))
		}
		r = newRunner(2, scripted{silentMidStream, 0})
		start = time.Now()
		w = call(newTestEntry(r), "POST", "/v1/chat/completions", chatBody)
		if w.Code != 200 || time.Since(start).Round(time.Millisecond) != DefaultEngineProgressTimeout {
			t.Errorf("accepted attempt: status %d after %v", w.Code, time.Since(start))
		}
	})
}

// Guards against retries that multiply the load on a fleet that refuses.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 500
		r := newRunner(3, repeat(scripted{refused, 0}, 10*requests)...)
		e := newTestEntry(r)
		for range requests {
			call(e, "POST", "/v1/chat/completions", chatBody)
		}
		if limit := requests + requests/10 + 20; r.attempts() > limit {
			t.Errorf("%d attempts for %d requests, want at most %d", r.attempts(), requests, limit)
		}
	})
}

// Guards against a ticket made from the entry's own clock or another incarnation.
func TestTicketUsesAgentClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(1)
		r.quiet = 800 * time.Millisecond
		call(newTestEntry(r), "POST", "/v1/chat/completions", chatBody)
		ticket := r.started[0].Ticket
		want := uint64(5000+800) + uint64(DefaultTicketTTL.Milliseconds())
		if ticket.AgentIncarnation != 100 || ticket.NotAfterMs != want {
			t.Errorf("ticket %v, want not after %d", ticket, want)
		}
	})
}

// Guards against two suspects on one upstream, a suspect that its agent cannot
// tell from other requests, and one that fails because others run.
func TestSuspectsRunApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(2)
		r.release = make(chan struct{})
		e := newTestEntry(r, func(c *Config) { c.Suspects = fixedSuspects{suspect: true} })
		answers := make(chan int, 2)
		for range 2 {
			go func() { answers <- call(e, "POST", pathChat, chatBody).Code }()
		}
		synctest.Wait()
		if len(r.agents) != 2 || r.agents[0] == r.agents[1] || !r.started[0].Suspect {
			t.Errorf("agents %v", r.agents)
		}
		third := make(chan int, 1)
		go func() { third <- call(e, "POST", pathChat, chatBody).Code }()
		time.Sleep(10 * suspectPause)
		if n := r.attempts(); n != 2 {
			t.Errorf("%d attempts while two suspects run on two upstreams", n)
		}
		close(r.release)
		if first, second := <-answers, <-answers; first != 200 || second != 200 {
			t.Errorf("status %d and %d", first, second)
		}
		if status := <-third; status != 200 {
			t.Errorf("third suspect: status %d after the others ended", status)
		}
	})
}

// Guards against a crash that is not noted until the next attempt of the request.
func TestRetryAfterCrashIsASuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(2, scripted{crashes, 3})
		call(newTestEntry(r), "POST", pathChat, chatBody)
		second := r.started[1]
		if r.started[0].Suspect || !second.Suspect || second.DeliveredTokens != 3 || second.DeliveredText != token(0)+token(1)+token(2) {
			t.Errorf("second attempt %v", second)
		}
	})
}

// Guards against packing that sends request after request to a lost agent,
// because its last report shows online work.
func TestLostAgentIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(3)
		r.lost, r.lostAt = "agent-1", time.Now()
		r.upstreams[1].Load.OnlineActive = 1
		e := newTestEntry(r)
		start := time.Now()
		for range 10 {
			if w := call(e, "POST", pathChat, chatBody); w.Code != 200 {
				t.Errorf("status %d", w.Code)
			}
		}
		if waited := time.Since(start); waited != DefaultAcceptTimeout || r.attempts() != 11 {
			t.Errorf("%v and %d attempts for ten requests", waited, r.attempts())
		}
		r.lost = "" // heard of again
		time.Sleep(time.Second)
		call(e, "POST", pathChat, chatBody)
		if last := r.agents[len(r.agents)-1]; last != "agent-1" {
			t.Errorf("after it was heard of again, the request went to %s", last)
		}
	})
}
