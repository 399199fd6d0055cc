package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
)

// fixedSuspects returns the same status for every request.
type fixedSuspects struct {
	suspect bool
	blocked time.Duration
}

func (f fixedSuspects) Admit([]uint64, time.Time) poison.Admission   { return poison.Admission{} }
func (f fixedSuspects) Recheck([]uint64, time.Time) poison.Admission { return poison.Admission{} }
func (f fixedSuspects) RecordSound(*poison.Subject, time.Time)       {}

func (f fixedSuspects) Status(uint64, time.Time) (bool, time.Duration, string) {
	return f.suspect, f.blocked, "two upstreams crashed"
}

// Guards against errors without a stable code, with a wrong status, or without the
// header that states that the request was not executed.
func TestRefusals(t *testing.T) {
	small := func(c *Config) { c.MaxBodyBytes = 100 }
	blocked := func(c *Config) { c.Suspects = fixedSuspects{blocked: time.Minute} }
	empty := func(c *Config) { c.Holder = new(contract.Holder) }
	none := func(*Config) {}
	chat, auth := pathChat, "Authorization"
	cases := []struct {
		name, method, path, body string
		header                   []string
		change                   func(*Config)
		status                   int
		code                     string
	}{
		{"no key", "POST", chat, chatBody, []string{auth, ""}, none, 401, codeMissingKey},
		{"other scheme", "POST", chat, chatBody, []string{auth, "Basic a2V5"}, none, 401, codeMissingKey},
		{"unknown key", "POST", chat, chatBody, []string{auth, "Bearer x"}, none, 401, codeUnknownKey},
		{"class", "POST", chat, chatBody, []string{auth, "Bearer key-3"}, none, 403, codeClassNotAllowed},
		{"syntax", "POST", chat, `{"model":`, nil, none, 400, codeMalformedJSON},
		{"type", "POST", chat, `{"model":7}`, nil, none, 400, codeInvalidRequest},
		{"no messages", "POST", chat, `{"model":"taller-1"}`, nil, none, 400, codeInvalidRequest},
		{"no prompt", "POST", pathCompletion, `{"model":"taller-1"}`, nil, none, 400, codeInvalidRequest},
		{"two prompts", "POST", pathCompletion, `{"model":"taller-1","prompt":["a","b"]}`, nil, none, 400, codeInvalidRequest},
		{"choices", "POST", chat, strings.Replace(chatBody, "{", `{"n":2,`, 1), nil, none, 400, codeUnsupportedParameter},
		{"model", "POST", chat, strings.Replace(chatBody, "taller-1", "x", 1), nil, none, 404, codeUnknownModel},
		{"plain as model", "POST", chat, strings.Replace(chatBody, "taller-1", "orders", 1), nil, none, 404, codeUnknownModel},
		{"service", "GET", "/services/x/y", "", nil, none, 404, codeUnknownService},
		{"engine as plain", "GET", "/services/assistant/y", "", nil, none, 404, codeUnknownService},
		{"path", "GET", "/v2/x", "", nil, none, 404, codeUnknownPath},
		{"size", "POST", chat, chatBody + strings.Repeat(" ", 100), nil, small, 413, codeBodyTooLarge},
		{"method", "GET", chat, "", nil, none, 405, codeMethodNotAllowed},
		{"timeout", "POST", chat, chatBody, []string{timeoutHeader, "-1"}, none, 400, codeInvalidHeader},
		{"blocked", "POST", chat, chatBody, nil, blocked, 422, codeBlocked},
		{"no configuration", "POST", chat, chatBody, nil, empty, 503, codeNotReady},
		{"key too long", "POST", "/services/orders/invoice", "", []string{idempotencyHeader, strings.Repeat("k", 256)}, none, 400, codeInvalidHeader},
		{"no store", "POST", "/services/orders/invoice", "", []string{idempotencyHeader, "k"}, none, 503, codeKeyUnavailable},
	}
	for _, c := range cases {
		r := newRunner(2)
		w := call(newTestEntry(r, c.change), c.method, c.path, c.body, c.header...)
		var body struct {
			Error struct{ Code string }
		}
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if w.Code != c.status || body.Error.Code != c.code || w.Header().Get(apierror.ExecutedHeader) != "no" {
			t.Errorf("%s: status %d, executed %q, %s", c.name, w.Code, w.Header().Get(apierror.ExecutedHeader), w.Body)
		}
		if w.Header().Get(requestIDHeader) == "" || r.attempts() != 0 {
			t.Errorf("%s: no request id, or %d attempts", c.name, r.attempts())
		}
	}
}

