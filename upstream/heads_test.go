package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/upstream"
)

// cutAnswer is what a server sends before it ends the connection, with a reset or regularly.
type cutAnswer struct {
	text  string
	reset bool
}

// startCuttingServer answers each connection with the current part of an answer.
func startCuttingServer(t *testing.T) (url string, answer *atomic.Pointer[cutAnswer]) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	answer = new(atomic.Pointer[cutAnswer])
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				a := answer.Load()
				_, _ = io.WriteString(conn, a.text)
				if a.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), answer
}

// callPlain makes a call and reads the answer to the end.
func callPlain(t *testing.T, url, method string, body io.Reader) (status int, text string, err error) {
	client := upstream.NewPlainClient(upstream.PlainConfig{BaseURL: url, ProgressTimeout: 5 * time.Second})
	response, err := client.Call(t.Context(), method, "/a", nil, body)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against a plain service that stops at any byte of its answer and an answer that is read as whole.
func TestPlainAnswerCutAtEachByteIsNotWhole(t *testing.T) {
	const text = "twelve bytes"
	lineFeeds := func(s string) string { return strings.ReplaceAll(s, "\r\n", "\n") }
	chunks := "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		head, body string
		untilClose bool // only the end of the connection marks the end
	}{
		"length":               {"HTTP/1.1 200 OK\r\nX: a\r\nContent-Length: 12\r\n\r\n", text, false},
		"length, folded":       {"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length:\r\n 12\r\n\r\n", text, false},
		"length after 1xx":     {"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", text, false},
		"chunked":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks, false},
		"no length":            {"HTTP/1.1 200 OK\r\nX: a\r\n\r\n", text, true},
		"no length after 1xx":  {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n\r\n", text, true},
		"length, line feeds":   {lineFeeds("HTTP/1.1 200 OK\r\nX: a\r\nContent-Length: 12\r\n\r\n"), text, false},
		"no length, line feed": {lineFeeds("HTTP/1.1 200 OK\r\nX: a\r\n\r\n"), text, true},
	} {
		url, answer := startCuttingServer(t)
		whole := c.head + c.body
		for cut := range len(whole) + 1 {
			for _, reset := range []bool{false, true} {
				answer.Store(&cutAnswer{whole[:cut], reset})
				// The regular end of the connection ends an answer without a length that has begun.
				complete := cut == len(whole) && (!c.untilClose || !reset) || c.untilClose && !reset && cut > len(c.head)
				status, got, err := callPlain(t, url, http.MethodPost, strings.NewReader("question"))
				if (err == nil) != complete {
					t.Errorf("%s, %d of %d bytes (head %d), reset %v: got %d %q, %v, want complete: %v", name, cut, len(whole), len(c.head), reset, status, got, err, complete)
				}
				if err != nil && !errors.Is(err, upstream.ErrTruncated) && !errors.Is(err, upstream.ErrCrashed) {
					t.Errorf("%s, %d of %d bytes, reset %v: %v", name, cut, len(whole), reset, err)
				}
			}
		}
	}
}

// Guards against whole answers without a body that are read as cut after their head.
func TestPlainAnswerWithoutBodyIsWhole(t *testing.T) {
	for name, c := range map[string]struct{ method, head string }{
		"to HEAD":    {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n"},
		"no content": {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n"},
		"length 0":   {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"chunked":    {http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"error":      {http.MethodPost, "HTTP/1.1 404 Not Found\r\n\r\n"},
	} {
		url, answer := startCuttingServer(t)
		answer.Store(&cutAnswer{text: c.head})
		if _, text, err := callPlain(t, url, c.method, nil); text != "" || err != nil {
			t.Errorf("%s: got %q, %v", name, text, err)
		}
	}
}

// Guards against an engine that stops at any byte of its answer and a completion that is read as whole.
func TestCompletionCutAtEachByteIsNotWhole(t *testing.T) {
	body := `data: {"choices":[{"text":"a","finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	for name, answerText := range map[string]string{
		"length":    streamHeader + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		"chunked":   "HTTP/1.1 102 Processing\r\n\r\n" + streamHeader + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"no length": strings.ReplaceAll(streamHeader, "\r\n", "\n") + "\n" + body,
	} {
		url, answer := startCuttingServer(t)
		marker := strings.Index(answerText, "[DONE]\n\n") + len("[DONE]\n\n")
		for cut := range len(answerText) + 1 {
			for _, reset := range []bool{false, true} {
				answer.Store(&cutAnswer{answerText[:cut], reset})
				if _, err := readCompletion(t.Context(), url, 5*time.Second); (err == nil) != (cut >= marker) {
					t.Errorf("%s, %d of %d bytes, reset %v: %v", name, cut, len(answerText), reset, err)
				}
			}
		}
	}
}

// Guards against a reset that only the sender of the request's body notices and an answer without a length that is read as whole.
func TestResetWhileTheRequestIsSentEndsNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ntwelve")
				time.Sleep(5 * time.Millisecond) // the caller waits to send and to read
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	question := strings.Repeat("x", 8<<20)
	const calls = 100
	complete := 0
	for range calls {
		if _, _, err := callPlain(t, "http://"+l.Addr().String(), http.MethodPost, strings.NewReader(question)); err == nil {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d answers that were reset are read as whole", complete, calls)
	}
}

// Guards against a whole answer without a length that is cut since the request's body could not be sent to its end.
func TestAnswerBeforeTheRequestIsReadIsWhole(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ntwelve")
				_ = conn.(*net.TCPConn).CloseWrite()
			}
		}
	}()
	question := strings.Repeat("x", 8<<20)
	for range 20 {
		started := time.Now()
		status, text, err := callPlain(t, "http://"+l.Addr().String(), http.MethodPost, strings.NewReader(question))
		if took := time.Since(started); status != 200 || text != "twelve" || err != nil || took > 3*time.Second {
			t.Errorf("got %d %q, %v after %v", status, text, err, took)
		}
	}
}
