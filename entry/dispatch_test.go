package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/effect"
)

// streamContent is what an OpenAI client reads from a stream.
type streamContent struct {
	text   string
	done   bool
	failed string // code of an error event
	usage  int
	finish string
}

func readStream(t *testing.T, w *httptest.ResponseRecorder) streamContent {
	t.Helper()
	var s streamContent
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

func responseContent(t *testing.T, w *httptest.ResponseRecorder) string {
	t.Helper()
	var body chatCompletion
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || len(body.Choices) != 1 {
		t.Fatalf("response %q: %v", w.Body, err)
	}
	return body.Choices[0].Message.Content
}

// Guards against a fault of one attempt that reaches the caller although another
// upstream can take over, and against missing or repeated text after it.
func TestSingleFaultIsHiddenFromCaller(t *testing.T) {
	for f := range faultCount {
		if f == engineRejects || f == engineTimesOut { // the engine's own client errors
			continue
		}
		for _, after := range []int{0, 5} {
			synctest.Test(t, func(t *testing.T) {
				r := newRunner(2, attemptScript{f, after})
				w := call(newTestEntry(r), "POST", "/v1/chat/completions", chatStreamBody)
				got := readStream(t, w)
				if got.text != fullText() || !got.done || got.failed != "" || got.usage != 3+responseTokens || got.finish != "stop" {
					t.Errorf("fault %d after %d: %+v", f, after, got)
				}
				w = call(newTestEntry(newRunner(2, attemptScript{f, after})), "POST", "/v1/chat/completions", chatBody)
				if w.Code != 200 || responseContent(t, w) != fullText() {
					t.Errorf("fault %d after %d: status %d, %s", f, after, w.Code, w.Body)
				}
				want := 2
				if f == healthy || f == misroutedEvent || f == duplicateEnd {
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

// Guards against losing a response of which only the end event is missing: all tokens
// that the caller allows have arrived, so no engine can resume it.
func TestLostEndAfterLastToken(t *testing.T) {
	limited := fmt.Sprintf(`{"model":"taller-1","max_tokens":%d,"messages":[{"role":"user","content":"hi"}]`, responseTokens)
	for _, f := range []fault{lostMidStream, silentMidStream, crashes, truncated} {
		for _, body := range []string{limited + `,"stream":true,"stream_options":{"include_usage":true}}`, limited + `}`} {
			synctest.Test(t, func(t *testing.T) {
				r := newRunner(2, attemptScript{f, responseTokens})
				w := call(newTestEntry(r), "POST", "/v1/chat/completions", body)
				if r.attempts() != 1 {
					t.Errorf("fault %d: %d attempts", f, r.attempts())
				}
				if !strings.Contains(body, "stream") {
					if w.Code != 200 || responseContent(t, w) != fullText() {
						t.Errorf("fault %d: status %d, %s", f, w.Code, w.Body)
					}
					return
				}
				got := readStream(t, w)
				if got.text != fullText() || !got.done || got.failed != "" || got.finish != "length" || got.usage <= responseTokens {
					t.Errorf("fault %d: %+v", f, got)
				}
			})
		}
	}
}

// Guards against a stream that ends normally although the response is incomplete, and
// against a retry of a request that any engine would reject.
func TestFaultsReportedToCaller(t *testing.T) {
	once := attemptScript{crashes, 2}
	cases := []struct {
		name      string
		upstreams int
		script    []attemptScript
		status    int
		code      string
		executed  string
		attempts  int
	}{
		{"no upstream", 0, nil, 503, codeNoUpstream, "no", 0},
		{"all refuse", 2, []attemptScript{{refused, 0}, {refused, 0}}, 503, codeNoUpstream, "no", 2},
		{"no link", 1, []attemptScript{{noLink, 0}}, 503, codeNoUpstream, "no", 1},
		{"engine rejects", 3, []attemptScript{{engineRejects, 0}}, 400, "", "no", 1},
		{"two crashes", 3, []attemptScript{once, once}, 200, codeBlocked, "", 2},
		{"engine rejects the resumption", 3, []attemptScript{{lostMidStream, 1}, {engineRejects, 0}}, 200, codeUpstreamError, "", 2},
		{"lost too often", 9, repeat(attemptScript{lostMidStream, 1}, 9), 200, codeUpstreamFailed, "", DefaultMaxAttempts},
		{"lost before output", 9, repeat(attemptScript{lostBeforeAcceptance, 1}, 9), 502, codeUpstreamFailed, "unknown", DefaultMaxAttempts},
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

func repeat(s attemptScript, n int) []attemptScript {
	list := make([]attemptScript, n)
	for i := range list {
		list[i] = s
	}
	return list
}

// Guards against a combination of faults that leads to missing or repeated text, a
// normal end of a partial response, or "not executed" after a hand-over.
func TestRandomFaults(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 5000
	properties := gopter.NewProperties(params)
	properties.Property("complete response or error", prop.ForAll(func(seed uint64, stream bool) bool {
		ok := false
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			script := make([]attemptScript, rnd.IntN(9))
			for i := range script {
				script[i] = attemptScript{fault(rnd.IntN(int(faultCount))), rnd.IntN(responseTokens)}
			}
			r := newRunner(1+rnd.IntN(4), script...)
			body := chatBody
			if stream {
				body = chatStreamBody
			}
			w := call(newTestEntry(r), "POST", "/v1/chat/completions", body, timeoutHeader, "30000")
			ok = isConsistent(t, w, r, stream)
			if !ok {
				t.Logf("seed %d, script %v: status %d, executed %q, %d hand-overs, %s", seed, script, w.Code,
					w.Header().Get(apierror.ExecutedHeader), r.handOvers, w.Body)
			}
		})
		return ok
	}, gen.UInt64(), gen.Bool()))
	properties.TestingRun(t)
}

func isConsistent(t *testing.T, w *httptest.ResponseRecorder, r *fakeRunner, stream bool) bool {
	executed := w.Header().Get(apierror.ExecutedHeader)
	if w.Code != 200 {
		if effect.Promises(w.Code) && !allConfirmedNotExecuted(r) {
			return false
		}
		return executed == "unknown" || (executed == "no" && (r.handOvers == 0 || allConfirmedNotExecuted(r)))
	}
	if !stream {
		return responseContent(t, w) == fullText()
	}
	got := readStream(t, w)
	if got.done {
		return got.text == fullText() && got.failed == ""
	}
	return got.failed != "" && strings.HasPrefix(fullText(), got.text)
}

// allConfirmedNotExecuted reports whether every attempt was confirmed as not executed.
func allConfirmedNotExecuted(r *fakeRunner) bool {
	for i := range r.started {
		f := healthy
		if i < len(r.script) {
			f = r.script[i].fault
		}
		switch f {
		case noLink, noLinkLate, refused, refusedLeaving, failedNotExecuted, engineRejects, engineOverloads, engineTimesOut:
		default:
			return false
		}
	}
	return true
}

// Guards against a deadline that is not enforced while an upstream is silent.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(1, attemptScript{silentBeforeAcceptance, 0})
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

// Guards against a long wait for an agent that does not accept an attempt, and against
// a reroute of an accepted attempt.
func TestRerouteAfterAcceptTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(2, attemptScript{silentBeforeAcceptance, 0})
		start := time.Now()
		w := call(newTestEntry(r), "POST", "/v1/chat/completions", chatBody)
		if w.Code != 200 || time.Since(start) != DefaultAcceptTimeout {
			t.Errorf("status %d after %v", w.Code, time.Since(start))
		}
		r = newRunner(2, attemptScript{silentMidStream, 0})
		start = time.Now()
		w = call(newTestEntry(r), "POST", "/v1/chat/completions", chatBody)
		if w.Code != 200 || time.Since(start).Round(time.Millisecond) != DefaultEngineProgressTimeout {
			t.Errorf("accepted attempt: status %d after %v", w.Code, time.Since(start))
		}
	})
}

// Guards against retries that multiply the load on a fleet that refuses requests.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 500
		r := newRunner(3, repeat(attemptScript{refused, 0}, 10*requests)...)
		e := newTestEntry(r)
		for range requests {
			call(e, "POST", "/v1/chat/completions", chatBody)
		}
		if limit := requests + requests/10 + 20; r.attempts() > limit {
			t.Errorf("%d attempts for %d requests, want at most %d", r.attempts(), requests, limit)
		}
	})
}

// Guards against requests that fail because an agent that shuts down has refused many
// others: those refusals must not use up the retry budget.
func TestRefusalsOfLeavingAgentAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 100
		var scripts []attemptScript
		for range requests {
			scripts = append(scripts, attemptScript{refusedLeaving, 0}, attemptScript{healthy, 0})
		}
		e := newTestEntry(newRunner(3, scripts...))
		for i := range requests {
			if w := call(e, "POST", "/v1/chat/completions", chatBody); w.Code != 200 {
				t.Fatalf("request %d: status %d, %s", i, w.Code, w.Body)
			}
		}
	})
}

