package loadgen

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a check that accepts a wrong, duplicated or incomplete response.
func TestChatChecksResponses(t *testing.T) {
	request := NewChatRequest("m", "question", 2)
	want, err := ExpectedText([]byte(`{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"question"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	delta := func(text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
	}
	var refused *RefusedError
	isRefused := func(err error) bool { return errors.As(err, &refused) }
	cases := []struct {
		name, stream string
		status       int
		ok           func(error) bool
	}{
		{"whole", delta(want[:3]) + delta(want[3:]) + "data: [DONE]\n\n", 200, func(err error) bool { return err == nil }},
		{"gap", delta(want[:3]) + "data: [DONE]\n\n", 200, func(err error) bool { return errors.Is(err, ErrWrongAnswer) }},
		{"repeat", delta(want) + delta(want) + "data: [DONE]\n\n", 200, func(err error) bool { return errors.Is(err, ErrWrongAnswer) }},
		{"no end", delta(want), 200, func(err error) bool { return errors.Is(err, ErrIncompleteAnswer) }},
		{"error event", delta(want[:3]) + "data: {\"error\":{\"message\":\"lost\"}}\n\n", 200, isRefused},
		{"status", "busy", 503, isRefused},
	}
	for _, c := range cases {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.stream))
		}))
		tokens := 0
		err := (&Client{}).Chat(t.Context(), strings.TrimPrefix(s.URL, "http://"), request, func(bool, time.Duration) { tokens++ })
		s.Close()
		if !c.ok(err) || tokens != strings.Count(c.stream, "content") {
			t.Errorf("%s: error %v after %d texts", c.name, err, tokens)
		}
	}
}
