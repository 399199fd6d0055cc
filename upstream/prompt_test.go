package upstream

import (
	"errors"
	"strings"
	"testing"
)

// Guards against requests with the same prefix that get different hashes, and
// requests with different prefixes that get the same hash. Both misroute requests.
func TestPromptPrefix(t *testing.T) {
	long := strings.Repeat("w ", prefixWords)
	chat := func(system, user string) string {
		return `{"messages":[{"role":"system","content":"` + system + `"},{"role":"user","content":"` + user + `"}]}`
	}
	cases := []struct {
		a, b   string
		same   bool
		tokens int // expected PrefixTokens of a
	}{
		{chat("be brief", "x"), chat("be brief", "y"), true, 3},
		{chat("be brief", "x"), chat("be long", "x"), false, 3},
		{`{"prompt":"` + long + `x"}`, `{"prompt":"` + long + `y"}`, true, prefixWords},
		{`{"prompt":"` + long + `x"}`, `{"prompt":"x ` + long + `"}`, false, prefixWords},
		{`{"prompt":"a b","prompt_cache_key":"k"}`, `{"prompt":"c d","prompt_cache_key":"k"}`, true, 2},
	}
	for _, c := range cases {
		a, errA := ParsePrompt([]byte(c.a))
		b, errB := ParsePrompt([]byte(c.b))
		if err := errors.Join(errA, errB); err != nil {
			t.Fatal(err)
		}
		if (a.Prefix == b.Prefix) != c.same || a.PrefixTokens != c.tokens || a.Prefix == 0 {
			t.Errorf("%.60s: prefixes %x and %x, %d tokens", c.a, a.Prefix, b.Prefix, a.PrefixTokens)
		}
	}
}

// Guards against request bodies that make the parser panic or return impossible
// counts.
func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"prompt":["a","b"],"max_tokens":3,"resume":{"text":"x","tokens":1}}`))
	f.Add([]byte(`{"messages":[{"role":"system","content":[{"text":"a b"}]},{"role":"user","content":"c"}]}`))
	f.Add([]byte(`{"prompt":"x","max_tokens":0}`))
	f.Add([]byte(`{"prompt":" ","prompt_cache_key":"k"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := ParsePrompt(body)
		if err != nil {
			if !errors.Is(err, ErrBadBody) {
				t.Error(err)
			}
			return
		}
		if p.MaxTokens < 1 || p.PrefixTokens > p.Tokens || p.Resume.Tokens < 0 || (p.Prefix == 0) != (p.PrefixTokens == 0) {
			t.Errorf("%+v", p)
		}
	})
}

// Guards against blaming what is a request's own, and against requests that share a
// part but not its hash.
func TestPromptParts(t *testing.T) {
	parts := func(body string) []uint64 {
		t.Helper()
		p, err := ParsePrompt([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return p.Parts
	}
	a := parts(`{"messages":[{"role":"system","content":"s"},{"role":"user","content":"q1"},{"role":"user","content":"own"}]}`)
	b := parts(`{"messages":[{"role":"system","content":"s"},{"role":"user","content":"other"}]}`)
	if len(a) != 2 || len(b) != 1 || a[0] != b[0] || a[0] == a[1] {
		t.Errorf("parts %v and %v", a, b)
	}
	if own := parts(`{"messages":[{"role":"user","content":"own"}]}`); len(own) != 0 {
		t.Errorf("a prompt of one message has the parts %v", own)
	}
	long := strings.Repeat("word ", 200)
	if p, q := parts(`{"prompt":"`+long+`a"}`), parts(`{"prompt":"`+long+`b"}`); len(p) != 1 || len(q) != 1 || p[0] != q[0] {
		t.Errorf("parts of long prompts %v and %v", p, q)
	}
	many := strings.Repeat(`{"role":"user","content":"q"},`, 500)
	if p := parts(`{"messages":[` + many + `{"role":"user","content":"own"}]}`); len(p) != maxParts {
		t.Errorf("%d parts of a long chat", len(p))
	}
}
