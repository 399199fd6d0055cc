package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"unicode/utf8"
)

// Guards against bodies that crash the entry, lead to a response that is not JSON, or
// reach an upstream although they are rejected.
func FuzzBody(f *testing.F) {
	for _, body := range []string{chatBody, chatStreamBody, `{"model":"taller-1","prompt":[1,2]}`, `{"model":"taller-1","prompt":["a"],"n":null}`,
		`{`, `[]`, `null`, `{"model":"\ud800"}`, `{"messages":[{}]}`, `{"max_tokens":-1}`, `{"max_tokens":1e99}`, "\xff", `{"stream_options":7}`} {
		f.Add(body, true)
		f.Add(body, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		path := pathCompletion
		if chat {
			path = pathChat
		}
		r := newRunner(1)
		w := call(newTestEntry(r), "POST", path, body)
		if (w.Code == http.StatusOK) != (r.attempts() == 1) {
			t.Fatalf("status %d with %d attempts", w.Code, r.attempts())
		}
		if strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
			if got := readStream(t, w); !got.done || got.text != fullText() {
				t.Fatalf("stream %s", w.Body)
			}
			return
		}
		if !json.Valid(w.Body.Bytes()) || !utf8.Valid(w.Body.Bytes()) {
			t.Fatalf("response is not JSON: %q", w.Body)
		}
	})
}

// Guards against headers that crash the entry, are forwarded although they apply to one
// connection, or cause two hand-overs of one call.
func FuzzHeaders(f *testing.F) {
	f.Add("X-Request-Timeout-Ms", "100", "close")
	f.Add("X-Request-Id", "a b", "X-Request-Id")
	f.Add("Idempotency-Key", "k", "keep-alive, Idempotency-Key")
	f.Add("Te", "trailers", "te,,")
	f.Add("Authorization", "Bearer", "")
	f.Fuzz(func(t *testing.T, name, value, connection string) {
		r := newRunner(1)
		e := newTestEntry(r, withStore(newPlatform()))
		w := call(e, "POST", invoicePath, "body", "Connection", connection, name, value)
		if w.Code < 200 || len(r.started) > 1 {
			t.Fatalf("status %d, %d attempts", w.Code, len(r.started))
		}
		if !validRequestID(w.Header().Get(requestIDHeader)) {
			t.Fatalf("request id %q", w.Header().Get(requestIDHeader))
		}
		for _, req := range r.started {
			for _, h := range req.Headers {
				if hopByHop[h.Name] || h.Name == "Authorization" || h.Name == "Connection" {
					t.Fatalf("forwarded %s", h.Name)
				}
			}
		}
	})
}
