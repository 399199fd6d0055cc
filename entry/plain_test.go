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

func overHTTP(t *testing.T, e *Entry, method, path, body string) (*http.Response, string, error) {
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

// Guards against a truncated answer of a plain service that looks whole over a
// real connection, and against a second attempt spliced into it.
func TestTruncatedPlainAnswer(t *testing.T) {
	r := newRunner(2, scripted{truncated, 0})
	r.plainBody = strings.Repeat("x", passThroughBytes+1)
	_, _, err := overHTTP(t, newTestEntry(r), "GET", "/services/orders/list", "")
	if !errors.Is(err, io.ErrUnexpectedEOF) || r.attempts() != 1 {
		t.Errorf("error %v, %d attempts", err, r.attempts())
	}
	r = newRunner(2, scripted{truncated, 0})
	resp, body, err := overHTTP(t, newTestEntry(r), "GET", "/services/orders/list", "")
	if err != nil || resp.StatusCode != 201 || body != "answer" || r.attempts() != 2 {
		t.Errorf("short answer: %d %q, error %v, %d attempts", resp.StatusCode, body, err, r.attempts())
	}
}

// Guards against whole answers that change on a real connection.
func TestAnswersOverHTTP(t *testing.T) {
	r := newRunner(1)
	r.plainBody = strings.Repeat("y", 3*passThroughBytes)
	resp, body, err := overHTTP(t, newTestEntry(r), "GET", "/services/orders/list", "")
	if err != nil || resp.StatusCode != 201 || body != r.plainBody || resp.Header.Get("X-Order") != "7" {
		t.Errorf("status %d, %d bytes, error %v", resp.StatusCode, len(body), err)
	}
	_, body, err = overHTTP(t, newTestEntry(newRunner(1)), "POST", pathChat, chatStreamBody)
	if err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("stream %q, error %v", body, err)
	}
}

// Guards against a write deadline that does not reach a real connection: a
// caller that never reads would hold its upstream for ever.
func TestStuckCallerOverHTTP(t *testing.T) {
	r := newRunner(1)
	r.plainBody = strings.Repeat("z", 64<<20) // more than the sockets' buffers
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