// Guards against a ticket with the entry's own clock or a wrong agent incarnation.
func TestTicketUsesAgentClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(1)
		r.messageAge = 800 * time.Millisecond
		call(newTestEntry(r), "POST", "/v1/chat/completions", chatBody)
		ticket := r.started[0].Ticket
		want := uint64(5000+800) + uint64(DefaultTicketTTL.Milliseconds())
		if ticket.AgentIncarnation != 100 || ticket.NotAfterMs != want {
			t.Errorf("ticket %v, want not after %d", ticket, want)
		}
	})
}

// Guards against two suspects on one upstream, against a suspect that is not marked as
// such for its agent, and against a suspect that fails because others run.
func TestSuspectsDoNotShareUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(2)
		r.release = make(chan struct{})
		e := newTestEntry(r, func(c *Config) { c.Suspects = fixedSuspects{suspect: true} })
		statuses := make(chan int, 2)
		for range 2 {
			go func() { statuses <- call(e, "POST", pathChat, chatBody).Code }()
		}
		synctest.Wait()
		if len(r.agents) != 2 || r.agents[0] == r.agents[1] || !r.started[0].Suspect {
			t.Errorf("agents %v", r.agents)
		}
		third := make(chan int, 1)
		go func() { third <- call(e, "POST", pathChat, chatBody).Code }()
		time.Sleep(10 * suspectRetryDelay)
		if n := r.attempts(); n != 2 {
			t.Errorf("%d attempts while two suspects run on two upstreams", n)
		}
		close(r.release)
		if first, second := <-statuses, <-statuses; first != 200 || second != 200 {
			t.Errorf("status %d and %d", first, second)
		}
		if status := <-third; status != 200 {
			t.Errorf("third suspect: status %d after the others ended", status)
		}
	})
}

