package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func requestOverHTTP(t *testing.T, e *Entry, method, path, body string) (*http.Response, string, error) {
	t.Helper()
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// Guards against a truncated response of a plain service that appears complete on a
// real connection, and against a second attempt appended to it.
func TestTruncatedPlainResponse(t *testing.T) {
	r := newRunner(2, attemptScript{truncated, 0})
	r.plainBody = strings.Repeat("x", maxBufferedBytes+1)
	_, _, err := requestOverHTTP(t, newTestEntry(r), "GET", "/services/orders/list", "")
	if !errors.Is(err, io.ErrUnexpectedEOF) || r.attempts() != 1 {
		t.Errorf("error %v, %d attempts", err, r.attempts())
	}
	r = newRunner(2, attemptScript{truncated, 0})
	resp, body, err := requestOverHTTP(t, newTestEntry(r), "GET", "/services/orders/list", "")
	if err != nil || resp.StatusCode != 201 || body != "answer" || r.attempts() != 2 {
		t.Errorf("short response: %d %q, error %v, %d attempts", resp.StatusCode, body, err, r.attempts())
	}
}

// Guards against complete responses that change on a real connection.
func TestResponsesOverHTTP(t *testing.T) {
	r := newRunner(1)
	r.plainBody = strings.Repeat("y", 3*maxBufferedBytes)
	resp, body, err := requestOverHTTP(t, newTestEntry(r), "GET", "/services/orders/list", "")
	if err != nil || resp.StatusCode != 201 || body != r.plainBody || resp.Header.Get("X-Order") != "7" {
		t.Errorf("status %d, %d bytes, error %v", resp.StatusCode, len(body), err)
	}
	_, body, err = requestOverHTTP(t, newTestEntry(newRunner(1)), "POST", pathChat, chatStreamBody)
	if err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("stream %q, error %v", body, err)
	}
}

// Guards against a write deadline that is not applied to a real connection: a caller
// that never reads would occupy its upstream indefinitely.
func TestStuckCallerOverHTTP(t *testing.T) {
	r := newRunner(1)
	r.plainBody = strings.Repeat("z", 64<<20) // more than the socket buffers hold
	e := newTestEntry(r, func(c *Config) { c.WriteTimeout = 50 * time.Millisecond })
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /services/orders/list HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	for r.attempts() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := e.Drain(context.Background()); err != nil {
		t.Error(err)
	}
}