// Guards against limits that are not applied, or not released.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(newRunner(2))
		want := []int{200, 429, 200}
		for i, status := range want {
			w := call(e, "POST", pathChat, chatBody, "Authorization", "Bearer key-2")
			if w.Code != status {
				t.Errorf("request %d: status %d, %s", i, w.Code, w.Body)
			}
			if status == 429 && w.Header().Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
			time.Sleep(time.Duration(i) * time.Second)
		}
		time.Sleep(time.Minute)
		if left := e.callers.RemoveIdle(time.Now()); left != 0 {
			t.Errorf("%d idle callers kept", left)
		}
	})
}

// Guards against responses that an unmodified OpenAI client cannot read. The expected
// texts follow the API reference.
func TestOpenAIResponseFormat(t *testing.T) {
	e := newTestEntry(newRunner(1))
	chat := call(e, "POST", pathChat, chatBody)
	text, _ := json.Marshal(fullText())
	wantUsage := `"usage":{"prompt_tokens":3,"completion_tokens":12,"total_tokens":15}`
	for _, part := range []string{`{"id":"chatcmpl-`, `"object":"chat.completion","created":`, `"model":"taller-1"`,
		`"choices":[{"index":0,"message":{"role":"assistant","content":` + string(text) + `,"refusal":null},"logprobs":null,"finish_reason":"stop"}]`, wantUsage} {
		if !strings.Contains(chat.Body.String(), part) {
			t.Errorf("chat response lacks %s: %s", part, chat.Body)
		}
	}
	stream := call(e, "POST", pathChat, chatStreamBody)
	if got := stream.Header().Get("Content-Type"); !strings.HasPrefix(got, "text/event-stream") {
		t.Errorf("content type %q", got)
	}
	events := strings.Split(strings.TrimSuffix(stream.Body.String(), "\n\n"), "\n\n")
	if len(events) != responseTokens+4 || events[len(events)-1] != "data: [DONE]" {
		t.Fatalf("%d events: %s", len(events), stream.Body)
	}
	for event, part := range map[int]string{
		0:                  `"choices":[{"index":0,"delta":{"role":"assistant","content":"","refusal":null},"logprobs":null,"finish_reason":null}],"usage":null}`,
		1:                  `"object":"chat.completion.chunk"`,
		responseTokens + 1: `"choices":[{"index":0,"delta":{},"logprobs":null,"finish_reason":"stop"}],"usage":null}`,
		responseTokens + 2: `"choices":[],` + wantUsage + `}`,
	} {
		if !strings.Contains(events[event], part) {
			t.Errorf("event %d lacks %s: %s", event, part, events[event])
		}
	}
	completion := call(e, "POST", pathCompletion, `{"model":"taller-1","prompt":"a","stream":true}`)
	if got := readStream(t, completion); got.text != fullText() || !got.done || strings.Contains(completion.Body.String(), "usage") {
		t.Errorf("completion: %s", completion.Body)
	}
	models := call(e, "GET", pathModels, "").Body.String()
	if want := `{"object":"list","data":[{"id":"taller-1","object":"model","created":1772409600,"owned_by":"magnoliausher"}]}`; strings.TrimSpace(models) != want {
		t.Errorf("models: %s", models)
	}
}

