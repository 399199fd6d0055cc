package upstream_test

import (
	"io"
	"net/http"
	"slices"
	"testing"

	"github.com/magnoliausher/magnoliausher/upstream"
)

// Guards against hop-by-hop headers that are passed on, which can close or corrupt
// the connection on the other side, and against headers that the client adds.
func TestPlainPassesHeadersEndToEnd(t *testing.T) {
	runInVirtualTime(t, "headers", func(t *testing.T) {
		var got http.Header
		client := upstream.NewPlainClient(upstream.PlainConfig{BaseURL: "http://service", Dial: serve(t, func(w http.ResponseWriter, r *http.Request) {
			got = r.Header.Clone()
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set("X-Kept", "1")
			_, _ = io.WriteString(w, "ok")
		})})
		header := http.Header{"Connection": {"X-Drop, keep-alive"}, "X-Drop": {"1"}, "X-Kept": {"1", "2"}, "Upgrade": {"h2c"}}
		resp, err := client.Call(t.Context(), http.MethodGet, "/", header, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		for _, name := range []string{"X-Drop", "Upgrade", "User-Agent", "Accept-Encoding"} {
			if got.Get(name) != "" {
				t.Errorf("the service received %s: %q", name, got.Get(name))
			}
		}
		if !slices.Equal(got["X-Kept"], []string{"1", "2"}) {
			t.Errorf("X-Kept arrived as %q", got["X-Kept"])
		}
		for _, name := range []string{"Connection", "Keep-Alive"} {
			if resp.Header.Get(name) != "" {
				t.Errorf("the caller received %s: %q", name, resp.Header.Get(name))
			}
		}
		if resp.Header.Get("X-Kept") != "1" || resp.Header.Get("Content-Length") != "2" {
			t.Errorf("headers %v", resp.Header)
		}
	})
}
