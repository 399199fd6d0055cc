package upstream_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/standin/service"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Guards against a fault of a plain service that is reported as a different error,
// and against a call that the client retries by itself. GET is included because
// net/http retries it by default.
func TestPlainFaults(t *testing.T) {
	cases := []struct {
		fault service.Fault
		want  error
	}{
		{service.FaultNone, nil},
		{service.FaultSlow, nil},
		{service.FaultSilent, upstream.ErrProgressTimeout},
		{service.FaultCrash, upstream.ErrCrashed},
		{service.FaultTruncated, upstream.ErrTruncated},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			runInVirtualTime(t, method+" "+string(c.fault), func(t *testing.T) {
				s := service.New()
				client := upstream.NewPlainClient(upstream.PlainConfig{BaseURL: "http://service", Dial: serve(t, s.Handler().ServeHTTP)})
				if err := client.Healthy(t.Context()); err != nil {
					t.Fatal(err)
				}
				s.SetFault(c.fault, -1, upstream.DefaultProgressTimeout-time.Millisecond)
				header := http.Header{service.AttemptHeader: {"a1"}, "Idempotency-Key": {"k"}}
				resp, err := client.Call(t.Context(), method, "/orders/7?x=1", header, strings.NewReader("body"))
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				if !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				if n := s.ExecutionsByAttempt("a1"); n != 1 {
					t.Errorf("executed %d times, want 1", n)
				}
			})
		}
	}
}