// Guards against forwarding hop-by-hop headers, the caller's key, or an upstream's
// statement about execution.
func TestPlainHeaders(t *testing.T) {
	r := newRunner(1)
	w := call(newTestEntry(r), "PUT", "/services/orders/a%2Fb/c?x=1", "body", "Connection", "X-Drop", "X-Drop", "1", "X-Keep", "2", "Te", "trailers")
	if w.Code != 201 || w.Body.String() != "answer" || w.Header().Get("X-Order") != "7" {
		t.Errorf("status %d, %v, %s", w.Code, w.Header(), w.Body)
	}
	for _, name := range []string{apierror.ExecutedHeader, "X-Hop", "Connection"} {
		if w.Header().Get(name) != "" {
			t.Errorf("response has %s", name)
		}
	}
	sent := r.started[0]
	if sent.Path != "/a%2Fb/c?x=1" || sent.Method != "PUT" || string(sent.Body) != "body" {
		t.Errorf("upstream got %v", sent)
	}
	names := make(map[string]string)
	for _, h := range sent.Headers {
		names[h.Name] = h.Value
	}
	if len(names) != 2 || names["X-Keep"] != "2" || names[requestIDHeader] != w.Header().Get(requestIDHeader) {
		t.Errorf("upstream got headers %v", names)
	}
}

// Guards against an encoding of a path that hides a non-repeatable call.
func TestNonRepeatablePathEncodings(t *testing.T) {
	svc := testDocument().Services[1]
	for _, path := range []string{"/invoice", "/invoice/7", "/%69nvoice", "//invoice", "/x/../invoice", "/invoice/", "/%2e/invoice"} {
		if isRepeatable(&svc, "post", path) {
			t.Errorf("%s counts as repeatable", path)
		}
	}
	if !isRepeatable(&svc, "POST", "/invoices") || !isRepeatable(&svc, "GET", "/invoice") {
		t.Error("a repeatable call counts as non-repeatable")
	}
}

// Guards against a shutdown that interrupts requests in progress or accepts new ones.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(1)
		r.release = make(chan struct{})
		e := newTestEntry(r)
		answered := make(chan *httptest.ResponseRecorder, 1)
		go func() { answered <- call(e, "POST", pathChat, chatStreamBody) }()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- e.Drain(context.Background()) }()
		synctest.Wait()
		if w := call(e, "GET", pathReady, ""); w.Code != 503 || !strings.Contains(w.Body.String(), "draining") {
			t.Errorf("readyz: %d %s", w.Code, w.Body)
		}
		w := call(e, "POST", pathChat, chatBody)
		if w.Code != 503 || w.Header().Get("Retry-After") == "" || w.Header().Get(apierror.ExecutedHeader) != "no" {
			t.Errorf("new request: %d %v", w.Code, w.Header())
		}
		if len(drained) != 0 {
			t.Error("drained with a request in progress")
		}
		close(r.release)
		first := <-answered
		if err := <-drained; err != nil || !readStream(t, first).done {
			t.Errorf("drain: %v, first response %s", err, first.Body)
		}
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		if err := newTestEntry(r).Drain(expired); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// blockingWriter is a caller that reads no data: writes block until their deadline.
type blockingWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (s *blockingWriter) SetWriteDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *blockingWriter) Write([]byte) (int, error) {
	if s.deadline.IsZero() {
		select {} // blocks forever
	}
	time.Sleep(time.Until(s.deadline))
	return 0, errors.New("write deadline exceeded")
}

// Guards against a caller that does not read and so occupies an upstream.
func TestStuckCallerReleasesUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(2)
		e := newTestEntry(r)
		req := httptest.NewRequest("POST", pathChat, strings.NewReader(chatStreamBody))
		req.Header.Set("Authorization", "Bearer "+testKey)
		start := time.Now()
		e.Handler().ServeHTTP(&blockingWriter{ResponseRecorder: httptest.NewRecorder()}, req)
		if waited := time.Since(start); waited > 2*DefaultWriteTimeout {
			t.Errorf("upstream was held for %v", waited)
		}
		if r.attempts() != 1 {
			t.Errorf("%d attempts for a stuck caller", r.attempts())
		}
	})
}