// Guards against a retry after a crash that is not marked as a suspect.
func TestRetryAfterCrashIsASuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(2, attemptScript{crashes, 3})
		call(newTestEntry(r), "POST", pathChat, chatBody)
		second := r.started[1]
		if r.started[0].Suspect || !second.Suspect || second.DeliveredTokens != 3 || second.DeliveredText != token(0)+token(1)+token(2) {
			t.Errorf("second attempt %v", second)
		}
	})
}

// Guards against sending request after request to a lost agent because its last
// report shows online work, which makes it preferred by the packing rules.
func TestLostAgentIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(3)
		r.silentAgent, r.silentSince = "agent-1", time.Now()
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
		r.silentAgent = "" // heard from again
		time.Sleep(time.Second)
		call(e, "POST", pathChat, chatBody)
		if last := r.agents[len(r.agents)-1]; last != "agent-1" {
			t.Errorf("after it was heard from again, the request went to %s", last)
		}
	})
}

// Guards against a status that promises "not run" after an attempt that was handed over,
// whatever ends a later one.
func TestNoPromiseAfterHandOver(t *testing.T) {
	const list = "/services/orders/list"
	allRefused := func(f fault) []fault {
		return append([]fault{f}, slices.Repeat([]fault{refused}, DefaultMaxAttempts)...)
	}
	cases := []struct {
		name     string
		path     string
		faults   []fault
		status   int
		executed string
	}{
		{"engine's own 408", pathChat, []fault{engineTimesOut}, 408, "no"},
		{"lost, then engine's own 408", pathChat, []fault{lostBeforeAcceptance, engineTimesOut}, 504, "unknown"},
		{"lost, then refused", pathChat, allRefused(lostBeforeAcceptance), 502, "unknown"},
		{"copy seen", pathChat, allRefused(alreadySeen), 502, "unknown"},
		{"plain: service's own 503", list, []fault{serviceBusy}, 503, ""},
		{"plain: lost, then service's own 503", list, []fault{lostBeforeAcceptance, serviceBusy}, 504, ""},
		{"plain: silent, then refused", list, allRefused(silentBeforeAcceptance), 502, "unknown"},
		{"not repeatable: copy seen", invoicePath, []fault{alreadySeen}, 502, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var script []attemptScript
				for _, f := range c.faults {
					script = append(script, attemptScript{f, 0})
				}
				r := newRunner(2, script...)
				method, body := "GET", ""
				if c.path == pathChat {
					method, body = "POST", chatBody
				}
				var header []string
				if c.path == invoicePath {
					method, header = "POST", []string{idempotencyHeader, "k"}
				}
				w := call(newTestEntry(r, withStore(newPlatform())), method, c.path, body, header...)
				if w.Code != c.status || w.Header().Get(apierror.ExecutedHeader) != c.executed || r.attempts() > len(script) {
					t.Errorf("status %d, executed %q, %d attempts, want %d %q: %s", w.Code, w.Header().Get(apierror.ExecutedHeader),
						r.attempts(), c.status, c.executed, w.Body)
				}
			})
		})
	}
}
