package storage_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/storage"
)

// stallTimeout is the client's timeout in tests that wait for it. It leaves ample
// time for the calls that must succeed, also on a busy machine.
const stallTimeout = 2 * time.Second

func newClient(t *testing.T, handler http.Handler, timeout time.Duration) *storage.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, err := storage.NewClient(storage.ClientConfig{BaseURL: server.URL, Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

var oneWrite = storage.Transaction{Writes: []storage.Write{{Key: "k", Value: []byte("v")}}}

// Guards against mapping a response to the wrong error. With a proxy's 404 or 409
// an existing row would seem absent, or a write with unknown outcome rejected.
func TestStatusMapping(t *testing.T) {
	errStatus := errors.New("a StatusError")
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"row absent", 404, `{"code":"not_found"}`, storage.ErrNotFound},
		{"404 of a proxy", 404, `<html>not found</html>`, errStatus},
		{"condition failed", 409, `{"code":"condition_failed"}`, storage.ErrConflict},
		{"409 of a proxy", 409, ``, errStatus},
		{"throttled", 429, `{"code":"throttled"}`, storage.ErrThrottled},
		{"throttled by a proxy", 429, `slow down`, storage.ErrThrottled},
		{"internal error", 500, ``, storage.ErrUnavailable},
		{"bad gateway", 502, ``, storage.ErrUnavailable},
		{"unavailable", 503, `{"code":"unavailable"}`, storage.ErrUnavailable},
		{"malformed call", 400, `{"code":"invalid_request"}`, errStatus},
		{"redirect", 307, ``, errStatus},
		{"malformed response", 200, `{"versions":[1`, storage.ErrUnavailable},
		{"too few versions", 200, `{"versions":[]}`, storage.ErrUnavailable},
		{"success", 200, `{"versions":[1]}`, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}), 0)
			_, err := client.Commit(t.Context(), oneWrite)
			var status *storage.StatusError
			if errors.As(err, &status) && status.Status == c.status {
				err = errStatus
			}
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against sending a write twice after a broken connection or a timeout,
// and against reporting it as rejected although it may have taken effect.
func TestFailedWriteIsUnavailableAndSentOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		respond func(r *http.Request)
	}{
		{"connection broken", func(*http.Request) { panic(http.ErrAbortHandler) }},
		{"no response", func(r *http.Request) { <-r.Context().Done() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int32
			client := newClient(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				sent.Add(1)
				_, _ = io.Copy(io.Discard, r.Body) // lets net/http detect that the client closed the connection
				c.respond(r)
			}), stallTimeout)
			if _, err := client.Commit(t.Context(), oneWrite); !errors.Is(err, storage.ErrUnavailable) {
				t.Fatalf("got %v, want ErrUnavailable", err)
			}
			if sent.Load() != 1 {
				t.Fatalf("request was sent %d times, want once", sent.Load())
			}
		})
	}
}

// Guards against errors of cancelled calls that do not wrap context.Canceled.
func TestCancelledCallKeepsItsCause(t *testing.T) {
	client := newClient(t, http.NotFoundHandler(), 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := client.Commit(ctx, oneWrite)
	if !errors.Is(err, storage.ErrUnavailable) || !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want ErrUnavailable and Canceled", err)
	}
}

// Guards against reading a truncated or stalled object as a complete one.
func TestIncompleteObjectIsAnError(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		end  func(r *http.Request)
	}{
		{"truncated", func(*http.Request) { panic(http.ErrAbortHandler) }},
		{"stalled", func(r *http.Request) { <-r.Context().Done() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
				c.end(r)
			}), stallTimeout)
			body, err := client.Objects().Get(t.Context(), "k")
			if err != nil {
				t.Fatal(err)
			}
			defer body.Close()
			if got, err := io.ReadAll(body); !errors.Is(err, storage.ErrUnavailable) {
				t.Fatalf("read %q, %v; want ErrUnavailable", got, err)
			}
		})
	}
}

// Guards against one timeout per unresponsive connection. After the first timeout
// a call must use a new connection although others are idle in the pool.
func TestIdleConnectionsAreClosedAfterTimeout(t *testing.T) {
	t.Parallel()
	const connections = 4
	var unresponsive sync.Map // remote addresses of connections that no longer respond
	var pooled, wait sync.WaitGroup
	pooled.Add(connections)
	var warm atomic.Bool
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, hang := unresponsive.Load(r.RemoteAddr); hang {
			<-r.Context().Done()
			return
		}
		if !warm.Load() {
			unresponsive.Store(r.RemoteAddr, true)
			pooled.Done()
			pooled.Wait() // keeps the connection busy until all are open
		}
		_, _ = io.WriteString(w, `{"key":"k","version":1}`)
	}), stallTimeout)
	for range connections {
		wait.Go(func() {
			if _, err := client.Get(t.Context(), "k"); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	warm.Store(true)
	if _, err := client.Get(t.Context(), "k"); !errors.Is(err, storage.ErrUnavailable) {
		t.Fatalf("call on an unresponsive connection: %v", err)
	}
	if _, err := client.Get(t.Context(), "k"); err != nil {
		t.Fatalf("call after the first timeout: %v", err)
	}
}

// Guards against an odd entry of another writer in the instance list that keeps the
// list from being followed.
func TestOddInstanceEntryDoesNotStopTheList(t *testing.T) {
	deep := strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000)
	good := `{"id":"a","role":"agent","data_centre":"z","address":"10.0.0.1:80","service":"s","state":"leaving"}`
	for name, odd := range map[string]string{
		"deep": deep, "deep field": `{"id":"b","extra":` + deep + `}`, "number": `{"id":1e999}`, "null": `null`,
		"large number": `{"id":"b","role":"agent","address":"10.0.0.2:80","state":123456789012345678901234567890}`,
		"port":         `{"id":"b","role":"agent","address":"10.0.0.2:70000","state":"live"}`,
		"state":        `{"id":"b","role":"agent","address":"10.0.0.2:80","state":"resting"}`,
		"role":         `{"id":"b","role":"clerk","address":"10.0.0.2:80","state":"live"}`,
	} {
		var invalid strings.Builder
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"revision":7,"other":[{}], "instances":[%s, %s,%s]}`, odd, good, odd)
		}))
		client, err := storage.NewClient(storage.ClientConfig{BaseURL: server.URL, Log: zerolog.New(&invalid)})
		if err != nil {
			t.Fatal(err)
		}
		list, revision, err := client.Instances(t.Context(), 0)
		if err != nil || revision != 7 || len(list) != 1 || list[0].ID != "a" || list[0].State != storage.InstanceLeaving {
			t.Errorf("%s: %v, revision %d, %v", name, list, revision, err)
		}
		if n := strings.Count(invalid.String(), "ignoring invalid entry"); n != 2 || invalid.Len() > 4096 {
			t.Errorf("%s: %d log lines, %d bytes", name, n, invalid.Len())
		}
		client.Close()
		server.Close()
	}
}