// Guards against readiness without a configuration or an upstream, and against
// staleness that is not reported or makes the entry unready.
func TestReadiness(t *testing.T) {
	cases := []struct {
		upstreams int
		change    func(*Config)
		status    int
		text      string
	}{
		{1, func(c *Config) { c.ConfigConfirmedAt = func() time.Time { return time.Now().Add(-time.Minute) } }, 200, "possibly stale"},
		{0, func(*Config) {}, 503, "no upstream linked yet"},
		{1, func(c *Config) { c.Holder = new(contract.Holder) }, 503, "no configuration"},
	}
	for _, c := range cases {
		w := call(newTestEntry(newRunner(c.upstreams), c.change), "GET", pathReady, "")
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.text) {
			t.Errorf("%s: %d %s", c.text, w.Code, w.Body)
		}
	}
}

// Guards against an entry that leaves the load balancer when all upstreams are lost,
// because every entry would leave it then.
func TestReadyAfterUpstreamsAreLost(t *testing.T) {
	r := newRunner(1)
	e := newTestEntry(r)
	if w := call(e, "GET", pathReady, ""); w.Code != 200 {
		t.Fatalf("with an upstream: %d %s", w.Code, w.Body)
	}
	r.mu.Lock()
	r.upstreams = nil
	r.mu.Unlock()
	w := call(e, "GET", pathReady, "")
	if w.Code != 200 || !strings.Contains(w.Body.String(), "no upstream linked for service orders") {
		t.Errorf("after the loss: %d %s", w.Code, w.Body)
	}
}

// Guards against batch requests that reach the jobs handler without their caller.
func TestJobsGetTheCaller(t *testing.T) {
	var got []string
	jobs := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = append(got, contract.CallerFrom(r.Context()).ID+" "+r.URL.Path)
	})
	e := newTestEntry(newRunner(1), func(c *Config) { c.Jobs = jobs })
	call(e, "POST", "/v1/files", "")
	call(e, "GET", "/v1/batches/b1", "")
	w := call(e, "GET", "/v1/batches", "", "Authorization", "Bearer key-2")
	if strings.Join(got, ",") != "c1 /v1/files,c1 /v1/batches/b1" || w.Code != 403 {
		t.Errorf("%v, status %d", got, w.Code)
	}
}

// Guards against a code or reason that the operators' page does not explain.
func TestOperatorsPageListsEachReason(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/online.md")
	if err != nil {
		t.Fatal(err)
	}
	constant := regexp.MustCompile(`\n\t(?:code|reason)\w+ *= "(\w+)"|Reason += "(\w+)"`)
	found := 0
	for _, file := range []string{"refusal.go", "attempt.go", "../limit/limit.go"} {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range constant.FindAllStringSubmatch(string(source), -1) {
			found++
			if name := m[1] + m[2]; !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%s is not explained", name)
			}
		}
	}
	if found < 40 {
		t.Errorf("found only %d reasons", found)
	}
}

func intentRows(t *testing.T, p *standin.Platform) int {
	t.Helper()
	rows, err := p.Scan(t.Context(), "intent", "", 10)
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// Guards against idle callers and expired intents that are never removed.
func TestRunRemovesOldState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPlatform()
		e := newTestEntry(newRunner(1), withStore(m))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go e.Run(ctx)
		call(e, "POST", invoicePath, "body", idempotencyHeader, "k")
		call(e, "POST", pathChat, chatBody, "Authorization", "Bearer key-2")
		time.Sleep(time.Minute)
		if left := e.callers.RemoveIdle(time.Now().Add(-time.Hour)); left != 0 {
			t.Errorf("%d callers kept", left)
		}
		if n := intentRows(t, m); n != 2 {
			t.Errorf("%d rows after a minute", n)
		}
		time.Sleep(25 * time.Hour)
		synctest.Wait() // a sweep may begin at this instant
		if n := intentRows(t, m); n != 0 {
			t.Errorf("%d rows after a day", n)
		}
	})
}
