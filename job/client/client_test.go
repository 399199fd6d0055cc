package client

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/job"
)

// TestCreateRepeats guards against a retry with a new idempotency key after a
// failure, which would create a second batch.
func TestCreateRepeats(t *testing.T) {
	var keys []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keys = append(keys, r.Header.Get("Idempotency-Key"))
		if len(keys) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(`{"id":"batch_1","status":"in_progress"}`))
	}))
	defer server.Close()
	c := &Client{BaseURL: server.URL, Key: "k"}
	b, err := c.Create(context.Background(), job.CreateRequest{InputFileID: "file-1"}, "")
	if err != nil || b.ID != "batch_1" || len(keys) != 2 || keys[0] == "" || keys[0] != keys[1] {
		t.Errorf("%v %v %v", b, err, keys)
	}
}

// TestErrors guards against retries of rejected requests, lost findings, and
// truncated downloads that are reported as complete.
func TestErrors(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		if strings.HasSuffix(r.URL.Path, "/content") {
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write([]byte(`{"error":{"code":"invalid_file","message":"m","findings":[{"line":3,"reason":"r"}]}}`))
	}))
	defer server.Close()
	c := &Client{BaseURL: server.URL}
	_, err := c.Wait(context.Background(), "batch_1", time.Second, nil)
	var e *Error
	if !errors.As(err, &e) || e.Status != 400 || len(e.Findings) != 1 || e.Findings[0].Line != 3 || calls != 1 {
		t.Errorf("%v after %d calls", err, calls)
	}
	var out bytes.Buffer
	if err := c.Download(context.Background(), "file-1", &out); err == nil {
		t.Error("truncated download returned no error")
	}
}
